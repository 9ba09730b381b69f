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
	// EventTokens is the number of tokens in one event of a stream, which is also the number of decode steps in a pass.
	EventTokens int
	// Step is the fixed time of one step, StepPerRequest what each decoding request adds to it, and StepPerKiloToken what
	// each 1,000 tokens of their context add.
	Step             time.Duration
	StepPerRequest   time.Duration
	StepPerKiloToken time.Duration
	// PrefillRate is the prefill rate in prompt tokens per second, without attention.
	PrefillRate float64
	// PrefillPerMegaPair is the attention time of prefill for each million pairs of a prompt token and an earlier one.
	PrefillPerMegaPair time.Duration
	// ChunkTokens is the maximum number of prompt tokens that one step prefills.
	ChunkTokens int
	// UsualPrompt and UsualOutput are mean token counts of a request.
	UsualPrompt int
	UsualOutput int
	// ColdRate is the number of requests per second that a cold engine tolerates, of all callers together; 0 means any.
	ColdRate float64
}

const (
	// defaultEventTokens is used if the number of tokens in an event is not declared.
	defaultEventTokens = 16
	// defaultSlots is used if the number of slots is not declared.
	defaultSlots = 1
)

// WithDefaults returns the declaration with defaults for the fields that calculations need. Times that are not declared
// are 0.
func (e Engine) WithDefaults() Engine {
	if e.EventTokens <= 0 {
		e.EventTokens = defaultEventTokens
	}
	if e.Slots <= 0 {
		e.Slots = defaultSlots
	}
	return e
}

// PrefillTimePerToken returns the mean prefill time of one token of a prompt, including attention but not the fixed
// time of steps.
func (e Engine) PrefillTimePerToken(prompt int) time.Duration {
	var total time.Duration
	if e.PrefillRate > 0 {
		total = time.Duration(float64(time.Second) / e.PrefillRate)
	}
	pairs := float64(prompt) / 2
	return total + time.Duration(pairs/1e6*float64(e.PrefillPerMegaPair))
}

// PrefillTime returns the time in which one engine prefills its part of a prompt that is divided evenly.
func (e Engine) PrefillTime(prompt, parts int) time.Duration {
	part := float64(prompt) / float64(max(1, parts))
	total := time.Duration(part * float64(e.PrefillTimePerToken(prompt)))
	if e.ChunkTokens > 0 {
		steps := math.Ceil(part / float64(e.ChunkTokens))
		total += time.Duration(steps * float64(e.Step))
	}
	return total
}

// DecodeStepTime returns the time of one decode step for a number of streams. The context is the sum of theirs, in tokens.
func (e Engine) DecodeStepTime(streams, context int) time.Duration {
	return e.Step + time.Duration(streams)*e.StepPerRequest + time.Duration(float64(context)/1000*float64(e.StepPerKiloToken))
}

// DecodePassTime returns the time of a pass, which decodes one event for each of a number of streams, without prefill.
func (e Engine) DecodePassTime(streams, context int) time.Duration {
	return time.Duration(e.EventTokens) * e.DecodeStepTime(streams, context)
}
