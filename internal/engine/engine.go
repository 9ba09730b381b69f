// Package engine models the engines of a service in virtual time: passes and their steps, reading in chunks between
// the steps of requests that write, prompts that several engines read, slots and memory. It has no clock, no
// goroutines and no I/O; whoever uses it moves the time on.
package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// engine is one engine of a pool.
type engine struct {
	declared routing.Engine
	// pace multiplies all declared times; 1 is the declared pace.
	pace float64
	// queued requests wait for a slot and memory, admitted ones have them.
	queued   []*run
	admitted []*run
	// parts are what is left to read here, in the order of reading.
	parts []*part
	// busy says that a pass runs until passEnd.
	busy    bool
	passEnd time.Time
	writers []*run
	read    []*part
}

// part is the share of a prompt that one engine reads.
type part struct {
	run  *run
	left int
	// perToken is the time of reading one token, with its pairs.
	perToken time.Duration
	divided  bool
}

// run is a request at its engines.
type run struct {
	Request
	helpers []*engine
	// unread counts parts that are not read yet.
	unread  int
	reading bool
	// written and events are what the answer has so far.
	written int
	events  int
	order   int
}

// writing reports whether a request produces its answer.
func (r *run) writing() bool {
	return r.reading && r.unread == 0
}

// memory is what a request keeps at the engine that answers it, in tokens.
func (r *run) memory() int {
	return r.Prompt + r.written
}

// used is the memory of all admitted requests, in tokens.
func (e *engine) used() int {
	sum := 0
	for _, r := range e.admitted {
		sum += r.memory()
	}
	return sum
}

// admit gives slots and memory to queued requests, the more urgent ones first.
func (e *engine) admit() {
	slices.SortStableFunc(e.queued, func(a, b *run) int { return cmp.Compare(a.Urgency, b.Urgency) })
	for len(e.queued) > 0 && len(e.admitted) < e.declared.Slots {
		r := e.queued[0]
		if e.declared.Memory > 0 && e.used()+r.memory() > e.declared.Memory {
			return
		}
		e.queued = e.queued[1:]
		e.admitted = append(e.admitted, r)
		r.start(e)
	}
}

// start queues the parts of a prompt at their engines.
func (r *run) start(head *engine) {
	readers := append([]*engine{head}, r.helpers...)
	tokens := (r.memory() + len(readers) - 1) / len(readers)
	perToken := head.declared.TokenTime(r.memory())
	r.reading, r.unread = true, len(readers)
	for _, e := range readers {
		e.enqueue(&part{run: r, left: tokens, perToken: perToken, divided: len(readers) > 1})
	}
}

// enqueue adds a part: parts of divided prompts go first, the newest one ahead of all.
func (e *engine) enqueue(p *part) {
	if p.divided {
		e.parts = append([]*part{p}, e.parts...)
		return
	}
	e.parts = append(e.parts, p)
}

// begin starts a pass at now if there is work.
func (e *engine) begin(now time.Time) {
	e.admit()
	e.preempt()
	e.writers, e.read = nil, nil
	steps := 1
	context := 0
	for _, r := range e.admitted {
		if r.writing() {
			e.writers = append(e.writers, r)
			context += r.memory()
			steps = e.declared.EventTokens
		}
	}
	if len(e.writers) == 0 && len(e.parts) == 0 {
		return
	}
	step := e.declared.StepTime(len(e.writers), context)
	var length time.Duration
	for range steps {
		length += step + e.readChunk()
	}
	length = time.Duration(float64(length) * e.pace)
	e.busy, e.passEnd = true, now.Add(length)
}

// readChunk reads what one step can, and returns the time of it.
func (e *engine) readChunk() time.Duration {
	budget := e.declared.Chunk
	if budget <= 0 {
		budget = 1 << 30
	}
	var length time.Duration
	for budget > 0 && len(e.parts) > 0 {
		p := e.parts[0]
		tokens := min(budget, p.left)
		budget -= tokens
		p.left -= tokens
		length += time.Duration(tokens) * p.perToken
		if p.left == 0 {
			e.parts = e.parts[1:]
			e.read = append(e.read, p)
		}
	}
	return length
}

// preempt puts the newest requests back until the others have memory. They are read again.
func (e *engine) preempt() {
	for e.declared.Memory > 0 && e.used() > e.declared.Memory && len(e.admitted) > 1 {
		newest := slices.MaxFunc(e.admitted, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
		e.remove(newest)
		newest.reading = false
		e.queued = append(e.queued, newest)
	}
}

// remove takes a request and its parts away.
func (e *engine) remove(r *run) {
	is := func(o *run) bool { return o == r }
	e.admitted = slices.DeleteFunc(e.admitted, is)
	e.queued = slices.DeleteFunc(e.queued, is)
	for _, reader := range append([]*engine{e}, r.helpers...) {
		reader.parts = slices.DeleteFunc(reader.parts, func(p *part) bool { return p.run == r })
	}
}
