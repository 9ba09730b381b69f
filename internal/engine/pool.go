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
}

// Event is one event of an answer.
type Event struct {
	At time.Time
	ID string
	// Count is 1 for the first event. Last says that the answer is complete.
	Count int
	Last  bool
}

// Pool is the engines of a service.
type Pool struct {
	engines []*engine
	runs    map[string]*run
	heads   map[string]*engine
	order   int
}

// New returns a pool of engines with the same declaration.
func New(declared routing.Engine, count int) *Pool {
	p := &Pool{runs: make(map[string]*run), heads: make(map[string]*engine)}
	for range count {
		p.engines = append(p.engines, &engine{declared: declared.WithDefaults(), pace: 1})
	}
	return p
}

// Slow sets the pace of an engine; 1 is the declared pace, 2 takes twice the time.
func (p *Pool) Slow(index int, pace float64) {
	p.engines[index].pace = pace
}

// Send gives a request to the engine with an index; helpers read parts of its prompt.
func (p *Pool) Send(now time.Time, r Request, head int, helpers []int) {
	p.order++
	x := &run{Request: r, order: p.order}
	for _, h := range helpers {
		x.helpers = append(x.helpers, p.engines[h])
	}
	p.runs[r.ID], p.heads[r.ID] = x, p.engines[head]
	p.engines[head].queued = append(p.engines[head].queued, x)
	p.engines[head].admit()
	p.wake(now)
}

// Cancel ends a request without an answer.
func (p *Pool) Cancel(id string) {
	if r := p.runs[id]; r != nil {
		p.heads[id].remove(r)
		p.forget(id)
	}
}

func (p *Pool) forget(id string) {
	delete(p.runs, id)
	delete(p.heads, id)
}

// wake starts a pass at each engine that is idle and has work.
func (p *Pool) wake(now time.Time) {
	for _, e := range p.engines {
		if !e.busy {
			e.begin(now)
		}
	}
}

// Next returns the time at which the next pass ends. It returns false while all engines are idle.
func (p *Pool) Next() (time.Time, bool) {
	var next time.Time
	for _, e := range p.engines {
		if e.busy && (next.IsZero() || e.passEnd.Before(next)) {
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
			if e.busy && e.passEnd.Equal(next) {
				events = append(events, p.end(e)...)
			}
		}
		p.wake(next)
	}
}

// end ends the pass of an engine.
func (p *Pool) end(e *engine) []Event {
	e.busy = false
	for _, part := range e.read {
		part.run.unread--
	}
	var events []Event
	for _, r := range e.writers {
		if p.runs[r.ID] != r || !r.writing() {
			continue
		}
		r.written += e.declared.EventTokens
		r.events++
		last := r.written >= r.Output
		events = append(events, Event{At: e.passEnd, ID: r.ID, Count: r.events, Last: last})
		if last {
			e.remove(r)
			p.forget(r.ID)
		}
	}
	return events
}
