package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/dandelionpier/dandelionpier/standin/internal/model"
)

// Output token 0 is the prompt's digest as 16 hexadecimal digits; token i is a space and 4
// hexadecimal digits derived from digest and i. Every engine gives the same output for a prompt.

// appendTokens appends the output tokens from up to, but not including, to.
func appendTokens(text []byte, digest uint64, from, to int) []byte {
	for i := from; i < to; i++ {
		if i == 0 {
			text = fmt.Appendf(text, "%016x", digest)
			continue
		}
		text = fmt.Appendf(text, " %04x", mix(digest+uint64(i))&0xffff)
	}
	return text
}

// mix is the finaliser of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number
// generators, 2014).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// writer encodes the events of one response.
type writer struct {
	prompt prompt
	// perEvent is the number of output tokens of an event.
	perEvent int
	// head is the start of every object of the response, up to its ids.
	head []byte
}

func newWriter(p prompt, perEvent int, requestID, attemptID string) writer {
	object := "text_completion"
	if p.chat {
		object = "chat.completion"
	}
	if p.chat && p.stream {
		object = "chat.completion.chunk"
	}
	head := []byte(`{"id":`)
	head = appendString(head, "cmpl-"+requestID)
	head = append(head, `,"object":"`+object+`","model":`...)
	head = appendString(head, p.model)
	head = append(head, `,"request_id":`...)
	head = appendString(head, requestID)
	head = append(head, `,"attempt_id":`...)
	head = appendString(head, attemptID)
	return writer{prompt: p, perEvent: perEvent, head: head}
}

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // a string cannot fail to encode
	return append(b, quoted...)
}

// firstToken is the first output token of the event at position. The first event has one token, so that
// it measures the time to first token: with perEvent tokens, it came perEvent-1 decode steps late, each of
// which takes a chunk's time beside a long prefill.
func firstToken(position, perEvent int) int {
	return max(0, 1+(position-1)*perEvent)
}

// textEvents is the number of events with text; one event with usage follows them.
func (w writer) textEvents() int {
	return 1 + (w.prompt.maxTokens-1+w.perEvent-1)/w.perEvent
}

// available is the number of text events that can be sent once generated tokens exist.
func (w writer) available(generated int) int {
	if generated >= w.prompt.maxTokens {
		return w.textEvents()
	}
	return (generated + w.perEvent - 1) / w.perEvent
}

// appendEvent appends the SSE event at position under the given index, which differs from the
// position only for injected faults. The event after the last text carries the usage.
func (w writer) appendEvent(b []byte, position, index, cached int) []byte {
	last := position == w.textEvents()
	b = append(b, "data: "...)
	b = append(b, w.head...)
	b = append(b, `,"index":`...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = w.appendOpen(b, `"delta":{"content":"`)
	if last {
		b = w.appendClose(b, `"length"`)
		b = w.appendUsage(b, cached)
		return append(b, "}\n\n"...)
	}
	to := min(firstToken(position+1, w.perEvent), w.prompt.maxTokens)
	b = appendTokens(b, w.prompt.digest, firstToken(position, w.perEvent), to)
	b = w.appendClose(b, "null")
	return append(b, "}\n\n"...)
}

// appendAnswer appends the whole output as one JSON object.
func (w writer) appendAnswer(b []byte, cached int) []byte {
	b = append(b, w.head...)
	b = w.appendOpen(b, `"message":{"role":"assistant","content":"`)
	b = appendTokens(b, w.prompt.digest, 0, w.prompt.maxTokens)
	b = w.appendClose(b, `"length"`)
	b = w.appendUsage(b, cached)
	return append(b, "}\n"...)
}

func (w writer) appendOpen(b []byte, chat string) []byte {
	b = append(b, `,"choices":[{"index":0,`...)
	if w.prompt.chat {
		return append(b, chat...)
	}
	return append(b, `"text":"`...)
}

func (w writer) appendClose(b []byte, reason string) []byte {
	b = append(b, '"')
	if w.prompt.chat {
		b = append(b, '}')
	}
	b = append(b, `,"finish_reason":`...)
	b = append(b, reason...)
	return append(b, "}]"...)
}

func (w writer) appendUsage(b []byte, cached int) []byte {
	p := w.prompt
	return fmt.Appendf(b,
		`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"cached_tokens":%d}`,
		p.tokens, p.maxTokens, p.tokens+p.maxTokens, cached)
}

// of returns the writer of another request, so that a fault can deliver its event here.
func (w writer) of(a *model.Attempt) writer {
	requestID, attemptID, found := a.OtherAttempt()
	if !found {
		requestID, attemptID = "another-request", "another-attempt"
	}
	p := w.prompt
	p.digest = mix(p.digest)
	return newWriter(p, w.perEvent, requestID, attemptID)
}
