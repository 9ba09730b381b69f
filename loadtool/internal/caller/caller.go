// Package caller sends completions, checks that each response is complete and belongs to its
// request, and measures it.
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

// Reasons of failures that have no code of the server.
const (
	// TimeLimit means that the time limit passed.
	TimeLimit = "time-limit"
	// Connection means that the connection failed.
	Connection = "connection"
	// Truncated means that the stream ended without [DONE].
	Truncated = "truncated"
	// WrongResponse means that the response is not the one to the request.
	WrongResponse = "wrong-response"
)

// Request is one completion.
type Request struct {
	Address string
	Key     string
	Model   string
	Prompt  Prompt
	// MaxTokens is the length of the output.
	MaxTokens int
	// Scheduled is the time of arrival, from which the time to first token counts. Limit is the time
	// limit from then on.
	Scheduled time.Time
	Limit     time.Duration
}

// Result is what came of a request.
type Result struct {
	// RequestID is empty without a response.
	RequestID string
	// Reason is empty for a complete response, else the code of a refusal or a reason of this package.
	Reason string
	// Refused means that the server answered with an error before the first token.
	Refused          bool
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	PromptTokens     int
	OutputTokens     int
	CachedTokens     int
	// EventGaps are the times between the events of the stream.
	EventGaps []EventGap
}

// EventGap is the time between an event and the one before it.
type EventGap struct {
	Duration time.Duration
	// Tokens is the number of tokens in the event; the stand-in engines send tokens as words.
	Tokens int
}

// maxEventBytes bounds a line of the stream.
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
	left := time.Until(r.Scheduled.Add(r.Limit))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.Key)
	request.Header.Set("X-Time-Limit", strconv.FormatFloat(max(0.001, left.Seconds()), 'f', 3, 64))
	request.Header.Set(endpoint.HeaderDeadline, strconv.FormatInt(r.Scheduled.Add(r.Limit).UnixMilli(), 10))
	response, err := c.Client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	result.RequestID = response.Header.Get(endpoint.HeaderRequestID)
	if response.StatusCode != http.StatusOK {
		result.Refused = true
		result.Reason = code(response)
		return errors.New(result.Reason)
	}
	return read(response, r, result)
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

// code returns the code of an error response, or its status.
func code(response *http.Response) string {
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

// read checks each event: its request, its place and, for the first one, the digest of the prompt.
func read(response *http.Response, r Request, result *Result) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	digest := fmt.Sprintf("%016x", r.Prompt.digest())
	id := response.Header.Get(endpoint.HeaderRequestID)
	var last time.Time
	for next := 0; scanner.Scan(); {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			return complete(r, result)
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return wrong(result, "an event is not JSON")
		}
		if e.Error != nil {
			result.Reason = "stream-" + e.Error.Code
			return errors.New(result.Reason)
		}
		if e.RequestID != id || e.Index != next || len(e.Choices) != 1 {
			return wrong(result, "an event is out of place")
		}
		if next == 0 {
			result.TimeToFirstToken = time.Since(r.Scheduled)
			if !strings.HasPrefix(e.Choices[0].Text, digest) {
				return wrong(result, "the response is to another prompt")
			}
		}
		now := time.Now()
		if tokens := len(strings.Fields(e.Choices[0].Text)); next > 0 && tokens > 0 {
			result.EventGaps = append(result.EventGaps, EventGap{Duration: now.Sub(last), Tokens: tokens})
		}
		last = now
		if e.Usage != nil {
			result.PromptTokens, result.OutputTokens, result.CachedTokens = e.Usage.PromptTokens, e.Usage.CompletionTokens, e.Usage.CachedTokens
		}
		next++
	}
	if scanner.Err() == nil {
		result.Reason = Truncated
	}
	return errors.Join(errors.New("the stream ended early"), scanner.Err())
}

func complete(r Request, result *Result) error {
	if result.OutputTokens != r.MaxTokens || result.PromptTokens != r.Prompt.Tokens() {
		return wrong(result, "the usage is not that of the request")
	}
	return nil
}

func wrong(result *Result, message string) error {
	result.Reason = WrongResponse
	return errors.New(message)
}

// Prompt is a text in parts, which share their memory with other prompts.
type Prompt struct {
	parts []string
}

// filler is the text from which prompts are cut; it covers a million tokens.
var filler = strings.Repeat("saw blade tooth angle set kerf gullet hook rake bevel pitch file. ", 1<<16)

// NewPrompt returns a prompt of the given tokens. Its first prefix tokens depend only on the
// workspace, the following ones on the id, which must be unique.
func NewPrompt(workspace, id string, prefix, tokens int) Prompt {
	// The quotes of the JSON string count as part of the prompt.
	left := tokens*endpoint.BytesPerToken - len(`""`)
	var parts []string
	add := func(text string) {
		text = text[:min(len(text), left)]
		left -= len(text)
		parts = append(parts, text)
	}
	if prefix < tokens {
		add(workspace + " ")
		add(filler[:prefix*endpoint.BytesPerToken])
	}
	add(id + " ")
	add(filler)
	return Prompt{parts: parts}
}

// Tokens is the length of the prompt by the count of the entries and engines.
func (p Prompt) Tokens() int {
	length := len(`""`)
	for _, part := range p.parts {
		length += len(part)
	}
	return endpoint.Tokens(length)
}

// digest is the hash that a stand-in engine returns as the first output token.
func (p Prompt) digest() uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(`"`)
	for _, part := range p.parts {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.WriteString(`"`)
	return hash.Sum64()
}
