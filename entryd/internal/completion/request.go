// Package completion serves model requests: it validates them, reserves budget and endpoints, and passes the
// engine's response on to the caller.
package completion

import (
	"errors"
	"net/http"

	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// Paths of the public API that this package serves.
const (
	ChatPath = "/v1/chat/completions"
	TextPath = "/v1/completions"
)

// Request holds the fields of a body that an entry needs; the body itself is forwarded unchanged.
type Request struct {
	Model  string
	Stream bool
	// MaxTokens is the limit of the completion; 0 when the caller gave none.
	MaxTokens int
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Blocks are the chained hashes of the prompt's prefix blocks.
	Blocks []uint64
}

// maxTokensLimit bounds max_tokens; no model completes more.
const maxTokensLimit = 10_000_000

// maxModelNameBytes bounds the length of a model's name.
const maxModelNameBytes = 256

// Parse reads the fields of the body that the entry needs. Errors are of type refusal.Error.
func Parse(path string, body []byte) (Request, error) {
	parser := parser{promptField: "messages", seen: make(map[string]struct{})}
	if path == TextPath {
		parser.promptField = "prompt"
	}
	err := field.Scan(body, parser.visit)
	var refused refusal.Error
	switch {
	case errors.As(err, &refused):
		return Request{}, refused
	case fault.Is(err, field.NotObject):
		return Request{}, invalidRequest("", "The body must be a JSON object.")
	case err != nil:
		return Request{}, invalidRequest("", "The body is not valid JSON.")
	case parser.request.Model == "":
		return Request{}, invalidRequest("model", "The field model is missing.")
	case parser.prompt == nil:
		return Request{}, invalidRequest(parser.promptField, "The field "+parser.promptField+" is missing.")
	}
	parser.request.PromptTokens, parser.request.Blocks = hashPrompt(parser.request.Model, parser.prompt)
	return parser.request, nil
}

type parser struct {
	promptField string
	request     Request
	// prompt is the raw JSON of the messages or the prompt in the body.
	prompt []byte
	seen   map[string]struct{}
}

func (p *parser) visit(key, value []byte) error {
	name := string(key)
	switch name {
	case "model", "stream", "max_tokens", "max_completion_tokens", "n", "best_of", p.promptField:
	default:
		return nil
	}
	if _, ok := p.seen[name]; ok {
		return invalidRequest(name, "The field "+name+" occurs more than once.")
	}
	p.seen[name] = struct{}{}
	switch name {
	case "model":
		return p.setModel(value)
	case "stream":
		return p.setStream(value)
	case "max_tokens", "max_completion_tokens":
		return p.setMaxTokens(name, value)
	case "n", "best_of":
		return requireOne(name, value)
	default:
		return p.setPrompt(value)
	}
}

func (p *parser) setModel(value []byte) error {
	text, err := field.Text(value)
	if err != nil || len(text) == 0 || len(text) > maxModelNameBytes {
		return invalidRequest("model", "The field model must be the name of a model.")
	}
	p.request.Model = string(text)
	return nil
}

func (p *parser) setStream(value []byte) error {
	if isNull(value) {
		return nil
	}
	stream, err := field.Bool(value)
	if err != nil {
		return invalidRequest("stream", "The field stream must be true or false.")
	}
	p.request.Stream = stream
	return nil
}

// setMaxTokens keeps the larger of the two fields, so that the reserved budget covers whichever of them the
// engine reads.
func (p *parser) setMaxTokens(name string, value []byte) error {
	if isNull(value) {
		return nil
	}
	n, err := field.Int(value)
	if err != nil || n < 1 || n > maxTokensLimit {
		return invalidRequest(name, "The field "+name+" must be an integer from 1 to 10000000.")
	}
	p.request.MaxTokens = max(p.request.MaxTokens, int(n))
	return nil
}

// requireOne refuses several completions for one prompt, because a stream has one sequence of events.
func requireOne(name string, value []byte) error {
	if n, err := field.Int(value); !isNull(value) && (err != nil || n != 1) {
		return invalidRequest(name, "The field "+name+" must be 1.")
	}
	return nil
}

func (p *parser) setPrompt(value []byte) error {
	switch {
	case p.promptField == "messages" && value[0] != '[':
		return invalidRequest(p.promptField, "The field messages must be a list.")
	case p.promptField == "prompt" && value[0] != '"':
		return invalidRequest(p.promptField, "The field prompt must be a string.")
	}
	if p.promptField == "messages" {
		if err := checkMessages(value); err != nil {
			return err
		}
	}
	if len(value) == len(`""`) {
		return invalidRequest(p.promptField, "The field "+p.promptField+" is empty.")
	}
	p.prompt = value
	return nil
}

func checkMessages(list []byte) error {
	count := 0
	err := field.Elements(list, func(value []byte) error {
		count++
		if value[0] != '{' {
			return invalidRequest("messages", "Each of the messages must be an object.")
		}
		return nil
	})
	if err == nil && count == 0 {
		return invalidRequest("messages", "The field messages is empty.")
	}
	return err
}

func isNull(value []byte) bool {
	return string(value) == "null"
}

func invalidRequest(param, message string) refusal.Error {
	return refusal.New(http.StatusBadRequest, "invalid-request", refusal.DidNotRun, "%s", message).WithParam(param)
}
