package stream

import (
	"bytes"

	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Usage is what the engine says that a request used, in tokens.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
	// Known is false when the engine has not said.
	Known bool
}

// Class says what an event is.
type Class int

const (
	// Ignored events are comments; they carry nothing for the caller.
	Ignored Class = iota
	// Chunk events carry a part of the response.
	Chunk
	// Done is the end of the stream.
	Done
)

// Checker follows the events of one attempt.
type Checker struct {
	RequestID string
	AttemptID string
	// Next is the index that the next event must have.
	Next  int
	Usage Usage
}

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Check classifies an event and fails when it is not the next one of the attempt. It does not
// allocate for correct events.
func (c *Checker) Check(event []byte) (Class, error) {
	data, err := payload(event)
	if err != nil || data == nil {
		return Ignored, err
	}
	if bytes.Equal(data, doneMark) {
		return Done, nil
	}
	found, err := parse(data)
	switch {
	case err != nil:
		return Ignored, fault.Wrap(err, "check event", Garbage, "the event has no valid JSON object")
	case found.failed:
		return Ignored, fault.New("check event", Reported, "the engine reported an error")
	case string(found.request) != c.RequestID || string(found.attempt) != c.AttemptID:
		return Ignored, fault.New("check event", Crossed, "the event is of request %.64q, attempt %.64q", found.request, found.attempt)
	case found.index != int64(c.Next):
		return Ignored, fault.New("check event", Reordered, "the event has index %d instead of %d", found.index, c.Next)
	}
	c.Next++
	if found.usage.Known {
		c.Usage = found.usage
	}
	return Chunk, nil
}

// payload returns the data of an event, or nil for one that has only comments and other fields.
// Events with several data lines are garbage: engines of the OpenAI protocol send one.
func payload(event []byte) ([]byte, error) {
	var data []byte
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte{'\n'})
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		if !bytes.HasPrefix(line, dataPrefix) {
			if known(line) {
				continue
			}
			return nil, fault.New("read event", Garbage, "a line is not of an event stream")
		}
		if data != nil {
			return nil, fault.New("read event", Garbage, "the event has several data lines")
		}
		data = bytes.TrimPrefix(line[len(dataPrefix):], []byte{' '})
	}
	return data, nil
}

// known reports whether the line is one of the other fields of the protocol.
func known(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte{':'})
	switch string(name) {
	case "event", "id", "retry":
		return true
	default:
		return false
	}
}

type chunk struct {
	request, attempt []byte
	index            int64
	usage            Usage
	failed           bool
}

func parse(data []byte) (chunk, error) {
	found := chunk{index: -1}
	err := field.Scan(data, func(key, value []byte) (err error) {
		switch string(key) {
		case "request_id":
			found.request, err = field.Text(value)
		case "attempt_id":
			found.attempt, err = field.Text(value)
		case "index":
			found.index, err = field.Int(value)
		case "usage":
			found.usage, err = ParseUsage(value)
		case "error":
			found.failed = string(value) != "null"
		}
		return err
	})
	return found, err
}

// ParseUsage reads the usage object of a response; null means that it is not known. Negative or
// absurd figures are an error.
func ParseUsage(value []byte) (Usage, error) {
	if string(value) == "null" {
		return Usage{}, nil
	}
	usage := Usage{Known: true}
	err := field.Scan(value, func(key, value []byte) (err error) {
		switch string(key) {
		case "prompt_tokens":
			usage.PromptTokens, err = count(value)
		case "completion_tokens":
			usage.CompletionTokens, err = count(value)
		case "cached_tokens":
			usage.CachedTokens, err = count(value)
		}
		return err
	})
	return usage, err
}

// maxCount is far above any context length and keeps prices times counts within int64.
const maxCount = 1 << 31

func count(value []byte) (int, error) {
	n, err := field.Int(value)
	if err != nil {
		return 0, err
	}
	if n < 0 || n > maxCount {
		return 0, fault.New("read usage", Garbage, "a count of %d tokens is not possible", n)
	}
	return int(n), nil
}
