package dispatch

import (
	"slices"
	"time"
)

// Estimate is what a cell would do with a request, without reserving anything for it.
type Estimate struct {
	Status Status
	Reason Reason
	// Cost is in weighted seconds. It is comparable only between estimates with the same status.
	Cost float64
	// Bound means that no other cell may run the request: a copy of it runs here and none has finished
	// before, or it may have crashed endpoints.
	Bound bool
}

// Better reports whether an estimate is better than another one. A cell that the request is bound to comes
// first, then an immediate grant, then a place in the queue, and a refusal last.
func (e Estimate) Better(other Estimate) bool {
	if e.rank() != other.rank() {
		return e.rank() < other.rank()
	}
	return e.Cost < other.Cost
}

func (e Estimate) rank() int {
	if e.Bound {
		return -1
	}
	order := []Status{Granted, Queued, Refused}
	if at := slices.Index(order, e.Status); at >= 0 {
		return at
	}
	return len(order)
}

// Usable reports whether the cell would run the request.
func (e Estimate) Usable() bool {
	return e.Status == Granted || e.Status == Queued
}

// estimate returns what reserve would do, without doing it.
func (c *cell) estimate(now time.Time, request ReserveRequest) Estimate {
	if c.closed {
		return Estimate{Status: Elsewhere}
	}
	fingerprint := request.Fingerprint
	if c.quarantined(now, fingerprint) {
		return Estimate{Status: Refused, Reason: Quarantined, Bound: true}
	}
	res := c.newReservation(now, request)
	estimate := c.estimateOutcome(now, res)
	estimate.Bound = c.suspects.mustWait(fingerprint) ||
		len(c.suspects.running[fingerprint]) > 0 && !c.suspects.isKnownGood(fingerprint)
	return estimate
}

func (c *cell) estimateOutcome(now time.Time, res *reservation) Estimate {
	result := outcome{}
	if !c.suspects.mustWait(res.request.Fingerprint) {
		usable, largest := c.capacity()
		rule := c.suspects.placementRule(res.request.Fingerprint, usable)
		cost := 0.0
		if largest > 0 && res.tokens > largest {
			var members []*replica
			members, cost, result = c.findGroup(now, res, &rule)
			cost *= c.settings.OwnWeight.of(res.class)
			if members != nil {
				return Estimate{Status: Granted, Cost: cost}
			}
		} else {
			best := c.chooseReplica(now, res, &rule)
			if best.replica != nil {
				return Estimate{Status: Granted, Cost: best.cost}
			}
			result = c.waitOrRefuse(now, res, &best)
		}
	}
	if result.refusal == nil {
		result.refusal = c.admit(now, res)
	}
	if result.refusal != nil {
		return Estimate{Status: Refused, Reason: result.refusal.Reason, Cost: res.estimate.Seconds()}
	}
	return Estimate{Status: Queued, Cost: res.estimate.Seconds()}
}
