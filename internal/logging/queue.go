package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueued bounds the bytes that wait to be written. Lines beyond it are dropped and counted: a reader
	// that does not read must not stop requests.
	maxQueued = 1 << 20
	// flushTimeout bounds the wait for the last lines when a program ends.
	flushTimeout = 200 * time.Millisecond
)

// queue writes lines from a goroutine of its own, many at a time, and never blocks who logs.
type queue struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool
	// idle is closed when nothing is being written.
	idle    chan struct{}
	dropped *atomic.Int64
}

func newQueue(out io.Writer, dropped *atomic.Int64) *queue {
	idle := make(chan struct{})
	close(idle)
	return &queue{out: out, idle: idle, dropped: dropped}
}

// Write queues one line.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending)+len(line) > maxQueued {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	if !q.writing {
		q.writing, q.idle = true, make(chan struct{})
		go q.drain()
	}
	return len(line), nil
}

// drain writes until nothing waits.
func (q *queue) drain() {
	for {
		q.mu.Lock()
		batch := q.pending
		if len(batch) == 0 {
			q.writing = false
			close(q.idle)
			q.mu.Unlock()
			return
		}
		q.pending = q.spare[:0]
		q.mu.Unlock()
		// Nothing is left to tell of an error of the log itself.
		_, _ = q.out.Write(batch)
		q.mu.Lock()
		q.spare = batch
		q.mu.Unlock()
	}
}

// Sync waits for the lines that are queued, at most flushTimeout.
func (q *queue) Sync() error {
	q.mu.Lock()
	idle := q.idle
	q.mu.Unlock()
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
	return nil
}
