package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

const (
	// outcomeSmoothing is the weight of a new outcome in the moving average of an endpoint's failure rate.
	outcomeSmoothing = 0.2
	// failurePenalty is the load, in requests, that is added for an endpoint whose failure rate is 1.
	failurePenalty = 20.0
	// unreachedBackOff is how long an endpoint gets no requests after a failed connection attempt. The time doubles
	// with each further failure, up to maxUnreachedBackOff.
	unreachedBackOff    = 500 * time.Millisecond
	maxUnreachedBackOff = 8 * time.Second
)

// balancer distributes the requests of this instance over the endpoints of plain services. Of two random endpoints
// it picks the one with the lower load from this instance (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001). It is meant for short calls that leave most slots free, where single endpoints fail or do
// not respond. It is safe for concurrent use.
type balancer struct {
	mu    sync.Mutex
	stats map[string]*endpointStats
}

// endpointStats is what this instance has observed of one endpoint.
type endpointStats struct {
	inFlight             int
	failureRate          float64
	consecutiveUnreached int
	avoidedUntil         time.Time
	// record is the last known registration. The endpoint is cold until coldUntil.
	record    registration.Record
	coldUntil time.Time
}

func newBalancer() *balancer {
	return &balancer{stats: make(map[string]*endpointStats)}
}

func (b *balancer) endpointStats(id string) *endpointStats {
	s := b.stats[id]
	if s == nil {
		s = &endpointStats{}
		b.stats[id] = s
	}
	return s
}

// isCold reports whether an endpoint is cold by its registration. The time counts from when the entry first sees it.
func (b *balancer) isCold(now time.Time, r registration.Record) bool {
	s := b.endpointStats(r.ID)
	if s.record != r {
		s.record, s.coldUntil = r, now.Add(r.Cold)
	}
	return now.Before(s.coldUntil)
}

// warm returns the endpoints that are not cold, and the time until the first of the others is warm. Each entry decides for
// itself, so together they could exceed any rate above 0 at a cold endpoint.
func (b *balancer) warm(now time.Time, records []registration.Record) (warm []registration.Record, untilWarm time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		if !b.isCold(now, r) {
			warm = append(warm, r)
			continue
		}
		if left := b.endpointStats(r.ID).coldUntil.Sub(now); untilWarm == 0 || left < untilWarm {
			untilWarm = left
		}
	}
	return warm, untilWarm
}

// pick selects an endpoint and counts a request in flight there; the caller must call done when the request ends. It
// returns false if no endpoint accepts requests.
func (b *balancer) pick(now time.Time, records []registration.Record, exclude []string) (registration.Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evict(records)
	var usable, avoided []registration.Record
	for _, r := range records {
		switch {
		case r.State != registration.Ready || slices.Contains(exclude, r.ID):
		case now.Before(b.endpointStats(r.ID).avoidedUntil):
			avoided = append(avoided, r)
		default:
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		usable = avoided
	}
	if len(usable) == 0 {
		return registration.Record{}, false
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	best := usable[0]
	if len(usable) > 1 && b.load(usable[1].ID) < b.load(best.ID) {
		best = usable[1]
	}
	b.endpointStats(best.ID).inFlight++
	return best, true
}

// maxTrackedEndpoints limits the endpoints whose stats are kept after they have left.
const maxTrackedEndpoints = 1024

func (b *balancer) evict(records []registration.Record) {
	if len(b.stats) <= max(maxTrackedEndpoints, 2*len(records)) {
		return
	}
	for id, s := range b.stats {
		if s.inFlight == 0 {
			delete(b.stats, id)
		}
	}
}

func (b *balancer) load(id string) float64 {
	s := b.endpointStats(id)
	return float64(s.inFlight) + failurePenalty*s.failureRate
}

// done records the outcome of a request: kind is Unreached, NotRun or BadResponse, or empty if the endpoint responded.
func (b *balancer) done(now time.Time, id string, kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpointStats(id)
	s.inFlight--
	if kind == "" {
		s.failureRate -= outcomeSmoothing * s.failureRate
		s.consecutiveUnreached, s.avoidedUntil = 0, time.Time{}
		return
	}
	s.failureRate += outcomeSmoothing * (1 - s.failureRate)
	if kind == Unreached {
		s.avoidedUntil = now.Add(min(maxUnreachedBackOff, unreachedBackOff<<min(s.consecutiveUnreached, 10)))
		s.consecutiveUnreached++
	}
}
