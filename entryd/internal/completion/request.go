// Package completion serves model requests: it checks them, reserves budget and endpoints, and passes
// the engine's response through to the caller.
package completion

import (
	"errors"
	"net/http"

	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// Paths of the callers' API that this package serves.
const (
	ChatPath = "/v1/chat/completions"
	TextPath = "/v1/completions"
)

// Request is what an entry needs to know of a body; the body itself is forwarded unchanged.
type Request struct {
	Model  string
	Stream bool
	// MaxTokens is the bound of the completion; 0 when the caller gave none.
	MaxTokens int
	// Prompt is the JSON text of the messages or the prompt, as it stands in the body.
	Prompt []byte
}

// PromptTokens is the estimate of the prompt's length.
func (r Request) PromptTokens() int {
	return endpoint.Tokens(len(r.Prompt))
}

// maxMaxTokens bounds max_tokens; no model completes more.
const maxMaxTokens = 10_000_000

// maxModelName bounds the length of a model's name in bytes.
const maxModelName = 256

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
		return Request{}, invalid("", "The body must be a JSON object.")
	case err != nil:
		return Request{}, invalid("", "The body is not valid JSON.")
	case parser.request.Model == "":
		return Request{}, invalid("model", "The field model is missing.")
	case parser.request.Prompt == nil:
		return Request{}, invalid(parser.promptField, "The field "+parser.promptField+" is missing.")
	}
	return parser.request, nil
}

type parser struct {
	promptField string
	request     Request
	seen        map[string]struct{}
}

func (p *parser) visit(key, value []byte) error {
	name := string(key)
	switch name {
	case "model", "stream", "max_tokens", "max_completion_tokens", "n", "best_of", p.promptField:
	default:
		return nil
	}
	if _, ok := p.seen[name]; ok {
		return invalid(name, "The field "+name+" occurs more than once.")
	}
	p.seen[name] = struct{}{}
	switch name {
	case "model":
		return p.model(value)
	case "stream":
		return p.stream(value)
	case "max_tokens", "max_completion_tokens":
		return p.maxTokens(name, value)
	case "n", "best_of":
		return single(name, value)
	default:
		return p.prompt(value)
	}
}

func (p *parser) model(value []byte) error {
	text, err := field.Text(value)
	if err != nil || len(text) == 0 || len(text) > maxModelName {
		return invalid("model", "The field model must be the name of a model.")
	}
	p.request.Model = string(text)
	return nil
}

func (p *parser) stream(value []byte) error {
	if isNull(value) {
		return nil
	}
	stream, err := field.Bool(value)
	if err != nil {
		return invalid("stream", "The field stream must be true or false.")
	}
	p.request.Stream = stream
	return nil
}

// maxTokens takes the larger of the two fields, so that the hold covers what an engine may read.
func (p *parser) maxTokens(name string, value []byte) error {
	if isNull(value) {
		return nil
	}
	n, err := field.Int(value)
	if err != nil || n < 1 || n > maxMaxTokens {
		return invalid(name, "The field "+name+" must be an integer from 1 to 10000000.")
	}
	p.request.MaxTokens = max(p.request.MaxTokens, int(n))
	return nil
}

// single refuses several completions for one prompt: a stream has one sequence of events.
func single(name string, value []byte) error {
	if n, err := field.Int(value); !isNull(value) && (err != nil || n != 1) {
		return invalid(name, "The field "+name+" must be 1.")
	}
	return nil
}

func (p *parser) prompt(value []byte) error {
	list := value[0] == '['
	text := value[0] == '"'
	switch {
	case p.promptField == "messages" && !list:
		return invalid(p.promptField, "The field messages must be a list.")
	case !list && !text:
		return invalid(p.promptField, "The field prompt must be a string or a list.")
	case list && field.Empty(value), text && len(value) == len(`""`):
		return invalid(p.promptField, "The field "+p.promptField+" is empty.")
	}
	p.request.Prompt = value
	return nil
}

func isNull(value []byte) bool {
	return string(value) == "null"
}

func invalid(param, message string) refusal.Error {
	return refusal.New(http.StatusBadRequest, "invalid-request", refusal.DidNotRun, "%s", message).WithParam(param)
}
