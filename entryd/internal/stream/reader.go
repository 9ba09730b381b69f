// Package stream reads the server-sent events of an engine and checks that they form the complete response
// to one attempt.
package stream

import (
	"bytes"
	"errors"
	"io"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// ConnectionFailed means that the connection failed before the end of the stream.
	ConnectionFailed Kind = "broken"
	// Truncated means that the body ended before the end of the stream, without a failure of the connection.
	Truncated Kind = "truncated"
	// Malformed means that an event cannot be parsed.
	Malformed Kind = "garbage"
	// Oversized means that an event is longer than the limit.
	Oversized Kind = "oversized"
	// Mismatched means that an event belongs to another request or attempt.
	Mismatched Kind = "crossed"
	// Reordered means that an event is duplicated, missing or out of order.
	Reordered Kind = "reordered"
	// EngineError means that the engine reported an error, as an event or by its status.
	EngineError Kind = "reported"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const initialBufferSize = 4 << 10

// Reader splits a body into events. It reuses one buffer, which grows up to the size of the largest event.
type Reader struct {
	source     io.Reader
	buffer     []byte
	start, end int
	maxEvent   int
	readErr    error
}

// NewReader returns a reader of source that accepts events of at most limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: source, buffer: make([]byte, min(initialBufferSize, limit)), maxEvent: limit}
}

// Next returns the next event including the empty line that ends it. The bytes are valid until the next
// call. After the last event it returns io.EOF; a body that ends within an event is a Truncated error.
func (r *Reader) Next() ([]byte, error) {
	searched := 0
	for {
		pending := r.buffer[r.start:r.end]
		if n := eventEnd(pending, searched); n > 0 {
			r.start += n
			return pending[:n], nil
		}
		// The end of an event has at most four bytes, of which three may already have been searched.
		searched = max(0, len(pending)-3)
		if r.readErr != nil {
			return nil, r.endError(len(pending))
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// Buffered reports whether the next event is already in memory.
func (r *Reader) Buffered() bool {
	return eventEnd(r.buffer[r.start:r.end], 0) > 0
}

func (r *Reader) endError(pending int) error {
	switch {
	case !errors.Is(r.readErr, io.EOF):
		return fault.Wrap(r.readErr, "read event", ConnectionFailed, "the connection to the engine failed")
	case pending > 0:
		return fault.New("read event", Truncated, "the body ends within an event")
	default:
		return io.EOF
	}
}

func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= r.maxEvent {
			return fault.New("read event", Oversized, "an event has more than %d bytes", r.maxEvent)
		}
		grown := make([]byte, min(2*len(r.buffer), r.maxEvent))
		copy(grown, r.buffer[:r.end])
		r.buffer = grown
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.readErr = err
	return nil
}

// eventEnd returns the length of the first event in data, or 0 when it is incomplete. An empty line ends an
// event; lines end in \n or \r\n. The search starts at index from.
func eventEnd(data []byte, from int) int {
	for i := from; ; {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		switch {
		case i < len(data) && data[i] == '\n':
			return i + 1
		case i+1 < len(data) && data[i] == '\r' && data[i+1] == '\n':
			return i + 2
		}
	}
}
