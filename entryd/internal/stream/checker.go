package stream

import (
	"bytes"

	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Usage holds the token counts that the engine reports for a request.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
	// Known is false when the engine has reported no counts.
	Known bool
}

// EventType is the type of an event.
type EventType int

const (
	// Ignored events are comments or have no data; they are not forwarded to the caller.
	Ignored EventType = iota
	// Chunk events carry a part of the response.
	Chunk
	// Done is the event that ends the stream.
	Done
)

// Checker checks that the events of one attempt are valid and in order.
type Checker struct {
	RequestID string
	AttemptID string
	// NextIndex is the index that the next event must have.
	NextIndex int
	Usage     Usage
}

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// Check returns the type of an event, or an error when it is not the next one of the attempt. It does not
// allocate for correct events.
func (c *Checker) Check(event []byte) (EventType, error) {
	data, err := payload(event)
	if err != nil || data == nil {
		return Ignored, err
	}
	if bytes.Equal(data, doneData) {
		return Done, nil
	}
	parsed, err := parseChunk(data)
	switch {
	case err != nil:
		return Ignored, fault.Wrap(err, "check event", Malformed, "the event has no valid JSON object")
	case parsed.hasError:
		return Ignored, fault.New("check event", EngineError, "the engine reported an error")
	case string(parsed.requestID) != c.RequestID || string(parsed.attemptID) != c.AttemptID:
		return Ignored, fault.New("check event", Mismatched, "the event is of request %.64q, attempt %.64q", parsed.requestID, parsed.attemptID)
	case parsed.index != int64(c.NextIndex):
		return Ignored, fault.New("check event", Reordered, "the event has index %d instead of %d", parsed.index, c.NextIndex)
	}
	c.NextIndex++
	if parsed.usage.Known {
		c.Usage = parsed.usage
	}
	return Chunk, nil
}

// payload returns the data of an event, or nil when the event has only comments and other fields. Events
// with several data lines are malformed, because engines of the OpenAI protocol send one.
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
			if isOtherField(line) {
				continue
			}
			return nil, fault.New("read event", Malformed, "a line does not belong to an event stream")
		}
		if data != nil {
			return nil, fault.New("read event", Malformed, "the event has several data lines")
		}
		data = bytes.TrimPrefix(line[len(dataPrefix):], []byte{' '})
	}
	return data, nil
}

// isOtherField reports whether the line is another field of the server-sent events protocol.
func isOtherField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte{':'})
	switch string(name) {
	case "event", "id", "retry":
		return true
	default:
		return false
	}
}

type chunk struct {
	requestID, attemptID []byte
	index                int64
	usage                Usage
	hasError             bool
}

func parseChunk(data []byte) (chunk, error) {
	parsed := chunk{index: -1}
	err := field.Scan(data, func(key, value []byte) (err error) {
		switch string(key) {
		case "request_id":
			parsed.requestID, err = field.Text(value)
		case "attempt_id":
			parsed.attemptID, err = field.Text(value)
		case "index":
			parsed.index, err = field.Int(value)
		case "usage":
			parsed.usage, err = ParseUsage(value)
		case "error":
			parsed.hasError = string(value) != "null"
		}
		return err
	})
	return parsed, err
}

// ParseUsage reads the usage object of a response; null means that the usage is not known. Negative or
// impossibly large counts are an error.
func ParseUsage(value []byte) (Usage, error) {
	if string(value) == "null" {
		return Usage{}, nil
	}
	usage := Usage{Known: true}
	err := field.Scan(value, func(key, value []byte) (err error) {
		switch string(key) {
		case "prompt_tokens":
			usage.PromptTokens, err = parseTokenCount(value)
		case "completion_tokens":
			usage.CompletionTokens, err = parseTokenCount(value)
		case "cached_tokens":
			usage.CachedTokens, err = parseTokenCount(value)
		}
		return err
	})
	return usage, err
}

// maxTokenCount is far above any context length and keeps prices times counts within int64.
const maxTokenCount = 1 << 31

func parseTokenCount(value []byte) (int, error) {
	n, err := field.Int(value)
	if err != nil {
		return 0, err
	}
	if n < 0 || n > maxTokenCount {
		return 0, fault.New("read usage", Malformed, "a count of %d tokens is not possible", n)
	}
	return int(n), nil
}
