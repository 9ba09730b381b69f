package cell

import (
	"sync"
	"time"
)

const (
	// breakerThreshold is the number of calls in a row that a dispatcher leaves without a reply before the
	// following ones skip it. A single late reply does not mean that the dispatcher is lost.
	breakerThreshold = 3
	// probeInterval is the time between two calls that are made to an unresponsive dispatcher all the same.
	probeInterval = 250 * time.Millisecond
)

// dispatcherBreaker is a circuit breaker for dispatchers that do not reply. Without it every request would
// wait for the acknowledgement timeout until the membership changes.
type dispatcherBreaker struct {
	mu     sync.Mutex
	missed map[string]missedReplies
}

type missedReplies struct {
	count int
	// nextProbe is when the next call is allowed.
	nextProbe time.Time
}

// skip reports whether the dispatcher should not be called now.
func (b *dispatcherBreaker) skip(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.missed[instance]
	now := time.Now()
	if !ok || m.count < breakerThreshold {
		return false
	}
	if now.Before(m.nextProbe) {
		return true
	}
	m.nextProbe = now.Add(probeInterval)
	b.missed[instance] = m
	return false
}

// record records a call with or without a reply.
func (b *dispatcherBreaker) record(instance string, replied bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if replied {
		delete(b.missed, instance)
		return
	}
	if b.missed == nil {
		b.missed = make(map[string]missedReplies)
	}
	b.missed[instance] = missedReplies{count: b.missed[instance].count + 1, nextProbe: time.Now().Add(probeInterval)}
}
