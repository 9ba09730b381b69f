package certificate

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
)

// Files are the paths in the `tls` section of a program's settings. The description tags appear in the
// settings reference.
type Files struct {
	Certificate string `yaml:"certificate" description:"PEM file of this instance's certificate chain, leaf first."`
	Key         string `yaml:"key" description:"PEM file of the private key of the certificate."`
	CA          string `yaml:"ca" description:"PEM file of the certificates that other processes of the system are verified against."`
}

// Use says what a process needs the files for.
type Use struct {
	// Server is TLS without client certificates, on any listener.
	Server bool
	// Peers is mutual TLS with the other processes of the system.
	Peers bool
}

// Configs are the TLS configurations of a process. Those that are not in use are nil.
type Configs struct {
	Server     *tls.Config
	PeerServer *tls.Config
	PeerClient *tls.Config
	// NotAfter returns the end of validity of the certificate in use.
	NotAfter func() time.Time
}

// Register adds the end of validity, in Unix seconds, to the metrics if TLS is in use. A scrape checks
// the files, so that invalid new files are logged before the next handshake.
func (c Configs) Register(registry *metrics.Registry) {
	if c.NotAfter != nil {
		registry.GaugeFunc("tls_certificate_not_after", func() int64 { return c.NotAfter().Unix() })
	}
}

// Check returns an *Error of kind Missing if the use needs a file that is not set, or if files are set
// and no listener uses them, since connections that were meant to be encrypted would be in plain text.
func (f Files) Check(use Use) error {
	const op = "check settings"
	switch {
	case use == Use{} && f != Files{}:
		return fault.New(op, Missing, "tls names files but no listener that uses them")
	case use == Use{}:
		return nil
	case f.Certificate == "" || f.Key == "":
		return fault.New(op, Missing, "tls.certificate and tls.key must be set when a listener uses TLS")
	case use.Peers && f.CA == "":
		return fault.New(op, Missing, "tls.ca must be set when peers use TLS")
	default:
		return nil
	}
}

// Open loads the files and returns the TLS configurations that the use needs. Errors are of type *Error.
func (f Files) Open(use Use, logger *zap.Logger) (Configs, error) {
	if err := f.Check(use); err != nil || use == (Use{}) {
		return Configs{}, err
	}
	store, err := New(Config{Certificate: f.Certificate, Key: f.Key, CA: f.CA, Logger: logger})
	if err != nil {
		return Configs{}, err
	}
	configs := Configs{NotAfter: store.NotAfter}
	if use.Server {
		configs.Server = store.Server()
	}
	if !use.Peers {
		return configs, nil
	}
	if configs.PeerServer, err = store.MutualServer(); err != nil {
		return Configs{}, err
	}
	configs.PeerClient, err = store.Client()
	return configs, err
}
