package simulation

import (
	"container/heap"
	"time"
)

// eventQueue holds the scheduled actions, ordered by time and then by the order in which they were scheduled.
type eventQueue struct {
	actions      actionHeap
	lastSequence int
}

type queuedAction struct {
	at       time.Duration
	sequence int
	run      func()
}

type actionHeap []queuedAction

func (q actionHeap) Len() int { return len(q) }

func (q actionHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q actionHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *actionHeap) Push(x any) { *q = append(*q, x.(queuedAction)) }

func (q *actionHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *eventQueue) push(at time.Duration, f func()) {
	q.lastSequence++
	heap.Push(&q.actions, queuedAction{at, q.lastSequence, f})
}

func (q *eventQueue) next() (time.Duration, bool) {
	if len(q.actions) == 0 {
		return 0, false
	}
	return q.actions[0].at, true
}

func (q *eventQueue) pop() func() {
	return heap.Pop(&q.actions).(queuedAction).run
}
