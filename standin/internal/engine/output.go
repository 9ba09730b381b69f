package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/dandelionpier/dandelionpier/standin/internal/model"
)

// Output token 0 is the digest of the prompt as 16 hexadecimal digits; token i is a space and 4 hexadecimal digits
// derived from the digest and i. All engines produce the same output for a prompt.

// appendTokens appends the output tokens in [from, to).
func appendTokens(text []byte, digest uint64, from, to int) []byte {
	for i := from; i < to; i++ {
		if i == 0 {
			text = fmt.Appendf(text, "%016x", digest)
			continue
		}
		text = fmt.Appendf(text, " %04x", splitMix64(digest+uint64(i))&0xffff)
	}
	return text
}

// splitMix64 is the finaliser of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number
// generators, 2014).
func splitMix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// encoder encodes the response of an attempt, as events or as one object.
type encoder struct {
	request completionRequest
	// tokensPerEvent is the number of output tokens in each event but the first and the last.
	tokensPerEvent int
	// objectStart is the start of each JSON object of the response, up to and including the IDs.
	objectStart []byte
}

func newEncoder(completion completionRequest, tokensPerEvent int, requestID, attemptID string) encoder {
	object := "text_completion"
	if completion.chat {
		object = "chat.completion"
	}
	if completion.chat && completion.stream {
		object = "chat.completion.chunk"
	}
	objectStart := []byte(`{"id":`)
	objectStart = appendString(objectStart, "cmpl-"+requestID)
	objectStart = append(objectStart, `,"object":"`+object+`","model":`...)
	objectStart = appendString(objectStart, completion.model)
	objectStart = append(objectStart, `,"request_id":`...)
	objectStart = appendString(objectStart, requestID)
	objectStart = append(objectStart, `,"attempt_id":`...)
	objectStart = appendString(objectStart, attemptID)
	return encoder{request: completion, tokensPerEvent: tokensPerEvent, objectStart: objectStart}
}

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // a string cannot fail to encode
	return append(b, quoted...)
}

// firstToken returns the index of the first output token in the event at position. The first event has a single
// token, so that its arrival is the time to first token: with tokensPerEvent tokens it would arrive
// tokensPerEvent-1 decode steps late, each of which takes as long as a chunk while a long prefill runs.
func firstToken(position, tokensPerEvent int) int {
	return max(0, 1+(position-1)*tokensPerEvent)
}

// textEvents returns the number of events with text. One event with the usage follows them.
func (enc encoder) textEvents() int {
	return 1 + (enc.request.maxTokens-1+enc.tokensPerEvent-1)/enc.tokensPerEvent
}

// available returns the number of text events that can be sent after the given number of generated tokens.
func (enc encoder) available(generated int) int {
	if generated >= enc.request.maxTokens {
		return enc.textEvents()
	}
	return (generated + enc.tokensPerEvent - 1) / enc.tokensPerEvent
}

// appendEvent appends the SSE event at position with the given index, which differs from the position only for
// injected faults. The event after the last one with text has the usage.
func (enc encoder) appendEvent(b []byte, position, index, cachedTokens int) []byte {
	last := position == enc.textEvents()
	b = append(b, "data: "...)
	b = append(b, enc.objectStart...)
	b = append(b, `,"index":`...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = enc.appendChoiceStart(b, `"delta":{"content":"`)
	if last {
		b = enc.appendChoiceEnd(b, `"length"`)
		b = enc.appendUsage(b, cachedTokens)
		return append(b, "}\n\n"...)
	}
	to := min(firstToken(position+1, enc.tokensPerEvent), enc.request.maxTokens)
	b = appendTokens(b, enc.request.digest, firstToken(position, enc.tokensPerEvent), to)
	b = enc.appendChoiceEnd(b, "null")
	return append(b, "}\n\n"...)
}

// appendResponse appends the whole response as one JSON object.
func (enc encoder) appendResponse(b []byte, cachedTokens int) []byte {
	b = append(b, enc.objectStart...)
	b = enc.appendChoiceStart(b, `"message":{"role":"assistant","content":"`)
	b = appendTokens(b, enc.request.digest, 0, enc.request.maxTokens)
	b = enc.appendChoiceEnd(b, `"length"`)
	b = enc.appendUsage(b, cachedTokens)
	return append(b, "}\n"...)
}

func (enc encoder) appendChoiceStart(b []byte, chat string) []byte {
	b = append(b, `,"choices":[{"index":0,`...)
	if enc.request.chat {
		return append(b, chat...)
	}
	return append(b, `"text":"`...)
}

func (enc encoder) appendChoiceEnd(b []byte, reason string) []byte {
	b = append(b, '"')
	if enc.request.chat {
		b = append(b, '}')
	}
	b = append(b, `,"finish_reason":`...)
	b = append(b, reason...)
	return append(b, "}]"...)
}

func (enc encoder) appendUsage(b []byte, cachedTokens int) []byte {
	completion := enc.request
	return fmt.Appendf(b,
		`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"cached_tokens":%d}`,
		completion.tokens, completion.maxTokens, completion.tokens+completion.maxTokens, cachedTokens)
}

// forOtherAttempt returns an encoder with the IDs of another attempt and other output, for faults.Misroute.
func (enc encoder) forOtherAttempt(a *model.Attempt) encoder {
	requestID, attemptID, found := a.OtherAttempt()
	if !found {
		requestID, attemptID = "another-request", "another-attempt"
	}
	completion := enc.request
	completion.digest = splitMix64(completion.digest)
	return newEncoder(completion, enc.tokensPerEvent, requestID, attemptID)
}
