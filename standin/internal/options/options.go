// Package options holds the settings of each mode of standin.
package options

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Common are the settings of all modes.
type Common struct {
	Name             string        `yaml:"name" validate:"required" description:"Name of the endpoint, unique in the deployment."`
	Listen           string        `yaml:"listen" validate:"listen_address" description:"Address of the endpoint."`
	LogLevel         string        `yaml:"log-level" validate:"oneof=debug info warn error" description:"Least level of log lines."`
	Advertise        string        `yaml:"advertise" validate:"omitempty,hostname_port" description:"Announced address; empty means the address listened on."`
	DataCentre       string        `yaml:"data-centre" description:"Announced data centre."`
	Region           string        `yaml:"region" description:"Announced region."`
	AnnounceTo       []string      `yaml:"announce-to" validate:"dive,hostname_port" description:"Platform addresses of entries; without any, nothing is announced."`
	AnnounceInterval time.Duration `yaml:"announce-interval" validate:"gt=0" description:"Time between two announcements."`
	DrainGrace       time.Duration `yaml:"drain-grace" validate:"gte=0" description:"Time between the announcement of a stop and the refusal of new requests."`
	StopTimeout      time.Duration `yaml:"stop-timeout" validate:"gte=0" description:"Longest wait for running requests at a stop."`
	Admin            bool          `yaml:"admin" description:"Allow POST and DELETE /standin/faults; for tests only."`
	TLS              TLS           `yaml:"tls"`
}

// TLS selects the certificate files and the connections that use them. Engines of a group call each other
// over TLS if Serve is set.
type TLS struct {
	certificate.Files `yaml:",inline"`

	Serve    bool `yaml:"serve" description:"Serve over TLS; needs the ca too, against which the members of a group are verified."`
	Clients  bool `yaml:"clients" description:"Refuse clients without a certificate of the ca."`
	Announce bool `yaml:"announce" description:"Announce over TLS, to entries with a certificate of the ca."`
}

// Open loads the certificate files.
func (t TLS) Open(logger *zap.Logger) (certificate.Configs, error) {
	return t.Files.Open(certificate.Use{Server: t.Serve, Peers: t.Serve || t.Announce}, logger)
}

func (t TLS) validate() error {
	return t.Files.Check(certificate.Use{Server: t.Serve, Peers: t.Serve || t.Announce})
}

// Fault configures an injected fault and the requests that it affects.
type Fault struct {
	Kind        string        `yaml:"kind" json:"kind" validate:"oneof=silent drip truncate duplicate reorder cross garbage close-after-read close-before-read" description:"Kind of the fault."`
	Marker      string        `yaml:"marker" json:"marker" description:"Text in the body of the requests that meet the fault; empty means all."`
	Count       int           `yaml:"count" json:"count" validate:"gte=0" description:"Requests that meet the fault; 0 means all."`
	AfterEvents int           `yaml:"after-events" json:"after-events" validate:"gte=0" description:"Correct events before the fault."`
	Delay       time.Duration `yaml:"delay" json:"delay" validate:"gte=0" description:"Pause before each event of the kind drip."`
}

