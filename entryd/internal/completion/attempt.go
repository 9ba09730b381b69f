package completion

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// attempt is one dispatch of a call to an engine.
type attempt struct {
	call   *call
	grant  dispatch.Grant
	run    *cell.Run
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// waiting is true until the engine sends its first event.
	waiting atomic.Bool
	pulse   *pulse
	prober  *prober
	// began says that the engine has sent an event.
	began bool
}

var (
	errTimeout = errors.New("the endpoint did not respond in time")
	errLost    = errors.New("the endpoint does not list the attempt, or does not answer")
)

func newAttempt(c *call, grant dispatch.Grant, run *cell.Run) *attempt {
	a := &attempt{call: c, grant: grant, run: run}
	a.ctx, a.cancel = context.WithCancelCause(c.ctx)
	a.waiting.Store(true)
	a.pulse = c.server.pulse(grant.Members[0].Endpoint)
	first := a.firstEventTimeout()
	a.prober = newProber(a, first)
	a.timer = time.AfterFunc(a.responseTimeout(first), a.expire)
	return a
}

const (
	// livePulse is how long after an event of any of this entry's streams an engine counts as working.
	livePulse = 2 * time.Second
	// pulseCheck is the time until an attempt at a working engine is judged again.
	pulseCheck = time.Second
)

// expire ends the attempt, unless it waits for its first event at an engine that serves others. Such an
// engine has the request behind others of higher priority; to cancel it would waste what is computed and
// queue it anew elsewhere. At three times the capacity 47 % of the computed tokens were wasted so.
func (a *attempt) expire() {
	if a.waiting.Load() && a.pulse.within(livePulse) {
		a.timer.Reset(pulseCheck)
		return
	}
	a.cancel(errTimeout)
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel(nil)
	a.prober.close()
}

// firstEventTimeout is the time for the first event of a stream. An engine that has sent nothing by then
// is asked whether it has the attempt.
func (a *attempt) firstEventTimeout() time.Duration {
	limits := a.call.server.config.Limits
	estimate := a.grant.Estimate
	if estimate == 0 {
		estimate = seconds(float64(a.call.reserve.PromptTokens) / limits.PrefillRate)
	}
	return max(limits.MinFirstByte, time.Duration(limits.FirstByteFactor*float64(estimate)))
}

