package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

const (
	defaultMaxTokens = 16
	// maxTokensLimit is the maximum of max_tokens, far above any context length.
	maxTokensLimit = 10_000_000
)

// input holds the fields of a request body that the engine uses. The raw JSON of prompt or messages is the prompt,
// as in the entries, so that both count and hash the same bytes. Decoding errors, which callers see, name the type.
type input struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// completionRequest describes a parsed request. It does not keep the text of the prompt.
type completionRequest struct {
	model          string
	stream         bool
	chat           bool
	tokens         int
	maxTokens      int
	digest         uint64
	blocks         []uint64
	hasCrashMarker bool
}

// readBody reads a body of at most maxBodyBytes, with a single allocation if its length is known.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength <= 0 || r.ContentLength > maxBodyBytes {
		return io.ReadAll(body)
	}
	data := make([]byte, r.ContentLength)
	_, err := io.ReadFull(body, data)
	return data, err
}

// parseBody decodes a body. The seed separates the prefix blocks of the workspaces. A prompt that contains the
// crash marker crashes the engine.
func parseBody(body []byte, chat bool, seed, crashMarker string) (completionRequest, *refusal.Error) {
	var in input
	if err := json.Unmarshal(body, &in); err != nil {
		return completionRequest{}, invalidRequest("the body is not a valid request: %v", err)
	}
	text := in.Prompt
	if chat {
		text = in.Messages
	}
	if !hasText(text, chat) {
		return completionRequest{}, invalidRequest("the prompt is missing or empty")
	}
	if seed == "" {
		seed = in.Model
	}
	completion := completionRequest{
		model:          in.Model,
		stream:         in.Stream,
		chat:           chat,
		tokens:         endpoint.Tokens(len(text)),
		maxTokens:      max(in.MaxTokens, in.MaxCompletionTokens),
		digest:         xxhash.Sum64(text),
		blocks:         prefix.HashBlocks(seed, text),
		hasCrashMarker: crashMarker != "" && bytes.Contains(text, []byte(crashMarker)),
	}
	if completion.maxTokens == 0 {
		completion.maxTokens = defaultMaxTokens
	}
	if min(in.MaxTokens, in.MaxCompletionTokens) < 0 || completion.maxTokens > maxTokensLimit {
		return completionRequest{}, invalidRequest("max_tokens must be from 1 to %d", maxTokensLimit)
	}
	return completion, nil
}

// hasText reports whether the JSON text is a non-empty list, or for completions a non-empty string.
func hasText(text []byte, chat bool) bool {
	if chat {
		return len(text) > len("[]") && text[0] == '['
	}
	return len(text) > len(`""`) && (text[0] == '"' || text[0] == '[')
}

func invalidRequest(format string, args ...any) *refusal.Error {
	e := refusal.New(http.StatusBadRequest, "invalid-request", refusal.DidNotRun, format, args...)
	return &e
}
