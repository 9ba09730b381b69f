package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// errStopping is the cause of contexts that end because the instance stops.
var errStopping = errors.New("this instance stops")

// shutdown is the progress of a planned stop: first requests that may last too long are refused, then all new ones, and
// in the end those that still run are answered. It is safe for concurrent use.
type shutdown struct {
	mu sync.Mutex
	// limit is when the requests in flight are ended, or zero before a planned stop.
	limit time.Time
	// draining ends when a planned stop begins, stopped when no request is passed on for the first time any more, and ended
	// when no request may go on.
	draining, stopped, ended context.Context
	drain, stop, end         context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.draining, s.drain = context.WithCancel(context.Background())
	s.stopped, s.stop = context.WithCancel(context.Background())
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

func (s *shutdown) setLimit(limit time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// latestStart returns the time until which an attempt that takes runTime must begin, once a planned stop has begun.
func (s *shutdown) latestStart(runTime time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Add(-runTime)
}

// hasStopped reports whether requests that have not been passed on are refused.
func (s *shutdown) hasStopped() bool {
	return s.stopped.Err() != nil
}

// whileWaiting returns a context that also ends when an attempt that takes runTime is not worth waiting for any more, and
// for a request that has not run when no such request is passed on.
func (s *shutdown) whileWaiting(ctx context.Context, runTime time.Duration, hasRun bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stops := []func() bool{context.AfterFunc(s.draining, func() {
		task.Pause(ctx, time.Until(s.latestStart(runTime)))
		cancel(errStopping)
	})}
	if !hasRun {
		stops = append(stops, context.AfterFunc(s.stopped, func() { cancel(errStopping) }))
	}
	return ctx, func() {
		for _, stop := range stops {
			stop()
		}
		cancel(context.Canceled)
	}
}

// whileServing returns a context that also ends when no request may go on.
func (s *shutdown) whileServing(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ended, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// endedByStop reports whether a context ended because the instance stops.
func endedByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}

// Drain announces a planned stop: requests in flight are ended at the limit, so from now on none is passed on that is
// expected to last longer.
func (g *Gateway) Drain(limit time.Time) {
	g.shutdown.setLimit(limit)
	g.shutdown.drain()
}

// Stop makes the gateway refuse new requests and those that wait for an endpoint. Requests that an endpoint may have run
// continue.
func (g *Gateway) Stop() {
	g.shutdown.stop()
}

// End answers the requests that are still in flight, and breaks off the streams that have begun.
func (g *Gateway) End() {
	g.shutdown.stop()
	g.shutdown.end()
}

// refuseStopping returns a refusal for an attempt that must not begin because the instance stops, or nil. The grant is that
// of the attempt, if it has one yet.
func (g *Gateway) refuseStopping(now time.Time, x *exchange, grant placement.Grant) *Refusal {
	if g.shutdown.draining.Err() == nil && !g.shutdown.hasStopped() {
		return nil
	}
	if x.possibleRuns == 0 && g.shutdown.hasStopped() {
		return pointer(x.stopRefusal())
	}
	runTime := min(g.expectedRunTime(x, grant), x.timeLeft(now))
	if g.shutdown.draining.Err() != nil && !now.Before(g.shutdown.latestStart(runTime)) {
		return pointer(x.stopRefusal())
	}
	return nil
}

// stopRefusal returns the refusal for a request that ends because the instance stops.
func (x *exchange) stopRefusal() Refusal {
	if x.possibleRuns > 0 {
		return mayHaveRun(errStopping.Error())
	}
	return stopping()
}
