package placement

import (
	"math"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// profile gives the times of an engine's work, by its declaration.
type profile struct {
	routing.Engine
}

// defaultEventTokens stands in for a declaration without the number of tokens in an event.
const defaultEventTokens = 16

// newProfile returns the profile of an engine. What is not declared costs nothing.
func newProfile(e routing.Engine) profile {
	if e.EventTokens <= 0 {
		e.EventTokens = defaultEventTokens
	}
	if e.Slots <= 0 {
		e.Slots = 1
	}
	return profile{e}
}

// read returns the time in which one engine reads its part of a prompt that is read in even parts.
func (p profile) read(tokens, parts int) time.Duration {
	t, n := float64(tokens), float64(max(1, parts))
	var total time.Duration
	if p.ReadRate > 0 {
		total += time.Duration(t / n / p.ReadRate * float64(time.Second))
	}
	megaPairs := t * t / 2 / 1e6
	total += time.Duration(megaPairs / n * float64(p.ReadPerMegaPair))
	if p.Chunk > 0 {
		steps := math.Ceil(t / n / float64(p.Chunk))
		total += time.Duration(steps * float64(p.Step))
	}
	return total
}

// pass returns the time of a pass that writes one event for each of some requests, without reading.
func (p profile) pass(writers, context int) time.Duration {
	step := p.Step + time.Duration(writers)*p.StepPerRequest +
		time.Duration(float64(context)/1000*float64(p.StepPerKiloToken))
	return time.Duration(p.EventTokens) * step
}
