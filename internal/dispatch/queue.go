package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// fairQueue orders queued reservations by weighted start-time fair queueing between workspaces (Goyal, Vin
// and Cheng, 1996) within priority classes; costs are in tokens. A flow moves up by one class for each
// classStep that its oldest reservation has waited, so that the lower classes wait a bounded time.
type fairQueue struct {
	classStep time.Duration
	flows     map[flowKey]*flow
	// virtualTime is the start tag of the last reservation served.
	virtualTime float64
	size        int
	// tokens is the cost of all queued reservations.
	tokens int
	// perWorkspace counts the queued reservations of each workspace over all classes.
	perWorkspace map[string]int
}

type flowKey struct {
	workspace string
	class     int
}

type flow struct {
	key    flowKey
	weight float64
	// startTag is the start tag of the next reservation.
	startTag float64
	// reservations are in order of engine priority, so that short prompts of a workspace overtake its long
	// ones until those have aged.
	reservations []*reservation
}

func newFairQueue(classStep time.Duration) *fairQueue {
	return &fairQueue{classStep: classStep, flows: make(map[flowKey]*flow), perWorkspace: make(map[string]int)}
}

func compareReservations(a, b *reservation) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.request.AttemptID, b.request.AttemptID))
}

func (q *fairQueue) push(res *reservation) {
	key := flowKey{workspace: res.request.Workspace, class: res.request.Priority}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key}
		q.flows[key] = f
	}
	if len(f.reservations) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.weight = float64(max(1, res.request.Weight))
	at, _ := slices.BinarySearchFunc(f.reservations, res, compareReservations)
	f.reservations = slices.Insert(f.reservations, at, res)
	q.tokens += res.cost
	q.size++
	q.perWorkspace[key.workspace]++
	res.flow = f
}

// remove takes a reservation out of the queue without charging its flow.
func (q *fairQueue) remove(res *reservation) {
	f := res.flow
	if f == nil {
		return
	}
	res.flow = nil
	at, found := slices.BinarySearchFunc(f.reservations, res, compareReservations)
	if !found {
		return
	}
	f.reservations = slices.Delete(f.reservations, at, at+1)
	q.tokens -= res.cost
	q.size--
	q.perWorkspace[f.key.workspace]--
	if q.perWorkspace[f.key.workspace] == 0 {
		delete(q.perWorkspace, f.key.workspace)
	}
	if len(f.reservations) == 0 && f.startTag <= q.virtualTime {
		delete(q.flows, f.key)
	}
}

// serve takes a reservation out of the queue and charges its flow. A flow that was passed over because its
// reservations could not start is charged from the current virtual time, so that it is served next but
// does not catch up in a burst.
func (q *fairQueue) serve(res *reservation) {
	f := res.flow
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag = max(f.startTag, q.virtualTime) + float64(res.cost)/f.weight
	q.remove(res)
	res.cost = 0
}

// dropIdleFlows drops empty flows whose start tags no longer matter.
func (q *fairQueue) dropIdleFlows() {
	for key, f := range q.flows {
		if len(f.reservations) == 0 && (f.startTag <= q.virtualTime || q.size == 0) {
			delete(q.flows, key)
		}
	}
}

// effectiveClass returns the priority class of a flow, raised by the wait of its oldest reservation.
func (q *fairQueue) effectiveClass(f *flow, now time.Time) int {
	oldest := f.reservations[0].arrival
	for _, res := range f.reservations[1:] {
		if res.arrival.Before(oldest) {
			oldest = res.arrival
		}
	}
	return max(0, f.key.class-int(now.Sub(oldest)/q.classStep))
}

// waitingTokens returns the cost of those reservations of a flow that have at most maxTokens tokens.
func (f *flow) waitingTokens(maxTokens int) float64 {
	sum := 0
	for _, res := range f.reservations {
		if res.tokens <= maxTokens {
			sum += res.cost
		}
	}
	return float64(sum)
}

// servingOrder returns the flows with reservations, the next to be served first.
func (q *fairQueue) servingOrder(now time.Time) []*flow {
	flows := make([]*flow, 0, len(q.flows))
	classes := make(map[*flow]int, len(q.flows))
	for _, f := range q.flows {
		if len(f.reservations) > 0 {
			flows = append(flows, f)
			classes[f] = q.effectiveClass(f, now)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(
			cmp.Compare(classes[a], classes[b]),
			cmp.Compare(a.startTag, b.startTag),
			cmp.Compare(a.key.workspace, b.key.workspace),
			cmp.Compare(a.key.class, b.key.class),
		)
	})
	return flows
}

// tokensAhead returns the tokens that would be served before a reservation that joins now. Reservations of
// more than maxTokens tokens do not count: they wait for a group, and others overtake them.
func (q *fairQueue) tokensAhead(res *reservation, now time.Time, maxTokens int) float64 {
	key := flowKey{workspace: res.request.Workspace, class: res.request.Priority}
	weight := float64(max(1, res.request.Weight))
	flowTag, ownAhead := q.virtualTime, 0
	if f := q.flows[key]; f != nil {
		flowTag = max(flowTag, f.startTag)
		for _, other := range f.reservations {
			if other != res && other.tokens <= maxTokens && compareReservations(other, res) < 0 {
				ownAhead += other.cost
			}
		}
	}
	joinTag := flowTag + float64(ownAhead)/weight
	tokens := float64(ownAhead)
	for _, f := range q.flows {
		if f.key == key || len(f.reservations) == 0 {
			continue
		}
		switch class := q.effectiveClass(f, now); {
		case class < key.class:
			tokens += f.waitingTokens(maxTokens)
		case class == key.class:
			tokens += min(f.waitingTokens(maxTokens), max(0, joinTag-f.startTag)*f.weight)
		}
	}
	return tokens
}
