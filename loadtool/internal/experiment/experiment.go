// Package experiment reads experiment files and draws their arrivals.
package experiment

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Kind classifies an Error.
type Kind string

// Conflict means that options contradict each other or that a required one is missing.
const Conflict Kind = "conflict"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Experiment describes a load. All times are simulated; in real time, the experiment runs Speed times as
// fast.
type Experiment struct {
	Name     string        `yaml:"name" validate:"required"`
	Seeds    []uint64      `yaml:"seeds" validate:"required,min=1"`
	Duration time.Duration `yaml:"duration" validate:"gt=0"`
	// WarmUp is the first part of Duration. Its requests do not count in the results.
	WarmUp time.Duration `yaml:"warm-up" validate:"gte=0"`
	Speed  float64       `yaml:"speed" validate:"gt=0"`
	Model  string        `yaml:"model" validate:"required"`
	// Rate is in requests per second. If it is 0, the rate that uses the share Utilisation of Capacity applies.
	Rate        float64  `yaml:"rate" validate:"gte=0"`
	Utilisation float64  `yaml:"utilisation" validate:"gte=0"`
	Capacity    Capacity `yaml:"capacity"`
	// TimeLimit is the time limit of each request.
	TimeLimit time.Duration `yaml:"time-limit" validate:"gt=0"`
	// CompareWithoutLong repeats each seed without the requests of long classes, to measure how much they
	// slow down the others.
	CompareWithoutLong bool `yaml:"compare-without-long"`
	// OnlyEntry marks experiments that the baselines cannot run, for example because of prompts that need a
	// group of engines.
	OnlyEntry  bool        `yaml:"only-entry"`
	Classes    []Class     `yaml:"classes" validate:"required,min=1,dive"`
	Workspaces []Workspace `yaml:"workspaces" validate:"required,min=1,dive"`
}

// Capacity describes the engines, so that the arrival rate can be derived from Utilisation.
type Capacity struct {
	Engines     int     `yaml:"engines" validate:"gte=0"`
	PrefillRate float64 `yaml:"prefill-rate" validate:"gte=0"`
	DecodeRate  float64 `yaml:"decode-rate" validate:"gte=0"`
	ChunkTokens int     `yaml:"chunk-tokens" validate:"gte=0"`
}

// Class is a length class. Lengths are drawn from a log-uniform distribution: each order of magnitude is
// equally probable.
type Class struct {
	Name   string  `yaml:"name" validate:"required"`
	Share  float64 `yaml:"share" validate:"gt=0"`
	Prompt Range   `yaml:"prompt"`
	Output Range   `yaml:"output"`
	Long   bool    `yaml:"long"`
}

// Range bounds a number of tokens.
type Range struct {
	Min int `yaml:"min" validate:"gte=1"`
	Max int `yaml:"max" validate:"gtefield=Min"`
}

// Workspace is a source of requests.
type Workspace struct {
	Name  string  `yaml:"name" validate:"required"`
	Key   string  `yaml:"key" validate:"required"`
	Share float64 `yaml:"share" validate:"gt=0"`
	// Prefix is the length in tokens of the shared prefix of the prompts that are longer than that.
	Prefix int `yaml:"prefix" validate:"gte=0"`
}

// Load reads an experiment file and checks it.
func Load(path string) (Experiment, error) {
	e := Experiment{Speed: 1, TimeLimit: 120 * time.Second}
	if err := settings.Load(path, &e); err != nil {
		return e, err
	}
	return e, e.validate()
}

func (e Experiment) validate() error {
	const op = "check experiment"
	if e.Rate == 0 && (e.Utilisation == 0 || e.Capacity.effectiveRate() == 0) {
		return fault.New(op, Conflict, "rate, or utilisation and capacity, must be set")
	}
	if e.WarmUp >= e.Duration {
		return fault.New(op, Conflict, "warm-up is %v; it must be less than duration, which is %v", e.WarmUp, e.Duration)
	}
	return nil
}

// effectiveRate returns the prompt tokens per second that all engines prefill while they also decode: each
// chunk then takes one decode step longer (docs/standin.md).
func (c Capacity) effectiveRate() float64 {
	if c.PrefillRate == 0 || c.DecodeRate == 0 {
		return 0
	}
	chunk := float64(c.ChunkTokens)
	return float64(c.Engines) * chunk / (chunk/c.PrefillRate + 1/c.DecodeRate)
}

// IdlePrefill returns the time that an idle engine without cached prefixes takes to prefill a prompt, or 0
// if no capacity is set.
func (c Capacity) IdlePrefill(tokens int) time.Duration {
	if c.PrefillRate == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / c.PrefillRate * float64(time.Second))
}

// ArrivalRate returns the arrival rate in requests per second.
func (e Experiment) ArrivalRate() float64 {
	if e.Rate > 0 {
		return e.Rate
	}
	return e.Utilisation * e.Capacity.effectiveRate() / e.meanPromptTokens()
}

func (e Experiment) meanPromptTokens() float64 {
	total, weight := 0.0, 0.0
	for _, c := range e.Classes {
		total += c.Share * c.Prompt.mean()
		weight += c.Share
	}
	return total / weight
}
