// Package task starts goroutines that report their result on a channel, and waits for them.
package task

import (
	"context"
	"time"
)

// Start runs f in a goroutine and returns the channel on which its result arrives. The caller must read
// the channel.
func Start(ctx context.Context, f func(context.Context) error) <-chan error {
	end := make(chan error, 1)
	go func() { end <- f(ctx) }()
	return end
}

// StopAfterFirst waits until one of the goroutines ends or ctx ends. It then calls stop to cancel the others, waits
// for all of them and returns the first error. Each of ends is a channel that Start has returned.
func StopAfterFirst(ctx context.Context, stop context.CancelFunc, ends ...<-chan error) error {
	merged := make(chan error, len(ends))
	for _, end := range ends {
		go func() { merged <- <-end }()
	}
	var first error
	remaining := len(ends)
	select {
	case first = <-merged:
		remaining--
	case <-ctx.Done():
	}
	stop()
	for range remaining {
		if err := <-merged; first == nil {
			first = err
		}
	}
	return first
}

// Pause waits for d or the end of ctx.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
