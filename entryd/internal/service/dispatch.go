package service

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/transport"
)

// Kind classifies an Error.
type Kind string

const (
	// NoResponse means that the service did not respond.
	NoResponse Kind = "no-response"
	// Unusable means that the response cannot be passed on to the caller.
	Unusable Kind = "unusable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	dialTimeout    = 2 * time.Second
	maxHeaderBytes = 64 << 10
)

// newTransport returns a transport that uses a new connection for each request. On a kept-alive connection, a late copy
// of an earlier response could be taken for the response to a call, since services need not repeat its id; and
// http.Transport sends a request again on its own when such a connection breaks.
func newTransport(config *tls.Config) http.RoundTripper {
	dialer := net.Dialer{Timeout: dialTimeout}
	return transport.New(endpoint.SecureTransport(&http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}, config))
}

// forwardedHeaders are the caller's headers that the service receives. The bearer key and the headers that
// make http.Transport retry a request are not among them.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// dispatch sends the call to an endpoint, once. connected reports whether any byte of it may have been
// written: it is set before the transport writes to the connection.
func (s *Server) dispatch(ctx context.Context, x *exchange.Exchange, call Call, grant dispatch.Grant) (response Response, connected bool, err error) {
	const op = "call service"
	var mayHaveWritten atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { mayHaveWritten.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method,
		endpoint.URL(s.config.TLS, grant.Members[0].Address, call.Path), nil)
	if err != nil {
		return Response{}, false, fault.Wrap(err, op, Unusable, "make the request")
	}
	if len(call.Body) > 0 {
		// GetBody stays unset, so that the transport cannot send the body a second time.
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	setHeaders(request.Header, x, call, grant)
	httpResponse, err := s.transport.RoundTrip(request)
	if err != nil {
		return Response{}, mayHaveWritten.Load() && !certificate.ClientCertificateRejected(err), fault.Wrap(err, op, NoResponse, grant.Members[0].Endpoint)
	}
	defer httpResponse.Body.Close()
	response, err = s.readResponse(httpResponse, x.RequestID)
	return response, true, err
}

func setHeaders(h http.Header, x *exchange.Exchange, call Call, grant dispatch.Grant) {
	for _, name := range forwardedHeaders {
		if value := call.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	h.Set(endpoint.HeaderRequestID, x.RequestID)
	h.Set(endpoint.HeaderAttemptID, grant.ID)
	h.Set(endpoint.HeaderPriority, strconv.FormatInt(grant.Priority, 10))
	h.Set(endpoint.HeaderDeadline, strconv.FormatInt(x.Deadline.UnixMilli(), 10))
}

// readResponse reads the whole response, so that the caller receives either a complete response or an error.
func (s *Server) readResponse(httpResponse *http.Response, requestID string) (Response, error) {
	const op = "read service response"
	if got := httpResponse.Header.Get(endpoint.HeaderRequestID); got != "" && got != requestID {
		return Response{}, fault.New(op, Unusable, "the response is of request %.64q", got)
	}
	if httpResponse.StatusCode < http.StatusOK {
		return Response{}, fault.New(op, Unusable, "the response has status %d", httpResponse.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, int64(s.config.MaxResponse)+1))
	if err != nil {
		return Response{}, fault.Wrap(err, op, NoResponse, "read body")
	}
	if len(body) > s.config.MaxResponse {
		return Response{}, fault.New(op, Unusable, "the response has more than %d bytes", s.config.MaxResponse)
	}
	return Response{Status: httpResponse.StatusCode, ContentType: httpResponse.Header.Get("Content-Type"), Body: body}, nil
}
