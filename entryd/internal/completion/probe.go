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
	// probeMisses is how many lists in a row must be without the attempt. One may be: the engine has
	// just finished it, and the response is on its way.
	probeMisses = 2
	// missPause is the time until the next list after one without the attempt. After one with it the time
	// doubles from listedPause to maxListedPause: long responses should not cost a list each second.
	missPause      = time.Second
	listedPause    = time.Second
	maxListedPause = 16 * time.Second
)

// prober asks an engine that has sent nothing whether it still has the attempt. The time for the first
// event tells nothing of an engine that serves others, nor of a response without stream.
type prober struct {
	attempt *attempt
	timer   *time.Timer
	end     chan struct{}
}

func newProber(a *attempt, after time.Duration) *prober {
	p := &prober{attempt: a, end: make(chan struct{})}
	p.timer = time.AfterFunc(after, p.run)
	return p
}

// close ends the prober. The context of the attempt must have ended.
func (p *prober) close() {
	if !p.timer.Stop() {
		<-p.end
	}
}

func (p *prober) run() {
	defer close(p.end)
	a := p.attempt
	misses, pause := 0, listedPause
	for a.waiting.Load() && a.ctx.Err() == nil {
		if p.missing() {
			misses++
			if misses == probeMisses && a.waiting.CompareAndSwap(true, false) {
				a.cancel(errLost)
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

// missing reports whether the engine does not list the attempt or does not answer. An engine that has no
// list, or one that cannot be read, is not judged by it.
func (p *prober) missing() bool {
	a := p.attempt
	holdings, err := a.call.server.platform.List(a.ctx, a.grant.Members[0].Address)
	if err != nil {
		return fault.Is(err, endpoint.Unreachable) && !a.pulse.within(livePulse)
	}
	return !slices.ContainsFunc(holdings, func(h endpoint.Holding) bool {
		return h.ID == a.grant.ID || h.ID == a.grant.Members[0].Holding
	})
}
