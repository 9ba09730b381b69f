// Package task starts goroutines that report their end on a channel.
package task

import (
	"context"
	"time"
)

// Start runs f in a goroutine and returns the channel on which its result arrives. The owner reads
// the channel.
func Start(ctx context.Context, f func(context.Context) error) <-chan error {
	end := make(chan error, 1)
	go func() { end <- f(ctx) }()
	return end
}

// First waits for the first of the ends, or for ctx. It then cancels the others by stop, reads all
// ends and returns the first error.
func First(ctx context.Context, stop context.CancelFunc, ends ...<-chan error) error {
	merged := make(chan error, len(ends))
	for _, end := range ends {
		go func() { merged <- <-end }()
	}
	var first error
	left := len(ends)
	select {
	case first = <-merged:
		left--
	case <-ctx.Done():
	}
	stop()
	for range left {
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
