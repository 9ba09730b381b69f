package caller_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/caller"
)

// handlerTransport passes requests to a handler instead of sending them over a network.
type handlerTransport struct{ http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// streamTokens waits a second and then streams two tokens. change alters the lines before they are sent.
func streamTokens(change func(lines []string) []string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var fields struct{ Prompt json.RawMessage }
		if int64(len(body)) != r.ContentLength || json.Unmarshal(body, &fields) != nil {
			http.Error(w, "bad body", http.StatusBadRequest)
			return
		}
		time.Sleep(time.Second)
		w.Header().Set(endpoint.HeaderRequestID, "r")
		event := func(index int, text, rest string) string {
			return fmt.Sprintf(`data: {"request_id":"r","index":%d,"choices":[{"text":%q}]%s}`, index, text, rest)
		}
		usage := fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":2}`, endpoint.Tokens(len(fields.Prompt)))
		lines := []string{
			event(0, fmt.Sprintf("%016x", xxhash.Sum64(fields.Prompt)), ""),
			event(1, " 1234 abcd", ""),
			event(2, "", usage),
			"data: [DONE]",
		}
		for _, line := range change(lines) {
			_, _ = io.WriteString(w, line+"\n\n")
		}
	}
}

// Guards against counting incomplete responses, or responses to other requests, as completed, and
// against reporting failures with the wrong reason.
func TestCall(t *testing.T) {
	refusal := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"code":"overloaded"}}`)
	})
	neverResponds := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	change := func(old, replacement string) http.Handler {
		return streamTokens(func(lines []string) []string {
			return strings.Split(strings.Replace(strings.Join(lines, "\n"), old, replacement, 1), "\n")
		})
	}
	for name, test := range map[string]struct {
		handler http.Handler
		reason  string
	}{
		"complete":        {change("", ""), ""},
		"truncated":       {streamTokens(func(l []string) []string { return l[:3] }), caller.Truncated},
		"event missing":   {streamTokens(func(l []string) []string { return append(l[:1], l[2:]...) }), caller.WrongResponse},
		"event twice":     {streamTokens(func(l []string) []string { return append([]string{l[0]}, l...) }), caller.WrongResponse},
		"other request":   {change(`"request_id":"r"`, `"request_id":"s"`), caller.WrongResponse},
		"other prompt":    {change(`[{"text":"`, `[{"text":"x`), caller.WrongResponse},
		"too few tokens":  {change(`"completion_tokens":2`, `"completion_tokens":1`), caller.WrongResponse},
		"garbage":         {change(`{`, `[`), caller.WrongResponse},
		"error in stream": {change(`{"request_id"`, `{"error":{"code":"e"},"request_id"`), "stream-e"},
		"refused":         {refusal, "overloaded"},
		"never answered":  {neverResponds, caller.TimeLimit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := caller.Caller{Client: &http.Client{Transport: handlerTransport{test.handler}}}
				result := c.Call(t.Context(), caller.Request{
					Address: "entry", Model: "oak", Prompt: caller.NewPrompt("w", "id", 100, 3000), MaxTokens: 2,
					Scheduled: time.Now().Add(-time.Second), Limit: time.Minute,
				})
				is.Equal(result.Reason, test.reason)
				is.Equal(result.Refused, name == "refused")
				if name == "complete" {
					is.Equal(result.TimeToFirstToken, 2*time.Second) // counts from the scheduled arrival
					is.Equal(result.PromptTokens, 3000)
					is.Equal(result.EventGaps, []caller.EventGap{{Tokens: 2}}) // the event with the usage has no token
				}
			})
		})
	}
}

// Guards against prompts whose length differs from the requested number of tokens.
func TestPromptTokens(t *testing.T) {
	is := is.New(t)
	for _, tokens := range []int{1, 2, 100, 1024, 1_000_000} {
		is.Equal(caller.NewPrompt("workspace", "id", 512, tokens).Tokens(), tokens)
	}
}
