// Package model simulates a model engine: continuous batching in steps, chunked prefill, admission
// by KV memory, a prefix cache and holdings. It knows nothing of HTTP; docs/standin.md describes it.
package model

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// Kind classifies an Error.
type Kind string

const (
	// TooLarge means that the request needs more memory than the engine has.
	TooLarge Kind = "too-large"
	// NoMemory means that the memory for a holding is not free.
	NoMemory Kind = "no-memory"
	// Unknown means that no such holding or attempt exists.
	Unknown Kind = "unknown"
	// Duplicate means that the id of an attempt or holding is in use.
	Duplicate Kind = "duplicate"
	// Draining means that the engine takes no new work.
	Draining Kind = "draining"
	// Cancelled means that the attempt was cancelled before its end.
	Cancelled Kind = "cancelled"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxLag bounds how far the step loop catches up after the process was paused.
const maxLag = time.Second

// Config sets up an engine.
type Config struct {
	// PrefillRate is in tokens a second for one engine, DecodeRate in tokens a second for each stream.
	PrefillRate float64
	DecodeRate  float64
	// ChunkTokens bounds the prefill tokens of a step.
	ChunkTokens int
	// Memory is the KV cache capacity in tokens.
	Memory int
	// MaxRunning bounds the attempts in a batch.
	MaxRunning int
	// Speed divides all simulated times.
	Speed float64
	// ReportLag is the age of load reports, EventLag that of published cache events; both simulated.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventGap drops every EventGap-th cache event; 0 drops none.
	EventGap int
	// NotifyInterval is the shortest time between two notifications of a stream, except for its first
	// and last token. It bounds the number of writes at a high Speed.
	NotifyInterval time.Duration
	// Crash ends the process; it is called when the prefill of a request with Crash set ends.
	Crash func()
}

// Engine is a simulated engine. Its methods may be called concurrently.
type Engine struct {
	config Config
	wake   chan struct{}

	mu       sync.Mutex
	sequence uint64
	attempts map[string]*Attempt
	holdings map[string]*holding
	// waiting and running are ordered by priority, then arrival.
	waiting []*Attempt
	running []*Attempt
	// reserved is the memory of holdings and attempts outside the prefix cache.
	reserved int
	cache    *cache
	draining bool
	exports  *exports
	reports  reports
	totals   Totals
}

// Totals count work since the start.
type Totals struct {
	// Attempts counts those that ended, Cancelled those of them that ended early.
	Attempts  int `json:"attempts"`
	Cancelled int `json:"cancelled"`
	// Prefill and Output are the tokens computed, Cached the prompt tokens found in the prefix cache.
	Prefill int `json:"prefill"`
	Output  int `json:"output"`
	Cached  int `json:"cached"`
	// Wasted are the tokens computed for attempts that ended early.
	Wasted int `json:"wasted"`
	// Early has the attempts that ended early with computed tokens, in the order of their ends.
	Early []Early `json:"early"`
}

// Early is an attempt that ended early.
type Early struct {
	RequestID string `json:"request-id"`
	// Started says that its first token had been generated.
	Started bool `json:"started"`
	Tokens  int  `json:"tokens"`
}

// maxEarly bounds the memory of Totals.Early.
const maxEarly = 65536

// Totals returns the work done so far.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	totals := e.totals
	totals.Early = slices.Clone(totals.Early)
	return totals
}

// New returns an engine; Run has to be called for it to make progress.
func New(config Config) *Engine {
	return &Engine{
		config:   config,
		wake:     make(chan struct{}, 1),
		attempts: make(map[string]*Attempt),
		holdings: make(map[string]*holding),
		cache:    newCache(config.EventGap),
		exports:  newExports(),
		reports: reports{
			prefillRate: config.PrefillRate * config.Speed,
			decodeRate:  config.DecodeRate * config.Speed,
		},
	}
}

// Run executes steps until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	end := time.Now()
	for {
		step := e.begin()
		if step.empty() {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			end = time.Now()
			continue
		}
		if now := time.Now(); now.Sub(end) > maxLag {
			end = now
		}
		end = end.Add(step.duration)
		if !sleep(ctx, time.Until(end)) {
			return
		}
		e.finish(step)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// step is the work of one iteration of the batch.
type step struct {
	prefill  []chunk
	decode   []*Attempt
	duration time.Duration
	// occupied is the simulated time given to the prefill of groups that other engines lead.
	occupied time.Duration
	// cost is the number of prefill tokens, those of a group divided by its size.
	cost float64
}

type chunk struct {
	attempt *Attempt
	tokens  int
}

func (s step) empty() bool {
	return len(s.prefill) == 0 && len(s.decode) == 0 && s.occupied == 0
}

// begin admits waiting attempts and plans the next step.
func (e *Engine) begin() step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	var s step
	budget := e.config.ChunkTokens
	for _, a := range e.running {
		if a.prefillLeft == 0 {
			s.decode = append(s.decode, a)
			continue
		}
		if budget <= 0 {
			continue
		}
		tokens := min(a.prefillLeft, budget*a.Group)
		budget -= (tokens + a.Group - 1) / a.Group
		s.cost += float64(tokens) / float64(a.Group)
		s.prefill = append(s.prefill, chunk{attempt: a, tokens: tokens})
	}
	seconds := s.cost / e.config.PrefillRate
	if len(s.decode) > 0 {
		seconds += 1 / e.config.DecodeRate
	}
	s.occupied = e.occupation()
	s.duration = e.simulated(time.Duration(seconds*float64(time.Second)) + s.occupied)
	return s
}

