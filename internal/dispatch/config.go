package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Holdings is the memory of engines, by endpoint address. *endpoint.Client implements it.
type Holdings interface {
	// Create reserves memory; an error means that it may or may not be reserved.
	Create(ctx context.Context, address string, holding endpoint.Holding) error
	Renew(ctx context.Context, address, id string, ttl time.Duration) error
	// Delete and Cancel succeed for an id that does not exist.
	Delete(ctx context.Context, address, id string) error
	List(ctx context.Context, address string) ([]endpoint.Holding, error)
	Cancel(ctx context.Context, address, attempt string) error
}

// Config sets up a Dispatcher. Functions may be called from several goroutines and must not block
// or call back into the dispatcher.
type Config struct {
	// Instance is the name of the entry; it is the holder of holdings.
	Instance string
	// Owns says whether this entry dispatches for the cell now; nil means always.
	Owns func(cell string) bool
	// Cells returns the number of cells of a model by the name of its first one; nil means one.
	Cells func(first string) int
	// Share is called in a goroutine of Run to tell another cell of the same model of a crash; nil means
	// that each cell knows only its own.
	Share    func(request ShareRequest)
	Holdings Holdings
	Settings Settings
	// Clock returns the time; nil means time.Now.
	Clock  func() time.Time
	Logger *zap.Logger
	// Quarantined says whether the configuration quarantines a fingerprint; nil means never.
	Quarantined func(fingerprint uint64) bool
	// Quarantine is called in a goroutine of Run for each new quarantine; nil means that only this
	// dispatcher knows of it.
	Quarantine func(fingerprint uint64)
	// EndpointDrained says whether an operator drains an endpoint; nil means never.
	EndpointDrained func(endpoint string) bool
	// Jitter returns a number in [0, 1); nil means math/rand/v2.
	Jitter func() float64
}

// LengthClass groups prompts by length.
type LengthClass int

const (
	// Short prompts have fewer than shortTokens tokens.
	Short LengthClass = iota
	// Medium prompts are between the two.
	Medium
	// Long prompts have more than longTokens tokens.
	Long
	lengthClassCount
)

const (
	shortBelowTokens = 4_000
	longAboveTokens  = 100_000
)

// Length returns the class of a prompt.
func Length(promptTokens int) LengthClass {
	switch {
	case promptTokens < shortBelowTokens:
		return Short
	case promptTokens > longAboveTokens:
		return Long
	default:
		return Medium
	}
}

// String names the class in settings, reports and the ledger.
func (c LengthClass) String() string {
	switch c {
	case Short:
		return "short"
	case Long:
		return "long"
	default:
		return "medium"
	}
}

// ClassWeights are weights by length class.
type ClassWeights struct {
	Short  float64 `yaml:"short" validate:"gte=0"`
	Medium float64 `yaml:"medium" validate:"gte=0"`
	Long   float64 `yaml:"long" validate:"gte=0"`
}

func (w ClassWeights) of(class LengthClass) float64 {
	switch class {
	case Short:
		return w.Short
	case Long:
		return w.Long
	default:
		return w.Medium
	}
}

