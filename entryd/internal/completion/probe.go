package completion

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

const (
	// probeTimeout is the time that an engine has to list its holdings and attempts.
	probeTimeout = time.Second
	// maxMisses is how many lists in a row must lack the attempt before it is given up. One may lack it, when the
	// engine has just finished the attempt and the response is on its way.
	maxMisses = 2
	// missPause is the time until the next list after one without the attempt. After a list with the attempt the
	// time doubles from listedPause to maxListedPause, so that long responses do not cost a list each second.
	missPause      = time.Second
	listedPause    = time.Second
	maxListedPause = 16 * time.Second
)

// prober asks an engine that has sent nothing whether it still has the attempt. A timeout for the first event
// proves nothing about an engine that serves other requests, or about a response that is not streamed.
type prober struct {
	attempt *attempt
	timer   *time.Timer
	done    chan struct{}
}

func newProber(a *attempt, delay time.Duration) *prober {
	p := &prober{attempt: a, done: make(chan struct{})}
	p.timer = time.AfterFunc(delay, p.run)
	return p
}

// close stops the prober. The context of the attempt must have ended.
func (p *prober) close() {
	if !p.timer.Stop() {
		<-p.done
	}
}

func (p *prober) run() {
	defer close(p.done)
	a := p.attempt
	misses, pause := 0, listedPause
	for a.awaitingFirstEvent.Load() && a.ctx.Err() == nil {
		if p.missing() {
			misses++
			if misses == maxMisses && a.awaitingFirstEvent.CompareAndSwap(true, false) {
				a.cancel(errAttemptLost)
				return
			}
			task.Pause(a.ctx, missPause)
			continue
		}
		misses = 0
		task.Pause(a.ctx, pause)
		pause = min(2*pause, maxListedPause)
	}
}

// missing reports whether the engine does not list the attempt, or does not respond and has sent no event of
// any stream within activeWindow. An engine without a list, or with one that cannot be parsed, does not count
// as missing the attempt.
func (p *prober) missing() bool {
	a := p.attempt
	holdings, err := a.call.server.endpointClient.List(a.ctx, a.grant.Members[0].Address)
	if err != nil {
		return fault.Is(err, endpoint.Unreachable) && !a.activity.within(activeWindow)
	}
	return !slices.ContainsFunc(holdings, func(h endpoint.Holding) bool {
		return h.ID == a.grant.ID || h.ID == a.grant.Members[0].Holding
	})
}
