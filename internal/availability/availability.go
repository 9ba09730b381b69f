// Package availability holds what endpoints have said in their responses to this entry about further requests: that they
// are leaving, or that they want none for a while. It does no I/O and takes the time as an argument.
package availability

import (
	"slices"
	"sync"
	"time"
)

// Incarnation is one run of an endpoint, from its start to its end.
type Incarnation struct {
	ID string
	// Started is the start of the endpoint in Unix milliseconds.
	Started int64
}

const (
	// maxPause bounds a pause, so that an absurd value does not take an endpoint out of use for good.
	maxPause = time.Minute
	// forgetAfter is how long the statement of an incarnation is kept that is no longer registered. Its registration
	// may come back after a delay.
	forgetAfter = 10 * time.Minute
)

// statement is what one incarnation has said.
type statement struct {
	service     string
	madeAt      time.Time
	leaving     bool
	pausedUntil time.Time
}

func (s statement) allows(now time.Time) bool {
	return !s.leaving && !now.Before(s.pausedUntil)
}

// Tracker holds the statements of endpoints. A statement ends with the incarnation that made it; a pause ends by itself.
// It is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex
	statements map[Incarnation]statement
}

// NewTracker returns a tracker without statements.
func NewTracker() *Tracker {
	return &Tracker{statements: make(map[Incarnation]statement)}
}

// RecordLeaving records that an endpoint of a service is leaving.
func (t *Tracker) RecordLeaving(now time.Time, service string, i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statements[i]
	s.service, s.madeAt, s.leaving = service, now, true
	t.statements[i] = s
}

// RecordPause records that an endpoint of a service wants no requests for the given time, of which at most a minute
// counts. A shorter pause does not replace a longer one.
func (t *Tracker) RecordPause(now time.Time, service string, i Incarnation, pause time.Duration) {
	if pause <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statements[i]
	s.service, s.madeAt = service, now
	if until := now.Add(min(maxPause, pause)); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	t.statements[i] = s
}

// Allows reports whether an endpoint may be sent a request.
func (t *Tracker) Allows(now time.Time, i Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statements[i].allows(now)
}

// Unavailable returns the endpoints of a service that may not be sent a request.
func (t *Tracker) Unavailable(now time.Time, service string) []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unavailable []Incarnation
	for i, s := range t.statements {
		if s.service == service && !s.allows(now) {
			unavailable = append(unavailable, i)
		}
	}
	return unavailable
}

// PauseLeft returns the time until the first of the given endpoints may be sent a request, and false if none of them is
// paused.
func (t *Tracker) PauseLeft(now time.Time, incarnations []Incarnation) (left time.Duration, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range incarnations {
		s := t.statements[i]
		if until := s.pausedUntil.Sub(now); !s.leaving && until > 0 && (!paused || until < left) {
			left, paused = until, true
		}
	}
	return left, paused
}

// Forget drops the statements of a service that have no effect any more: pauses that have ended, and old statements of
// incarnations that are not among the registered ones.
func (t *Tracker) Forget(now time.Time, service string, registered []Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range t.statements {
		outdated := now.Sub(s.madeAt) > forgetAfter && !slices.Contains(registered, i)
		if s.service == service && (s.allows(now) || outdated) {
			delete(t.statements, i)
		}
	}
}