// Settings are the dispatcher's options.
type Settings struct {
	// OwnWeight multiplies the expected time to first token of the request that is being placed.
	OwnWeight ClassWeights `yaml:"own-weight"`
	// OthersWeight multiplies the delay that the placement adds to each request already there.
	OthersWeight ClassWeights `yaml:"others-weight"`
	// ChunkTokens is the part of a prefill that an engine finishes before it turns to work of a higher
	// priority.
	ChunkTokens int `yaml:"chunk-tokens" validate:"gte=0"`
	// DecodeInterference is the share of a prefill's time that counts as delay of each running stream. An
	// engine whose steps have both prefill and decode delays them by all of it, but a stream that pauses
	// is worth less than a first token: with 1, short prompts queued behind each other rather than join
	// streams, and their p95 time to first token at 70 % load was 0.89 s instead of 0.67 s with 0.1.
	DecodeInterference float64 `yaml:"decode-interference" validate:"gte=0,lte=1"`
	// DecodeWeight adds to the own time to first token, with this weight, the time by which prefills
	// that are already there would delay the own stream; 0 leaves it out.
	DecodeWeight float64 `yaml:"decode-weight" validate:"gte=0"`
	// ShortReserve is the share of a cell's replicas, rounded down, that prefills of medium and long
	// prompts leave to short ones. In trials at 70 % load of 16 replicas, 0.125 lowered the p95 of short
	// prompts from 1.14 to 1.09 times that without long prompts; that of long prompts stayed at 41.7 s.
	ShortReserve float64 `yaml:"short-reserve" validate:"gte=0,lt=1"`
	// Headroom is the largest expected wait at an engine; work that would wait longer stays in the
	// fair queue, where it can still go to any engine.
	Headroom time.Duration `yaml:"headroom" validate:"gt=0"`
	// AgeingFactor times the expected prefill is added to the arrival time to form the priority;
	// AgeingLimit bounds the product. A prompt is never overtaken by one that arrives later than that.
	AgeingFactor float64       `yaml:"ageing-factor" validate:"gte=0"`
	AgeingLimit  time.Duration `yaml:"ageing-limit" validate:"gt=0"`
	// ClassStep is the wait that raises a request by one workspace priority class.
	ClassStep time.Duration `yaml:"class-step" validate:"gt=0"`
	// QueueLimit and WorkspaceQueueLimit bound the waiting reservations of a cell and of a workspace.
	QueueLimit          int `yaml:"queue-limit" validate:"gt=0"`
	WorkspaceQueueLimit int `yaml:"workspace-queue-limit" validate:"gt=0"`
	// ServiceConcurrency bounds the grants at one plain service.
	ServiceConcurrency int `yaml:"service-concurrency" validate:"gt=0"`
	// PrefillRate and DecodeRate, in tokens a second, apply until they are measured; DecodeRate is for
	// one stream.
	PrefillRate float64 `yaml:"prefill-rate" validate:"gt=0"`
	DecodeRate  float64 `yaml:"decode-rate" validate:"gt=0"`
	// BreakerFailures is the number of consecutive failures that open a circuit breaker; it stays open
	// for BreakerBackOff, doubled at each failed probe up to BreakerMaxBackOff.
	BreakerFailures   int           `yaml:"breaker-failures" validate:"gt=0"`
	BreakerBackOff    time.Duration `yaml:"breaker-back-off" validate:"gt=0"`
	BreakerMaxBackOff time.Duration `yaml:"breaker-max-back-off" validate:"gt=0"`
}

// Priority is the engine priority in milliseconds: the arrival, plus the expected prefill at a rate in tokens
// a second times the ageing factor, plus a step for each workspace priority class. It does not change with
// time, so work is overtaken only by what arrives within a bounded time after it.
func (s *Settings) Priority(arrival time.Time, request ReserveRequest, rate float64) int64 {
	prefill := float64(request.PromptTokens) / rate * s.AgeingFactor
	ageing := min(s.AgeingLimit, time.Duration(prefill*float64(time.Second)))
	class := time.Duration(request.Priority) * s.ClassStep
	return arrival.Add(ageing + class).UnixMilli()
}

// DefaultSettings returns settings between the two samples: a second is worth less to prompts whose time
// to first token is longer anyway.
func DefaultSettings() Settings {
	return Settings{
		OwnWeight:           ClassWeights{Short: 1, Medium: 1, Long: 1},
		OthersWeight:        ClassWeights{Short: 1, Medium: 1, Long: 1},
		ChunkTokens:         2048,
		DecodeInterference:  0.1,
		ShortReserve:        0.125,
		Headroom:            500 * time.Millisecond,
		AgeingFactor:        2,
		AgeingLimit:         30 * time.Second,
		ClassStep:           5 * time.Second,
		QueueLimit:          2048,
		WorkspaceQueueLimit: 512,
		ServiceConcurrency:  64,
		PrefillRate:         10_000,
		DecodeRate:          30,
		BreakerFailures:     5,
		BreakerBackOff:      time.Second,
		BreakerMaxBackOff:   30 * time.Second,
	}
}

// LongPromptSettings returns the sample settings of a deployment that weighs the time to first token
// of long prompts higher: long prompts go where they start first, and wait for few later arrivals.
func LongPromptSettings() Settings {
	s := DefaultSettings()
	s.OwnWeight = ClassWeights{Short: 1, Medium: 1, Long: 4}
	s.OthersWeight = ClassWeights{Short: 0.5, Medium: 0.5, Long: 2}
	s.AgeingFactor = 1
	s.AgeingLimit = 15 * time.Second
	return s
}

// ShortSlowdownSettings returns the sample settings of a deployment that weighs the slowdown of short
// requests higher: long prompts go where they delay the fewest short ones, and let them pass; short
// ones avoid engines whose prefills would slow their streams.
func ShortSlowdownSettings() Settings {
	s := DefaultSettings()
	s.OwnWeight = ClassWeights{Short: 4, Medium: 1, Long: 0.5}
	s.OthersWeight = ClassWeights{Short: 4, Medium: 1, Long: 0.5}
	s.DecodeWeight = 1
	s.AgeingFactor = 4
	s.AgeingLimit = 60 * time.Second
	return s
}
