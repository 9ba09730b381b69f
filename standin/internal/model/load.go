package model

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

const (
	// sampleInterval is the least simulated time between two kept load samples.
	sampleInterval = 10 * time.Millisecond
	// smoothing is the weight of the latest step in the measured rates.
	smoothing = 0.1
)

// reports keeps load samples until they are older than the reporting lag.
type reports struct {
	samples     []sample
	prefillRate float64
	decodeRate  float64
}

type sample struct {
	at   time.Time
	load endpoint.Load
}

// measure updates the rates from a step.
func (r *reports) measure(s step) {
	seconds := s.duration.Seconds()
	if seconds <= 0 {
		return
	}
	if s.cost > 0 {
		r.prefillRate += smoothing * (s.cost/seconds - r.prefillRate)
	}
	if len(s.decode) > 0 {
		r.decodeRate += smoothing * (1/seconds - r.decodeRate)
	}
}

// report records the current load. Within sampleInterval the later record replaces the earlier one.
func (e *Engine) report() {
	load := endpoint.Load{
		Running:     len(e.running),
		Queued:      len(e.waiting),
		Used:        e.used(),
		Cached:      e.cache.idle.Len() * prefix.BlockTokens,
		PrefillRate: e.reports.prefillRate,
		DecodeRate:  e.reports.decodeRate,
	}
	for _, a := range e.attempts {
		load.QueuedPrefill += a.prefillLeft
	}
	now := time.Now()
	s := &e.reports.samples
	if n := len(*s); n > 1 && now.Sub((*s)[n-2].at) < e.simulated(sampleInterval) {
		(*s)[n-1] = sample{at: now, load: load}
		return
	}
	*s = append(*s, sample{at: now, load: load})
	e.reports.trim(now.Add(-e.simulated(e.config.ReportLag)))
}

// trim drops the samples that a later sample from before the given time has replaced.
func (r *reports) trim(before time.Time) {
	n := 0
	for n+1 < len(r.samples) && !r.samples[n+1].at.After(before) {
		n++
	}
	r.samples = append(r.samples[:0], r.samples[n:]...)
}

// Load returns the load as it was one reporting lag ago.
func (e *Engine) Load() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := time.Now().Add(-e.simulated(e.config.ReportLag))
	e.reports.trim(before)
	if len(e.reports.samples) == 0 || e.reports.samples[0].at.After(before) {
		return endpoint.Load{PrefillRate: e.reports.prefillRate, DecodeRate: e.reports.decodeRate}
	}
	return e.reports.samples[0].load
}

// CacheEvents removes and returns at most limit cache events that are due for publication.
func (e *Engine) CacheEvents(limit int) []endpoint.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.take(time.Now().Add(-e.simulated(e.config.EventLag)), limit)
}

// Used returns the memory in use and the capacity, in tokens.
func (e *Engine) Used() (used, memory int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used(), e.config.Memory
}
