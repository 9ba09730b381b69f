// Package model simulates a model engine: continuous batching in steps, chunked prefill, admission
// by KV memory, a prefix cache and holdings. It is independent of HTTP; docs/standin.md describes it.
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
	// Duplicate means that the ID of the attempt or holding is already in use.
	Duplicate Kind = "duplicate"
	// Draining means that the engine does not accept new work.
	Draining Kind = "draining"
	// Cancelled means that the attempt was cancelled before its end.
	Cancelled Kind = "cancelled"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxCatchUp is the longest delay that the step loop makes up for. After a longer one, for instance because the
// process was paused, the next step starts at the current time.
const maxCatchUp = time.Second

// Config configures an engine.
type Config struct {
	// PrefillRate is in tokens per second of one engine, DecodeRate in tokens per second of each stream.
	PrefillRate float64
	DecodeRate  float64
	// ChunkTokens bounds the prefill tokens of a step.
	ChunkTokens int
	// Memory is the KV cache capacity in tokens.
	Memory int
	// MaxRunning is the maximum batch size.
	MaxRunning int
	// Speed divides all simulated times.
	Speed float64
	// ReportLag is the age of load reports, EventLag that of published cache events, both in simulated time.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventGap drops every EventGap-th cache event; 0 drops none.
	EventGap int
	// NotifyInterval is the minimum time between two notifications of a stream, except for its first
	// and last token. It bounds the number of writes at a high Speed.
	NotifyInterval time.Duration
	// Crash ends the process. It is called after the prefill of a request with CrashAfterPrefill.
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
	// reserved is the memory of holdings and attempts outside the prefix cache, in tokens.
	reserved    int
	cache       *cache
	draining    bool
	exports     *exports
	loadHistory loadHistory
	totals      Totals
}

// Totals counts the work done since the start.
type Totals struct {
	// Attempts is the number of ended attempts, Cancelled the number of those that ended early.
	Attempts  int `json:"attempts"`
	Cancelled int `json:"cancelled"`
	// Prefill and Output are the computed tokens, Cached the prompt tokens found in the prefix cache.
	Prefill int `json:"prefill"`
	Output  int `json:"output"`
	Cached  int `json:"cached"`
	// Wasted is the number of tokens computed for attempts that ended early.
	Wasted int `json:"wasted"`
	// Early lists the attempts that ended early after computing tokens, in the order in which they ended.
	Early []Early `json:"early"`
}

// Early describes an attempt that ended early.
type Early struct {
	RequestID string `json:"request-id"`
	// Started is set if the first token had been generated.
	Started bool `json:"started"`
	Tokens  int  `json:"tokens"`
}

// maxEarly bounds the length of Totals.Early, and with it its memory.
const maxEarly = 65536

// Totals returns the work done so far.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	totals := e.totals
	totals.Early = slices.Clone(totals.Early)
	return totals
}

// New returns an engine. It makes progress while Run runs.
func New(config Config) *Engine {
	return &Engine{
		config:   config,
		wake:     make(chan struct{}, 1),
		attempts: make(map[string]*Attempt),
		holdings: make(map[string]*holding),
		cache:    newCache(config.EventGap),
		exports:  newExports(),
		loadHistory: loadHistory{
			prefillRate: config.PrefillRate * config.Speed,
			decodeRate:  config.DecodeRate * config.Speed,
		},
	}
}

