package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// fairQueue orders waiting reservations by start-time fair queueing between workspaces (Goyal, Vin and
// Cheng, 1996), weighted and counted in tokens, within priority classes. A flow's class falls by one
// for each step that its oldest reservation has waited, so that lower classes wait a bounded time.
type fairQueue struct {
	step  time.Duration
	flows map[flowKey]*flow
	// virtual is the start tag of the last reservation served.
	virtual float64
	size    int
	// tokens is the cost of all waiting reservations.
	tokens int
	// perWorkspace counts the waiting reservations of a workspace over all classes.
	perWorkspace map[string]int
}

type flowKey struct {
	workspace string
	class     int
}

type flow struct {
	key    flowKey
	weight float64
	// start is the start tag of the next reservation.
	start float64
	// items are in order of engine priority, so that short prompts of a workspace pass its long ones
	// until those have aged.
	items []*item
}

func newFairQueue(step time.Duration) *fairQueue {
	return &fairQueue{step: step, flows: make(map[flowKey]*flow), perWorkspace: make(map[string]int)}
}

func compareItems(a, b *item) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.request.AttemptID, b.request.AttemptID))
}

func (q *fairQueue) push(it *item) {
	key := flowKey{workspace: it.request.Workspace, class: it.request.Priority}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key}
		q.flows[key] = f
	}
	if len(f.items) == 0 {
		f.start = max(f.start, q.virtual)
	}
	f.weight = float64(max(1, it.request.Weight))
	at, _ := slices.BinarySearchFunc(f.items, it, compareItems)
	f.items = slices.Insert(f.items, at, it)
	q.tokens += it.cost
	q.size++
	q.perWorkspace[key.workspace]++
	it.flow = f
}

// remove takes a reservation out without service.
func (q *fairQueue) remove(it *item) {
	f := it.flow
	if f == nil {
		return
	}
	it.flow = nil
	at, found := slices.BinarySearchFunc(f.items, it, compareItems)
	if !found {
		return
	}
	f.items = slices.Delete(f.items, at, at+1)
	q.tokens -= it.cost
	q.size--
	q.perWorkspace[f.key.workspace]--
	if q.perWorkspace[f.key.workspace] == 0 {
		delete(q.perWorkspace, f.key.workspace)
	}
	if len(f.items) == 0 && f.start <= q.virtual {
		delete(q.flows, f.key)
	}
}

// serve takes a reservation out and charges its flow. A flow that was passed over while it could not
// start is charged from the current virtual time: it is served next, not in a burst.
func (q *fairQueue) serve(it *item) {
	f := it.flow
	q.virtual = max(q.virtual, f.start)
	f.start = max(f.start, q.virtual) + float64(it.cost)/f.weight
	q.remove(it)
	it.cost = 0
}

// forget drops idle flows whose tags no longer matter.
func (q *fairQueue) forget() {
	for key, f := range q.flows {
		if len(f.items) == 0 && (f.start <= q.virtual || q.size == 0) {
			delete(q.flows, key)
		}
	}
}

// class returns the effective priority class of a flow.
func (q *fairQueue) class(f *flow, now time.Time) int {
	oldest := f.items[0].arrival
	for _, it := range f.items[1:] {
		if it.arrival.Before(oldest) {
			oldest = it.arrival
		}
	}
	return max(0, f.key.class-int(now.Sub(oldest)/q.step))
}

// cost returns the tokens that wait in a flow, in reservations of at most limit tokens.
func (f *flow) cost(limit int) float64 {
	sum := 0
	for _, it := range f.items {
		if it.tokens <= limit {
			sum += it.cost
		}
	}
	return float64(sum)
}

// order returns the waiting flows, the next to be served first.
func (q *fairQueue) order(now time.Time) []*flow {
	flows := make([]*flow, 0, len(q.flows))
	classes := make(map[*flow]int, len(q.flows))
	for _, f := range q.flows {
		if len(f.items) > 0 {
			flows = append(flows, f)
			classes[f] = q.class(f, now)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(
			cmp.Compare(classes[a], classes[b]),
			cmp.Compare(a.start, b.start),
			cmp.Compare(a.key.workspace, b.key.workspace),
			cmp.Compare(a.key.class, b.key.class),
		)
	})
	return flows
}

// ahead returns the tokens that are served before a reservation that would join now. Reservations of
// more than limit tokens do not count: they wait for a group, and others pass them.
func (q *fairQueue) ahead(it *item, now time.Time, limit int) float64 {
	key := flowKey{workspace: it.request.Workspace, class: it.request.Priority}
	weight := float64(max(1, it.request.Weight))
	start, own := q.virtual, 0
	if f := q.flows[key]; f != nil {
		start = max(start, f.start)
		for _, other := range f.items {
			if other != it && other.tokens <= limit && compareItems(other, it) < 0 {
				own += other.cost
			}
		}
	}
	tag := start + float64(own)/weight
	tokens := float64(own)
	for _, f := range q.flows {
		if f.key == key || len(f.items) == 0 {
			continue
		}
		switch class := q.class(f, now); {
		case class < key.class:
			tokens += f.cost(limit)
		case class == key.class:
			tokens += min(f.cost(limit), max(0, tag-f.start)*f.weight)
		}
	}
	return tokens
}
