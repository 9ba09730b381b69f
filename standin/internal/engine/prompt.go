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
	// maxMaxTokens is far above any context length.
	maxMaxTokens = 10_000_000
)

// input is the part of a body that the engine uses. The JSON text of prompt or messages stands for
// the prompt, as it does for the entries, so that both count and hash the same bytes.
type input struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// prompt is what remains of a body once it has been read; the text itself is dropped.
type prompt struct {
	model     string
	stream    bool
	chat      bool
	tokens    int
	maxTokens int
	digest    uint64
	blocks    []uint64
	crash     bool
}

// read reads a body of at most maxBodyBytes with one allocation where its length is known.
func read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength <= 0 || r.ContentLength > maxBodyBytes {
		return io.ReadAll(body)
	}
	data := make([]byte, r.ContentLength)
	_, err := io.ReadFull(body, data)
	return data, err
}

// parse decodes a body. The seed keeps the prefix blocks of workspaces apart. The crash marker makes
// a prompt that contains it crash the engine.
func parse(body []byte, chat bool, seed, crashMarker string) (prompt, *refusal.Error) {
	var in input
	if err := json.Unmarshal(body, &in); err != nil {
		return prompt{}, invalid("the body is not a valid request: %v", err)
	}
	text := in.Prompt
	if chat {
		text = in.Messages
	}
	if !hasText(text, chat) {
		return prompt{}, invalid("the prompt is missing or empty")
	}
	if seed == "" {
		seed = in.Model
	}
	p := prompt{
		model:     in.Model,
		stream:    in.Stream,
		chat:      chat,
		tokens:    endpoint.Tokens(len(text)),
		maxTokens: max(in.MaxTokens, in.MaxCompletionTokens),
		digest:    xxhash.Sum64(text),
		blocks:    prefix.HashBlocks(seed, text),
		crash:     crashMarker != "" && bytes.Contains(text, []byte(crashMarker)),
	}
	if p.maxTokens == 0 {
		p.maxTokens = defaultMaxTokens
	}
	if min(in.MaxTokens, in.MaxCompletionTokens) < 0 || p.maxTokens > maxMaxTokens {
		return prompt{}, invalid("max_tokens must be from 1 to %d", maxMaxTokens)
	}
	return p, nil
}

// hasText reports whether the JSON text is a non-empty list, or for completions a non-empty string.
func hasText(text []byte, chat bool) bool {
	if chat {
		return len(text) > len("[]") && text[0] == '['
	}
	return len(text) > len(`""`) && (text[0] == '"' || text[0] == '[')
}

func invalid(format string, args ...any) *refusal.Error {
	e := refusal.New(http.StatusBadRequest, "invalid-request", refusal.DidNotRun, format, args...)
	return &e
}
