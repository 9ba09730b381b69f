package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Holdings manages holdings, the reservations of KV memory at engines, by endpoint address.
// *endpoint.Client implements it.
type Holdings interface {
	// Create reserves memory. After an error the memory may or may not be reserved.
	Create(ctx context.Context, address string, holding endpoint.Holding) error
	Renew(ctx context.Context, address, id string, ttl time.Duration) error
	// Delete and Cancel succeed for an ID that does not exist.
	Delete(ctx context.Context, address, id string) error
	List(ctx context.Context, address string) ([]endpoint.Holding, error)
	Cancel(ctx context.Context, address, attempt string) error
}

// Config configures a Dispatcher. Its functions may be called from several goroutines and must neither
// block nor call the dispatcher.
type Config struct {
	// Instance is the name of the entry, under which holdings are created.
	Instance string
	// Owns reports whether this entry currently dispatches for the cell; nil means always.
	Owns func(cell string) bool
	// CellCount returns the number of cells of a model, given the name of its first cell; nil means one.
	CellCount func(first string) int
	// SendShare sends what this cell knows about crashes to another cell of the same model. It is called in a
	// goroutine of Run. nil means that each cell knows only about its own crashes.
	SendShare func(request ShareRequest)
	Holdings  Holdings
	Settings  Settings
	// Clock returns the time; nil means time.Now.
	Clock  func() time.Time
	Logger *zap.Logger
	// Quarantined reports whether the configuration quarantines a fingerprint; nil means never.
	Quarantined func(fingerprint uint64) bool
	// OnQuarantine is called in a goroutine of Run for each new quarantine; nil means that quarantines stay
	// local to this dispatcher.
	OnQuarantine func(fingerprint uint64)
	// EndpointDrained reports whether an operator drains an endpoint or its data centre; nil means never.
	EndpointDrained func(endpoint, dataCentre string) bool
	// Jitter returns a random number in [0, 1); nil means rand.Float64 of math/rand/v2.
	Jitter func() float64
}

// LengthClass classifies prompts by length.
type LengthClass int

const (
	// Short prompts have fewer than shortBelowTokens tokens.
	Short LengthClass = iota
	// Medium prompts are neither short nor long.
	Medium
	// Long prompts have more than longAboveTokens tokens.
	Long
	lengthClassCount
)

const (
	shortBelowTokens = 4_000
	longAboveTokens  = 100_000
)

// LengthClassOf returns the length class of a prompt.
func LengthClassOf(promptTokens int) LengthClass {
	switch {
	case promptTokens < shortBelowTokens:
		return Short
	case promptTokens > longAboveTokens:
		return Long
	default:
		return Medium
	}
}

// String returns the name of the class in settings, reports and the ledger.
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

// ClassWeights has a weight for each length class.
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

