package engine

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Request is a request to a pool.
type Request struct {
	ID string
	// Prompt and Output are in tokens.
	Prompt int
	Output int
	// Urgency is the rank of admission, from 0 (first) to 9.
	Urgency int
	// Holds has the memory in tokens that each helper holds of the prompt, in the order of the helpers. The primary engine
	// holds the rest.
	Holds []int
}

// Event is one event of a response stream.
type Event struct {
	At time.Time
	ID string
	// Count is 1 for the first event. Last says that the response is complete.
	Count int
	Last  bool
}

// Pool simulates the engines of a service.
type Pool struct {
	engines   []*engine
	runs      map[string]*run
	primaries map[string]*engine
	sequence  int
}

// NewPool returns a pool of engines with the same declaration.
func NewPool(declared routing.Engine, count int) *Pool {
	p := &Pool{runs: make(map[string]*run), primaries: make(map[string]*engine)}
	for range count {
		p.engines = append(p.engines, &engine{declared: declared.WithDefaults(), slowdown: 1})
	}
	return p
}

// SetSlowdown sets the slowdown of an engine; 1 is the declared speed, 2 takes twice the time.
func (p *Pool) SetSlowdown(index int, slowdown float64) {
	p.engines[index].slowdown = slowdown
}

// Send queues a request at its primary engine; the helpers prefill parts of its prompt. Engines are given by index.
func (p *Pool) Send(now time.Time, r Request, primary int, helpers []int) {
	p.sequence++
	added := &run{Request: r, sequence: p.sequence}
	for _, h := range helpers {
		added.helpers = append(added.helpers, p.engines[h])
	}
	added.changeHolds(1)
	p.runs[r.ID], p.primaries[r.ID] = added, p.engines[primary]
	p.engines[primary].queued = append(p.engines[primary].queued, added)
	p.engines[primary].admit()
	p.startIdleEngines(now)
}

// Cancel ends a request without a response.
func (p *Pool) Cancel(id string) {
	if r := p.runs[id]; r != nil {
		p.primaries[id].remove(r)
		p.forget(id)
	}
}

func (p *Pool) forget(id string) {
	p.runs[id].changeHolds(-1)
	delete(p.runs, id)
	delete(p.primaries, id)
}

// startIdleEngines starts a pass at each engine that is idle and has work.
func (p *Pool) startIdleEngines(now time.Time) {
	for _, e := range p.engines {
		if !e.inPass {
			e.startPass(now)
		}
	}
}

// Next returns the time at which the next pass ends. It returns false while all engines are idle.
func (p *Pool) Next() (time.Time, bool) {
	var next time.Time
	for _, e := range p.engines {
		if e.inPass && (next.IsZero() || e.passEnd.Before(next)) {
			next = e.passEnd
		}
	}
	return next, !next.IsZero()
}

// Advance ends the passes that are over at now and returns the events that they produced, in order.
func (p *Pool) Advance(now time.Time) []Event {
	var events []Event
	for {
		next, busy := p.Next()
		if !busy || next.After(now) {
			return events
		}
		for _, e := range p.engines {
			if e.inPass && e.passEnd.Equal(next) {
				events = append(events, p.endPass(e)...)
			}
		}
		p.startIdleEngines(next)
	}
}

// endPass ends the pass of an engine and returns its events.
func (p *Pool) endPass(e *engine) []Event {
	e.inPass = false
	for _, part := range e.prefilled {
		part.run.unprefilledParts--
	}
	var events []Event
	for _, r := range e.decodingRuns {
		if p.runs[r.ID] != r || !r.decoding() {
			continue
		}
		r.outputTokens += e.declared.EventTokens
		r.events++
		last := r.outputTokens >= r.Output
		events = append(events, Event{At: e.passEnd, ID: r.ID, Count: r.events, Last: last})
		if last {
			e.remove(r)
			p.forget(r.ID)
		}
	}
	return events
}
