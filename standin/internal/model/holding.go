package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

type holding struct {
	endpoint.Holding
	timer *time.Timer
	// occupied is the simulated time that the prefill of the holding's group still needs here.
	occupied time.Duration
}

// Hold reserves memory until it is released or its TTL passes. A repeated call with the same id and
// size renews the holding.
func (e *Engine) Hold(h endpoint.Holding) error {
	const op = "reserve memory"
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, found := e.holdings[h.ID]; found {
		if old.Tokens != h.Tokens || old.Holder != h.Holder {
			return fault.New(op, Duplicate, "holding %q exists with %d tokens of %q", h.ID, old.Tokens, old.Holder)
		}
		old.timer.Reset(ttl(h.TTL))
		return nil
	}
	if e.draining {
		return fault.New(op, Draining, "the engine is draining")
	}
	if free := e.config.Memory - e.used(); h.Tokens > free {
		return fault.New(op, NoMemory, "%d tokens exceed the %d free tokens", h.Tokens, free)
	}
	e.reserved += h.Tokens
	entry := &holding{Holding: h}
	entry.timer = time.AfterFunc(ttl(h.TTL), func() { e.expire(entry) })
	e.holdings[h.ID] = entry
	e.evict()
	e.report()
	return nil
}

func ttl(milliseconds int64) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

func (e *Engine) expire(h *holding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holdings[h.ID] == h {
		e.drop(h)
	}
}

func (e *Engine) drop(h *holding) {
	h.timer.Stop()
	delete(e.holdings, h.ID)
	e.reserved -= h.Tokens
	e.report()
	e.poke()
}

// Renew starts the TTL of a holding anew; 0 milliseconds keep the length it had.
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
	h.timer.Reset(ttl(h.TTL))
	return nil
}

// Occupy makes the engine spend a simulated time on the prefill of a group whose head is another
// engine. Each step takes at most the time of one chunk from it.
func (e *Engine) Occupy(id string, d time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, found := e.holdings[id]
	if !found {
		return fault.New("occupy engine", Unknown, "holding %q does not exist", id)
	}
	h.occupied = d
	e.poke()
	return nil
}

// occupation takes the time of at most one chunk from the holdings.
func (e *Engine) occupation() time.Duration {
	limit := time.Duration(float64(e.config.ChunkTokens) / e.config.PrefillRate * float64(time.Second))
	total := time.Duration(0)
	for _, h := range e.holdings {
		d := min(h.occupied, limit-total)
		h.occupied -= d
		total += d
	}
	return total
}

// Release frees a holding, or cancels the attempt of that id.
func (e *Engine) Release(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h, found := e.holdings[id]; found {
		e.drop(h)
		return nil
	}
	a, found := e.attempts[id]
	if !found {
		return fault.New("release holding", Unknown, "holding %q does not exist", id)
	}
	e.end(a, fault.New("run attempt", Cancelled, "the holding of attempt %q was released", id))
	return nil
}

// take turns a holding into the memory of an attempt.
func (e *Engine) take(id string) (tokens int, err error) {
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

// Holdings lists holdings and attempts by id. Attempts have no TTL; those that wait hold no tokens.
func (e *Engine) Holdings() []endpoint.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]endpoint.Holding, 0, len(e.holdings)+len(e.attempts))
	for _, h := range e.holdings {
		list = append(list, h.Holding)
	}
	for _, a := range e.attempts {
		tokens := a.held + a.private + a.pinned*prefix.BlockTokens
		list = append(list, endpoint.Holding{ID: a.ID, Holder: a.RequestID, Tokens: tokens})
	}
	slices.SortFunc(list, func(a, b endpoint.Holding) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
