package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

const (
	// dialTimeout bounds a connection attempt. Endpoints are within a millisecond or two; one that is dark
	// does not answer at all.
	dialTimeout = 350 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is given up.
	unackedTimeout = 1200 * time.Millisecond
	// maxAnswerHeader and maxAnswer bound what an endpoint may send, in bytes.
	maxAnswerHeader = 64 << 10
	maxAnswer       = 32 << 20
)

// newTransport returns a transport with a new connection for each request. A kept one may carry a late answer
// to an earlier request, be closed while a request is on its way, or be silent; and http.Transport would
// repeat requests on its own.
func newTransport() *http.Transport {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUnackedTimeout(c, unackedTimeout) },
	}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not name.
const tcpUserTimeout = 18

func setUnackedTimeout(c syscall.RawConn, timeout time.Duration) error {
	var result error
	err := c.Control(func(fd uintptr) {
		result = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}

// answer is the answer of an endpoint with its header read.
type answer struct {
	*http.Response
	reply Reply
}

// send passes a call on to one endpoint and reads the header of its answer. Errors are of kind NotRun,
// Unreached or Broken.
func (g *Gateway) send(ctx context.Context, hop Hop) (*answer, error) {
	const op = "send request"
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := g.request(httptrace.WithClientTrace(ctx, trace), hop)
	response, err := g.transport.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return nil, fault.Wrap(err, op, Unreached, hop.Endpoint)
		}
		return nil, fault.Wrap(err, op, Broken, hop.Endpoint)
	}
	a := &answer{Response: response, reply: g.config.Endpoints.Decode(response)}
	if err := a.check(hop); err != nil {
		_ = response.Body.Close()
		return a, err
	}
	return a, nil
}

// request makes the request to an endpoint. GetBody stays unset, so that the body is sent once.
func (g *Gateway) request(ctx context.Context, hop Hop) *http.Request {
	call := hop.Call
	// The opaque form of the URL sends path and query as they are.
	request := (&http.Request{
		Method: call.Method, Host: call.Host, Header: call.Header.Clone(),
		URL:   &url.URL{Scheme: "http", Host: hop.Address, Opaque: call.Target},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	g.config.Endpoints.Encode(request.Header, hop)
	if request.Header.Get("User-Agent") == "" {
		// An empty value keeps the library from adding its own.
		request.Header.Set("User-Agent", "")
	}
	return request
}

// check refuses answers that are not the endpoint's answer to this request.
func (a *answer) check(hop Hop) error {
	const op = "check answer"
	switch {
	case a.reply.ID != "" && a.reply.ID != hop.Call.ID:
		return fault.New(op, Broken, "the answer of %s is to request %.64q", hop.Endpoint, a.reply.ID)
	case a.reply.NotRun:
		return fault.New(op, NotRun, "%s answered %d", hop.Endpoint, a.StatusCode)
	case a.StatusCode < http.StatusOK:
		return fault.New(op, Broken, "%s answered %d", hop.Endpoint, a.StatusCode)
	case a.Header.Get("Content-Encoding") != "":
		return fault.New(op, Broken, "the answer of %s is encoded", hop.Endpoint)
	case a.StatusCode < http.StatusMultipleChoices && !a.reply.Genuine:
		return fault.New(op, Broken, "the answer of %s bears no proof", hop.Endpoint)
	case promises(a.StatusCode):
		// The endpoint does not say that the request did not run, and callers would take it so.
		return fault.New(op, Broken, "%s answered %d to a request that may have run", hop.Endpoint, a.StatusCode)
	}
	return nil
}

// promises reports whether a status tells callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// whole reads the rest of an answer.
func (a *answer) whole(hop Hop) ([]byte, error) {
	const op = "read answer"
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil {
		return nil, fault.Wrap(err, op, Broken, hop.Endpoint)
	}
	if len(body) > maxAnswer {
		return nil, fault.New(op, Broken, "the answer of %s has more than %d bytes", hop.Endpoint, maxAnswer)
	}
	return body, nil
}

// perConnection are the header fields that concern one connection only (RFC 9110, section 7.6.1).
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
}

// StripConnection removes the header fields that concern one connection only.
func StripConnection(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range perConnection {
		h.Del(name)
	}
}

// copyHeader passes the header of an answer on.
func copyHeader(to, from http.Header) {
	from = from.Clone()
	StripConnection(from)
	for name, values := range from {
		to[name] = values
	}
}