// Engine are the settings of a simulated engine. Rates and lags are in simulated time, which runs Speed
// times as fast as real time.
type Engine struct {
	Common         `yaml:",inline"`
	Models         []string      `yaml:"models" validate:"required,min=1" description:"Models served."`
	Version        string        `yaml:"version" description:"Version of the model."`
	Adapters       []string      `yaml:"adapters" description:"Adapters served."`
	Role           string        `yaml:"role" description:"Announced role, for example prefill, decode or mixed."`
	ChecksFencing  bool          `yaml:"checks-fencing" description:"Refuse orders with an old fencing token."`
	Memory         int           `yaml:"memory" validate:"gt=0" description:"Memory for KV cache, in tokens."`
	PrefillRate    float64       `yaml:"prefill-rate" validate:"gt=0" description:"Prompt tokens a second."`
	DecodeRate     float64       `yaml:"decode-rate" validate:"gt=0" description:"Output tokens a second of each request."`
	ChunkTokens    int           `yaml:"chunk-tokens" validate:"gt=0" description:"Prompt tokens of a step."`
	MaxRunning     int           `yaml:"max-running" validate:"gt=0" description:"Requests in the batch."`
	Speed          float64       `yaml:"speed" validate:"gt=0" description:"Factor that divides simulated times; not deadlines, TTLs and announcement intervals."`
	ReportLag      time.Duration `yaml:"report-lag" validate:"gte=0" description:"Age of the announced load."`
	EventLag       time.Duration `yaml:"event-lag" validate:"gte=0" description:"Age of announced cache events."`
	EventGap       int           `yaml:"event-gap" validate:"gte=0" description:"Every n-th cache event is lost; 0 means none."`
	NotifyInterval time.Duration `yaml:"notify-interval" validate:"gte=0" description:"Shortest real time between two writes to a stream, apart from its first and last event."`
	TokensPerEvent int           `yaml:"tokens-per-event" validate:"gt=0" description:"Output tokens of an event; equal on all engines, since a resume counts events."`
	TransferRate   float64       `yaml:"transfer-rate" validate:"gt=0" description:"Tokens a second of KV export and import."`
	Weights        string        `yaml:"weights" validate:"omitempty,hostname_port" description:"Address of the weight store; empty means that loads take no time."`
	CrashMarker    string        `yaml:"crash-marker" description:"Text in a prompt that ends the process with code 3 when its prefill ends; empty means none."`
	Faults         []Fault       `yaml:"faults" validate:"dive" description:"Faults that requests meet."`
}

// Service are the settings of a plain service.
type Service struct {
	Common   `yaml:",inline"`
	Services []string      `yaml:"services" validate:"required,min=1" description:"Services offered."`
	Delay    time.Duration `yaml:"delay" validate:"gte=0" description:"Time until a call is answered."`
	Faults   []Fault       `yaml:"faults" validate:"dive" description:"Faults that requests meet."`
}

// Weights are the settings of a weight store.
type Weights struct {
	Common `yaml:",inline"`
	Rate   int64 `yaml:"rate" validate:"gt=0" description:"Bytes a second over all downloads."`
	Size   int64 `yaml:"size" validate:"gt=0" description:"Bytes of each version of a model."`
}

func defaultCommon() Common {
	return Common{
		Listen:           "127.0.0.1:0",
		LogLevel:         "info",
		AnnounceInterval: time.Second,
		DrainGrace:       time.Second,
		StopTimeout:      30 * time.Second,
	}
}

// DefaultEngine returns the default settings of an engine.
func DefaultEngine() Engine {
	return Engine{
		Common:         defaultCommon(),
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

// DefaultService returns the default settings of a plain service.
func DefaultService() Service {
	return Service{Common: defaultCommon()}
}

// DefaultWeights returns the default settings of a weight store.
func DefaultWeights() Weights {
	return Weights{Common: defaultCommon(), Rate: 100_000_000, Size: 100_000_000}
}

// Reference returns Markdown tables of all options, one for each mode.
func Reference() string {
	engine, service, weights := DefaultEngine(), DefaultService(), DefaultWeights()
	return "## engine\n\n" + settings.Reference(&engine) +
		"\n## service\n\n" + settings.Reference(&service) +
		"\n## weights\n\n" + settings.Reference(&weights)
}

// LoadEngine reads the settings of an engine.
func LoadEngine(path string) (Engine, error) {
	o := DefaultEngine()
	if err := settings.Load(path, &o); err != nil {
		return o, err
	}
	return o, o.TLS.validate()
}

// LoadService reads the settings of a plain service.
func LoadService(path string) (Service, error) {
	o := DefaultService()
	if err := settings.Load(path, &o); err != nil {
		return o, err
	}
	return o, o.TLS.validate()
}

// LoadWeights reads the settings of a weight store.
func LoadWeights(path string) (Weights, error) {
	o := DefaultWeights()
	if err := settings.Load(path, &o); err != nil {
		return o, err
	}
	return o, o.TLS.validate()
}
