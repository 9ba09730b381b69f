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

// badEngines lists ways in which an engine fails before its first valid event, and the event that must be
// reported to the dispatcher.
var badEngines = map[string]struct {
	respond func(w http.ResponseWriter, r *http.Request, e eventWriter)
	event   dispatch.EventType
}{
	"status 503":     {func(w http.ResponseWriter, _ *http.Request, _ eventWriter) { w.WriteHeader(503) }, dispatch.Failed},
	"status 204":     {func(w http.ResponseWriter, _ *http.Request, _ eventWriter) { w.WriteHeader(204) }, dispatch.Failed},
	"model missing":  {func(w http.ResponseWriter, _ *http.Request, _ eventWriter) { w.WriteHeader(404) }, dispatch.Failed},
	"connection cut": {func(http.ResponseWriter, *http.Request, eventWriter) { panic(http.ErrAbortHandler) }, dispatch.ConnectionLost},
	"empty body":     {func(http.ResponseWriter, *http.Request, eventWriter) {}, dispatch.Failed},
	"only the end":   {func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.done() }, dispatch.Failed},
	"not JSON":       {func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.write("{]") }, dispatch.Failed},
	"not events":     {func(w http.ResponseWriter, _ *http.Request, _ eventWriter) { _, _ = io.WriteString(w, "<html>\n\n") }, dispatch.Failed},
	"other type": {func(w http.ResponseWriter, _ *http.Request, _ eventWriter) {
		w.Header().Set("Content-Type", "text/html")
	}, dispatch.Failed},
	"engine error":    {func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.write(`{"error":{"message":"no"}}`) }, dispatch.Failed},
	"oversized event": {func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.write(strings.Repeat("x", 2<<20)) }, dispatch.Failed},
	"late index":      {func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.chunk(1) }, dispatch.Failed},
	"other attempt": {func(_ http.ResponseWriter, _ *http.Request, e eventWriter) {
		e.attempt = "other"
		e.chunk(0)
	}, dispatch.Failed},
	"other request in the head": {func(w http.ResponseWriter, _ *http.Request, e eventWriter) {
		w.Header().Set(endpoint.HeaderRequestID, "other")
		e.finish(0, 1)
	}, dispatch.Failed},
	"cut head": {func(w http.ResponseWriter, _ *http.Request, e eventWriter) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n",
			endpoint.HeaderRequestID, e.request, endpoint.HeaderAttemptID, e.attempt)
	}, dispatch.ConnectionLost},
	"blank in a field name": {func(w http.ResponseWriter, _ *http.Request, e eventWriter) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nX Y: z\r\n\r\n",
			endpoint.HeaderRequestID, e.request, endpoint.HeaderAttemptID, e.attempt)
		_, _ = fmt.Fprintf(conn, "data: {\"request_id\":%q,\"attempt_id\":%q,\"index\":0,\"choices\":[]}\n\ndata: [DONE]\n\n", e.request, e.attempt)
	}, dispatch.Failed},
	"absurd usage":   {func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.usage(0, -5, 1, 0) }, dispatch.Failed},
	"never responds": {func(_ http.ResponseWriter, r *http.Request, _ eventWriter) { <-r.Context().Done() }, dispatch.Failed},
}

// Guards against a failed attempt whose events reach the caller, that is not retried at another engine, or
// that is not reported to the dispatcher.
func TestRetryBeforeFirstByte(t *testing.T) {
	good := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.finish(0, 2) })
	for name, test := range badEngines {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEntry(t, startEngine(t, test.respond), good)
			if name == "never responds" {
				// Only the silent engine gets the short timeout, so that a slow machine does not fail the good one.
				s.dispatcher.estimates = map[string]time.Duration{"e1": time.Millisecond, "e2": time.Hour}
				s.restart(t, func() { s.options.MinFirstByte = 50 * time.Millisecond })
			}
			response := s.send(t, "POST", "/v1/chat/completions", streamRequest)
			is.Equal(response.status, http.StatusOK)
			is.True(strings.HasSuffix(response.body, "data: [DONE]\n\n"))
			is.Equal(streamText(response.body), "w0w1")
			id := response.header.Get(endpoint.HeaderRequestID)
			is.NoErr(s.stop())
			is.Equal(lastType(s.dispatcher.eventTypes(id+"-1")), test.event)
			is.Equal(lastType(s.dispatcher.eventTypes(id+"-2")), dispatch.Finished)
			is.Equal(s.dispatcher.reserved[1].Exclude, []string{"e1"})
		})
	}
}

// restart restarts the entry with changed settings.
func (s *testEntry) restart(t testing.TB, change func()) {
	t.Helper()
	if err := s.stop(); err != nil {
		t.Fatal(err)
	}
	change()
	s.run(t)
}

