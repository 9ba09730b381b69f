package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// event is one server-sent event (HTML Living Standard, section 9.2), with its bytes unchanged.
type event struct {
	raw []byte
	// id is the value of the last id field, or empty if there is none.
	id string
}

// maxEvent limits the size of one event, in bytes.
const maxEvent = 1 << 20

// eventReader splits a stream into events. It never returns an incomplete event.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(r)}
}

// next returns the next complete event, io.EOF if the stream ends between two events, or an error of kind
// BadResponse.
func (r *eventReader) next() (event, error) {
	const op = "read event"
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case err == bufio.ErrBufferFull && len(e.raw) <= maxEvent:
			continue
		case err == io.EOF && len(e.raw) == 0:
			return e, io.EOF
		case err == io.EOF:
			return e, fault.New(op, BadResponse, "the stream ends within an event")
		case err != nil:
			return e, fault.Wrap(err, op, BadResponse, "stream")
		case len(e.raw) > maxEvent:
			return e, fault.New(op, BadResponse, "an event has more than %d bytes", maxEvent)
		}
		start := bytes.LastIndexByte(e.raw[:len(e.raw)-1], '\n') + 1
		text := strings.TrimRight(string(e.raw[start:]), "\r\n")
		if text == "" {
			return e, nil
		}
		if value, ok := strings.CutPrefix(text, "id:"); ok {
			e.id = strings.TrimPrefix(value, " ")
		}
	}
}
