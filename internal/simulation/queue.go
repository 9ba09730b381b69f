package simulation

import (
	"container/heap"
	"time"
)

// queue is what happens later, in the order of time and of being queued.
type queue struct {
	items items
	count int
}

type item struct {
	at    time.Duration
	order int
	f     func()
}

type items []item

func (q items) Len() int { return len(q) }

func (q items) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q items) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *items) Push(x any) { *q = append(*q, x.(item)) }

func (q *items) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *queue) push(at time.Duration, f func()) {
	q.count++
	heap.Push(&q.items, item{at, q.count, f})
}

func (q *queue) next() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

func (q *queue) pop() func() {
	return heap.Pop(&q.items).(item).f
}
