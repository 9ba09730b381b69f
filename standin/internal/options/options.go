// Package options holds the settings of each mode of standin.
package options

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Common are the settings of all modes.
type Common struct {
	Name     string `yaml:"name" validate:"required"`
	Listen   string `yaml:"listen" validate:"listen_address"`
	LogLevel string `yaml:"log-level" validate:"oneof=debug info warn error"`
	// Advertise is the announced address; empty means the listener's.
	Advertise  string `yaml:"advertise" validate:"omitempty,hostname_port"`
	DataCentre string `yaml:"data-centre"`
	Region     string `yaml:"region"`
	// AnnounceTo are platform addresses of entries. Without any, nothing is announced.
	AnnounceTo       []string      `yaml:"announce-to" validate:"dive,hostname_port"`
	AnnounceInterval time.Duration `yaml:"announce-interval" validate:"gt=0"`
	// DrainGrace is the time between the announcement of a stop and the refusal of new requests.
	DrainGrace time.Duration `yaml:"drain-grace" validate:"gte=0"`
	// StopTimeout bounds the wait for running requests at a stop.
	StopTimeout time.Duration `yaml:"stop-timeout" validate:"gte=0"`
	// Admin allows fault injection at /standin/faults; for tests only.
	Admin bool `yaml:"admin"`
}

// Fault is a fault that requests meet.
type Fault struct {
	Kind string `yaml:"kind" json:"kind" validate:"oneof=silent drip truncate duplicate reorder cross garbage close-after-read close-before-read"`
	// Marker restricts the fault to requests whose body contains it.
	Marker string `yaml:"marker" json:"marker"`
	// Count is the number of requests that meet the fault; 0 means all.
	Count int `yaml:"count" json:"count" validate:"gte=0"`
	// AfterEvents is the number of correct events before the fault.
	AfterEvents int `yaml:"after-events" json:"after-events" validate:"gte=0"`
	// Delay is the pause before each event of the kind drip.
	Delay time.Duration `yaml:"delay" json:"delay" validate:"gte=0"`
}

// Engine are the settings of a simulated engine. Rates and lags are simulated; Speed divides them.
type Engine struct {
	Common        `yaml:",inline"`
	Models        []string      `yaml:"models" validate:"required,min=1"`
	Version       string        `yaml:"version"`
	Adapters      []string      `yaml:"adapters"`
	Role          string        `yaml:"role"`
	ChecksFencing bool          `yaml:"checks-fencing"`
	Memory        int           `yaml:"memory" validate:"gt=0"`
	PrefillRate   float64       `yaml:"prefill-rate" validate:"gt=0"`
	DecodeRate    float64       `yaml:"decode-rate" validate:"gt=0"`
	ChunkTokens   int           `yaml:"chunk-tokens" validate:"gt=0"`
	MaxRunning    int           `yaml:"max-running" validate:"gt=0"`
	Speed         float64       `yaml:"speed" validate:"gt=0"`
	ReportLag     time.Duration `yaml:"report-lag" validate:"gte=0"`
	EventLag      time.Duration `yaml:"event-lag" validate:"gte=0"`
	// EventGap drops every n-th cache event; 0 drops none.
	EventGap int `yaml:"event-gap" validate:"gte=0"`
	// NotifyInterval is real time: the shortest time between two writes to a stream, apart from its
	// first and last event.
	NotifyInterval time.Duration `yaml:"notify-interval" validate:"gte=0"`
	TokensPerEvent int           `yaml:"tokens-per-event" validate:"gt=0"`
	// TransferRate is the rate of KV export and import in tokens a second.
	TransferRate float64 `yaml:"transfer-rate" validate:"gt=0"`
	// Weights is host:port of the weight store; empty means that loads take no time.
	Weights string `yaml:"weights" validate:"omitempty,hostname_port"`
	// CrashMarker in a prompt makes the process exit when the prefill of that prompt ends.
	CrashMarker string  `yaml:"crash-marker"`
	Faults      []Fault `yaml:"faults" validate:"dive"`
}

// Service are the settings of a plain service.
type Service struct {
	Common   `yaml:",inline"`
	Services []string      `yaml:"services" validate:"required,min=1"`
	Delay    time.Duration `yaml:"delay" validate:"gte=0"`
	Faults   []Fault       `yaml:"faults" validate:"dive"`
}

// Weights are the settings of a weight store.
type Weights struct {
	Common `yaml:",inline"`
	// Rate is in bytes a second over all downloads, Size the bytes of each version of a model.
	Rate int64 `yaml:"rate" validate:"gt=0"`
	Size int64 `yaml:"size" validate:"gt=0"`
}

func common() Common {
	return Common{
		Listen:           "127.0.0.1:0",
		LogLevel:         "info",
		AnnounceInterval: time.Second,
		DrainGrace:       time.Second,
		StopTimeout:      30 * time.Second,
	}
}

// DefaultEngine returns the settings that apply where a file says nothing.
func DefaultEngine() Engine {
	return Engine{
		Common:         common(),
		Role:           "mixed",
		Memory:         400_000,
		PrefillRate:    10_000,
		DecodeRate:     30,
		ChunkTokens:    2048,
		MaxRunning:     256,
		Speed:          1,
		ReportLag:      time.Second,
		EventLag:       500 * time.Millisecond,
		NotifyInterval: 5 * time.Millisecond,
		TokensPerEvent: 1,
		TransferRate:   1_000_000,
	}
}

// LoadEngine reads the settings of an engine.
func LoadEngine(path string) (Engine, error) {
	o := DefaultEngine()
	err := settings.Load(path, &o)
	return o, err
}

// LoadService reads the settings of a plain service.
func LoadService(path string) (Service, error) {
	o := Service{Common: common()}
	err := settings.Load(path, &o)
	return o, err
}

// LoadWeights reads the settings of a weight store.
func LoadWeights(path string) (Weights, error) {
	o := Weights{Common: common(), Rate: 100_000_000, Size: 100_000_000}
	err := settings.Load(path, &o)
	return o, err
}
