package model

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

const (
	// sampleInterval is the minimum simulated time between two load samples that are kept.
	sampleInterval = 10 * time.Millisecond
	// smoothingFactor is the weight of the latest step in the moving averages of the rates.
	smoothingFactor = 0.1
)

// loadHistory holds the load samples back to ReportLag ago and moving averages of the rates.
type loadHistory struct {
	samples     []loadSample
	prefillRate float64
	decodeRate  float64
}

type loadSample struct {
	at   time.Time
	load endpoint.Load
}

// updateRates adds a step to the moving averages of the prefill and decode rates.
func (h *loadHistory) updateRates(s step) {
	seconds := s.duration.Seconds()
	if seconds <= 0 {
		return
	}
	if s.effectivePrefill > 0 {
		h.prefillRate += smoothingFactor * (s.effectivePrefill/seconds - h.prefillRate)
	}
	if len(s.decode) > 0 {
		h.decodeRate += smoothingFactor * (1/seconds - h.decodeRate)
	}
}

// recordLoad adds a sample of the current load. Within sampleInterval it replaces the previous sample.
func (e *Engine) recordLoad() {
	load := endpoint.Load{
		Running:     len(e.running),
		Queued:      len(e.waiting),
		Used:        e.usedTokens(),
		Cached:      e.cache.idle.Len() * prefix.BlockTokens,
		PrefillRate: e.loadHistory.prefillRate,
		DecodeRate:  e.loadHistory.decodeRate,
	}
	for _, a := range e.attempts {
		load.QueuedPrefill += a.prefillLeft
	}
	now := time.Now()
	s := &e.loadHistory.samples
	if n := len(*s); n > 1 && now.Sub((*s)[n-2].at) < e.toRealTime(sampleInterval) {
		(*s)[n-1] = loadSample{at: now, load: load}
		return
	}
	*s = append(*s, loadSample{at: now, load: load})
	e.loadHistory.dropOutdated(now.Add(-e.toRealTime(e.config.ReportLag)))
}

// dropOutdated drops the samples older than the last one taken at or before the given time.
func (h *loadHistory) dropOutdated(before time.Time) {
	n := 0
	for n+1 < len(h.samples) && !h.samples[n+1].at.After(before) {
		n++
	}
	h.samples = append(h.samples[:0], h.samples[n:]...)
}

// Load returns the load as of ReportLag ago.
func (e *Engine) Load() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := time.Now().Add(-e.toRealTime(e.config.ReportLag))
	e.loadHistory.dropOutdated(before)
	if len(e.loadHistory.samples) == 0 || e.loadHistory.samples[0].at.After(before) {
		return endpoint.Load{PrefillRate: e.loadHistory.prefillRate, DecodeRate: e.loadHistory.decodeRate}
	}
	return e.loadHistory.samples[0].load
}

// CacheEvents removes and returns at most limit cache events that are at least EventLag old.
func (e *Engine) CacheEvents(limit int) []endpoint.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.takeEvents(time.Now().Add(-e.toRealTime(e.config.EventLag)), limit)
}

// Used returns the memory that cannot be evicted and the capacity, in tokens.
func (e *Engine) Used() (used, memory int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens(), e.config.Memory
}
