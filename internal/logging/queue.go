package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes limits the bytes that wait to be written. Lines beyond it are dropped and counted: a
	// stalled reader of the log must not block requests.
	maxPendingBytes = 1 << 20
	// flushTimeout limits how long Sync waits for the last lines when a program ends.
	flushTimeout = 200 * time.Millisecond
)

// queue writes lines in batches from a separate goroutine, so that logging never blocks the caller.
type queue struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the batch written last, to be reused for pending.
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
	if len(q.pending)+len(line) > maxPendingBytes {
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

// drain writes batches until no lines are pending.
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
		// There is nowhere to report an error of the log output itself.
		_, _ = q.out.Write(batch)
		q.mu.Lock()
		q.spare = batch
		q.mu.Unlock()
	}
}

// Sync waits until the queued lines are written, for at most flushTimeout.
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
