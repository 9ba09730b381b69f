package cell

import (
	"sync"
	"time"
)

const (
	// silentAfter is how many reservations in a row a dispatcher leaves without an answer before the
	// following ones do not wait for it. One late answer is no sign of a lost dispatcher.
	silentAfter = 3
	// probeInterval is the time between two reservations that wait for a silent dispatcher all the same.
	probeInterval = 250 * time.Millisecond
)

// silence remembers dispatchers that do not answer, so that not every request waits for the
// acknowledgement timeout until the membership changes.
type silence struct {
	mu      sync.Mutex
	missing map[string]missing
}

type missing struct {
	count int
	// probe is when the next reservation may wait.
	probe time.Time
}

// skip reports whether a reservation should not wait for the dispatcher.
func (s *silence) skip(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.missing[instance]
	now := time.Now()
	if !ok || m.count < silentAfter {
		return false
	}
	if now.Before(m.probe) {
		return true
	}
	m.probe = now.Add(probeInterval)
	s.missing[instance] = m
	return false
}

// note counts an answer or its absence.
func (s *silence) note(instance string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.missing, instance)
		return
	}
	if s.missing == nil {
		s.missing = make(map[string]missing)
	}
	s.missing[instance] = missing{count: s.missing[instance].count + 1, probe: time.Now().Add(probeInterval)}
}
