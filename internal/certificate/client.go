package certificate

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
)

// ClientFiles are the settings of TLS connections to endpoints; without a CA file, TLS is off. The
// description tags appear in the settings reference.
type ClientFiles struct {
	CA          string `yaml:"ca" description:"PEM file of the certificates that endpoints are verified against; naming it turns TLS to all endpoints on."`
	Certificate string `yaml:"certificate" description:"PEM file of the certificate chain, leaf first, for endpoints that ask for one; empty means none."`
	Key         string `yaml:"key" description:"PEM file of the private key of the certificate."`
}

// Check returns an *Error of kind Missing if one of the files needs another that is not set.
func (f ClientFiles) Check() error {
	const op = "check settings"
	switch {
	case f.CA == "" && f != ClientFiles{}:
		return fault.New(op, Missing, "tls.endpoints names a certificate but no ca; without it, endpoints are called without TLS")
	case (f.Certificate == "") != (f.Key == ""):
		return fault.New(op, Missing, "tls.endpoints.certificate and tls.endpoints.key must be set together")
	default:
		return nil
	}
}

// Client holds the TLS configuration for connections to endpoints; the zero value means no TLS.
type Client struct {
	// Config must be passed through ForServer before use; nil means no TLS.
	Config *tls.Config
	// NotAfter returns the end of validity of the client certificate; nil means that there is none.
	NotAfter func() time.Time
}

// Open loads the files. Errors are of type *Error.
func (f ClientFiles) Open(logger *zap.Logger) (Client, error) {
	if err := f.Check(); err != nil || f == (ClientFiles{}) {
		return Client{}, err
	}
	store, err := New(Config{Certificate: f.Certificate, Key: f.Key, CA: f.CA, Logger: logger})
	if err != nil {
		return Client{}, err
	}
	config, err := store.Client()
	if err != nil || f.Certificate == "" {
		return Client{Config: config}, err
	}
	return Client{Config: config, NotAfter: store.NotAfter}, nil
}

// Register adds the end of validity of the client certificate, in Unix seconds, to the metrics.
func (c Client) Register(registry *metrics.Registry) {
	if c.NotAfter != nil {
		registry.GaugeFunc("tls_endpoint_certificate_not_after", func() int64 { return c.NotAfter().Unix() })
	}
}

// handshakeTimeout is the same as for connections between the system's processes.
const handshakeTimeout = 2 * time.Second

// Dial connects to a network address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialTLS returns a function for http.Transport.DialTLSContext. It passes the server's name to VerifyConnection,
// which crypto/tls does not do when the name is an IP address. The handshake times out after 2 s. Its errors
// are of type *Error and kind Untrusted.
func DialTLS(config *tls.Config, dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, ForServer(config, host))
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fault.Wrap(err, "connect by TLS", Untrusted, address)
		}
		return conn, nil
	}
}

// rejectionAlerts are the TLS alerts with which a server rejects a client certificate.
var rejectionAlerts = []string{
	"tls: bad certificate", "tls: unsupported certificate", "tls: revoked certificate", "tls: expired certificate",
	"tls: unknown certificate", "tls: unknown certificate authority", "tls: certificate required",
}

// ClientCertificateRejected reports whether the server rejected the client's certificate. In TLS 1.3 the client
// receives the alert only after its side of the handshake, when it may already have sent a request; the
// server has not read that request.
func ClientCertificateRejected(err error) bool {
	var alert *net.OpError
	return errors.As(err, &alert) && alert.Op == "remote error" && slices.Contains(rejectionAlerts, alert.Err.Error())
}