// simulated turns a simulated time into the time it takes here.
func (e *Engine) simulated(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.config.Speed)
}

// admit moves waiting attempts into the batch in order. Behind the first that does not fit, only
// attempts with a holding are admitted, so that no later arrival takes the memory that it waits for.
func (e *Engine) admit() {
	blocked := false
	for i := 0; i < len(e.waiting) && len(e.running) < e.config.MaxRunning; {
		a := e.waiting[i]
		if (blocked && a.held == 0) || !e.reserve(a) {
			blocked = true
			i++
			continue
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.running = insert(e.running, a)
	}
}

// reserve takes the memory of an attempt, less what the prefix cache already holds of it.
func (e *Engine) reserve(a *Attempt) bool {
	hits := e.cache.match(a.Blocks)
	need := a.PromptTokens + a.MaxTokens
	if a.Group > 1 {
		need = a.held
	}
	private := max(0, need-hits*prefix.BlockTokens)
	unpinned := e.cache.unpinned(a.Blocks[:hits]) * prefix.BlockTokens
	if e.used()-a.held+private+unpinned > e.config.Memory {
		return false
	}
	e.cache.pin(a.Blocks[:hits])
	e.reserved += private - a.held
	a.held = 0
	a.private = private
	a.pinned = hits
	a.shareable = len(a.Blocks)
	a.cached = min(hits*prefix.BlockTokens, a.PromptTokens-1)
	a.prefillLeft = a.PromptTokens - a.cached + a.Generated
	a.admitted = true
	e.evict()
	e.report()
	return true
}

// used is the memory that cannot be evicted.
func (e *Engine) used() int {
	return e.reserved + e.cache.pinnedBlocks*prefix.BlockTokens
}

func (e *Engine) evict() {
	limit := (e.config.Memory - e.used()) / prefix.BlockTokens
	e.cache.shrink(limit, time.Now())
}

// finish applies a step after its duration has passed.
func (e *Engine) finish(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports.measure(s)
	for _, a := range s.decode {
		e.generate(a, now)
	}
	for _, c := range s.prefill {
		a := c.attempt
		if a.done {
			continue
		}
		a.prefillLeft -= c.tokens
		a.spent += c.tokens
		e.totals.Prefill += c.tokens
		e.share(a, now)
		if a.prefillLeft > 0 {
			continue
		}
		if a.Crash && e.config.Crash != nil {
			e.config.Crash()
		}
		e.generate(a, now)
	}
	e.report()
}

// share moves the full blocks that have been computed into the prefix cache.
func (e *Engine) share(a *Attempt, now time.Time) {
	computed := a.computed() / prefix.BlockTokens
	for a.pinned < min(computed, a.shareable) {
		// A block that a concurrent attempt has stored stays private here, and so do its successors:
		// the pinned blocks are a leading run of the prompt.
		if a.private < prefix.BlockTokens || !e.cache.add(a.Blocks[a.pinned], now) {
			a.shareable = a.pinned
			return
		}
		a.private -= prefix.BlockTokens
		e.reserved -= prefix.BlockTokens
		a.pinned++
	}
}

// computed is the number of prompt tokens whose KV cache exists.
func (a *Attempt) computed() int {
	return min(a.PromptTokens, a.PromptTokens+a.Generated-a.prefillLeft)
}

func (e *Engine) generate(a *Attempt, now time.Time) {
	if a.done {
		return
	}
	first := !a.started
	a.started = true
	a.generated++
	a.spent++
	e.totals.Output++
	if a.generated >= a.MaxTokens {
		e.end(a, nil)
		return
	}
	if first || now.Sub(a.notified) >= e.config.NotifyInterval {
		a.notified = now
		a.notify()
	}
}

// end removes an attempt and releases its memory. It does nothing for an ended attempt.
func (e *Engine) end(a *Attempt, err error) {
	if a.done {
		return
	}
	a.done = true
	a.err = err
	e.totals.Attempts++
	e.totals.Cached += a.cached
	if err != nil {
		e.totals.Cancelled++
		e.totals.Wasted += a.spent
		if a.spent > 0 && len(e.totals.Early) < maxEarly {
			e.totals.Early = append(e.totals.Early, Early{RequestID: a.RequestID, Started: a.started, Tokens: a.spent})
		}
	}
	if a.stop != nil {
		a.stop()
	}
	delete(e.attempts, a.ID)
	e.waiting = remove(e.waiting, a)
	e.running = remove(e.running, a)
	e.reserved -= a.private + a.held
	a.private, a.held = 0, 0
	e.cache.unpin(a.Blocks[:a.pinned])
	if a.admitted {
		blocks := a.Blocks[:min(len(a.Blocks), a.computed()/prefix.BlockTokens)]
		e.exports.put(a.ID, Export{Model: a.Model, Tokens: a.computed(), Blocks: blocks})
	}
	e.report()
	a.notify()
	close(a.ended)
	e.poke()
}

// poke wakes the step loop when it is idle.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func insert(list []*Attempt, a *Attempt) []*Attempt {
	i, _ := slices.BinarySearchFunc(list, a, byRank)
	return slices.Insert(list, i, a)
}

func remove(list []*Attempt, a *Attempt) []*Attempt {
	i, found := slices.BinarySearchFunc(list, a, byRank)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func byRank(a, b *Attempt) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
}

// Drain stops or allows the admission of new attempts; those already submitted go on.
func (e *Engine) Drain(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Active returns the number of attempts that wait or run.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}

// Flush empties the prefix cache of blocks that no attempt uses, as a change of weights does.
func (e *Engine) Flush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.shrink(0, time.Now())
	e.report()
}
