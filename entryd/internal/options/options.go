// Package options defines the settings of entryd: the default, bounds and description of each option.
package options

import (
	"net"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Kind classifies an Error.
type Kind string

// Conflict means that two options contradict each other.
const Conflict Kind = "conflict"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Options holds the settings of an entry. The description tags are the texts of the settings reference.
type Options struct {
	Instance   string `yaml:"instance" validate:"required,max=64" description:"Name of this instance, unique in the deployment."`
	DataCentre string `yaml:"data-centre" validate:"required,max=64" description:"Data centre of this instance."`
	Region     string `yaml:"region" validate:"required,max=64" description:"Region of this instance; cells are per region."`

	CallerListen      string `yaml:"caller-listen" validate:"listen_address" description:"Address of the callers' API."`
	PlatformListen    string `yaml:"platform-listen" validate:"listen_address" description:"Address for announcements of endpoints."`
	PeerListen        string `yaml:"peer-listen" validate:"listen_address" description:"Address for the other processes of the system."`
	MetricsListen     string `yaml:"metrics-listen" validate:"listen_address" description:"Address of metrics, health and readiness."`
	AdvertiseCaller   string `yaml:"advertise-caller" validate:"omitempty,hostname_port" description:"Address that callers are told; empty means the address listened on."`
	AdvertisePlatform string `yaml:"advertise-platform" validate:"omitempty,hostname_port" description:"Address that endpoints are told; empty means the address listened on."`
	AdvertisePeer     string `yaml:"advertise-peer" validate:"omitempty,hostname_port" description:"Address that other processes are told; empty means the address listened on."`

	Control    []string `yaml:"control" validate:"required,min=1,dive,hostname_port" description:"Peer addresses of the control instances."`
	ClusterKey string   `yaml:"cluster-key" validate:"required,min=16" description:"Key that all processes of the deployment share."`
	LogLevel   string   `yaml:"log-level" validate:"oneof=debug info warn error" description:"Least level of log lines."`
	AccessLog  bool     `yaml:"access-log" description:"Write one line for each request."`
	Profiles   bool     `yaml:"profiles" description:"Serve net/http/pprof on the metrics address."`

	DefaultTimeLimit time.Duration `yaml:"default-time-limit" validate:"min=1s,max=900s" description:"Time limit of requests without X-Time-Limit."`
	MaxTimeLimit     time.Duration `yaml:"max-time-limit" validate:"min=1s,max=900s" description:"Largest time limit that a caller may set."`
	DrainTime        time.Duration `yaml:"drain-time" validate:"min=0s,max=10m" description:"Time for which a draining entry serves new requests: the TTL of address answers."`
	AddressCount     int           `yaml:"address-count" validate:"min=1,max=16" description:"Entries named in an address answer."`

	MaxBody          int64 `yaml:"max-body" validate:"min=1024,max=1073741824" description:"Largest body of a request, in bytes."`
	MaxAnnouncement  int64 `yaml:"max-announcement" validate:"min=1024,max=67108864" description:"Largest announcement, in bytes."`
	MaxResponse      int   `yaml:"max-response" validate:"min=1024,max=1073741824" description:"Largest response without stream, in bytes."`
	MaxEvent         int   `yaml:"max-event" validate:"min=256,max=16777216" description:"Largest event of a stream, in bytes."`
	MaxInFlight      int   `yaml:"max-in-flight" validate:"min=1,max=1000000" description:"Largest number of concurrent requests of this entry."`
	DefaultMaxTokens int   `yaml:"default-max-tokens" validate:"min=1,max=10000000" description:"Tokens that engines complete at most for a request without max_tokens; the cost of so many is held."`

	MaxAttempts     int           `yaml:"max-attempts" validate:"min=1,max=10" description:"Endpoints that one request may use, retries and resumptions included."`
	RetryRatio      float64       `yaml:"retry-ratio" validate:"min=0,max=1" description:"Retries allowed for each request."`
	RetryBurst      float64       `yaml:"retry-burst" validate:"min=1,max=10000" description:"Retries saved up at most."`
	RetryFloor      float64       `yaml:"retry-floor" validate:"min=0,max=1000" description:"Retries a second allowed in any case."`
	FirstByteFactor float64       `yaml:"first-byte-factor" validate:"min=1,max=100" description:"An attempt fails when the first event takes longer than this multiple of the estimate."`
	MinFirstByte    time.Duration `yaml:"min-first-byte" validate:"min=10ms,max=900s" description:"Least time that an attempt has for its first event."`
	PrefillRate     float64       `yaml:"assumed-prefill-rate" validate:"min=1" description:"Tokens a second, for the estimate while no dispatcher gives one."`
	DecodeRate      float64       `yaml:"assumed-decode-rate" validate:"min=0.1" description:"Tokens a second, for the time that a response without stream may take."`
	StallTimeout    time.Duration `yaml:"stall-timeout" validate:"min=10ms,max=900s" description:"Longest pause between two events of a stream."`
	DispatchProfile string        `yaml:"dispatch-profile" validate:"oneof=balanced long-prompts short-slowdown" description:"What the dispatcher weighs higher: time to first token of long prompts, or slowdown of short requests."`
	EngineIdle      int           `yaml:"idle-connections" validate:"min=0,max=10000" description:"Idle connections kept to each engine."`

	Objectives []Objective `yaml:"objectives" validate:"max=1000,dive" description:"Service-level objectives that differ from the defaults, by length class and, where named, workspace."`

	TLS TLS `yaml:"tls"`
}

// TLS holds the certificate files and which listeners use them, and the files for TLS connections to
// endpoints. The metrics listener never uses TLS.
type TLS struct {
	certificate.Files `yaml:",inline"`

	Callers  bool `yaml:"callers" description:"Serve the callers' API over TLS."`
	Platform bool `yaml:"platform" description:"Receive announcements of endpoints over TLS."`
	Peers    bool `yaml:"peers" description:"Use mutual TLS with the other processes of the system."`

	Endpoints certificate.ClientFiles `yaml:"endpoints"`
}

// Use reports for which connections the certificate files are used.
func (t TLS) Use() certificate.Use {
	return certificate.Use{Server: t.Callers || t.Platform, Peers: t.Peers}
}

// Default returns the settings with all defaults.
func Default() *Options {
	return &Options{
		CallerListen:     "127.0.0.1:8080",
		PlatformListen:   "127.0.0.1:8081",
		PeerListen:       "127.0.0.1:8082",
		MetricsListen:    "127.0.0.1:8083",
		LogLevel:         "info",
		AccessLog:        true,
		DefaultTimeLimit: 120 * time.Second,
		MaxTimeLimit:     900 * time.Second,
		DrainTime:        30 * time.Second,
		AddressCount:     4,
		MaxBody:          8 << 20,
		MaxAnnouncement:  1 << 20,
		MaxResponse:      16 << 20,
		MaxEvent:         1 << 20,
		MaxInFlight:      10_000,
		DefaultMaxTokens: 4096,
		MaxAttempts:      3,
		RetryRatio:       0.1,
		RetryBurst:       100,
		RetryFloor:       3,
		FirstByteFactor:  4,
		MinFirstByte:     5 * time.Second,
		PrefillRate:      2000,
		DecodeRate:       10,
		StallTimeout:     10 * time.Second,
		EngineIdle:       256,
		DispatchProfile:  "balanced",
	}
}

// Load reads the settings file at path. Errors include the file, line and column where they are known.
func Load(path string) (*Options, error) {
	options := Default()
	if err := settings.Load(path, options); err != nil {
		return nil, err
	}
	if err := options.check(); err != nil {
		return nil, err
	}
	return options, checkObjectives(path, options.Objectives)
}

func (o *Options) check() error {
	const op = "check settings"
	if o.DefaultTimeLimit > o.MaxTimeLimit {
		return fault.New(op, Conflict, "default-time-limit is %v; it must be at most max-time-limit, which is %v", o.DefaultTimeLimit, o.MaxTimeLimit)
	}
	for name, addresses := range map[string][2]string{
		"caller":   {o.CallerListen, o.AdvertiseCaller},
		"platform": {o.PlatformListen, o.AdvertisePlatform},
		"peer":     {o.PeerListen, o.AdvertisePeer},
	} {
		host, _, _ := net.SplitHostPort(addresses[0])
		if ip := net.ParseIP(host); addresses[1] == "" && (host == "" || ip != nil && ip.IsUnspecified()) {
			return fault.New(op, Conflict, "%s-listen is %s, which others cannot connect to; advertise-%s must be set", name, addresses[0], name)
		}
	}
	if err := o.TLS.Endpoints.Check(); err != nil {
		return err
	}
	return o.TLS.Check(o.TLS.Use())
}

// DispatchSettings returns the dispatcher settings of the configured profile.
func (o *Options) DispatchSettings() dispatch.Settings {
	switch o.DispatchProfile {
	case "long-prompts":
		return dispatch.LongPromptSettings()
	case "short-slowdown":
		return dispatch.ShortSlowdownSettings()
	default:
		return dispatch.DefaultSettings()
	}
}

// Reference returns a Markdown table of all options.
func Reference() string {
	return settings.Reference(Default())
}
