package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against breakers that eject more than half of a cell, and against one that never allows a probe.
// Ejecting every replica with an open breaker exceeds half in some runs, which shows that the limit matters.
func TestBreakersLeaveHalfOfTheCell(t *testing.T) {
	openExceededHalf := false
	rapid.Check(t, func(t *rapid.T) {
		c, now := testCellWith(testConfig()), epoch
		count := rapid.IntRange(1, 6).Draw(t, "engines")
		for i := range count {
			c.announce(now, engine(i, 1_000_000))
		}
		for i := range 60 {
			id := fmt.Sprintf("a%d", i)
			reply := c.reserve(now, request(id, 100, 10))
			event := rapid.SampledFrom([]EventType{Failed, Failed, Failed, ConnectionLost, Finished, Cancelled}).Draw(t, "event")
			if reply.Status == Granted {
				c.report(now, Event{Cell: testCell, Grant: id, Type: event})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			silent := rapid.IntRange(0, count-1).Draw(t, "announces")
			for j := range count {
				a := engine(j, 1_000_000)
				if j != silent || i%4 == 0 {
					c.announce(now, a)
				}
			}
			c.tick(now)
			usable, ejected, open := 0, 0, 0
			for _, r := range c.sortedReplicas {
				if !r.acceptsWork() {
					continue
				}
				usable++
				if r.ejected {
					ejected++
				}
				if !r.breaker.allows(now) {
					open++
				}
			}
			if ejected > usable/2 {
				t.Fatalf("%d of %d replicas are ejected", ejected, usable)
			}
			openExceededHalf = openExceededHalf || open > usable/2
		}
	})
	is := is.New(t)
	is.True(openExceededHalf)
}

// Guards against a breaker that opens too early, allows more than one probe, or does not back off.
func TestBreakerProbes(t *testing.T) {
	is := is.New(t)
	s, b, now := DefaultSettings(), breaker{}, epoch
	for i := range s.BreakerFailures {
		is.True(b.allows(now)) // closed until enough consecutive failures
		b.failed(now, fmt.Sprint(i), &s, 0.5)
	}
	is.True(!b.allows(now))
	now = now.Add(s.BreakerBackOff)
	is.True(b.allows(now))
	b.grantGiven(now, "probe")
	is.True(!b.allows(now)) // one probe at a time
	b.failed(now, "probe", &s, 0.5)
	is.True(!b.allows(now.Add(s.BreakerBackOff)))
	now = now.Add(2 * s.BreakerBackOff)
	b.grantGiven(now, "second")
	b.grantEnded("second") // ended without showing whether the endpoint works
	is.True(b.allows(now))
	b.succeeded()
	is.True(b.allows(now))
}
