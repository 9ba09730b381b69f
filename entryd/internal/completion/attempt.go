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
	"github.com/dandelionpier/dandelionpier/internal/transport"
)

// attempt is one dispatch of a call to an engine.
type attempt struct {
	call        *call
	grant       dispatch.Grant
	activeGrant *cell.ActiveGrant
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	// awaitingFirstEvent is true until the engine sends its first event.
	awaitingFirstEvent atomic.Bool
	activity           *activity
	prober             *prober
	// responseStarted is set when the first event of this attempt is forwarded.
	responseStarted bool
}

var (
	errTimeout     = errors.New("the endpoint did not respond in time")
	errAttemptLost = errors.New("the endpoint does not list the attempt, or does not respond")
)

func newAttempt(c *call, grant dispatch.Grant, activeGrant *cell.ActiveGrant) *attempt {
	a := &attempt{call: c, grant: grant, activeGrant: activeGrant}
	a.ctx, a.cancel = context.WithCancelCause(c.ctx)
	a.awaitingFirstEvent.Store(true)
	a.activity = c.server.activity(grant.Members[0].Endpoint)
	untilFirstEvent := a.firstEventTimeout()
	a.prober = newProber(a, untilFirstEvent)
	a.timer = time.AfterFunc(a.responseTimeout(untilFirstEvent), a.onTimeout)
	return a
}

const (
	// activeWindow is how long an engine counts as working after an event of any of this entry's streams.
	activeWindow = 2 * time.Second
	// activeRecheckInterval is the time until the timeout of an attempt at a working engine is checked again.
	activeRecheckInterval = time.Second
)

// onTimeout cancels the attempt, unless it waits for its first event at an engine that is sending events to
// other streams. Such an engine has queued the request behind others of higher priority; cancelling it would
// waste what is already computed and queue the request again elsewhere. At three times the capacity 47 % of
// the computed tokens were wasted in this way.
func (a *attempt) onTimeout() {
	if a.awaitingFirstEvent.Load() && a.activity.within(activeWindow) {
		a.timer.Reset(activeRecheckInterval)
		return
	}
	a.cancel(errTimeout)
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel(nil)
	a.prober.close()
}

// firstEventTimeout is the time that an engine has for the first event of a stream. An engine that has sent
// nothing by then is asked whether it still has the attempt.
func (a *attempt) firstEventTimeout() time.Duration {
	limits := a.call.server.config.Limits
	estimate := a.grant.Estimate
	if estimate == 0 {
		estimate = seconds(float64(a.call.reservation.PromptTokens) / limits.PrefillRate)
	}
	return max(limits.MinFirstByte, time.Duration(limits.FirstByteFactor*float64(estimate)))
}

