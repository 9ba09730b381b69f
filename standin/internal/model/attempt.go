package model

import (
	"context"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Request is one attempt of a request.
type Request struct {
	// ID is the attempt id, RequestID the id of the caller's request.
	ID        string
	RequestID string
	Model     string
	// Priority orders queue and prefill: lower runs first, equal ones in order of arrival.
	Priority int64
	// PromptTokens is the length of the prompt, MaxTokens the length of the whole output.
	PromptTokens int
	MaxTokens    int
	// Generated is the number of output tokens that an earlier attempt has delivered.
	Generated int
	// Blocks are the hashes of the prompt's prefix blocks.
	Blocks []uint64
	// Holding is a holding that the attempt takes over; empty for none.
	Holding string
	// Group is the number of engines that compute the prefill, 1 without a group.
	Group int
	// Crash makes the engine crash when the prefill ends.
	Crash bool
}

// Attempt is a submitted request.
type Attempt struct {
	Request
	engine   *Engine
	sequence uint64
	signal   chan struct{}
	ended    chan struct{}
	stop     func() bool

	// The fields below are guarded by the engine's mutex.
	held        int
	private     int
	pinned      int
	shareable   int
	cached      int
	prefillLeft int
	generated   int
	spent       int
	admitted    bool
	started     bool
	done        bool
	notified    time.Time
	err         error
}

// Progress is how far an attempt has come.
type Progress struct {
	// Generated counts output tokens including those of earlier attempts.
	Generated int
	Cached    int
	Done      bool
	// Err says why an attempt ended early.
	Err error
}

// Submit queues a request. It is cancelled when ctx is done before its end.
func (e *Engine) Submit(ctx context.Context, r Request) (*Attempt, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, err := e.enqueue(r)
	if err != nil {
		return nil, err
	}
	a.stop = context.AfterFunc(ctx, func() { e.cancel(a, context.Cause(ctx).Error()) })
	return a, nil
}

func (e *Engine) enqueue(r Request) (*Attempt, error) {
	const op = "submit request"
	r.Group = max(1, r.Group)
	r.Generated = min(r.Generated, r.MaxTokens-1)
	if e.draining {
		return nil, fault.New(op, Draining, "the engine is draining")
	}
	if _, found := e.attempts[r.ID]; found {
		return nil, fault.New(op, Duplicate, "attempt %q is running", r.ID)
	}
	need := r.PromptTokens + r.MaxTokens
	if r.Group == 1 && need > e.config.Memory {
		return nil, fault.New(op, TooLarge, "%d tokens exceed the memory of %d tokens", need, e.config.Memory)
	}
	if r.Group > 1 && r.Holding == "" {
		return nil, fault.New(op, Unknown, "a group request needs a holding")
	}
	held, err := e.take(r.Holding)
	if err != nil {
		return nil, err
	}
	e.sequence++
	a := &Attempt{
		Request:     r,
		engine:      e,
		sequence:    e.sequence,
		signal:      make(chan struct{}, 1),
		ended:       make(chan struct{}),
		held:        held,
		prefillLeft: r.PromptTokens + r.Generated,
		generated:   r.Generated,
	}
	e.attempts[r.ID] = a
	e.waiting = insert(e.waiting, a)
	e.report()
	e.poke()
	return a, nil
}

// Progress returns how far the attempt has come.
func (a *Attempt) Progress() Progress {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return Progress{Generated: a.generated, Cached: a.cached, Done: a.done, Err: a.err}
}

// Changed is signalled after progress. Several steps may share a signal.
func (a *Attempt) Changed() <-chan struct{} {
	return a.signal
}

// Ended is closed when the attempt has ended.
func (a *Attempt) Ended() <-chan struct{} {
	return a.ended
}

func (a *Attempt) notify() {
	select {
	case a.signal <- struct{}{}:
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
	e.end(a, fault.New("run attempt", Cancelled, "attempt %q was cancelled", id))
	return nil
}

func (e *Engine) cancel(a *Attempt, cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(a, fault.New("run attempt", Cancelled, "attempt %q was cancelled: %s", a.ID, cause))
}

// Fail ends an attempt with the given cause.
func (a *Attempt) Fail(cause string) {
	a.engine.cancel(a, cause)
}

// Other returns the ids of an attempt other than a, if there is one; for fault injection.
func (a *Attempt) Other() (requestID, attemptID string, found bool) {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	for _, other := range a.engine.running {
		if other != a {
			return other.RequestID, other.ID, true
		}
	}
	return "", "", false
}
