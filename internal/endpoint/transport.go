package endpoint

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
)

// SecureTransport makes a transport use the TLS configuration, which comes from a certificate.Client, for
// connections to https addresses, and returns the transport. A nil configuration leaves it as it is. HTTP/2 is
// not offered.
func SecureTransport(transport *http.Transport, config *tls.Config) *http.Transport {
	if config == nil {
		return transport
	}
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialTLSContext = certificate.DialTLS(config, dial)
	return transport
}

// URL returns the URL of a path at an endpoint: https if there is a TLS configuration, else http.
func URL(config *tls.Config, address, path string) string {
	if config == nil {
		return "http://" + address + path
	}
	return "https://" + address + path
}
