package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// holding is a reservation of memory with its expiry timer.
type holding struct {
	endpoint.Holding
	timer *time.Timer
	// groupPrefill is the simulated time that the prefill of the group still needs on this engine.
	groupPrefill time.Duration
}

// Hold reserves memory until it is released or its TTL expires. A repeated call with the same ID, size and
// holder renews the holding.
func (e *Engine) Hold(h endpoint.Holding) error {
	const op = "reserve memory"
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, found := e.holdings[h.ID]; found {
		if old.Tokens != h.Tokens || old.Holder != h.Holder {
			return fault.New(op, Duplicate, "holding %q exists with %d tokens of %q", h.ID, old.Tokens, old.Holder)
		}
		old.timer.Reset(millisecondsToDuration(h.TTL))
		return nil
	}
	if e.draining {
		return fault.New(op, Draining, "the engine is draining")
	}
	if free := e.config.Memory - e.usedTokens(); h.Tokens > free {
		return fault.New(op, NoMemory, "%d tokens exceed the %d free tokens", h.Tokens, free)
	}
	e.reserved += h.Tokens
	entry := &holding{Holding: h}
	entry.timer = time.AfterFunc(millisecondsToDuration(h.TTL), func() { e.expireHolding(entry) })
	e.holdings[h.ID] = entry
	e.evict()
	e.recordLoad()
	return nil
}

func millisecondsToDuration(milliseconds int64) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

func (e *Engine) expireHolding(h *holding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holdings[h.ID] == h {
		e.removeHolding(h)
	}
}

func (e *Engine) removeHolding(h *holding) {
	h.timer.Stop()
	delete(e.holdings, h.ID)
	e.reserved -= h.Tokens
	e.recordLoad()
	e.wakeUp()
}

// Renew restarts the TTL of a holding; 0 milliseconds keeps the previous TTL.
func (e *Engine) Renew(id string, milliseconds int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, found := e.holdings[id]
	if !found {
		return fault.New("renew holding", Unknown, "holding %q does not exist", id)
	}
	if milliseconds > 0 {
		h.TTL = milliseconds
	}
	h.timer.Reset(millisecondsToDuration(h.TTL))
	return nil
}

// SetGroupPrefill makes the engine, as a member of a group whose head is another engine, spend the simulated time d
// on the prefill of the group. Each step spends at most the time of one chunk on it.
func (e *Engine) SetGroupPrefill(id string, d time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, found := e.holdings[id]
	if !found {
		return fault.New("occupy engine", Unknown, "holding %q does not exist", id)
	}
	h.groupPrefill = d
	e.wakeUp()
	return nil
}

// takeGroupPrefill deducts the time of at most one chunk from the group prefills that are left, and returns it.
func (e *Engine) takeGroupPrefill() time.Duration {
	limit := time.Duration(float64(e.config.ChunkTokens) / e.config.PrefillRate * float64(time.Second))
	total := time.Duration(0)
	for _, h := range e.holdings {
		d := min(h.groupPrefill, limit-total)
		h.groupPrefill -= d
		total += d
	}
	return total
}

// Release removes a holding, or cancels the attempt with that ID.
func (e *Engine) Release(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h, found := e.holdings[id]; found {
		e.removeHolding(h)
		return nil
	}
	a, found := e.attempts[id]
	if !found {
		return fault.New("release holding", Unknown, "holding %q does not exist", id)
	}
	e.endAttempt(a, fault.New("run attempt", Cancelled, "the holding of attempt %q was released", id))
	return nil
}

// consumeHolding removes a holding whose memory an attempt takes over, and returns its size.
func (e *Engine) consumeHolding(id string) (tokens int, err error) {
	if id == "" {
		return 0, nil
	}
	h, found := e.holdings[id]
	if !found {
		return 0, fault.New("submit request", Unknown, "holding %q does not exist", id)
	}
	h.timer.Stop()
	delete(e.holdings, id)
	return h.Tokens, nil
}

// Holdings lists the holdings and attempts, sorted by ID. Attempts have no TTL; a waiting attempt without a
// holding has 0 tokens.
func (e *Engine) Holdings() []endpoint.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]endpoint.Holding, 0, len(e.holdings)+len(e.attempts))
	for _, h := range e.holdings {
		list = append(list, h.Holding)
	}
	for _, a := range e.attempts {
		tokens := a.heldTokens + a.privateTokens + a.pinnedBlocks*prefix.BlockTokens
		list = append(list, endpoint.Holding{ID: a.ID, Holder: a.RequestID, Tokens: tokens})
	}
	slices.SortFunc(list, func(a, b endpoint.Holding) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
