package completion

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
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
	// began says that the engine has sent an event.
	began bool
}

var errTimeout = errors.New("the endpoint did not respond in time")

func newAttempt(c *call, grant dispatch.Grant, run *cell.Run) *attempt {
	a := &attempt{call: c, grant: grant, run: run}
	a.ctx, a.cancel = context.WithCancelCause(c.ctx)
	a.timer = time.AfterFunc(a.firstByteTimeout(), func() { a.cancel(errTimeout) })
	return a
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel(nil)
}

// firstByteTimeout is the time for the first event, or for the whole response without stream.
func (a *attempt) firstByteTimeout() time.Duration {
	limits := a.call.server.config.Limits
	estimate := a.grant.Estimate
	if estimate == 0 {
		estimate = seconds(float64(a.call.reserve.PromptTokens) / limits.PrefillRate)
	}
	if !a.call.stream {
		estimate += seconds(float64(a.call.reserve.MaxTokens) / limits.DecodeRate)
	}
	return max(limits.MinFirstByte, time.Duration(limits.FirstByteFactor*float64(estimate)))
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
		"http://"+a.grant.Members[0].Address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, &failure{event: dispatch.Failed, err: err}
	}
	a.setHeaders(request.Header)
	response, err := c.server.config.Transport.RoundTrip(request)
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
		return &failure{event: dispatch.Died, err: err}
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

// stream forwards the events of the engine to the caller, each at once.
func (a *attempt) stream() (stream.Usage, error) {
	response, err := a.send()
	if err != nil {
		return stream.Usage{}, err
	}
	defer response.Body.Close()
	checker := &stream.Checker{RequestID: a.call.x.RequestID, AttemptID: a.grant.ID, Next: a.call.forwarded}
	first := checker.Next
	err = a.forward(stream.NewReader(response.Body, a.call.server.config.Limits.MaxEvent), checker)
	return a.used(checker, first), err
}

// used is what a stream used. The figures of a resumed stream cover the events before it, which the
// earlier attempts account for. Without figures, the prompt counts in full and each event as a token.
func (a *attempt) used(checker *stream.Checker, first int) stream.Usage {
	usage := checker.Usage
	switch events := checker.Next - first; {
	case usage.Known:
		usage.CompletionTokens = max(0, usage.CompletionTokens-first)
	case events > 0:
		usage.PromptTokens = a.call.reserve.PromptTokens
		usage.CompletionTokens = events
	}
	return usage
}

// forward passes the events on. The event with the usage is the last one; it is held until the next
// event, so that a stream that breaks between it and the end can still be resumed before it.
func (a *attempt) forward(events *stream.Reader, checker *stream.Checker) error {
	var held []byte
	for {
		event, err := events.Next()
		if err != nil {
			return a.broken(err)
		}
		class, err := checker.Check(event)
		if err != nil {
			return a.broken(err)
		}
		switch {
		case class == stream.Ignored:
			continue
		case class == stream.Done && checker.Next == 0:
			return a.broken(fault.New("read event", stream.Truncated, "the stream has no events"))
		}
		// The pause of a caller that does not read is not the engine's.
		a.timer.Stop()
		if held != nil {
			if err := a.pass(held, stream.Chunk, true); err != nil {
				return err
			}
			held = nil
		}
		if class == stream.Chunk && checker.Usage.Known {
			held = bytes.Clone(event)
			a.timer.Reset(a.call.server.config.Limits.Stall)
			continue
		}
		if err := a.pass(event, class, events.Buffered()); err != nil {
			return err
		}
		if class == stream.Done {
			// The end of the body lets the connection be used again.
			a.timer.Reset(endTimeout)
			_, _ = events.Next()
			return nil
		}
		a.timer.Reset(a.call.server.config.Limits.Stall)
	}
}

// endTimeout bounds the wait for the end of a body after the end of its stream.
const endTimeout = 100 * time.Millisecond

// pass writes an event to the caller and flushes it, unless another one is already there.
func (a *attempt) pass(event []byte, class stream.Class, more bool) error {
	c := a.call
	if !a.began {
		a.began = true
		c.began = true
		a.run.FirstToken()
	}
	if !c.x.Committed {
		c.commit("text/event-stream")
		c.w.Header().Set("Cache-Control", "no-cache")
		c.w.WriteHeader(http.StatusOK)
	}
	if _, err := c.w.Write(event); err != nil {
		return &failure{event: dispatch.Cancelled, cancel: true, final: true, err: err}
	}
	if !more || class == stream.Done {
		if err := c.flusher.Flush(); err != nil {
			return &failure{event: dispatch.Cancelled, cancel: true, final: true, err: err}
		}
	}
	if class == stream.Chunk {
		c.forwarded++
		c.lastEvent = time.Now()
		if c.forwarded == 1 {
			c.firstEvent = c.lastEvent
		}
	}
	return nil
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
		return &failure{event: dispatch.Died, err: err}
	default:
		return &failure{event: dispatch.Failed, cancel: true, err: err}
	}
}

// whole reads a response without stream to its end before the caller sees any of it.
func (a *attempt) whole() (stream.Usage, error) {
	c := a.call
	response, err := a.send()
	if err != nil {
		return stream.Usage{}, err
	}
	defer response.Body.Close()
	limit := c.server.config.Limits.MaxResponse
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	switch {
	case err != nil:
		return stream.Usage{}, a.broken(fault.Wrap(err, "read response", stream.Broken, "the connection to the engine failed"))
	case len(body) > limit:
		return stream.Usage{}, a.broken(fault.New("read response", stream.Oversized, "the response has more than %d bytes", limit))
	}
	c.began = true
	usage, err := a.checkBody(body)
	if err != nil {
		return usage, a.broken(err)
	}
	c.commit("application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(http.StatusOK)
	if _, err := c.w.Write(body); err != nil {
		return usage, &failure{event: dispatch.Finished, final: true, err: err}
	}
	return usage, nil
}

func (a *attempt) checkBody(body []byte) (stream.Usage, error) {
	var usage stream.Usage
	request, attempt := a.call.x.RequestID, a.grant.ID
	err := field.Scan(body, func(key, value []byte) (err error) {
		var text []byte
		switch string(key) {
		case "request_id":
			text, err = field.Text(value)
			request = string(text)
		case "attempt_id":
			text, err = field.Text(value)
			attempt = string(text)
		case "usage":
			usage, err = stream.ParseUsage(value)
		}
		return err
	})
	switch {
	case err != nil:
		return usage, fault.Wrap(err, "read response", stream.Garbage, "the response is not a valid JSON object")
	case request != a.call.x.RequestID || attempt != a.grant.ID:
		return stream.Usage{}, fault.New("read response", stream.Crossed, "the response is of request %.64q, attempt %.64q", request, attempt)
	}
	return usage, nil
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
				"http://"+member.Address+"/platform/requests/"+url.PathEscape(grant.ID), http.NoBody)
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
