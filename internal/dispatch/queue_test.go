package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// referenceQueue is a simple implementation of the fair queue: one list that is searched on every call.
type referenceQueue struct {
	reservations []*reservation
	startTags    map[flowKey]float64
	virtualTime  float64
}

func flowKeyOf(res *reservation) flowKey {
	return flowKey{workspace: res.request.Workspace, class: res.request.Priority}
}

func (q *referenceQueue) flow(key flowKey) []*reservation {
	var reservations []*reservation
	for _, res := range q.reservations {
		if flowKeyOf(res) == key {
			reservations = append(reservations, res)
		}
	}
	return reservations
}

func (q *referenceQueue) push(res *reservation) {
	if len(q.flow(flowKeyOf(res))) == 0 {
		q.startTags[flowKeyOf(res)] = max(q.startTags[flowKeyOf(res)], q.virtualTime)
	}
	q.reservations = append(q.reservations, res)
}

func (q *referenceQueue) next(now time.Time) *reservation {
	class := func(res *reservation) int {
		oldest := slices.MinFunc(q.flow(flowKeyOf(res)), func(a, b *reservation) int { return a.arrival.Compare(b.arrival) })
		return max(0, res.request.Priority-int(now.Sub(oldest.arrival)/DefaultSettings().ClassStep))
	}
	if len(q.reservations) == 0 {
		return nil
	}
	return slices.MinFunc(q.reservations, func(a, b *reservation) int {
		return cmp.Or(
			cmp.Compare(class(a), class(b)),
			cmp.Compare(q.startTags[flowKeyOf(a)], q.startTags[flowKeyOf(b)]),
			cmp.Compare(a.request.Workspace, b.request.Workspace),
			cmp.Compare(a.request.Priority, b.request.Priority),
			compareReservations(a, b),
		)
	})
}

func (q *referenceQueue) serve(res *reservation) {
	key := flowKeyOf(res)
	q.virtualTime = max(q.virtualTime, q.startTags[key])
	q.startTags[key] = q.virtualTime + float64(res.cost)/float64(res.request.Weight)
	q.remove(res)
}

func (q *referenceQueue) remove(res *reservation) {
	q.reservations = slices.DeleteFunc(q.reservations, func(other *reservation) bool { return other == res })
}

var queueWeights = map[string]int{"mill": 1, "shop": 3, "joinery": 2}

func newQueued(i int, workspace string, class, tokens int, now time.Time) *reservation {
	c := testCellWith(testConfig())
	r := request(fmt.Sprintf("a%04d", i), tokens, 0)
	r.Workspace, r.Priority, r.Weight = workspace, class, queueWeights[workspace]
	return c.newReservation(now, r)
}

func (q *fairQueue) next(now time.Time) *reservation {
	if order := q.servingOrder(now); len(order) > 0 {
		return order[0].reservations[0]
	}
	return nil
}

// Guards against sorted flows and counters that give another order than the reference implementation.
func TestFairQueueAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, count := newFairQueue(DefaultSettings().ClassStep), epoch, 0
		reference := &referenceQueue{startTags: map[flowKey]float64{}}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				count++
				res := newQueued(count, rapid.SampledFrom([]string{"mill", "shop", "joinery"}).Draw(t, "workspace"),
					rapid.IntRange(0, 2).Draw(t, "class"), rapid.IntRange(1, 200_000).Draw(t, "tokens"), now)
				q.push(res)
				reference.push(res)
			},
			"serve": func(t *rapid.T) {
				if res := q.next(now); res != nil {
					reference.serve(res)
					q.serve(res)
				}
			},
			"remove": func(t *rapid.T) {
				if len(reference.reservations) > 0 {
					res := rapid.SampledFrom(reference.reservations).Draw(t, "item")
					reference.remove(res)
					q.remove(res)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if got, want := q.next(now), reference.next(now); got != want {
					t.Fatalf("next is %v, want %v", got, want)
				}
				if q.size != len(reference.reservations) {
					t.Fatalf("size is %d, want %d", q.size, len(reference.reservations))
				}
			},
		})
	})
}

// Guards against shares that do not follow the weights: two workspaces that always have requests queued are
// served in proportion to their weights, to within one reservation of each.
func TestFairQueueShares(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(DefaultSettings().ClassStep)
	served := map[string]int{}
	for i := range 2000 {
		q.push(newQueued(2*i, "mill", 0, 100+i%9*1000, epoch))
		q.push(newQueued(2*i+1, "shop", 0, 300, epoch))
	}
	const largest = 8100
	for range 1000 {
		res := q.next(epoch)
		served[res.request.Workspace] += res.cost
		q.serve(res)
		is.True(max(served["mill"]*3-served["shop"], served["shop"]-served["mill"]*3) <= 3*largest+300)
	}
}

// waitUnderLoad pushes the given reservation, then short ones at twice the rate of service, and returns how
// long the given one waits, or 0 if it is not served within two minutes.
func waitUnderLoad(delayed *reservation, workspace string, next func(*fairQueue, time.Time) *reservation) time.Duration {
	q := newFairQueue(DefaultSettings().ClassStep)
	q.push(delayed)
	for i := range 2400 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		q.push(newQueued(i, workspace, 0, 1000, now))
		if i%2 == 1 {
			res := next(q, now)
			if res == delayed {
				return now.Sub(epoch)
			}
			q.serve(res)
		}
	}
	return 0
}

// Guards against starvation of a long prompt behind later short ones of its workspace, and of a workspace of
// a low class behind one of a high class. Shortest-first and strict priority classes, as baselines, never
// serve them.
func TestNobodyStarves(t *testing.T) {
	is := is.New(t)
	shortest := func(q *fairQueue, _ time.Time) *reservation {
		var all []*reservation
		for _, f := range q.flows {
			all = append(all, f.reservations...)
		}
		return slices.MinFunc(all, func(a, b *reservation) int { return cmp.Or(cmp.Compare(a.tokens, b.tokens), compareReservations(a, b)) })
	}
	strict := func(q *fairQueue, _ time.Time) *reservation {
		var all []*reservation
		for _, f := range q.flows {
			all = append(all, f.reservations...)
		}
		return slices.MinFunc(all, func(a, b *reservation) int {
			return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), compareReservations(a, b))
		})
	}
	fair := func(q *fairQueue, now time.Time) *reservation { return q.next(now) }

	long := func() *reservation { return newQueued(9999, "mill", 0, 50_000, epoch) }
	is.Equal(waitUnderLoad(long(), "mill", shortest), time.Duration(0))
	// 50,000 tokens take 5 s at 10,000 per second. With an ageing factor of 2, prompts that arrive within
	// 10 s overtake, and at twice the rate of service they take 20 s.
	wait := waitUnderLoad(long(), "mill", fair)
	is.True(wait > 0 && wait <= 21*time.Second)

	low := func() *reservation { return newQueued(9999, "shop", 3, 1000, epoch) }
	is.Equal(waitUnderLoad(low(), "mill", strict), time.Duration(0))
	wait = waitUnderLoad(low(), "mill", fair)
	is.True(wait > 0 && wait <= 3*DefaultSettings().ClassStep+time.Second)
}
