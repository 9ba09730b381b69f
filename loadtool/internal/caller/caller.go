// Package caller sends completion requests, checks that each response is complete and belongs to its
// request, and measures its latencies.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Failure reasons for which the server sends no error code.
const (
	// TimeLimit means that the time limit of the request was exceeded.
	TimeLimit = "time-limit"
	// Connection means that the connection failed.
	Connection = "connection"
	// Truncated means that the stream ended without [DONE].
	Truncated = "truncated"
	// WrongResponse means that the response is malformed or does not match the request.
	WrongResponse = "wrong-response"
)

// Request is a completion request.
type Request struct {
	Address string
	Key     string
	Model   string
	Prompt  Prompt
	// MaxTokens is the length of the output in tokens; an output of another length is a wrong response.
	MaxTokens int
	// Scheduled is the planned arrival time. The time to first token and the time limit, Limit, count
	// from it.
	Scheduled time.Time
	Limit     time.Duration
}

// Result is the outcome of a request.
type Result struct {
	// RequestID is empty if no response arrived.
	RequestID string
	// Reason is empty for a complete response, else the error code of the server or one of the failure
	// reasons above.
	Reason string
	// Refused means that the server responded with an error status before the first token.
	Refused          bool
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	PromptTokens     int
	OutputTokens     int
	CachedTokens     int
	// EventGaps are the gaps before the events that carry tokens, except the first one.
	EventGaps []EventGap
}

// EventGap is the time between an event and the previous one.
type EventGap struct {
	Duration time.Duration
	// Tokens is the number of tokens in the event; the stand-in engines send tokens as words.
	Tokens int
}

// maxEventBytes limits a line of the stream and the body of an error response.
const maxEventBytes = 1 << 20

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	Client *http.Client
}

// Call sends a request and reads its response to the end.
func (c *Caller) Call(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Scheduled.Add(r.Limit))
	defer cancel()
	result := Result{}
	err := c.exchange(ctx, r, &result)
	result.TotalTime = time.Since(r.Scheduled)
	if err != nil && result.Reason == "" {
		result.Reason = Connection
	}
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.Reason, result.Refused = TimeLimit, false
	}
	return result
}

func (c *Caller) exchange(ctx context.Context, r Request, result *Result) error {
	body, length := r.body()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+"/v1/completions", body)
	if err != nil {
		return err
	}
	request.ContentLength = length
	remaining := time.Until(r.Scheduled.Add(r.Limit))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.Key)
	request.Header.Set("X-Time-Limit", strconv.FormatFloat(max(0.001, remaining.Seconds()), 'f', 3, 64))
	request.Header.Set(endpoint.HeaderDeadline, strconv.FormatInt(r.Scheduled.Add(r.Limit).UnixMilli(), 10))
	response, err := c.Client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	result.RequestID = response.Header.Get(endpoint.HeaderRequestID)
	if response.StatusCode != http.StatusOK {
		result.Refused = true
		result.Reason = errorCode(response)
		return errors.New(result.Reason)
	}
	return readStream(response, r, result)
}

// body returns the JSON body without joining the parts of the prompt.
func (r Request) body() (body io.Reader, length int64) {
	head := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"prompt":"`, r.Model, r.MaxTokens)
	readers := []io.Reader{strings.NewReader(head)}
	length = int64(len(head))
	for _, part := range r.Prompt.parts {
		readers = append(readers, strings.NewReader(part))
		length += int64(len(part))
	}
	readers = append(readers, strings.NewReader(`"}`))
	return io.MultiReader(readers...), length + int64(len(`"}`))
}

// errorCode returns the error code of a response, or its status if the body has none.
func errorCode(response *http.Response) string {
	var payload struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&payload)
	if err != nil || payload.Error.Code == "" {
		return "status-" + strconv.Itoa(response.StatusCode)
	}
	return payload.Error.Code
}

type event struct {
	RequestID string `json:"request_id"`
	Index     int    `json:"index"`
	Choices   []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		CachedTokens     int `json:"cached_tokens"`
	} `json:"usage"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readStream checks the request id and the index of each event and, in the first one, the digest of the prompt.
func readStream(response *http.Response, r Request, result *Result) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	digest := fmt.Sprintf("%016x", r.Prompt.digest())
	id := response.Header.Get(endpoint.HeaderRequestID)
	var lastEvent time.Time
	for nextIndex := 0; scanner.Scan(); {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			return checkUsage(r, result)
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return wrongResponse(result, "an event is not JSON")
		}
		if e.Error != nil {
			result.Reason = "stream-" + e.Error.Code
			return errors.New(result.Reason)
		}
		if e.RequestID != id || e.Index != nextIndex || len(e.Choices) != 1 {
			return wrongResponse(result, "an event is out of order or belongs to another request")
		}
		if nextIndex == 0 {
			result.TimeToFirstToken = time.Since(r.Scheduled)
			if !strings.HasPrefix(e.Choices[0].Text, digest) {
				return wrongResponse(result, "the response belongs to another prompt")
			}
		}
		now := time.Now()
		if tokens := len(strings.Fields(e.Choices[0].Text)); nextIndex > 0 && tokens > 0 {
			result.EventGaps = append(result.EventGaps, EventGap{Duration: now.Sub(lastEvent), Tokens: tokens})
		}
		lastEvent = now
		if e.Usage != nil {
			result.PromptTokens, result.OutputTokens, result.CachedTokens = e.Usage.PromptTokens, e.Usage.CompletionTokens, e.Usage.CachedTokens
		}
		nextIndex++
	}
	if scanner.Err() == nil {
		result.Reason = Truncated
	}
	return errors.Join(errors.New("the stream ended early"), scanner.Err())
}

func checkUsage(r Request, result *Result) error {
	if result.OutputTokens != r.MaxTokens || result.PromptTokens != r.Prompt.Tokens() {
		return wrongResponse(result, "the usage does not match the request")
	}
	return nil
}

func wrongResponse(result *Result, message string) error {
	result.Reason = WrongResponse
	return errors.New(message)
}

// Prompt is a text in parts. The parts share their memory with other prompts.
type Prompt struct {
	parts []string
}

// filler is the text from which prompts are cut; it covers a million tokens.
var filler = strings.Repeat("saw blade tooth angle set kerf gullet hook rake bevel pitch file. ", 1<<16)

// NewPrompt returns a prompt with a length of tokens. If it is longer than prefixTokens, its first
// prefixTokens depend only on the workspace. The rest depends on the id, which must be unique.
func NewPrompt(workspace, id string, prefixTokens, tokens int) Prompt {
	// The quotes of the JSON string count as part of the prompt.
	remaining := tokens*endpoint.BytesPerToken - len(`""`)
	var parts []string
	appendText := func(text string) {
		text = text[:min(len(text), remaining)]
		remaining -= len(text)
		parts = append(parts, text)
	}
	if prefixTokens < tokens {
		appendText(workspace + " ")
		appendText(filler[:prefixTokens*endpoint.BytesPerToken])
	}
	appendText(id + " ")
	appendText(filler)
	return Prompt{parts: parts}
}

// Tokens returns the length of the prompt in tokens, counted as entries and engines count it.
func (p Prompt) Tokens() int {
	length := len(`""`)
	for _, part := range p.parts {
		length += len(part)
	}
	return endpoint.Tokens(length)
}

// digest returns the hash of the prompt, which a stand-in engine sends as the first output token.
func (p Prompt) digest() uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(`"`)
	for _, part := range p.parts {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.WriteString(`"`)
	return hash.Sum64()
}
