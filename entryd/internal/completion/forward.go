package completion

import (
	"bytes"
	"net/http"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// stream forwards the events of the engine to the caller, each at once.
func (a *attempt) stream() (stream.Usage, error) {
	response, err := a.send()
	if err != nil {
		return stream.Usage{}, err
	}
	defer response.Body.Close()
	checker := &stream.Checker{RequestID: a.call.x.RequestID, AttemptID: a.grant.ID, Next: a.call.forwarded}
	first := checker.Next
	err = a.forward(stream.NewReader(response.Body, a.call.server.config.Limits.MaxEvent), checker)
	return a.used(checker, first), err
}

// used is what a stream used. The figures of a resumed stream cover the events before it, which the
// earlier attempts account for. Without figures, the prompt counts in full and each event as a token.
func (a *attempt) used(checker *stream.Checker, first int) stream.Usage {
	usage := checker.Usage
	switch events := checker.Next - first; {
	case usage.Known:
		usage.CompletionTokens = max(0, usage.CompletionTokens-first)
	case events > 0:
		usage.PromptTokens = a.call.reserve.PromptTokens
		usage.CompletionTokens = events
	}
	return usage
}

// forward passes the events on. The event with the usage is the last one; it is held until the next
// event, so that a stream that breaks between it and the end can still be resumed before it.
func (a *attempt) forward(events *stream.Reader, checker *stream.Checker) error {
	var held []byte
	for {
		event, err := events.Next()
		if err != nil {
			return a.broken(err)
		}
		class, err := checker.Check(event)
		if err != nil {
			return a.broken(err)
		}
		switch {
		case class == stream.Ignored:
			continue
		case class == stream.Done && checker.Next == 0:
			return a.broken(fault.New("read event", stream.Truncated, "the stream has no events"))
		}
		a.waiting.Store(false)
		a.pulse.beat(time.Now())
		// The pause of a caller that does not read is not the engine's.
		a.timer.Stop()
		if held != nil {
			if err := a.pass(held, stream.Chunk, true); err != nil {
				return err
			}
			held = nil
		}
		if class == stream.Chunk && checker.Usage.Known {
			held = bytes.Clone(event)
			a.timer.Reset(a.call.server.config.Limits.Stall)
			continue
		}
		if err := a.pass(event, class, events.Buffered()); err != nil {
			return err
		}
		if class == stream.Done {
			// The end of the body lets the connection be used again.
			a.timer.Reset(endTimeout)
			_, _ = events.Next()
			return nil
		}
		a.timer.Reset(a.call.server.config.Limits.Stall)
	}
}

// endTimeout bounds the wait for the end of a body after the end of its stream.
const endTimeout = 100 * time.Millisecond

// pass writes an event to the caller and flushes it, unless another one is already there.
func (a *attempt) pass(event []byte, class stream.Class, more bool) error {
	c := a.call
	if !a.began {
		a.began = true
		c.began = true
		a.run.FirstToken()
	}
	if !c.x.Committed {
		c.commit("text/event-stream")
		c.w.Header().Set("Cache-Control", "no-cache")
		c.w.WriteHeader(http.StatusOK)
	}
	if _, err := c.w.Write(event); err != nil {
		return &failure{event: dispatch.Cancelled, cancel: true, final: true, err: err}
	}
	if !more || class == stream.Done {
		if err := c.flusher.Flush(); err != nil {
			return &failure{event: dispatch.Cancelled, cancel: true, final: true, err: err}
		}
	}
	if class == stream.Chunk {
		c.forwarded++
		c.lastEvent = time.Now()
		if c.forwarded == 1 {
			c.firstEvent = c.lastEvent
		}
	}
	return nil
}
