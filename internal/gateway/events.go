package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// event is one event of a stream (HTML Living Standard, section 9.2), byte for byte.
type event struct {
	raw []byte
	// id is the value of the last id field; empty for none.
	id string
}

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// eventReader splits a stream into events. An event that is cut off is never returned.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(r)}
}

// next returns the next complete event, io.EOF at an end between two events, or an error of kind Broken.
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
			return e, fault.New(op, Broken, "the stream ends within an event")
		case err != nil:
			return e, fault.Wrap(err, op, Broken, "stream")
		case len(e.raw) > maxEvent:
			return e, fault.New(op, Broken, "an event has more than %d bytes", maxEvent)
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
