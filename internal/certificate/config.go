package certificate

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Server returns the configuration of a server that asks for no client certificate.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current().pair, nil
		},
	}
}

// MutualServer returns the configuration of a server whose clients must present a certificate issued by the CA.
// It returns an *Error of kind Missing without a CA file.
func (s *Store) MutualServer() (*tls.Config, error) {
	if s.config.CA == "" {
		return nil, fault.New("configure mutual TLS", Missing, "client certificates need a CA file")
	}
	config := s.Server()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	// A resumed session would be accepted without verification against the current CA.
	config.SessionTicketsDisabled = true
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := config.Clone()
			c.ClientCAs = s.current().ca
			return c, nil
		},
	}, nil
}

// Client returns the configuration of a client that presents its certificate, if it has one, and verifies
// the server against the CA. ForServer must set the server name before use. It returns an *Error of kind
// Missing without a CA file.
func (s *Store) Client() (*tls.Config, error) {
	if s.config.CA == "" {
		return nil, fault.New("configure TLS client", Missing, "verifying a server needs a CA file")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := s.current().pair; pair != nil {
				return pair, nil
			}
			return &tls.Certificate{}, nil // none is presented
		},
		// RootCAs cannot be changed once it is set, so verify replaces the default verification.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}, nil
}

// verify checks the server's certificate as crypto/tls does with RootCAs. It rejects an empty
// server name, for which x509 would skip the host name check.
func (s *Store) verify(state tls.ConnectionState) error {
	const op = "verify server certificate"
	if state.ServerName == "" {
		return fault.New(op, Untrusted, "the connection names no server")
	}
	if len(state.PeerCertificates) == 0 {
		return fault.New(op, Untrusted, "%s presented no certificate", state.ServerName)
	}
	options := x509.VerifyOptions{
		Roots:         s.current().ca,
		DNSName:       state.ServerName,
		CurrentTime:   s.config.Now(),
		Intermediates: x509.NewCertPool(),
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return fault.Wrap(err, op, Untrusted, state.ServerName)
}

// ForServer returns a copy of config for connections to the server name, a host name or IP address.
// crypto/tls leaves the name empty for an IP address when it calls VerifyConnection; the copy fills it in.
func ForServer(config *tls.Config, name string) *tls.Config {
	c := config.Clone()
	c.ServerName = name
	if config.VerifyConnection != nil {
		c.VerifyConnection = func(state tls.ConnectionState) error {
			state.ServerName = name
			return config.VerifyConnection(state)
		}
	}
	return c
}
