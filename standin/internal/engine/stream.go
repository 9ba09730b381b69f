package engine

import (
	"encoding/json"
	"net/http"

	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/model"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// garbage is neither an SSE event nor JSON.
const garbage = "data: {\x00\xff]]not json\n\n"

// stream writes the events of an attempt.
type stream struct {
	response http.ResponseWriter
	control  *http.ResponseController
	request  *http.Request
	writer   writer
	attempt  *model.Attempt
	fault    options.Fault
	// buffer holds the events of one write.
	buffer []byte
	// sent counts the events sent to this connection.
	sent    int
	faulted bool
}

func newStream(w http.ResponseWriter, r *http.Request, s writer, a *model.Attempt, f options.Fault) *stream {
	return &stream{response: w, control: http.NewResponseController(w), request: r, writer: s, attempt: a, fault: f}
}

// send writes all events from the given position. Headers go out with the first event, so that an
// attempt that fails while it waits is answered with an HTTP status.
func (s *stream) send(position int) {
	defer s.attempt.Fail("the stream ended")
	for {
		progress := s.attempt.Progress()
		if progress.Err != nil {
			s.fail(progress.Err)
			return
		}
		for available := s.writer.available(progress.Generated); position < available; position++ {
			position += s.event(position, progress)
		}
		if progress.Done && position >= s.writer.textEvents() {
			s.event(s.writer.textEvents(), progress)
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

// event appends the event at position, or what an injected fault makes of it. It returns the number
// of following events that it has appended as well.
func (s *stream) event(position int, progress model.Progress) int {
	if s.fault.Kind == faults.Delay {
		s.flush()
		faults.Pause(s.request, s.fault.Delay)
	}
	if s.sent < s.fault.AfterEvents || s.faulted || s.fault.Kind == "" {
		s.append(s.writer, position, position, progress)
		return 0
	}
	s.faulted = s.fault.Kind != faults.Delay
	switch s.fault.Kind {
	case faults.Truncate:
		s.flush()
		faults.CloseConnection()
	case faults.Duplicate:
		s.append(s.writer, position, position, progress)
	case faults.Malformed:
		s.buffer = append(s.buffer, garbage...)
		return 0
	case faults.Misroute:
		s.append(s.writer.of(s.attempt), position, position, progress)
		return 0
	case faults.Reorder:
		if position+1 < s.writer.textEvents() {
			s.append(s.writer, position+1, position+1, progress)
			s.append(s.writer, position, position, progress)
			return 1
		}
	}
	s.append(s.writer, position, position, progress)
	return 0
}

func (s *stream) append(w writer, position, index int, progress model.Progress) {
	s.buffer = w.appendEvent(s.buffer, position, index, progress.CachedTokens)
	s.sent++
}

// fail ends the stream with an error: as a response before the first event, as an event after it.
func (s *stream) fail(err error) {
	if s.sent == 0 {
		refuse(s.response, err, refusal.FailedWhileRunning)
		return
	}
	payload, _ := json.Marshal(refusalOf(err, refusal.FailedWhileRunning)) // a refusal cannot fail to encode
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, payload...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.flush()
}

// flush writes the buffer and reports whether the connection still stands.
func (s *stream) flush() bool {
	if len(s.buffer) == 0 {
		return true
	}
	s.response.Header().Set("Content-Type", "text/event-stream")
	_, err := s.response.Write(s.buffer)
	s.buffer = s.buffer[:0]
	return err == nil && s.control.Flush() == nil
}
