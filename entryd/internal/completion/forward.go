package completion

import (
	"bytes"
	"net/http"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// receiveStream forwards each event of the engine to the caller as soon as it arrives.
func (a *attempt) receiveStream() (stream.Usage, error) {
	response, err := a.send()
	if err != nil {
		return stream.Usage{}, err
	}
	defer response.Body.Close()
	checker := &stream.Checker{RequestID: a.call.exchange.RequestID, AttemptID: a.grant.ID, NextIndex: a.call.forwardedEvents}
	firstIndex := checker.NextIndex
	err = a.forwardEvents(stream.NewReader(response.Body, a.call.server.config.Limits.MaxEvent), checker)
	return a.attemptUsage(checker, firstIndex), err
}

// attemptUsage returns the usage of a stream. The engine's counts of a resumed stream include the events
// before it, which the earlier attempts account for. Without counts, the whole prompt counts as computed and
// each event as one token.
func (a *attempt) attemptUsage(checker *stream.Checker, firstIndex int) stream.Usage {
	usage := checker.Usage
	switch events := checker.NextIndex - firstIndex; {
	case usage.Known:
		usage.CompletionTokens = max(0, usage.CompletionTokens-firstIndex)
	case events > 0:
		usage.PromptTokens = a.call.reservation.PromptTokens
		usage.CompletionTokens = events
	}
	return usage
}

// forwardEvents forwards the events. The event with the usage is the last chunk; it is held back until the
// next event, so that a stream that breaks between it and the end can still be resumed before it.
func (a *attempt) forwardEvents(events *stream.Reader, checker *stream.Checker) error {
	var heldEvent []byte
	for {
		event, err := events.Next()
		if err != nil {
			return a.streamFailure(err)
		}
		eventType, err := checker.Check(event)
		if err != nil {
			return a.streamFailure(err)
		}
		switch {
		case eventType == stream.Ignored:
			continue
		case eventType == stream.Done && checker.NextIndex == 0:
			return a.streamFailure(fault.New("read event", stream.Truncated, "the stream has no events"))
		}
		a.awaitingFirstEvent.Store(false)
		a.activity.record(time.Now())
		// Time in which the caller does not read must not count as a stall of the engine.
		a.timer.Stop()
		if heldEvent != nil {
			if err := a.writeEvent(heldEvent, stream.Chunk, true); err != nil {
				return err
			}
			heldEvent = nil
		}
		if eventType == stream.Chunk && checker.Usage.Known {
			heldEvent = bytes.Clone(event)
			a.timer.Reset(a.call.server.config.Limits.StallTimeout)
			continue
		}
		if err := a.writeEvent(event, eventType, events.Buffered()); err != nil {
			return err
		}
		if eventType == stream.Done {
			// Reading to the end of the body lets the connection be reused.
			a.timer.Reset(bodyEndTimeout)
			_, _ = events.Next()
			return nil
		}
		a.timer.Reset(a.call.server.config.Limits.StallTimeout)
	}
}

// bodyEndTimeout bounds the wait for the end of the body after the last event of the stream.
const bodyEndTimeout = 100 * time.Millisecond

// writeEvent writes an event to the caller and flushes it, unless the next event is already buffered.
func (a *attempt) writeEvent(event []byte, eventType stream.EventType, nextBuffered bool) error {
	c := a.call
	if !a.responseStarted {
		a.responseStarted = true
		c.responseStarted = true
		a.activeGrant.FirstToken()
	}
	if !c.exchange.Committed {
		c.commit("text/event-stream")
		c.writer.Header().Set("Cache-Control", "no-cache")
		c.writer.WriteHeader(http.StatusOK)
	}
	if _, err := c.writer.Write(event); err != nil {
		return &failure{event: dispatch.Cancelled, cancel: true, final: true, err: err}
	}
	if !nextBuffered || eventType == stream.Done {
		if err := c.flusher.Flush(); err != nil {
			return &failure{event: dispatch.Cancelled, cancel: true, final: true, err: err}
		}
	}
	if eventType == stream.Chunk {
		c.forwardedEvents++
		c.lastEvent = time.Now()
		if c.forwardedEvents == 1 {
			c.firstEvent = c.lastEvent
		}
	}
	return nil
}