func lastType(types []dispatch.EventType) dispatch.EventType {
	if len(types) == 0 {
		return ""
	}
	return types[len(types)-1]
}

// streamText joins the tokens of a stream.
func streamText(body string) string {
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
	for name, breakAfter := range map[string]func(w http.ResponseWriter, e eventWriter){
		"connection cut": func(http.ResponseWriter, eventWriter) { panic(http.ErrAbortHandler) },
		"truncated":      func(http.ResponseWriter, eventWriter) {},
		"within an event": func(w http.ResponseWriter, _ eventWriter) {
			_, _ = io.WriteString(w, `data: {"request_id"`)
		},
		"duplicated":      func(_ http.ResponseWriter, e eventWriter) { e.chunk(1) },
		"reordered":       func(_ http.ResponseWriter, e eventWriter) { e.chunk(3) },
		"crossed":         func(_ http.ResponseWriter, e eventWriter) { e.attempt = "x"; e.chunk(2) },
		"before the end":  func(_ http.ResponseWriter, e eventWriter) { e.usage(2, 20, 2, 0) },
		"error as event":  func(_ http.ResponseWriter, e eventWriter) { e.write(`{"error":{"message":"no"}}`) },
		"stalled":         func(_ http.ResponseWriter, e eventWriter) { <-e.context.Done() },
		"several objects": func(_ http.ResponseWriter, e eventWriter) { e.write("{}\ndata: {}") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad := startEngine(t, func(w http.ResponseWriter, _ *http.Request, e eventWriter) {
				e.chunk(0)
				e.chunk(1)
				breakAfter(w, e)
			})
			var from atomic.Value
			good := startEngine(t, func(_ http.ResponseWriter, r *http.Request, e eventWriter) {
				from.Store(r.Header.Get(endpoint.HeaderResumeFrom))
				e.finish(2, 4)
			})
			s := startEntry(t, bad, good)
			if name == "stalled" {
				s.restart(t, func() { s.options.StallTimeout = 500 * time.Millisecond })
			}
			response := s.send(t, "POST", "/v1/chat/completions", streamRequest)
			is.Equal(response.status, http.StatusOK)
			is.Equal(from.Load(), "2")
			is.Equal(streamText(response.body), "w0w1w2w3")
			is.Equal(strings.Count(response.body, "[DONE]"), 1)
			is.NoErr(s.stop())
			is.Equal(s.budget.held, int64(0))
		})
	}
}

// Guards against a stream that looks complete although its engines have failed, and against unlimited
// attempts.
func TestStreamFails(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	bad := func() string {
		return startEngine(t, func(_ http.ResponseWriter, r *http.Request, e eventWriter) {
			n := int(attempts.Add(1)) - 1
			e.chunk(n)
			panic(http.ErrAbortHandler)
		})
	}
	s := startEntry(t, bad(), bad(), bad(), bad())
	response := s.send(t, "POST", "/v1/chat/completions", streamRequest)
	is.Equal(attempts.Load(), int64(3))
	is.Equal(streamText(response.body), "w0w1w2")
	is.True(!strings.Contains(response.body, "[DONE]"))
	is.True(strings.Contains(response.body, `"outcome":"`+string(refusal.FailedWhileRunning)+`"`))
	is.NoErr(s.stop())
	is.Equal(s.observer.failed.Load(), int64(1))
	is.Equal(s.budget.held, int64(0))
}

// Guards against a wrong outcome of a request that fails before its first byte.
func TestOutcomes(t *testing.T) {
	refusing := "http://" + porttest.Refusing(t)
	cut := startEngine(t, func(http.ResponseWriter, *http.Request, eventWriter) { panic(http.ErrAbortHandler) })
	rejecting := startEngine(t, func(w http.ResponseWriter, _ *http.Request, _ eventWriter) {
		w.WriteHeader(400)
		_, _ = io.WriteString(w, `{"error":{"message":"bad temperature"}}`)
	})
	silent := startEngine(t, func(_ http.ResponseWriter, r *http.Request, _ eventWriter) { <-r.Context().Done() })
	for name, test := range map[string]struct {
		urls    []string
		limit   string
		status  int
		code    string
		outcome refusal.Outcome
	}{
		"never connected": {[]string{refusing}, "60", 502, "endpoint-failed", refusal.DidNotRun},
		"connection cut":  {[]string{cut}, "60", 502, "endpoint-failed", refusal.MayHaveRun},
		"rejected":        {[]string{rejecting, cut}, "60", 400, "engine-rejected", refusal.MayHaveRun},
		"time limit":      {[]string{silent}, "0.5", 504, "time-limit", refusal.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEntry(t, test.urls...)
			response := s.send(t, "POST", "/v1/chat/completions", streamRequest, "X-Time-Limit", test.limit)
			got := decodeError(t, response)
			is.Equal(response.status, test.status)
			is.Equal(got.Error.Code, test.code)
			is.Equal(got.Error.Outcome, test.outcome)
			is.Equal(response.header.Get("X-Outcome"), string(test.outcome))
		})
	}
}

