package model

import (
	"context"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Request describes one attempt to run a caller's request.
type Request struct {
	// ID is the attempt ID, RequestID the ID of the caller's request.
	ID        string
	RequestID string
	Model     string
	// Priority orders the queue and prefill: lower values run first, equal ones in order of arrival.
	Priority int64
	// PromptTokens is the length of the prompt, MaxTokens that of the whole output: a
	// simulated response never ends earlier.
	PromptTokens int
	MaxTokens    int
	// Generated is the number of output tokens that earlier attempts have delivered.
	Generated int
	// Blocks are the hashes of the prompt's prefix blocks.
	Blocks []uint64
	// Holding is the ID of the holding that the attempt takes over; empty for none.
	Holding string
	// GroupSize is the number of engines that share the prefill, 1 without a group.
	GroupSize int
	// CrashAfterPrefill makes the engine crash when the prefill ends.
	CrashAfterPrefill bool
}

// Attempt tracks the progress of a submitted request.
type Attempt struct {
	Request
	engine   *Engine
	sequence uint64
	changed  chan struct{}
	ended    chan struct{}
	// detachContext stops the cancellation of the attempt by the context of Submit.
	detachContext func() bool

	// The fields below are guarded by the engine's mutex.

	// heldTokens is the memory taken over from a holding, until the attempt is admitted.
	heldTokens int
	// privateTokens is the memory outside the prefix cache.
	privateTokens int
	// pinnedBlocks is the number of leading Blocks that the attempt has pinned in the prefix cache.
	pinnedBlocks int
	// shareableBlocks is the number of leading Blocks that may move into the prefix cache.
	shareableBlocks int
	cachedTokens    int
	prefillLeft     int
	generated       int
	// processedTokens counts the prompt and output tokens that this engine has computed.
	processedTokens int
	admitted        bool
	hasFirstToken   bool
	done            bool
	lastNotified    time.Time
	err             error
}

// Progress is a snapshot of the progress of an attempt.
type Progress struct {
	// Generated counts output tokens including those of earlier attempts.
	Generated    int
	CachedTokens int
	Done         bool
	// Err is the reason why the attempt ended early, if it did.
	Err error
}

// Submit queues a request. The attempt is cancelled if ctx is done before it ends.
func (e *Engine) Submit(ctx context.Context, r Request) (*Attempt, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, err := e.enqueue(r)
	if err != nil {
		return nil, err
	}
	a.detachContext = context.AfterFunc(ctx, func() { e.cancel(a, context.Cause(ctx).Error()) })
	return a, nil
}

func (e *Engine) enqueue(r Request) (*Attempt, error) {
	const op = "submit request"
	r.GroupSize = max(1, r.GroupSize)
	r.Generated = min(r.Generated, r.MaxTokens-1)
	if e.draining {
		return nil, fault.New(op, Draining, "the engine is draining")
	}
	if _, found := e.attempts[r.ID]; found {
		return nil, fault.New(op, Duplicate, "attempt %q is running", r.ID)
	}
	need := r.PromptTokens + r.MaxTokens
	if r.GroupSize == 1 && need > e.config.Memory {
		return nil, fault.New(op, TooLarge, "%d tokens exceed the memory of %d tokens", need, e.config.Memory)
	}
	if r.GroupSize > 1 && r.Holding == "" {
		return nil, fault.New(op, Unknown, "a group request needs a holding")
	}
	heldTokens, err := e.consumeHolding(r.Holding)
	if err != nil {
		return nil, err
	}
	e.sequence++
	a := &Attempt{
		Request:     r,
		engine:      e,
		sequence:    e.sequence,
		changed:     make(chan struct{}, 1),
		ended:       make(chan struct{}),
		heldTokens:  heldTokens,
		prefillLeft: r.PromptTokens + r.Generated,
		generated:   r.Generated,
	}
	e.attempts[r.ID] = a
	e.waiting = insert(e.waiting, a)
	e.recordLoad()
	e.wakeUp()
	return a, nil
}

// Progress returns the current progress.
func (a *Attempt) Progress() Progress {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return Progress{Generated: a.generated, CachedTokens: a.cachedTokens, Done: a.done, Err: a.err}
}

// Changed receives a value after progress. One value may stand for several steps.
func (a *Attempt) Changed() <-chan struct{} {
	return a.changed
}

// Ended is closed when the attempt has ended.
func (a *Attempt) Ended() <-chan struct{} {
	return a.ended
}

func (a *Attempt) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Cancel ends an attempt and releases its memory.
func (e *Engine) Cancel(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, found := e.attempts[id]
	if !found {
		return fault.New("cancel attempt", Unknown, "attempt %q does not exist", id)
	}
	e.endAttempt(a, fault.New("run attempt", Cancelled, "attempt %q was cancelled", id))
	return nil
}

func (e *Engine) cancel(a *Attempt, cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endAttempt(a, fault.New("run attempt", Cancelled, "attempt %q was cancelled: %s", a.ID, cause))
}

// Fail ends an attempt with the given cause.
func (a *Attempt) Fail(cause string) {
	a.engine.cancel(a, cause)
}

// OtherAttempt returns the IDs of another running attempt, if there is one. Fault injection uses it.
func (a *Attempt) OtherAttempt() (requestID, attemptID string, found bool) {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	for _, other := range a.engine.running {
		if other != a {
			return other.RequestID, other.ID, true
		}
	}
	return "", "", false
}
