package cli

import (
	"errors"
	"time"

	"github.com/dandelionpier/dandelionpier/controld/internal/operator"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Settings are the options of controld.
type Settings struct {
	Instance       string              `yaml:"instance" validate:"required" description:"Name of this instance, unique in the deployment. An instance that lost its disk returns under a new one."`
	DataCentre     string              `yaml:"data-centre" validate:"required" description:"Data centre of this instance."`
	DataCentres    []string            `yaml:"data-centres" validate:"dive,required" description:"Data centres of the deployment. Operators can drain only these; empty means any."`
	DataDirectory  string              `yaml:"data-directory" validate:"required_without=PlatformListen" description:"Directory of the log and snapshots, on a disk that keeps synced files. Without one, an instance with platform-listen and seeds passes calls on to the quorum."`
	PeerListen     string              `yaml:"peer-listen" validate:"required,listen_address" description:"Address for the other processes of the system."`
	AdvertisePeer  string              `yaml:"advertise-peer" validate:"omitempty,hostname_port" description:"Address that other processes are told; empty means the address listened on."`
	OperatorListen string              `yaml:"operator-listen" validate:"omitempty,listen_address" description:"Address of the operators' API; empty means none."`
	PlatformListen string              `yaml:"platform-listen" validate:"omitempty,listen_address" description:"Address for check-ins of endpoints and declarations in the platform's form; empty means none."`
	MetricsListen  string              `yaml:"metrics-listen" validate:"omitempty,listen_address" description:"Address of metrics, health and readiness; empty means none."`
	ClusterKey     string              `yaml:"cluster-key" validate:"omitempty,min=16" description:"Key that all processes of the deployment share; needed unless open-network is set."`
	OpenNetwork    bool                `yaml:"open-network" description:"Accept every process that reaches the peer address, without a cluster key. Only for networks that nobody else reaches."`
	Seeds          []string            `yaml:"seeds" validate:"dive,hostname_port" description:"Addresses on the instances that form the quorum, instead of bootstrap. Their hosts must serve peers at this instance's peer port. An instance without files asks them to join."`
	FirstStart     bool                `yaml:"first-start" description:"The whole deployment starts for the first time: the seeds become the first voters."`
	MemoryLimit    int64               `yaml:"memory-limit" validate:"min=0" description:"Soft memory limit of the process in MiB; 0 means none."`
	Bootstrap      []Voter             `yaml:"bootstrap" validate:"dive" description:"First voters, the same list on each of them; used only while the data directory is new."`
	Operators      []operator.Operator `yaml:"operators" validate:"dive" description:"People who may issue commands and queries."`
	SnapshotEvery  int                 `yaml:"snapshot-every" validate:"min=16" description:"Entries of the log between two snapshots."`
	ReplaceAfter   time.Duration       `yaml:"replace-after" validate:"gt=0" description:"Time for which a voter is unreachable before a standby takes its place."`
	Voters         int                 `yaml:"voters" validate:"min=0,max=9" description:"Number of voters up to which instances that have joined become voters by themselves, always to an odd number; 0 means never."`
	MaxLoads       int                 `yaml:"max-loads" validate:"min=1" description:"Engines that the weight store can serve at a time."`
	LogLevel       string              `yaml:"log-level" validate:"oneof=debug info warn error" description:"Least level of log lines."`
	TLS            TLS                 `yaml:"tls"`
}

// TLS configures the certificate, the listeners that use it, and the files for TLS to endpoints when sending
// orders. The metrics listener never uses TLS.
type TLS struct {
	certificate.Files `yaml:",inline"`
	Operators         bool `yaml:"operators" description:"Serve the operators' API over TLS."`
	Peers             bool `yaml:"peers" description:"Use mutual TLS with the other processes of the system."`

	Endpoints certificate.ClientFiles `yaml:"endpoints"`
}

func (t TLS) certificateUse() certificate.Use {
	return certificate.Use{Server: t.Operators, Peers: t.Peers}
}

// Voter is one of the initial voters of the quorum.
type Voter struct {
	Instance string `yaml:"instance" validate:"required" description:"Name of the control instance."`
	Address  string `yaml:"address" validate:"required,hostname_port" description:"Its peer address."`
	Operator string `yaml:"operator" validate:"omitempty,hostname_port" description:"Its address for operators, which another instance names while this one leads; empty means that clients ask the instances in turn."`
}

const (
	defaultSnapshotEvery = 4096
	defaultReplaceAfter  = 10 * time.Second
	defaultMaxLoads      = 4
)

func defaultSettings() Settings {
	return Settings{
		SnapshotEvery: defaultSnapshotEvery,
		ReplaceAfter:  defaultReplaceAfter,
		MaxLoads:      defaultMaxLoads,
		LogLevel:      "info",
	}
}

// reference returns a Markdown table of all options.
func reference() string {
	s := defaultSettings()
	return settings.Reference(&s)
}

// loadSettings reads the settings file; options that it does not set have their defaults.
func loadSettings(path string) (Settings, error) {
	s := defaultSettings()
	if err := settings.Load(path, &s); err != nil {
		return Settings{}, err
	}
	if err := s.TLS.Endpoints.Check(); err != nil {
		return Settings{}, err
	}
	if s.ClusterKey == "" && !s.OpenNetwork {
		return Settings{}, settings.NewOptionError(path, "cluster-key", "a cluster key is required unless open-network is set")
	}
	if s.DataDirectory == "" && len(s.Seeds) == 0 {
		return Settings{}, settings.NewOptionError(path, "data-directory", "a data directory is required where there are no seeds")
	}
	return s, s.TLS.Check(s.TLS.certificateUse())
}

var errNoLeader = errors.New("no control leader is known")
