package options

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Gateway holds the settings of an entry that serves the routes of the declaration in the platform's wire format.
type Gateway struct {
	Instance   string `yaml:"instance" validate:"required,max=64" description:"Name of this instance, unique in the deployment."`
	DataCentre string `yaml:"data-centre" validate:"required,max=64" description:"Data centre of this instance."`
	Region     string `yaml:"region" validate:"required,max=64" description:"Region of this instance."`

	CallerListen    string `yaml:"caller-listen" validate:"listen_address" description:"Address for callers; it is the one that they are told."`
	DirectoryListen string `yaml:"directory-listen" validate:"listen_address" description:"Address for callers that ask which entries to use."`
	ReadinessListen string `yaml:"readiness-listen" validate:"listen_address" description:"Address that says whether this instance takes requests."`
	PeerListen      string `yaml:"peer-listen" validate:"listen_address" description:"Address for the other processes of the system; it is the one that they are told."`
	MetricsListen   string `yaml:"metrics-listen" validate:"omitempty,listen_address" description:"Address of metrics, health and readiness; empty means none."`

	Seeds       []string `yaml:"seeds" validate:"required,min=1,dive,hostname_port" description:"Addresses on control instances."`
	ControlPort int      `yaml:"control-port" validate:"min=1,max=65535" description:"Peer port of the control instances."`
	ClusterKey  string   `yaml:"cluster-key" validate:"omitempty,min=16" description:"Key that all processes of the deployment share; needed unless open-network is set."`
	OpenNetwork bool     `yaml:"open-network" description:"Accept every process that reaches the peer address, without a cluster key. Only for networks that nobody else reaches."`

	ProcessorShare float64 `yaml:"processor-share" validate:"min=0" description:"Share of a core that this instance has; instances with more dispatch. 0 means that it is not known."`
	MemoryLimit    int64   `yaml:"memory-limit" validate:"min=0" description:"Soft memory limit of the process in MiB; 0 means none."`

	RetryRatio  float64       `yaml:"retry-ratio" validate:"min=0,max=1" description:"Retries that the deployment may make for each request to a service."`
	RetrySlack  float64       `yaml:"retry-slack" validate:"min=0" description:"Retries that the deployment may make in each retry-window in any case."`
	RetryWindow time.Duration `yaml:"retry-window" validate:"gt=0" description:"Time over which retries are counted."`

	StopAccept time.Duration `yaml:"stop-accept" validate:"min=0s" description:"Time after SIGTERM for which new requests are served."`
	Grace      time.Duration `yaml:"grace" validate:"gt=0s" description:"Time between SIGTERM and SIGKILL. Requests that still run after eleven twelfths of it are ended, and none is passed on that is expected to last longer."`

	LogLevel string `yaml:"log-level" validate:"oneof=debug info warn error" description:"Least level of log lines."`
}

// DefaultGateway returns the settings with all defaults.
func DefaultGateway() *Gateway {
	return &Gateway{
		CallerListen:    "127.0.0.1:8080",
		DirectoryListen: "127.0.0.1:8081",
		ReadinessListen: "127.0.0.1:8084",
		PeerListen:      "127.0.0.1:8082",
		ControlPort:     8090,
		RetryRatio:      0.1,
		RetrySlack:      100,
		RetryWindow:     10 * time.Second,
		StopAccept:      3 * time.Second,
		Grace:           8 * time.Second,
		LogLevel:        "info",
	}
}

// StopLimit is how long after SIGTERM the requests that are still in flight are ended.
func (g *Gateway) StopLimit() time.Duration {
	return g.Grace * 11 / 12
}

// ExitLimit is how long after SIGTERM the process exits. The time since StopLimit is for the last responses.
func (g *Gateway) ExitLimit() time.Duration {
	return g.Grace * 23 / 24
}

// LoadGateway reads the settings file at path. Errors include the file, line and column where they are known.
func LoadGateway(path string) (*Gateway, error) {
	g := DefaultGateway()
	if err := settings.Load(path, g); err != nil {
		return nil, err
	}
	if g.ClusterKey == "" && !g.OpenNetwork {
		return nil, settings.NewOptionError(path, "cluster-key", "a cluster key is required unless open-network is set")
	}
	return g, nil
}

// GatewayReference returns a Markdown table of all gateway options.
func GatewayReference() string {
	return settings.Reference(DefaultGateway())
}
