package engine

import (
	"encoding/json"
	"net/http"

	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/model"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// malformedEvent is neither a valid SSE event nor JSON.
const malformedEvent = "data: {\x00\xff]]not json\n\n"

// streamWriter writes the response of an attempt as SSE events.
type streamWriter struct {
	response http.ResponseWriter
	control  *http.ResponseController
	request  *http.Request
	encoder  encoder
	attempt  *model.Attempt
	fault    options.Fault
	// buffer holds the events of the next write.
	buffer []byte
	// sent counts the events of this response.
	sent          int
	faultInjected bool
}

func newStreamWriter(w http.ResponseWriter, r *http.Request, enc encoder, a *model.Attempt, f options.Fault) *streamWriter {
	return &streamWriter{response: w, control: http.NewResponseController(w), request: r, encoder: enc, attempt: a, fault: f}
}

// send writes all events from the given position on. The headers are sent with the first event, so that the
// failure of a waiting attempt is reported by the HTTP status.
func (s *streamWriter) send(position int) {
	defer s.attempt.Fail("the stream ended")
	for {
		progress := s.attempt.Progress()
		if progress.Err != nil {
			s.fail(progress.Err)
			return
		}
		for available := s.encoder.available(progress.Generated); position < available; position++ {
			position += s.appendEventOrFault(position, progress)
		}
		if progress.Done && position >= s.encoder.textEvents() {
			s.appendEventOrFault(s.encoder.textEvents(), progress)
			s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
			s.flush()
			return
		}
		if !s.flush() {
			return
		}
		select {
		case <-s.attempt.Changed():
		case <-s.request.Context().Done():
			return
		}
	}
}

// appendEventOrFault appends the event at position, or applies the injected fault to it. It returns the number of
// subsequent events that it has appended too.
func (s *streamWriter) appendEventOrFault(position int, progress model.Progress) int {
	if s.fault.Kind == faults.Delay {
		s.flush()
		faults.Pause(s.request, s.fault.Delay)
	}
	if s.sent < s.fault.AfterEvents || s.faultInjected || s.fault.Kind == "" {
		s.appendEvent(s.encoder, position, position, progress)
		return 0
	}
	s.faultInjected = s.fault.Kind != faults.Delay
	switch s.fault.Kind {
	case faults.Truncate:
		s.flush()
		faults.CloseConnection()
	case faults.Duplicate:
		s.appendEvent(s.encoder, position, position, progress)
	case faults.Malformed:
		s.buffer = append(s.buffer, malformedEvent...)
		return 0
	case faults.Misroute:
		s.appendEvent(s.encoder.forOtherAttempt(s.attempt), position, position, progress)
		return 0
	case faults.Reorder:
		if position+1 < s.encoder.textEvents() {
			s.appendEvent(s.encoder, position+1, position+1, progress)
			s.appendEvent(s.encoder, position, position, progress)
			return 1
		}
	}
	s.appendEvent(s.encoder, position, position, progress)
	return 0
}

func (s *streamWriter) appendEvent(enc encoder, position, index int, progress model.Progress) {
	s.buffer = enc.appendEvent(s.buffer, position, index, progress.CachedTokens)
	s.sent++
}

// fail ends the stream with an error: with an HTTP status before the first event, with an event after that.
func (s *streamWriter) fail(err error) {
	if s.sent == 0 {
		writeError(s.response, err, refusal.FailedWhileRunning)
		return
	}
	payload, _ := json.Marshal(errorResponse(err, refusal.FailedWhileRunning)) // an errorResponse always encodes
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, payload...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.flush()
}

// flush writes the buffer and reports whether the connection is still usable.
func (s *streamWriter) flush() bool {
	if len(s.buffer) == 0 {
		return true
	}
	s.response.Header().Set("Content-Type", "text/event-stream")
	_, err := s.response.Write(s.buffer)
	s.buffer = s.buffer[:0]
	return err == nil && s.control.Flush() == nil
}
