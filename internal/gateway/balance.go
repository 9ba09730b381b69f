package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

const (
	// outcomeSmoothing is the share of a new outcome in the moving average of an endpoint's failures.
	outcomeSmoothing = 0.2
	// failureLoad is the load, in requests, that an endpoint which fails all requests counts for.
	failureLoad = 20.0
	// avoidUnreached bounds the time for which an endpoint that was not reached gets no work.
	avoidUnreached    = 500 * time.Millisecond
	maxAvoidUnreached = 8 * time.Second
)

// balance spreads the requests of this instance over the endpoints of plain services: of two random ones it
// takes the one with less to do here (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001). It answers short calls that leave most slots free, with single endpoints that fail or are silent. It
// is safe for concurrent use.
type balance struct {
	mu    sync.Mutex
	known map[string]*standing
}

// standing is what this instance has seen of one endpoint.
type standing struct {
	inFlight  int
	failures  float64
	unreached int
	avoid     time.Time
}

func newBalance() *balance {
	return &balance{known: make(map[string]*standing)}
}

func (b *balance) standing(id string) *standing {
	s := b.known[id]
	if s == nil {
		s = &standing{}
		b.known[id] = s
	}
	return s
}

// pick chooses one of the records and counts a request there; done must follow. It returns false when none
// takes work.
func (b *balance) pick(now time.Time, records []registration.Record, exclude []string) (registration.Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(records)
	var usable, avoided []registration.Record
	for _, r := range records {
		switch {
		case r.State != registration.Ready || slices.Contains(exclude, r.ID):
		case now.Before(b.standing(r.ID).avoid):
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
	b.standing(best.ID).inFlight++
	return best, true
}

// maxKnown bounds the endpoints that are remembered after they are gone.
const maxKnown = 1024

func (b *balance) forget(records []registration.Record) {
	if len(b.known) <= max(maxKnown, 2*len(records)) {
		return
	}
	for id, s := range b.known {
		if s.inFlight == 0 {
			delete(b.known, id)
		}
	}
}

func (b *balance) load(id string) float64 {
	s := b.standing(id)
	return float64(s.inFlight) + failureLoad*s.failures
}

// done notes how a request at an endpoint ended: kind is Unreached, NotRun or Broken, or empty after an answer.
func (b *balance) done(now time.Time, id string, kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.standing(id)
	s.inFlight--
	if kind == "" {
		s.failures -= outcomeSmoothing * s.failures
		s.unreached, s.avoid = 0, time.Time{}
		return
	}
	s.failures += outcomeSmoothing * (1 - s.failures)
	if kind == Unreached {
		s.avoid = now.Add(min(maxAvoidUnreached, avoidUnreached<<min(s.unreached, 10)))
		s.unreached++
	}
}