// Run executes steps until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	end := time.Now()
	for {
		step := e.beginStep()
		if step.empty() {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			end = time.Now()
			continue
		}
		if now := time.Now(); now.Sub(end) > maxCatchUp {
			end = now
		}
		end = end.Add(step.duration)
		if !sleep(ctx, time.Until(end)) {
			return
		}
		e.finishStep(step)
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

// step is one iteration of the batch: chunks of prefill, and a token for each decoding attempt.
type step struct {
	prefill  []chunk
	decode   []*Attempt
	duration time.Duration
	// groupPrefill is the simulated time spent on the prefill of groups whose head is another engine.
	groupPrefill time.Duration
	// effectivePrefill is the number of prefill tokens, with those of a group divided by the size of the group.
	effectivePrefill float64
}

type chunk struct {
	attempt *Attempt
	tokens  int
}

func (s step) empty() bool {
	return len(s.prefill) == 0 && len(s.decode) == 0 && s.groupPrefill == 0
}

// beginStep admits waiting attempts and plans the next step.
func (e *Engine) beginStep() step {
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
		tokens := min(a.prefillLeft, budget*a.GroupSize)
		budget -= (tokens + a.GroupSize - 1) / a.GroupSize
		s.effectivePrefill += float64(tokens) / float64(a.GroupSize)
		s.prefill = append(s.prefill, chunk{attempt: a, tokens: tokens})
	}
	seconds := s.effectivePrefill / e.config.PrefillRate
	if len(s.decode) > 0 {
		seconds += 1 / e.config.DecodeRate
	}
	s.groupPrefill = e.takeGroupPrefill()
	s.duration = e.toRealTime(time.Duration(seconds*float64(time.Second)) + s.groupPrefill)
	return s
}

// toRealTime converts a simulated duration to real time.
func (e *Engine) toRealTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.config.Speed)
}

