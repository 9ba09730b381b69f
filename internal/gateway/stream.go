package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/placement"
)

// callerStream writes a stream to the caller and tracks what the caller has received.
type callerStream struct {
	writer     http.ResponseWriter
	flusher    *http.ResponseController
	headerSent bool
	// lastEventID is the id of the last event that the caller received.
	lastEventID string
	events      int
	// lastEventAt is when the last event was forwarded, longestPause the longest time between two events.
	lastEventAt  time.Time
	longestPause time.Duration
}

// serveStream forwards the events of a stream as they arrive. If the connection to the endpoint fails and the route
// allows it, the stream is resumed at another engine after the last event.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, x *exchange) {
	g.retryBudgets.forService(x.service).RecordRequest()
	caller := &callerStream{writer: w, flusher: http.NewResponseController(w), lastEventID: x.call.LastEventID}
	for {
		a, refusal := g.nextAttempt(ctx, x, caller.lastEventID)
		if refusal != nil {
			g.refuseOrAbort(w, x, caller, *refusal)
			return
		}
		endpoint, status, err := g.attemptStream(ctx, x, a, caller)
		if err == nil {
			x.longestPause = caller.longestPause
			g.recordResponse(x, endpoint, status)
			return
		}
		if !g.mayRetry(ctx, x, err) {
			g.refuseOrAbort(w, x, caller, g.finalRefusal(ctx, x, err))
			return
		}
		if caller.events > 0 {
			x.log.Info("Resuming a stream at another engine", zap.String("after", caller.lastEventID))
		}
	}
}

// refuseOrAbort refuses a stream whose header has not been sent. Otherwise it aborts the connection, so that the
// stream does not look complete.
func (g *Gateway) refuseOrAbort(w http.ResponseWriter, x *exchange, caller *callerStream, refusal Refusal) {
	if !caller.headerSent {
		g.refuse(w, x, refusal)
		return
	}
	x.log.Info("Broke a stream off", zap.String("reason", refusal.Message), zap.Int("events", caller.events),
		zap.Int("sent", x.possibleRuns), zap.Strings("tried", x.tried))
	panic(http.ErrAbortHandler)
}

// attemptStream makes one attempt and forwards its events.
func (g *Gateway) attemptStream(parent context.Context, x *exchange, a *attempt, caller *callerStream) (endpoint string, status int, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	watch := newWatchdog(a.outgoing.Address, cancel)
	defer watch.stop()
	var eventPause time.Duration
	resp, err := g.sendAttempt(ctx, x, a)
	if err == nil {
		status = resp.StatusCode
		eventPause, err = g.relay(x, a, resp, caller, watch)
		_ = resp.Body.Close()
	}
	if err != nil && parent.Err() == nil && watch.fired() {
		err = fault.New("wait for event", BadResponse, "%s was silent and does not accept connections", a.outgoing.Endpoint)
	}
	g.finishAttempt(parent, x, a, resp, err, eventPause)
	return a.outgoing.Endpoint, status, err
}

// relay forwards a response: a stream event by event, any other response after reading it completely.
func (g *Gateway) relay(x *exchange, a *attempt, resp *endpointResponse, caller *callerStream, watch *watchdog) (eventPause time.Duration, err error) {
	if resp.StatusCode != http.StatusOK {
		return 0, g.relayBuffered(x, a, resp, caller)
	}
	reader := newEventReader(resp.Body)
	// The first event that another engine sends shows by its id whether it belongs to the stream.
	resumed := caller.lastEventID != "" && caller.events > 0
	var pauses placement.PauseRecorder
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return pauses.UndisturbedPause(), caller.complete(resp)
		}
		if err != nil {
			return pauses.UndisturbedPause(), err
		}
		if resumed && e.id == "" {
			return pauses.UndisturbedPause(), fault.New("resume stream", BadResponse, "%s answered with something else than events of the stream", a.outgoing.Endpoint)
		}
		resumed = false
		if first := pauses.RecordEvent(time.Now()); first {
			a.begun = true
			g.config.Witness.RecordWritten(x.parts)
			g.recordFirstEvent(x, a)
		}
		watch.reset()
		if err := caller.forwardEvent(resp, e); err != nil {
			return pauses.UndisturbedPause(), err
		}
	}
}

// relayBuffered forwards a response that is not a stream. It returns an error if the caller has already received
// events, or if the request may be retried after a server error.
func (g *Gateway) relayBuffered(x *exchange, a *attempt, resp *endpointResponse, caller *callerStream) error {
	body, err := g.readResponse(x, resp, a.outgoing)
	if err != nil {
		return err
	}
	if caller.headerSent || x.route.RetryPolicy.Retryable() && resp.StatusCode >= http.StatusInternalServerError && x.hasAttemptsLeft() {
		return fault.New("relay answer", BadResponse, "%s answered %d", a.outgoing.Endpoint, resp.StatusCode)
	}
	writeBuffered(caller.writer, resp.StatusCode, resp.Header, body)
	return nil
}

func (g *Gateway) recordFirstEvent(x *exchange, a *attempt) {
	took := time.Since(a.started)
	g.config.Metrics.Histogram("gateway_first_event_microseconds", "service", x.service).Update(time.Since(x.arrived).Microseconds())
	x.log.Info("First event of a stream", zap.String(logging.AttemptID, a.dispatchID()), zap.String(logging.Endpoint, a.outgoing.Endpoint), zap.Int("helpers", len(a.outgoing.Helpers)),
		zap.Int("prompt", x.call.Prompt.Tokens), zap.Duration("took", took), zap.Duration("expected", a.grant.First),
		zap.Duration("after", time.Since(x.arrived)))
	if a.job != nil {
		g.config.Placer.Report(placement.Event{
			Type: placement.FirstEvent, Job: *a.job, Endpoint: a.outgoing.Endpoint, Elapsed: took, Started: a.outgoing.Started, Leaving: a.leaving,
		})
	}
}

// sendHeader sends the header of the first response.
func (s *callerStream) sendHeader(resp *endpointResponse) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	copyHeader(s.writer.Header(), resp.Header)
	s.writer.WriteHeader(resp.StatusCode)
}

// forwardEvent sends one event to the caller. It skips events that the caller has already received; a gap in the ids
// is an error of kind BadResponse.
func (s *callerStream) forwardEvent(resp *endpointResponse, e event) error {
	const op = "pass event on"
	lastID, err := strconv.ParseInt(s.lastEventID, 10, 64)
	if id, idErr := strconv.ParseInt(e.id, 10, 64); err == nil && idErr == nil {
		switch {
		case id <= lastID:
			return nil
		case id > lastID+1:
			return fault.New(op, BadResponse, "event %d follows %d", id, lastID)
		}
	}
	s.sendHeader(resp)
	s.recordPause(time.Now())
	if _, err := s.writer.Write(e.raw); err != nil {
		return fault.Wrap(err, op, Disconnected, "write")
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	s.events++
	return fault.Wrap(s.flusher.Flush(), op, Disconnected, "flush")
}

// recordPause updates the longest pause with the time of an event.
func (s *callerStream) recordPause(now time.Time) {
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// complete ends a stream. For a stream without events it sends the header.
func (s *callerStream) complete(resp *endpointResponse) error {
	s.sendHeader(resp)
	return nil
}
