package cli

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/porttest"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// badEngines are ways in which an engine fails before its first correct event, with what the
// dispatcher must hear of it.
var badEngines = map[string]struct {
	respond func(w http.ResponseWriter, r *http.Request, e events)
	event   dispatch.EventType
}{
	"status 503":      {func(w http.ResponseWriter, _ *http.Request, _ events) { w.WriteHeader(503) }, dispatch.Failed},
	"status 204":      {func(w http.ResponseWriter, _ *http.Request, _ events) { w.WriteHeader(204) }, dispatch.Failed},
	"model missing":   {func(w http.ResponseWriter, _ *http.Request, _ events) { w.WriteHeader(404) }, dispatch.Failed},
	"connection cut":  {func(http.ResponseWriter, *http.Request, events) { panic(http.ErrAbortHandler) }, dispatch.ConnectionLost},
	"empty body":      {func(http.ResponseWriter, *http.Request, events) {}, dispatch.Failed},
	"only the end":    {func(_ http.ResponseWriter, _ *http.Request, e events) { e.done() }, dispatch.Failed},
	"not JSON":        {func(_ http.ResponseWriter, _ *http.Request, e events) { e.write("{]") }, dispatch.Failed},
	"not events":      {func(w http.ResponseWriter, _ *http.Request, _ events) { _, _ = io.WriteString(w, "<html>\n\n") }, dispatch.Failed},
	"other type":      {func(w http.ResponseWriter, _ *http.Request, _ events) { w.Header().Set("Content-Type", "text/html") }, dispatch.Failed},
	"engine error":    {func(_ http.ResponseWriter, _ *http.Request, e events) { e.write(`{"error":{"message":"no"}}`) }, dispatch.Failed},
	"oversized event": {func(_ http.ResponseWriter, _ *http.Request, e events) { e.write(strings.Repeat("x", 2<<20)) }, dispatch.Failed},
	"late index":      {func(_ http.ResponseWriter, _ *http.Request, e events) { e.chunk(1) }, dispatch.Failed},
	"other attempt": {func(_ http.ResponseWriter, _ *http.Request, e events) {
		e.attempt = "other"
		e.chunk(0)
	}, dispatch.Failed},
	"other request in the head": {func(w http.ResponseWriter, _ *http.Request, e events) {
		w.Header().Set(endpoint.HeaderRequestID, "other")
		e.finish(0, 1)
	}, dispatch.Failed},
	"absurd usage":  {func(_ http.ResponseWriter, _ *http.Request, e events) { e.usage(0, -5, 1, 0) }, dispatch.Failed},
	"never answers": {func(_ http.ResponseWriter, r *http.Request, _ events) { <-r.Context().Done() }, dispatch.Failed},
}

// Guards against a failed attempt whose events reach the caller, that is not retried elsewhere, or
// that the dispatcher does not hear of.
func TestRetryBeforeFirstByte(t *testing.T) {
	good := engine(t, func(_ http.ResponseWriter, _ *http.Request, e events) { e.finish(0, 2) })
	for name, test := range badEngines {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, engine(t, test.respond), good)
			if name == "never answers" {
				// Only the silent engine gets the short time, so that a slow machine cannot fail the good one.
				s.dispatcher.estimates = map[string]time.Duration{"e1": time.Millisecond, "e2": time.Hour}
				s.stopAndRun(t, func() { s.options.MinFirstByte = 50 * time.Millisecond })
			}
			answer := s.send(t, "POST", "/v1/chat/completions", streamBody)
			is.Equal(answer.status, http.StatusOK)
			is.True(strings.HasSuffix(answer.body, "data: [DONE]\n\n"))
			is.Equal(contents(answer.body), "w0w1")
			id := answer.header.Get(endpoint.HeaderRequestID)
			is.NoErr(s.stop())
			is.Equal(last(s.dispatcher.types(id+"-1")), test.event)
			is.Equal(last(s.dispatcher.types(id+"-2")), dispatch.Finished)
			is.Equal(s.dispatcher.reserved[1].Exclude, []string{"e1"})
		})
	}
}

// stopAndRun starts the entry again with changed settings.
func (s *site) stopAndRun(t testing.TB, change func()) {
	t.Helper()
	if err := s.stop(); err != nil {
		t.Fatal(err)
	}
	change()
	s.run(t)
}

func last(types []dispatch.EventType) dispatch.EventType {
	if len(types) == 0 {
		return ""
	}
	return types[len(types)-1]
}

// contents joins the texts of a stream.
func contents(body string) string {
	var b strings.Builder
	for part := range strings.SplitSeq(body, `"content":"`) {
		if text, _, ok := strings.Cut(part, `"`); ok && strings.HasPrefix(text, "w") {
			b.WriteString(text)
		}
	}
	return b.String()
}

