package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// breaker is the circuit breaker of one endpoint. It opens after consecutive failures, allows one probe
// request after a back-off with jitter, and closes when a request succeeds.
type breaker struct {
	failures  int
	open      bool
	openSince time.Time
	retryAt   time.Time
	backOff   time.Duration
	// probeGrant is the ID of the grant that probes an open breaker; empty for none.
	probeGrant string
}

// backOffJitter is the fraction by which a back-off varies in both directions, so that endpoints that
// failed together are not all probed at the same time.
const backOffJitter = 0.2

// allows reports whether the endpoint may get work.
func (b *breaker) allows(now time.Time) bool {
	return !b.open || (b.probeGrant == "" && !now.Before(b.retryAt))
}

// grantGiven records a grant; the first one after the back-off becomes the probe.
func (b *breaker) grantGiven(now time.Time, id string) {
	if b.open && b.probeGrant == "" && !now.Before(b.retryAt) {
		b.probeGrant = id
	}
}

func (b *breaker) succeeded() {
	*b = breaker{}
}

// grantEnded records that a grant ended without showing whether the endpoint works.
func (b *breaker) grantEnded(id string) {
	if b.probeGrant == id {
		b.probeGrant = ""
	}
}

func (b *breaker) failed(now time.Time, id string, s *Settings, jitter float64) {
	b.failures++
	switch {
	case b.open && b.probeGrant != id:
		return
	case b.open:
		b.backOff = min(2*b.backOff, s.BreakerMaxBackOff)
	case b.failures >= s.BreakerFailures:
		b.open, b.openSince, b.backOff = true, now, s.BreakerBackOff
	default:
		return
	}
	b.probeGrant = ""
	b.retryAt = now.Add(time.Duration(float64(b.backOff) * (1 + backOffJitter*(2*jitter-1))))
}

// updateEjections decides which replicas get no work: those with an open breaker, and those with a lost
// connection until they announce themselves again. The longest unhealthy are ejected first, and never
// more than half of the replicas that could accept work. It also updates the cell's lastReady and
// meanPrefillRate.
func (c *cell) updateEjections(now time.Time) {
	usable, engines, rates := 0, 0, 0.0
	var unhealthy []*replica
	for _, r := range c.sortedReplicas {
		r.ejected, r.unhealthy = false, false
		if !r.acceptsWork() {
			continue
		}
		usable++
		if r.isEngine() {
			engines++
			rates += r.prefillRate(c.settings)
		}
		if !r.breaker.allows(now) || !r.connectionLostAt.IsZero() {
			r.unhealthy = true
			unhealthy = append(unhealthy, r)
		}
	}
	if usable > 0 {
		c.lastReady = now
	}
	if engines > 0 {
		c.meanPrefillRate = rates / float64(engines)
	}
	slices.SortFunc(unhealthy, func(a, b *replica) int {
		return cmp.Or(a.unhealthySince().Compare(b.unhealthySince()), cmp.Compare(a.name, b.name))
	})
	for _, r := range unhealthy[:min(len(unhealthy), usable/2)] {
		r.ejected = true
	}
}

func (r *replica) unhealthySince() time.Time {
	if r.breaker.open && (r.connectionLostAt.IsZero() || r.breaker.openSince.Before(r.connectionLostAt)) {
		return r.breaker.openSince
	}
	return r.connectionLostAt
}
