package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

const (
	defaultMaxTokens = 16
	maxMaxTokens     = 1 << 17
)

// input is the part of a body that the engine uses.
type input struct {
	Model               string    `json:"model"`
	Prompt              string    `json:"prompt"`
	Messages            []message `json:"messages"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a string or a list of parts, of which the text counts.
type content string

// UnmarshalJSON accepts both forms of the OpenAI API.
func (c *content) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte(`"`)) {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	*c = content(text.String())
	return nil
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

// parse decodes a body. The crash marker makes a prompt that contains it crash the engine.
func parse(body []byte, chat bool, crashMarker string) (prompt, *refusal.Error) {
	var in input
	if err := json.Unmarshal(body, &in); err != nil {
		return prompt{}, invalid("the body is not a valid request: %v", err)
	}
	text := []byte(in.Prompt)
	in.Prompt = ""
	if chat {
		text = chatText(in.Messages)
		in.Messages = nil
	}
	if len(text) == 0 {
		return prompt{}, invalid("the prompt is empty")
	}
	p := prompt{
		model:     in.Model,
		stream:    in.Stream,
		chat:      chat,
		tokens:    endpoint.Tokens(len(text)),
		maxTokens: defaultMaxTokens,
		digest:    xxhash.Sum64(text),
		blocks:    prefix.Blocks(in.Model, text),
		crash:     crashMarker != "" && bytes.Contains(text, []byte(crashMarker)),
	}
	for _, limit := range []*int{in.MaxTokens, in.MaxCompletionTokens} {
		if limit != nil {
			p.maxTokens = *limit
		}
	}
	if p.maxTokens < 1 || p.maxTokens > maxMaxTokens {
		return prompt{}, invalid("max_tokens is %d; it must be from 1 to %d", p.maxTokens, maxMaxTokens)
	}
	return p, nil
}

func invalid(format string, args ...any) *refusal.Error {
	e := refusal.New(http.StatusBadRequest, "invalid-request", refusal.DidNotRun, format, args...)
	return &e
}

// chatText joins roles and contents of messages into the prompt.
func chatText(messages []message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	text := make([]byte, 0, size)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return text
}