// Guards against a broken stream that is not resumed, or whose continuation repeats or skips events.
func TestResume(t *testing.T) {
	for name, breakAfter := range map[string]func(w http.ResponseWriter, e events){
		"connection cut": func(http.ResponseWriter, events) { panic(http.ErrAbortHandler) },
		"truncated":      func(http.ResponseWriter, events) {},
		"within an event": func(w http.ResponseWriter, _ events) {
			_, _ = io.WriteString(w, `data: {"request_id"`)
		},
		"duplicated":      func(_ http.ResponseWriter, e events) { e.chunk(1) },
		"reordered":       func(_ http.ResponseWriter, e events) { e.chunk(3) },
		"crossed":         func(_ http.ResponseWriter, e events) { e.attempt = "x"; e.chunk(2) },
		"before the end":  func(_ http.ResponseWriter, e events) { e.usage(2, 20, 2, 0) },
		"error as event":  func(_ http.ResponseWriter, e events) { e.write(`{"error":{"message":"no"}}`) },
		"stalled":         func(_ http.ResponseWriter, e events) { <-e.context.Done() },
		"several objects": func(_ http.ResponseWriter, e events) { e.write("{}\ndata: {}") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad := engine(t, func(w http.ResponseWriter, _ *http.Request, e events) {
				e.chunk(0)
				e.chunk(1)
				breakAfter(w, e)
			})
			var from atomic.Value
			good := engine(t, func(_ http.ResponseWriter, r *http.Request, e events) {
				from.Store(r.Header.Get(endpoint.HeaderResumeFrom))
				e.finish(2, 4)
			})
			s := start(t, bad, good)
			if name == "stalled" {
				s.stopAndRun(t, func() { s.options.StallTimeout = 500 * time.Millisecond })
			}
			answer := s.send(t, "POST", "/v1/chat/completions", streamBody)
			is.Equal(answer.status, http.StatusOK)
			is.Equal(from.Load(), "2")
			is.Equal(contents(answer.body), "w0w1w2w3")
			is.Equal(strings.Count(answer.body, "[DONE]"), 1)
			is.NoErr(s.stop())
			is.Equal(s.purse.held, int64(0))
		})
	}
}

// Guards against a stream that ends as if it were complete after its engines have failed, and
// against endless attempts.
func TestStreamFails(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	bad := func() string {
		return engine(t, func(_ http.ResponseWriter, r *http.Request, e events) {
			n := int(attempts.Add(1)) - 1
			e.chunk(n)
			panic(http.ErrAbortHandler)
		})
	}
	s := start(t, bad(), bad(), bad(), bad())
	answer := s.send(t, "POST", "/v1/chat/completions", streamBody)
	is.Equal(attempts.Load(), int64(3))
	is.Equal(contents(answer.body), "w0w1w2")
	is.True(!strings.Contains(answer.body, "[DONE]"))
	is.True(strings.Contains(answer.body, `"outcome":"`+string(refusal.FailedWhileRunning)+`"`))
	is.NoErr(s.stop())
	is.Equal(s.seen.failed.Load(), int64(1))
	is.Equal(s.purse.held, int64(0))
}

// Guards against a wrong outcome of a request that failed before its first byte.
func TestOutcomes(t *testing.T) {
	nobody := "http://" + porttest.Refusing(t)
	cut := engine(t, func(http.ResponseWriter, *http.Request, events) { panic(http.ErrAbortHandler) })
	rejecting := engine(t, func(w http.ResponseWriter, _ *http.Request, _ events) {
		w.WriteHeader(400)
		_, _ = io.WriteString(w, `{"error":{"message":"bad temperature"}}`)
	})
	silent := engine(t, func(_ http.ResponseWriter, r *http.Request, _ events) { <-r.Context().Done() })
	for name, test := range map[string]struct {
		urls    []string
		limit   string
		status  int
		code    string
		outcome refusal.Outcome
	}{
		"never connected": {[]string{nobody}, "60", 502, "endpoint-failed", refusal.DidNotRun},
		"connection cut":  {[]string{cut}, "60", 502, "endpoint-failed", refusal.MayHaveRun},
		"rejected":        {[]string{rejecting, cut}, "60", 400, "engine-rejected", refusal.MayHaveRun},
		"time limit":      {[]string{silent}, "0.5", 504, "time-limit", refusal.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, test.urls...)
			answer := s.send(t, "POST", "/v1/chat/completions", streamBody, "X-Time-Limit", test.limit)
			got := decodeError(t, answer)
			is.Equal(answer.status, test.status)
			is.Equal(got.Error.Code, test.code)
			is.Equal(got.Error.Outcome, test.outcome)
			is.Equal(answer.header.Get("X-Outcome"), string(test.outcome))
		})
	}
}