// Guards against an engine that keeps working on a request whose caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	left, cancelled := make(chan struct{}), make(chan string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e := eventWriter{w: w, request: r.Header.Get(endpoint.HeaderRequestID), attempt: r.Header.Get(endpoint.HeaderAttemptID)}
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
	s := startEntry(t, listener.Addr().String())
	conn, err := net.Dial("tcp", s.addresses.Caller)
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(streamRequest), streamRequest)
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(conn.Close())
	<-left
	path := <-cancelled
	id := strings.TrimPrefix(path, "/platform/requests/")
	is.NoErr(s.stop())
	is.Equal(s.dispatcher.eventTypes(id), []dispatch.EventType{dispatch.FirstToken, dispatch.Cancelled})
	is.Equal(s.budget.held, int64(0))
	is.Equal(len(s.budget.spends), 1)
}

// Guards against a caller that does not read the response and so occupies the entry and the engine beyond the
// time limit.
func TestCallerDoesNotRead(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	url := startEngine(t, func(_ http.ResponseWriter, r *http.Request, e eventWriter) {
		defer close(left)
		padding := strings.Repeat("x", 64<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			e.write(fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"index":%d,"padding":%q}`, e.request, e.attempt, i, padding))
		}
	})
	s := startEntry(t, url)
	conn, err := net.Dial("tcp", s.addresses.Caller)
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Time-Limit: 0.5\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(streamRequest), streamRequest)
	is.NoErr(err)
	<-left
	is.NoErr(s.stop())
	is.Equal(s.budget.held, int64(0))
}

// Guards against a response without stream that is forwarded although it is incomplete, invalid or belongs to
// another attempt.
func TestWholeResponse(t *testing.T) {
	body := func(e eventWriter, attempt string) string {
		return fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2,"cached_tokens":0}}`, e.request, attempt)
	}
	good := startEngine(t, func(w http.ResponseWriter, _ *http.Request, e eventWriter) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, body(e, e.attempt))
	})
	for name, respond := range map[string]func(w http.ResponseWriter, e eventWriter){
		"crossed": func(w http.ResponseWriter, e eventWriter) { _, _ = io.WriteString(w, body(e, "other")) },
		"garbage": func(w http.ResponseWriter, _ eventWriter) { _, _ = io.WriteString(w, "{]") },
		"truncated": func(w http.ResponseWriter, _ eventWriter) {
			w.Header().Set("Content-Length", "500")
			_, _ = io.WriteString(w, "{")
		},
		"oversized": func(w http.ResponseWriter, _ eventWriter) { _, _ = io.WriteString(w, strings.Repeat(" ", 17<<20)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad := startEngine(t, func(w http.ResponseWriter, _ *http.Request, e eventWriter) {
				w.Header().Set("Content-Type", "application/json")
				respond(w, e)
			})
			s := startEntry(t, bad, good)
			response := s.send(t, "POST", "/v1/completions", `{"model":"oak","prompt":"angle","max_tokens":5}`)
			is.Equal(response.status, http.StatusOK)
			is.True(strings.Contains(response.body, `-2"`))
			is.NoErr(s.stop())
			is.Equal(s.budget.spends[0].Amount, int64(8*10+2*100))
		})
	}
}

// Guards against retries that multiply the load of a failing cell.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	bad := func() string {
		return startEngine(t, func(w http.ResponseWriter, _ *http.Request, _ eventWriter) {
			attempts.Add(1)
			w.WriteHeader(503)
		})
	}
	s := startEntry(t, bad(), bad())
	s.restart(t, func() { s.options.RetryRatio, s.options.RetryFloor = 0.1, 0 })
	for range 40 {
		is.Equal(s.send(t, "POST", "/v1/chat/completions", streamRequest).status, http.StatusBadGateway)
	}
	// With a floor of 0, the budget is the one retry that the token bucket starts with, and 10 % of 40 requests.
	is.True(attempts.Load() <= 40+1+4)
	is.True(attempts.Load() >= 40+3)
}

// Guards against requests that fail because the crash of an endpoint hit more of them at once than the retry
// budget allows.
func TestDeathIsNotChargedToRetryBudget(t *testing.T) {
	is := is.New(t)
	good := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.finish(0, 2) })
	lost := startEngine(t, func(http.ResponseWriter, *http.Request, eventWriter) { panic(http.ErrAbortHandler) })
	s := startEntry(t, lost, good)
	s.restart(t, func() { s.options.RetryRatio, s.options.RetryFloor = 0, 0 })
	for range 5 {
		is.Equal(s.send(t, "POST", "/v1/chat/completions", streamRequest).status, http.StatusOK)
	}
}
