package placement

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

const (
	// coldWindow is the time to which the declared rate of a cold engine applies.
	coldWindow = time.Second
	// coldRateShare is the share of that rate that a dispatcher grants. Two dispatchers may grant at the same time, as
	// when the instances are divided by a partition, and stay within the rate together.
	coldRateShare = 0.5
)

// coldLimit limits the requests to an engine that is cold: a start that was too busy would crash it.
type coldLimit struct {
	// until is when the engine is warm by the last news of it.
	until time.Time
	// creditFrom is when the dispatcher may grant the engine again: it does not know what was granted before it began.
	creditFrom time.Time
	// granted are the times of the grants within the last coldWindow.
	granted []time.Time
}

// learn takes over news of the endpoint. A record that has not changed is not news.
func (c *coldLimit) learn(now time.Time, old, record registration.Record) {
	if old != record {
		c.until = now.Add(record.Cold)
	}
}

// allows reports whether the engine may be granted to a request now, at a declared rate in requests per second. A rate
// of 0 means that the engine needs no limit.
func (c *coldLimit) allows(now time.Time, rate float64) bool {
	if rate <= 0 || !now.Before(c.until) {
		return true
	}
	if now.Before(c.creditFrom) {
		return false
	}
	c.forget(now)
	return float64(len(c.granted)+1) <= rate*coldRateShare
}

// record records a grant.
func (c *coldLimit) record(now time.Time) {
	if now.Before(c.until) {
		c.forget(now)
		c.granted = append(c.granted, now)
	}
}

// forget removes the grants that have left the window.
func (c *coldLimit) forget(now time.Time) {
	expired := 0
	for expired < len(c.granted) && now.Sub(c.granted[expired]) >= coldWindow {
		expired++
	}
	c.granted = c.granted[expired:]
}

// allowsCold reports whether a replica may be granted as far as it is cold. A scheduler that sees only the requests of one
// entry grants no cold engine, because the entries together could exceed the rate.
func (s *Scheduler) allowsCold(now time.Time, r *replica) bool {
	if s.ownJobsOnly {
		return s.engine.ColdRate <= 0 || !now.Before(r.cold.until)
	}
	return r.cold.allows(now, s.engine.ColdRate)
}

// countCold returns the number of engines that are cold.
func (s *Scheduler) countCold(now time.Time) int {
	count := 0
	for _, r := range s.sortedReplicas {
		if s.engine.ColdRate > 0 && now.Before(r.cold.until) {
			count++
		}
	}
	return count
}
