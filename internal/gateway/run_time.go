package gateway

import (
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// expectedRunTime returns a cautious estimate of the time that an attempt takes, with the engines of a grant if there is
// one.
func (g *Gateway) expectedRunTime(x *exchange, grant placement.Grant) time.Duration {
	if x.engine != nil {
		return engineRunTime(x.engine.WithDefaults(), x.call.Prompt, x.expectedOutput(), grant)
	}
	if longest, ok := g.runTimes.longest(x.route.Name); ok {
		return runTimeMargin * longest
	}
	if x.route.RetryPolicy.Retryable() {
		return 0
	}
	return x.route.Timeout
}

// engineRunTime returns the time in which an engine with all slots in use serves a prompt, if its output is half as long
// again as expected. Without a grant, it is the time from the first event on.
func engineRunTime(engine routing.Engine, prompt Prompt, expectedOutput int, grant placement.Grant) time.Duration {
	output := min(prompt.MaxOutput, expectedOutput+expectedOutput/2)
	passes := (output + engine.EventTokens - 1) / engine.EventTokens
	context := engine.Slots*engine.UsualPrompt + prompt.Tokens/max(1, len(grant.Members))
	return grant.First + time.Duration(passes)*engine.DecodePassTime(engine.Slots, context)
}

const (
	// runTimeMargin multiplies the longest run time of a route to get a cautious estimate of the next.
	runTimeMargin = 2
	// runTimeSamples is the number of run times that are kept for each route.
	runTimeSamples = 32
)

// runTimes has the last run times of the routes to plain services. It is safe for concurrent use.
type runTimes struct {
	mu      sync.Mutex
	samples map[string]*runTimeRing
}

// runTimeRing holds the last run times of a route.
type runTimeRing struct {
	times [runTimeSamples]time.Duration
	next  int
}

func newRunTimes() *runTimes {
	return &runTimes{samples: make(map[string]*runTimeRing)}
}

func (r *runTimes) record(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.samples[route]
	if ring == nil {
		if len(r.samples) >= maxTrackedRoutes {
			clear(r.samples)
		}
		ring = &runTimeRing{}
		r.samples[route] = ring
	}
	ring.times[ring.next] = took
	ring.next = (ring.next + 1) % runTimeSamples
}

// maxTrackedRoutes limits the routes whose run times are kept; routes that are no longer declared go with the others.
const maxTrackedRoutes = 4096

// longest returns the longest of the last run times of a route, or false if none is known.
func (r *runTimes) longest(route string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.samples[route]
	if ring == nil {
		return 0, false
	}
	var longest time.Duration
	for _, took := range ring.times {
		longest = max(longest, took)
	}
	return longest, true
}
