package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/transport"
)

const (
	// connectTimeout is the timeout of a connection attempt. The round trip to an endpoint takes a millisecond or
	// two; an endpoint that is down may not respond at all.
	connectTimeout = 350 * time.Millisecond
	// unackedTimeout is how long bytes may stay unsent or unacknowledged before the connection is closed. See allowLateReading
	// for requests of more than maxUnreadBody bytes.
	unackedTimeout = 1200 * time.Millisecond
	// maxUnreadBody is the size up to which a request body fits into the receive buffer of an endpoint that does not read.
	maxUnreadBody = 16 << 10
	// maxResponseHeaderBytes and maxResponseBytes limit the header and the buffered body of an endpoint's response.
	maxResponseHeaderBytes = 64 << 10
	maxResponseBytes       = 8 << 20
)

// newTransport returns a transport that opens a new connection for each request. A reused connection may deliver a
// late response to an earlier request, be closed while a request is being sent, or have failed silently; and
// http.Transport would retry requests on reused connections by itself.
func newTransport() http.RoundTripper {
	dialer := net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUnackedTimeout(c, unackedTimeout) },
	}
	return transport.New(&http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not define.
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

// allowLateReading lifts unackedTimeout once the response to a long request has begun. An endpoint may begin to respond before
// it reads a long request and then read on at its own pace, and the kernel counts the time in which it does not read like that
// of a lost connection. The deadline of the request still applies, and for streams the watchdog.
func allowLateReading(connection any) {
	c, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		// An error means that the connection has ended.
		_ = setUnackedTimeout(raw, 0)
	}
}

// endpointResponse is a response of an endpoint whose header has been read and decoded.
type endpointResponse struct {
	*http.Response
	info ResponseInfo
}

// send forwards a call to one endpoint and reads the header of its response. Errors are of kind NotRun, Unreached or
// BadResponse.
func (g *Gateway) send(ctx context.Context, outgoing EndpointRequest) (*endpointResponse, error) {
	const op = "send request"
	var connection atomic.Value
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection.Store(info.Conn) }}
	if len(outgoing.Call.Body) > maxUnreadBody {
		trace.GotFirstResponseByte = func() { allowLateReading(connection.Load()) }
	}
	request := g.newHTTPRequest(httptrace.WithClientTrace(ctx, trace), outgoing)
	response, err := g.transport.RoundTrip(request)
	if err != nil {
		if connection.Load() == nil {
			return nil, fault.Wrap(err, op, Unreached, outgoing.Endpoint)
		}
		return nil, fault.Wrap(err, op, BadResponse, outgoing.Endpoint)
	}
	checked := &endpointResponse{Response: response, info: g.config.EndpointCodec.Decode(response)}
	if err := checked.check(outgoing); err != nil {
		_ = response.Body.Close()
		return checked, err
	}
	return checked, nil
}

// newHTTPRequest builds the request to an endpoint. GetBody stays unset, so that http.Transport cannot send the body
// again.
func (g *Gateway) newHTTPRequest(ctx context.Context, outgoing EndpointRequest) *http.Request {
	call := outgoing.Call
	request := (&http.Request{
		Method: call.Method, Host: call.Host, Header: call.Header.Clone(), URL: targetURL(outgoing.Address, call.Target),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	g.config.EndpointCodec.Encode(request.Header, outgoing)
	if request.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its default User-Agent.
		request.Header.Set("User-Agent", "")
	}
	return request
}

// targetURL returns a URL that net/http sends as the given request target. An opaque URL sends path and query unchanged,
// but for a target that begins with two slashes, of which the first part would become the host.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	path, query, hasQuery := strings.Cut(target, "?")
	// A path that cannot be decoded stays empty, and canForward reports it.
	decoded, _ := url.PathUnescape(path)
	return &url.URL{Scheme: "http", Host: address, Path: decoded, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
}

// canForward reports whether a request target reaches an endpoint byte for byte.
func canForward(target string) bool {
	return targetURL("", target).RequestURI() == target
}

// check returns an error for a response that must not be passed to the caller: one to another request, one that says
// that the request did not run, and one that is not proved to be the endpoint's own.
func (r *endpointResponse) check(outgoing EndpointRequest) error {
	const op = "check answer"
	switch {
	case r.info.RequestID != "" && r.info.RequestID != outgoing.Call.ID:
		return fault.New(op, BadResponse, "the answer of %s is to request %.64q", outgoing.Endpoint, r.info.RequestID)
	case r.info.NotRun:
		return fault.New(op, NotRun, "%s answered %d", outgoing.Endpoint, r.StatusCode)
	case r.StatusCode < http.StatusOK:
		return fault.New(op, BadResponse, "%s answered %d", outgoing.Endpoint, r.StatusCode)
	case r.Header.Get("Content-Encoding") != "":
		return fault.New(op, BadResponse, "the answer of %s is encoded", outgoing.Endpoint)
	case r.StatusCode < http.StatusMultipleChoices && !r.info.Genuine:
		return fault.New(op, BadResponse, "the answer of %s bears no proof", outgoing.Endpoint)
	case impliesNotRun(r.StatusCode):
		// The endpoint does not say that the request did not run, but callers would conclude it from the status.
		return fault.New(op, BadResponse, "%s answered %d to a request that may have run", outgoing.Endpoint, r.StatusCode)
	}
	return nil
}

// impliesNotRun reports whether callers conclude from a status that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// readResponse reads the body of a response to a request.
func (g *Gateway) readResponse(x *exchange, r *endpointResponse, outgoing EndpointRequest) ([]byte, error) {
	const op = "read answer"
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(x.holdBody(r.Body, &g.responseBytes), maxResponseBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, op, BadResponse, outgoing.Endpoint)
	}
	if len(body) > maxResponseBytes {
		return nil, fault.New(op, BadResponse, "the answer of %s has more than %d bytes", outgoing.Endpoint, maxResponseBytes)
	}
	return body, nil
}

// hopByHopHeaders are the header fields that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
}

// RemoveHopByHopHeaders removes the hop-by-hop header fields, including those that the Connection field lists.
func RemoveHopByHopHeaders(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyHeader copies the header of a response without its hop-by-hop fields.
func copyHeader(to, from http.Header) {
	from = from.Clone()
	RemoveHopByHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
}
