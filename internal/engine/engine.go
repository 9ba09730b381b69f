// Package engine simulates the engines of a service in virtual time: decode passes, chunked prefill between the decode
// steps of running requests, prompts that several engines prefill, slots and memory. A pass is the decode steps that make
// one event for each stream. The package has no clock, no goroutines and no I/O; its user advances the time.
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
	// slowdown multiplies all declared times; 1 is the declared speed.
	slowdown float64
	// queued requests wait for a slot and memory, admitted ones have them.
	queued   []*run
	admitted []*run
	// held is the memory of prompts whose primary engine is another one, in tokens.
	held int
	// pendingParts are the parts that remain to be prefilled here, in the order of prefill.
	pendingParts []*part
	// inPass says that a pass runs until passEnd. decodingRuns decode in this pass; prefilled has the
	// parts whose prefill ends in it.
	inPass       bool
	passEnd      time.Time
	decodingRuns []*run
	prefilled    []*part
}

// part is the part of a prompt that one engine prefills.
type part struct {
	run       *run
	remaining int
	// perToken is the prefill time of one token, including attention to the earlier tokens.
	perToken time.Duration
	divided  bool
}

// run is a request that is queued or running, with its progress.
type run struct {
	Request
	helpers []*engine
	// unprefilledParts counts the parts of the prompt that are not prefilled yet, at all engines.
	unprefilledParts int
	started          bool
	// outputTokens and events are the size of the response so far.
	outputTokens int
	events       int
	sequence     int
}

// decoding reports whether a request is past prefill and produces its response.
func (r *run) decoding() bool {
	return r.started && r.unprefilledParts == 0
}

// context returns the length of the prompt and the output so far, in tokens.
func (r *run) context() int {
	return r.Prompt + r.outputTokens
}

// memory returns the memory of a request at its primary engine, in tokens.
func (r *run) memory() int {
	memory := r.context()
	for _, tokens := range r.Holds {
		memory -= tokens
	}
	return max(0, memory)
}

// changeHolds reserves the memory of a request at its helpers with a sign of 1, and releases it with -1.
func (r *run) changeHolds(sign int) {
	for i, tokens := range r.Holds {
		r.helpers[i].held += sign * tokens
	}
}

// memoryInUse returns the memory of all admitted requests and of the parts held for others, in tokens.
func (e *engine) memoryInUse() int {
	sum := e.held
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
		if e.declared.Memory > 0 && e.memoryInUse()+r.memory() > e.declared.Memory {
			return
		}
		e.queued = e.queued[1:]
		e.admitted = append(e.admitted, r)
		r.startPrefill(e)
	}
}

// startPrefill queues the parts of a prompt at its engines.
func (r *run) startPrefill(primary *engine) {
	engines := append([]*engine{primary}, r.helpers...)
	tokens := (r.context() + len(engines) - 1) / len(engines)
	perToken := primary.declared.PrefillTimePerToken(r.context())
	r.started, r.unprefilledParts = true, len(engines)
	for _, e := range engines {
		e.enqueue(&part{run: r, remaining: tokens, perToken: perToken, divided: len(engines) > 1})
	}
}

// enqueue queues a part for prefill: parts of divided prompts go first, the newest one ahead of all.
func (e *engine) enqueue(p *part) {
	if p.divided {
		e.pendingParts = append([]*part{p}, e.pendingParts...)
		return
	}
	e.pendingParts = append(e.pendingParts, p)
}

// startPass starts a pass at now if there is work. Without decoding requests it is a single prefill step.
func (e *engine) startPass(now time.Time) {
	e.admit()
	e.preempt()
	e.decodingRuns, e.prefilled = nil, nil
	steps := 1
	context := 0
	for _, r := range e.admitted {
		if r.decoding() {
			e.decodingRuns = append(e.decodingRuns, r)
			context += r.memory()
			steps = e.declared.EventTokens
		}
	}
	if len(e.decodingRuns) == 0 && len(e.pendingParts) == 0 {
		return
	}
	step := e.declared.DecodeStepTime(len(e.decodingRuns), context)
	var duration time.Duration
	for range steps {
		duration += step + e.prefillChunk()
	}
	duration = time.Duration(float64(duration) * e.slowdown)
	e.inPass, e.passEnd = true, now.Add(duration)
}

// prefillChunk prefills the prompt tokens that fit into one step, and returns the time that it takes.
func (e *engine) prefillChunk() time.Duration {
	budget := e.declared.ChunkTokens
	if budget <= 0 {
		budget = 1 << 30
	}
	var duration time.Duration
	for budget > 0 && len(e.pendingParts) > 0 {
		p := e.pendingParts[0]
		tokens := min(budget, p.remaining)
		budget -= tokens
		p.remaining -= tokens
		duration += time.Duration(tokens) * p.perToken
		if p.remaining == 0 {
			e.pendingParts = e.pendingParts[1:]
			e.prefilled = append(e.prefilled, p)
		}
	}
	return duration
}

// preempt returns the newest requests to the queue until the others have enough memory. Their prompt and output so far
// are prefilled again after the next admission.
func (e *engine) preempt() {
	for e.declared.Memory > 0 && e.memoryInUse() > e.declared.Memory && len(e.admitted) > 1 {
		newest := slices.MaxFunc(e.admitted, func(a, b *run) int { return cmp.Compare(a.sequence, b.sequence) })
		e.remove(newest)
		newest.started = false
		e.queued = append(e.queued, newest)
	}
}

// remove removes a request and its parts from the engines.
func (e *engine) remove(r *run) {
	isRun := func(other *run) bool { return other == r }
	e.admitted = slices.DeleteFunc(e.admitted, isRun)
	e.queued = slices.DeleteFunc(e.queued, isRun)
	for _, member := range append([]*engine{e}, r.helpers...) {
		member.pendingParts = slices.DeleteFunc(member.pendingParts, func(p *part) bool { return p.run == r })
	}
}