// responseTimeout adds the decode time of a response that is not streamed to the time for the first event.
func (a *attempt) responseTimeout(untilFirstEvent time.Duration) time.Duration {
	if a.call.streaming {
		return untilFirstEvent
	}
	limits := a.call.server.config.Limits
	decode := float64(a.call.reservation.MaxTokens) / limits.DecodeRate
	return untilFirstEvent + seconds(limits.FirstByteFactor*decode)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// send sends the request to the engine and returns a response with status 200 that belongs to the attempt.
func (a *attempt) send() (*http.Response, error) {
	c := a.call
	connected, reused := false, false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connected, reused = true, info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(a.ctx, trace), http.MethodPost,
		endpoint.URL(c.server.config.TLS, a.grant.Members[0].Address, c.path), c.engineBody())
	if err != nil {
		return nil, &failure{event: dispatch.Failed, err: err}
	}
	request.ContentLength = int64(len(c.body) + len(c.maxTokensField))
	a.setHeaders(request.Header)
	response, err := c.server.config.Transport.RoundTrip(request)
	connected = connected && !certificate.ClientCertificateRejected(err)
	c.endpointReached = c.endpointReached || connected
	if err != nil {
		return nil, a.connectionFailure(err, connected)
	}
	if err := a.checkResponseHeader(response, reused); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (a *attempt) setHeaders(h http.Header) {
	c := a.call
	h.Set("Content-Type", "application/json")
	h.Set(endpoint.HeaderRequestID, c.exchange.RequestID)
	h.Set(endpoint.HeaderAttemptID, a.grant.ID)
	h.Set(endpoint.HeaderPriority, strconv.FormatInt(a.grant.Priority, 10))
	h.Set(endpoint.HeaderDeadline, strconv.FormatInt(c.exchange.Deadline.UnixMilli(), 10))
	h.Set(endpoint.HeaderCacheSeed, c.exchange.Model)
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
	if c.forwardedEvents > 0 {
		h.Set(endpoint.HeaderResumeFrom, strconv.Itoa(c.forwardedEvents))
	}
}

// connectionFailure classifies an error of the connection.
func (a *attempt) connectionFailure(err error, connected bool) *failure {
	switch {
	case a.call.ctx.Err() != nil:
		return &failure{event: dispatch.Cancelled, cancel: connected, final: true, err: err}
	case a.ctx.Err() != nil:
		return &failure{event: dispatch.Failed, cancel: connected, err: context.Cause(a.ctx)}
	case !connected:
		// The request did not run there, so it cannot have crashed the endpoint.
		return &failure{event: dispatch.Failed, err: err}
	case fault.Is(err, transport.Malformed):
		// The endpoint responds, so the request has not crashed it.
		return &failure{event: dispatch.Failed, cancel: true, err: err}
	default:
		return &failure{event: dispatch.ConnectionLost, err: err}
	}
}

// maxErrorBytes bounds how much of an engine's error response is read.
const maxErrorBytes = 4 << 10

// checkResponseHeader returns a failure unless the header is that of a response with status 200 to this attempt. On a
// connection that was used before, the response may be a late copy of an earlier one.
func (a *attempt) checkResponseHeader(response *http.Response, reusedConnection bool) error {
	status := response.StatusCode
	h := response.Header
	switch {
	case !a.isIdentified(h, reusedConnection || status == http.StatusOK):
		return &failure{event: dispatch.Failed, cancel: true, err: fault.New("send request", stream.Mismatched, "the response is of another request or attempt")}
	case isRequestError(status):
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &failure{event: dispatch.Finished, final: true, err: rejectionError(status, text)}
	case status != http.StatusOK:
		return &failure{event: dispatch.Failed, cancel: status < http.StatusBadRequest, err: fault.New("send request", stream.EngineError, "the engine responded with status %d", status)}
	}
	want := "application/json"
	if a.call.streaming {
		want = "text/event-stream"
	}
	if got, _, _ := mime.ParseMediaType(h.Get("Content-Type")); got != want {
		return &failure{event: dispatch.Failed, cancel: true, err: fault.New("send request", stream.Malformed, "the response has content type %.64q", got)}
	}
	return nil
}

// isIdentified reports whether the header of a response carries the ids of this attempt, or none where they are not
// required.
func (a *attempt) isIdentified(h http.Header, required bool) bool {
	requestID, attemptID := h.Get(endpoint.HeaderRequestID), h.Get(endpoint.HeaderAttemptID)
	if requestID == "" && attemptID == "" && !required {
		return true
	}
	return requestID == a.call.exchange.RequestID && attemptID == a.grant.ID
}

// isRequestError reports whether another engine would refuse the request as well. An engine that lacks the
// model or the memory responds with another status.
func isRequestError(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// rejectionError returns the engine's refusal of the request itself, with the engine's message.
func rejectionError(status int, text []byte) refusal.Error {
	message := "The engine rejected the request."
	_ = field.Scan(text, func(key, value []byte) error {
		if string(key) != "error" || value[0] != '{' {
			return nil
		}
		return field.Scan(value, func(key, value []byte) error {
			if string(key) != "message" {
				return nil
			}
			if decoded, err := field.Text(value); err == nil {
				message = string(decoded)
			}
			return nil
		})
	})
	return refusal.New(status, "engine-rejected", refusal.MayHaveRun, "%s", message)
}

// commit records the start of the response. It is called before the first byte is written.
func (c *call) commit(contentType string) {
	c.exchange.Committed = true
	c.exchange.FirstToken = time.Since(c.exchange.Start)
	c.exchange.Status = http.StatusOK
	c.writer.Header().Set("Content-Type", contentType)
}

// streamFailure classifies an error of the stream.
func (a *attempt) streamFailure(err error) error {
	switch {
	case a.ctx.Err() != nil:
		return a.connectionFailure(err, true)
	case errors.Is(err, io.EOF):
		return &failure{event: dispatch.Failed, err: fault.New("read event", stream.Truncated, "the body ends without the end of the stream")}
	case fault.Is(err, stream.ConnectionFailed):
		return &failure{event: dispatch.ConnectionLost, err: err}
	default:
		return &failure{event: dispatch.Failed, cancel: true, err: err}
	}
}

// cancelTimeout bounds the cancellation of an attempt. If it fails, the engine frees the attempt when its
// holding expires.
const cancelTimeout = 2 * time.Second

// cancel tells the engines of the grant to drop the attempt. It does not wait for their responses.
func (s *Server) cancel(grant dispatch.Grant) {
	for _, member := range grant.Members {
		s.cancellations.Go(func() {
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