// responseTimeout adds the decoding of a response without stream to the time for the first event.
func (a *attempt) responseTimeout(first time.Duration) time.Duration {
	if a.call.stream {
		return first
	}
	limits := a.call.server.config.Limits
	decode := float64(a.call.reserve.MaxTokens) / limits.DecodeRate
	return first + seconds(limits.FirstByteFactor*decode)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// send dispatches the request and returns a response with status 200 that belongs to the attempt.
func (a *attempt) send() (*http.Response, error) {
	c := a.call
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(a.ctx, trace), http.MethodPost,
		endpoint.URL(c.server.config.TLS, a.grant.Members[0].Address, c.path), c.reader())
	if err != nil {
		return nil, &failure{event: dispatch.Failed, err: err}
	}
	request.ContentLength = int64(len(c.body) + len(c.bound))
	a.setHeaders(request.Header)
	response, err := c.server.config.Transport.RoundTrip(request)
	connected = connected && !certificate.Rejected(err)
	c.reached = c.reached || connected
	if err != nil {
		return nil, a.failed(err, connected)
	}
	if err := a.checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (a *attempt) setHeaders(h http.Header) {
	c := a.call
	h.Set("Content-Type", "application/json")
	h.Set(endpoint.HeaderRequestID, c.x.RequestID)
	h.Set(endpoint.HeaderAttemptID, a.grant.ID)
	h.Set(endpoint.HeaderPriority, strconv.FormatInt(a.grant.Priority, 10))
	h.Set(endpoint.HeaderDeadline, strconv.FormatInt(c.x.Deadline.UnixMilli(), 10))
	h.Set(endpoint.HeaderCacheSeed, c.x.Model)
	if holding := a.grant.Members[0].Holding; holding != "" {
		h.Set(endpoint.HeaderHolding, holding)
	}
	if len(a.grant.Members) > 1 {
		others := make([]string, 0, len(a.grant.Members)-1)
		for _, member := range a.grant.Members[1:] {
			others = append(others, member.Address+"/"+member.Holding)
		}
		h.Set(endpoint.HeaderGroup, strings.Join(others, ","))
	}
	if c.forwarded > 0 {
		h.Set(endpoint.HeaderResumeFrom, strconv.Itoa(c.forwarded))
	}
}

// failed classifies an error of the connection.
func (a *attempt) failed(err error, connected bool) *failure {
	switch {
	case a.call.ctx.Err() != nil:
		return &failure{event: dispatch.Cancelled, cancel: connected, final: true, err: err}
	case a.ctx.Err() != nil:
		return &failure{event: dispatch.Failed, cancel: connected, err: context.Cause(a.ctx)}
	case !connected:
		// The request did not run there, so it cannot be what stopped the endpoint.
		return &failure{event: dispatch.Failed, err: err}
	default:
		return &failure{event: dispatch.ConnectionLost, err: err}
	}
}

// maxErrorBytes is what is read of an engine's error response.
const maxErrorBytes = 4 << 10

func (a *attempt) checkHead(response *http.Response) error {
	status := response.StatusCode
	h := response.Header
	switch {
	case blamesRequest(status):
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &failure{event: dispatch.Finished, final: true, err: rejected(status, text)}
	case status != http.StatusOK:
		return &failure{event: dispatch.Failed, cancel: status < http.StatusBadRequest, err: fault.New("send request", stream.Reported, "the engine answered with status %d", status)}
	case h.Get(endpoint.HeaderRequestID) != a.call.x.RequestID || h.Get(endpoint.HeaderAttemptID) != a.grant.ID:
		return &failure{event: dispatch.Failed, cancel: true, err: fault.New("send request", stream.Crossed, "the response is of another request or attempt")}
	}
	want := "application/json"
	if a.call.stream {
		want = "text/event-stream"
	}
	if got, _, _ := mime.ParseMediaType(h.Get("Content-Type")); got != want {
		return &failure{event: dispatch.Failed, cancel: true, err: fault.New("send request", stream.Garbage, "the response has content type %.64q", got)}
	}
	return nil
}

// blamesRequest reports whether another engine would refuse the request as well. An engine that lacks
// the model or the memory answers with another status.
func blamesRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// rejected passes on an engine's refusal of the request itself.
func rejected(status int, text []byte) refusal.Error {
	message := "The engine rejected the request."
	_ = field.Scan(text, func(key, value []byte) error {
		if string(key) != "error" || value[0] != '{' {
			return nil
		}
		return field.Scan(value, func(key, value []byte) error {
			if string(key) != "message" {
				return nil
			}
			if m, err := field.Text(value); err == nil {
				message = string(m)
			}
			return nil
		})
	})
	return refusal.New(status, "engine-rejected", refusal.MayHaveRun, "%s", message)
}

// commit is called before the first byte of the response.
func (c *call) commit(contentType string) {
	c.x.Committed = true
	c.x.FirstToken = time.Since(c.x.Start)
	c.x.Status = http.StatusOK
	c.w.Header().Set("Content-Type", contentType)
}

// broken classifies an error of the stream.
func (a *attempt) broken(err error) error {
	switch {
	case a.ctx.Err() != nil:
		return a.failed(err, true)
	case errors.Is(err, io.EOF):
		return &failure{event: dispatch.Failed, err: fault.New("read event", stream.Truncated, "the body ends without the end of the stream")}
	case fault.Is(err, stream.Broken):
		return &failure{event: dispatch.ConnectionLost, err: err}
	default:
		return &failure{event: dispatch.Failed, cancel: true, err: err}
	}
}

// cancelTimeout bounds the cancellation of an attempt; the engine frees it by its holding's end otherwise.
const cancelTimeout = 2 * time.Second

// cancel tells the engines of the grant to drop the attempt. It does not wait for their answer.
func (s *Server) cancel(grant dispatch.Grant) {
	for _, member := range grant.Members {
		s.cancels.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodDelete,
				endpoint.URL(s.config.TLS, member.Address, "/platform/requests/"+url.PathEscape(grant.ID)), http.NoBody)
			if err != nil {
				return
			}
			response, err := s.config.Transport.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
}
