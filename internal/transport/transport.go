// Package transport makes the connections of an http.Transport fail for broken responses that net/http accepts: those with an
// invalid head, and those without a length whose connection was reset during the request.
package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Malformed means that the head of a response is not valid HTTP/1.1 (RFC 9112).
	Malformed Kind = "malformed"
	// Incomplete means that the connection failed before the end of a response.
	Incomplete Kind = "incomplete"
	// Unsupported means that a connection cannot be made in the way that is asked for.
	Unsupported Kind = "unsupported"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Transport is an http.RoundTripper. The errors of its round trips and of its response bodies wrap an Error if the response
// is broken. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// New returns a transport that checks what base reads from its connections. The caller must not use base any more. Connections
// by TLS need base.DialTLSContext, because the check needs the decrypted bytes.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = checked(dial)
	dialTLS := base.DialTLSContext
	if dialTLS == nil {
		dialTLS = refuseTLS
	}
	base.DialTLSContext = checked(dialTLS)
	return &Transport{base: base}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a function that makes connections of type *conn.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
}

func refuseTLS(_ context.Context, _, address string) (net.Conn, error) {
	return nil, fault.New("connect", Unsupported, "no TLS configuration for %s", address)
}

// RoundTrip sends a request and reads the head of its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var current atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.expectResponse()
				current.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := current.Load(); c != nil {
				c.requestWritten(info.Err)
			}
		},
	}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
