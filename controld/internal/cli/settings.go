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
	Instance   string `yaml:"instance" validate:"required"`
	DataCentre string `yaml:"data-centre" validate:"required"`
	// DataDirectory holds the log and snapshots; it needs a disk that keeps synced files.
	DataDirectory string `yaml:"data-directory" validate:"required"`
	// PeerListen is host:port for other processes of the system.
	PeerListen    string `yaml:"peer-listen" validate:"required,listen_address"`
	AdvertisePeer string `yaml:"advertise-peer" validate:"omitempty,hostname_port"`
	// OperatorListen is host:port for operators.
	OperatorListen    string `yaml:"operator-listen" validate:"required,listen_address"`
	AdvertiseOperator string `yaml:"advertise-operator" validate:"omitempty,hostname_port"`
	MetricsListen     string `yaml:"metrics-listen" validate:"omitempty,listen_address"`
	// ClusterKey proves to other processes that they belong to the same system.
	ClusterKey string `yaml:"cluster-key" validate:"required,min=16"`
	// Bootstrap lists the first voters. It is used only when the data directory is new.
	Bootstrap []Voter `yaml:"bootstrap" validate:"dive"`
	// Operators are the people who may issue commands.
	Operators []operator.Operator `yaml:"operators" validate:"dive"`
	// SnapshotEvery is in log entries.
	SnapshotEvery int `yaml:"snapshot-every" validate:"min=16"`
	// ReplaceAfter is how long a voter may be unreachable before a standby takes its place.
	ReplaceAfter time.Duration `yaml:"replace-after" validate:"gt=0"`
	// MaxLoads is the number of engines that the weight store can serve at a time.
	MaxLoads int    `yaml:"max-loads" validate:"min=1"`
	LogLevel string `yaml:"log-level" validate:"oneof=debug info warn error"`
	TLS      TLS    `yaml:"tls"`
}

// TLS are the files of the certificate and the listeners that use it. The metrics listener never does.
type TLS struct {
	certificate.Files `yaml:",inline"`
	// Operators serves the operators' API over TLS.
	Operators bool `yaml:"operators"`
	// Peers uses mutual TLS with the other processes of the system.
	Peers bool `yaml:"peers"`
}

func (t TLS) use() certificate.Use {
	return certificate.Use{Server: t.Operators, Peers: t.Peers}
}

// Voter is a control instance of the first quorum.
type Voter struct {
	Instance string `yaml:"instance" validate:"required"`
	Address  string `yaml:"address" validate:"required,hostname_port"`
	// Operator is the instance's address for operators.
	Operator string `yaml:"operator" validate:"omitempty,hostname_port"`
}

const (
	defaultSnapshotEvery = 4096
	defaultReplaceAfter  = 10 * time.Second
	defaultMaxLoads      = 4
)

// loadSettings reads the file over the defaults.
func loadSettings(path string) (Settings, error) {
	s := Settings{
		SnapshotEvery: defaultSnapshotEvery,
		ReplaceAfter:  defaultReplaceAfter,
		MaxLoads:      defaultMaxLoads,
		LogLevel:      "info",
	}
	if err := settings.Load(path, &s); err != nil {
		return Settings{}, err
	}
	return s, s.TLS.Check(s.TLS.use())
}

var errNoLeader = errors.New("no control leader is known")