// admit moves waiting attempts into the batch in order. After the first one that does not fit, only attempts
// with a holding are admitted, so that no later attempt takes the memory that the first one waits for.
func (e *Engine) admit() {
	blocked := false
	for i := 0; i < len(e.waiting) && len(e.running) < e.config.MaxRunning; {
		a := e.waiting[i]
		if (blocked && a.heldTokens == 0) || !e.reserveMemory(a) {
			blocked = true
			i++
			continue
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.running = insert(e.running, a)
	}
}

// reserveMemory reserves the memory of an attempt, except for the blocks that it shares with the prefix cache.
// It returns false if the memory is not free.
func (e *Engine) reserveMemory(a *Attempt) bool {
	hits := e.cache.matchPrefix(a.Blocks)
	need := a.PromptTokens + a.MaxTokens
	if a.GroupSize > 1 {
		need = a.heldTokens
	}
	privateTokens := max(0, need-hits*prefix.BlockTokens)
	unpinnedTokens := e.cache.countUnpinned(a.Blocks[:hits]) * prefix.BlockTokens
	if e.usedTokens()-a.heldTokens+privateTokens+unpinnedTokens > e.config.Memory {
		return false
	}
	e.cache.pin(a.Blocks[:hits])
	e.reserved += privateTokens - a.heldTokens
	a.heldTokens = 0
	a.privateTokens = privateTokens
	a.pinnedBlocks = hits
	a.shareableBlocks = len(a.Blocks)
	a.cachedTokens = min(hits*prefix.BlockTokens, a.PromptTokens-1)
	a.prefillLeft = a.PromptTokens - a.cachedTokens + a.Generated
	a.admitted = true
	e.evict()
	e.recordLoad()
	return true
}

// usedTokens returns the memory that cannot be evicted.
func (e *Engine) usedTokens() int {
	return e.reserved + e.cache.pinnedBlocks*prefix.BlockTokens
}

func (e *Engine) evict() {
	limit := (e.config.Memory - e.usedTokens()) / prefix.BlockTokens
	e.cache.evictIdle(limit, time.Now())
}

// finishStep applies the results of a step after its duration has passed.
func (e *Engine) finishStep(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loadHistory.updateRates(s)
	for _, a := range s.decode {
		e.emitToken(a, now)
	}
	for _, c := range s.prefill {
		a := c.attempt
		if a.done {
			continue
		}
		a.prefillLeft -= c.tokens
		a.processedTokens += c.tokens
		e.totals.Prefill += c.tokens
		e.shareBlocks(a, now)
		if a.prefillLeft > 0 {
			continue
		}
		if a.CrashAfterPrefill && e.config.Crash != nil {
			e.config.Crash()
		}
		e.emitToken(a, now)
	}
	e.recordLoad()
}

// shareBlocks moves the completely computed blocks of an attempt into the prefix cache.
func (e *Engine) shareBlocks(a *Attempt, now time.Time) {
	computedBlocks := a.computedPromptTokens() / prefix.BlockTokens
	for a.pinnedBlocks < min(computedBlocks, a.shareableBlocks) {
		// A block that a concurrent attempt has stored already stays private to this attempt, and so do its
		// successors: the pinned blocks must be the leading blocks of the prompt.
		if a.privateTokens < prefix.BlockTokens || !e.cache.add(a.Blocks[a.pinnedBlocks], now) {
			a.shareableBlocks = a.pinnedBlocks
			return
		}
		a.privateTokens -= prefix.BlockTokens
		e.reserved -= prefix.BlockTokens
		a.pinnedBlocks++
	}
}

// computedPromptTokens returns the number of prompt tokens whose KV cache exists.
func (a *Attempt) computedPromptTokens() int {
	return min(a.PromptTokens, a.PromptTokens+a.Generated-a.prefillLeft)
}

func (e *Engine) emitToken(a *Attempt, now time.Time) {
	if a.done {
		return
	}
	first := !a.hasFirstToken
	a.hasFirstToken = true
	a.generated++
	a.processedTokens++
	e.totals.Output++
	if a.generated >= a.MaxTokens {
		e.endAttempt(a, nil)
		return
	}
	if first || now.Sub(a.lastNotified) >= e.config.NotifyInterval {
		a.lastNotified = now
		a.notify()
	}
}

// endAttempt removes an attempt and releases its memory. It does nothing if the attempt has already ended.
func (e *Engine) endAttempt(a *Attempt, err error) {
	if a.done {
		return
	}
	a.done = true
	a.err = err
	e.totals.Attempts++
	e.totals.Cached += a.cachedTokens
	if err != nil {
		e.totals.Cancelled++
		e.totals.Wasted += a.processedTokens
		if a.processedTokens > 0 && len(e.totals.Early) < maxEarly {
			e.totals.Early = append(e.totals.Early, Early{RequestID: a.RequestID, Started: a.hasFirstToken, Tokens: a.processedTokens})
		}
	}
	if a.detachContext != nil {
		a.detachContext()
	}
	delete(e.attempts, a.ID)
	e.waiting = remove(e.waiting, a)
	e.running = remove(e.running, a)
	e.reserved -= a.privateTokens + a.heldTokens
	a.privateTokens, a.heldTokens = 0, 0
	e.cache.unpin(a.Blocks[:a.pinnedBlocks])
	if a.admitted {
		blocks := a.Blocks[:min(len(a.Blocks), a.computedPromptTokens()/prefix.BlockTokens)]
		e.exports.put(a.ID, Export{Model: a.Model, Tokens: a.computedPromptTokens(), Blocks: blocks})
	}
	e.recordLoad()
	a.notify()
	close(a.ended)
	e.wakeUp()
}

// wakeUp wakes the step loop if it is idle.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func insert(list []*Attempt, a *Attempt) []*Attempt {
	i, _ := slices.BinarySearchFunc(list, a, byPriority)
	return slices.Insert(list, i, a)
}

func remove(list []*Attempt, a *Attempt) []*Attempt {
	i, found := slices.BinarySearchFunc(list, a, byPriority)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func byPriority(a, b *Attempt) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
}

// Drain makes the engine refuse or accept new attempts and holdings; submitted attempts continue.
func (e *Engine) Drain(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Active returns the number of waiting and running attempts.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}

// FlushCache evicts all prefix blocks that no attempt uses, as a change of weights requires.
func (e *Engine) FlushCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.evictIdle(0, time.Now())
	e.recordLoad()
}