// Guards against an engine that goes on working for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	left, cancelled := make(chan struct{}), make(chan string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e := events{w: w, request: r.Header.Get(endpoint.HeaderRequestID), attempt: r.Header.Get(endpoint.HeaderAttemptID)}
		w.Header().Set(endpoint.HeaderRequestID, e.request)
		w.Header().Set(endpoint.HeaderAttemptID, e.attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		e.chunk(0)
		<-r.Context().Done()
		close(left)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	s := start(t, listener.Addr().String())
	conn, err := net.Dial("tcp", s.listening.Caller)
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(streamBody), streamBody)
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(conn.Close())
	<-left
	path := <-cancelled
	id := strings.TrimPrefix(path, "/platform/requests/")
	is.NoErr(s.stop())
	is.Equal(s.dispatcher.types(id), []dispatch.EventType{dispatch.FirstToken, dispatch.Cancelled})
	is.Equal(s.purse.held, int64(0))
	is.Equal(len(s.purse.spends), 1)
}

// Guards against a caller that does not read and holds its request, and the engine, beyond the time limit.
func TestCallerDoesNotRead(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	url := engine(t, func(_ http.ResponseWriter, r *http.Request, e events) {
		defer close(left)
		padding := strings.Repeat("x", 64<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			e.write(fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"index":%d,"padding":%q}`, e.request, e.attempt, i, padding))
		}
	})
	s := start(t, url)
	conn, err := net.Dial("tcp", s.listening.Caller)
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Time-Limit: 0.5\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(streamBody), streamBody)
	is.NoErr(err)
	<-left
	is.NoErr(s.stop())
	is.Equal(s.purse.held, int64(0))
}

// Guards against a response without stream that is passed on incomplete, crossed or unchecked.
func TestWholeResponse(t *testing.T) {
	body := func(e events, attempt string) string {
		return fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2,"cached_tokens":0}}`, e.request, attempt)
	}
	good := engine(t, func(w http.ResponseWriter, _ *http.Request, e events) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, body(e, e.attempt))
	})
	for name, respond := range map[string]func(w http.ResponseWriter, e events){
		"crossed": func(w http.ResponseWriter, e events) { _, _ = io.WriteString(w, body(e, "other")) },
		"garbage": func(w http.ResponseWriter, _ events) { _, _ = io.WriteString(w, "{]") },
		"truncated": func(w http.ResponseWriter, _ events) {
			w.Header().Set("Content-Length", "500")
			_, _ = io.WriteString(w, "{")
		},
		"oversized": func(w http.ResponseWriter, _ events) { _, _ = io.WriteString(w, strings.Repeat(" ", 17<<20)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad := engine(t, func(w http.ResponseWriter, _ *http.Request, e events) {
				w.Header().Set("Content-Type", "application/json")
				respond(w, e)
			})
			s := start(t, bad, good)
			answer := s.send(t, "POST", "/v1/completions", `{"model":"oak","prompt":"angle","max_tokens":5}`)
			is.Equal(answer.status, http.StatusOK)
			is.True(strings.Contains(answer.body, `-2"`))
			is.NoErr(s.stop())
			is.Equal(s.purse.spends[0].Amount, int64(8*10+2*100))
		})
	}
}

// Guards against retries that multiply the load of a cell that fails.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	bad := func() string {
		return engine(t, func(w http.ResponseWriter, _ *http.Request, _ events) {
			attempts.Add(1)
			w.WriteHeader(503)
		})
	}
	s := start(t, bad(), bad())
	s.stopAndRun(t, func() { s.options.RetryRatio, s.options.RetryFloor = 0.1, 0 })
	for range 40 {
		is.Equal(s.send(t, "POST", "/v1/chat/completions", streamBody).status, http.StatusBadGateway)
	}
	// A floor of 0 leaves the one retry that a token bucket starts with, and 10 % of 40 requests.
	is.True(attempts.Load() <= 40+1+4)
	is.True(attempts.Load() >= 40+3)
}

// Guards against innocent requests that fail because an endpoint died under many at once, more than the
// retry budget allows.
func TestDeathIsNotChargedToRetryBudget(t *testing.T) {
	is := is.New(t)
	good := engine(t, func(_ http.ResponseWriter, _ *http.Request, e events) { e.finish(0, 2) })
	lost := engine(t, func(http.ResponseWriter, *http.Request, events) { panic(http.ErrAbortHandler) })
	s := start(t, lost, good)
	s.stopAndRun(t, func() { s.options.RetryRatio, s.options.RetryFloor = 0, 0 })
	for range 5 {
		is.Equal(s.send(t, "POST", "/v1/chat/completions", streamBody).status, http.StatusOK)
	}
}