// Settings tunes the dispatcher.
type Settings struct {
	// OwnWeight multiplies the expected time to first token of the request being placed, in the cost of a
	// replica.
	OwnWeight ClassWeights `yaml:"own-weight"`
	// OthersWeight multiplies the delay that the placement adds to each request already at the replica.
	OthersWeight ClassWeights `yaml:"others-weight"`
	// ChunkTokens is the prefill chunk size of the engines in tokens. An engine finishes the current chunk
	// before it starts work of higher priority.
	ChunkTokens int `yaml:"chunk-tokens" validate:"gte=0"`
	// DecodeInterference is the fraction of a prefill's time that counts as delay of each running stream.
	// An engine that mixes prefill and decode in its steps delays the streams by the whole time, but a
	// pause in a stream matters less than a late first token. With 1, short prompts queued behind each
	// other instead of joining engines with running streams, and their p95 time to first token at 70 %
	// load was 0.89 s; with 0.1 it was 0.67 s.
	DecodeInterference float64 `yaml:"decode-interference" validate:"gte=0,lte=1"`
	// DecodeWeight is the weight, relative to the request's time to first token, of the time by which
	// prefills already at the replica would delay the request's own stream; 0 ignores that delay.
	DecodeWeight float64 `yaml:"decode-weight" validate:"gte=0"`
	// ShortReserve is the fraction of a cell's replicas, rounded down, that is reserved for short prompts:
	// prefills of medium and long prompts do not use it. In trials at 70 % load of 16 replicas, 0.125
	// lowered the p95 time to first token of short prompts from 1.14 to 1.09 times its value without long
	// prompts; that of long prompts stayed at 41.7 s.
	ShortReserve float64 `yaml:"short-reserve" validate:"gte=0,lt=1"`
	// Headroom is the longest expected wait at an engine with which a request is still granted. A request
	// that would wait longer stays in the fair queue, from which it can still go to any engine.
	Headroom time.Duration `yaml:"headroom" validate:"gt=0"`
	// AgeingFactor times the expected prefill time, at most AgeingLimit, is added to the arrival time to
	// form the engine priority. A prompt that arrives later than that sum never overtakes the earlier one.
	AgeingFactor float64       `yaml:"ageing-factor" validate:"gte=0"`
	AgeingLimit  time.Duration `yaml:"ageing-limit" validate:"gt=0"`
	// ClassStep is the waiting time after which a request moves up by one workspace priority class.
	ClassStep time.Duration `yaml:"class-step" validate:"gt=0"`
	// QueueLimit and WorkspaceQueueLimit limit the queued reservations of a cell and of one workspace.
	QueueLimit          int `yaml:"queue-limit" validate:"gt=0"`
	WorkspaceQueueLimit int `yaml:"workspace-queue-limit" validate:"gt=0"`
	// ServiceConcurrency limits the concurrent grants at one plain service.
	ServiceConcurrency int `yaml:"service-concurrency" validate:"gt=0"`
	// PrefillRate and DecodeRate, in tokens per second, are assumed until an engine's rates are measured;
	// DecodeRate is for one stream.
	PrefillRate float64 `yaml:"prefill-rate" validate:"gt=0"`
	DecodeRate  float64 `yaml:"decode-rate" validate:"gt=0"`
	// BreakerFailures is the number of consecutive failures that open a circuit breaker. It stays open
	// for BreakerBackOff, which doubles with each failed probe up to BreakerMaxBackOff.
	BreakerFailures   int           `yaml:"breaker-failures" validate:"gt=0"`
	BreakerBackOff    time.Duration `yaml:"breaker-back-off" validate:"gt=0"`
	BreakerMaxBackOff time.Duration `yaml:"breaker-max-back-off" validate:"gt=0"`
}

// Priority returns the engine priority in Unix milliseconds: the arrival time, plus the expected prefill
// time (at rate tokens per second) times the ageing factor, plus one step for each workspace priority
// class. It does not change with time, so a request is overtaken only by requests that arrive within a
// bounded time after it.
func (s *Settings) Priority(arrival time.Time, request ReserveRequest, rate float64) int64 {
	prefill := float64(request.PromptTokens) / rate * s.AgeingFactor
	ageing := min(s.AgeingLimit, time.Duration(prefill*float64(time.Second)))
	class := time.Duration(request.Priority) * s.ClassStep
	return arrival.Add(ageing + class).UnixMilli()
}

// DefaultSettings returns settings between those of LongPromptSettings and ShortSlowdownSettings. Longer
// prefills get a lower priority, because a second of delay matters less to a prompt whose time to first
// token is long anyway.
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

// LongPromptSettings returns sample settings that favour the time to first token of long prompts: long
// prompts go to the replica where they start first, and few later requests overtake them.
func LongPromptSettings() Settings {
	s := DefaultSettings()
	s.OwnWeight = ClassWeights{Short: 1, Medium: 1, Long: 4}
	s.OthersWeight = ClassWeights{Short: 0.5, Medium: 0.5, Long: 2}
	s.AgeingFactor = 1
	s.AgeingLimit = 15 * time.Second
	return s
}

// ShortSlowdownSettings returns sample settings that favour a low slowdown of short requests: long
// prompts go to the replica where they delay the fewest short ones, and are overtaken by short ones;
// short ones avoid engines whose prefills would slow their streams.
func ShortSlowdownSettings() Settings {
	s := DefaultSettings()
	s.OwnWeight = ClassWeights{Short: 4, Medium: 1, Long: 0.5}
	s.OthersWeight = ClassWeights{Short: 4, Medium: 1, Long: 0.5}
	s.DecodeWeight = 1
	s.AgeingFactor = 4
	s.AgeingLimit = 60 * time.Second
	return s
}
