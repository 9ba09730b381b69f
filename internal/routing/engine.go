package routing

import (
	"math"
	"time"
)

// Engine describes the model engines of a service as their operator declares them.
type Engine struct {
	// Slots is the number of requests that an engine processes at a time.
	Slots int
	// Memory is the KV-cache capacity in tokens.
	Memory int
	// EventTokens is the number of tokens in one event of a stream; a pass runs as many steps.
	EventTokens int
	// Step is the time of one token step, StepPerRequest what each writing request adds to it, and
	// StepPerKiloToken what each 1,000 tokens of their context add.
	Step             time.Duration
	StepPerRequest   time.Duration
	StepPerKiloToken time.Duration
	// ReadRate is in prompt tokens a second.
	ReadRate float64
	// ReadPerMegaPair is the time for each million pairs of a prompt token and an earlier one.
	ReadPerMegaPair time.Duration
	// Chunk bounds the prompt tokens that one step reads.
	Chunk int
	// UsualPrompt and UsualOutput are mean token counts of a request.
	UsualPrompt int
	UsualOutput int
}

const (
	// defaultEventTokens stands in for a declaration without the number of tokens in an event.
	defaultEventTokens = 16
	// defaultSlots stands in for a declaration without slots.
	defaultSlots = 1
)

// WithDefaults returns the declaration with defaults for what a model needs. Times that are not declared are 0.
func (e Engine) WithDefaults() Engine {
	if e.EventTokens <= 0 {
		e.EventTokens = defaultEventTokens
	}
	if e.Slots <= 0 {
		e.Slots = defaultSlots
	}
	return e
}

// TokenTime returns the mean time of reading one token of a prompt, with its pairs and without steps.
func (e Engine) TokenTime(prompt int) time.Duration {
	var total time.Duration
	if e.ReadRate > 0 {
		total = time.Duration(float64(time.Second) / e.ReadRate)
	}
	pairs := float64(prompt) / 2
	return total + time.Duration(pairs/1e6*float64(e.ReadPerMegaPair))
}

// ReadTime returns the time in which one engine reads its part of a prompt that is read in even parts.
func (e Engine) ReadTime(prompt, parts int) time.Duration {
	part := float64(prompt) / float64(max(1, parts))
	total := time.Duration(part * float64(e.TokenTime(prompt)))
	if e.Chunk > 0 {
		steps := math.Ceil(part / float64(e.Chunk))
		total += time.Duration(steps * float64(e.Step))
	}
	return total
}

// StepTime returns the time of one step that writes a token for each of some requests. The context is the sum
// of theirs, in tokens.
func (e Engine) StepTime(writers, context int) time.Duration {
	return e.Step + time.Duration(writers)*e.StepPerRequest + time.Duration(float64(context)/1000*float64(e.StepPerKiloToken))
}

// PassTime returns the time of a pass that writes one event for each of some requests, without reading.
func (e Engine) PassTime(writers, context int) time.Duration {
	return time.Duration(e.EventTokens) * e.StepTime(writers, context)
}
