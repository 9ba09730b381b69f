package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// startListingEngine starts an engine that calls complete for completions and list for its list of holdings.
func startListingEngine(t *testing.T, complete func(w http.ResponseWriter, r *http.Request, e eventWriter), list func(w http.ResponseWriter, r *http.Request)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/platform/holdings":
			list(w, r)
		case r.Method == http.MethodPost:
			_, _ = io.Copy(io.Discard, r.Body)
			e := eventWriter{w: w, context: r.Context(), request: r.Header.Get(endpoint.HeaderRequestID), attempt: r.Header.Get(endpoint.HeaderAttemptID)}
			w.Header().Set(endpoint.HeaderRequestID, e.request)
			w.Header().Set(endpoint.HeaderAttemptID, e.attempt)
			complete(w, r, e)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func writeWholeResponse(w http.ResponseWriter, e eventWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"request_id":%q,"attempt_id":%q,"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2,"cached_tokens":0}}`, e.request, e.attempt)
}

// wholeRequest requests a response without stream whose estimate exceeds the time limit of the tests.
const wholeRequest = `{"model":"oak","prompt":"angle","max_tokens":5000}`

// Guards against waiting the whole estimate of a response without stream when the engine has lost the request
// or hangs, and against cutting off engines that are working.
func TestSilentWithoutStream(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request, _ eventWriter) { <-r.Context().Done() }
	for name, test := range map[string]struct {
		// list responds to requests for the list of holdings; attempt is the running attempt.
		list    func(w http.ResponseWriter, r *http.Request, attempt string)
		working bool
	}{
		"request lost": {func(w http.ResponseWriter, _ *http.Request, _ string) { _, _ = io.WriteString(w, "[]") }, false},
		"engine hangs": {func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() }, false},
		"engine works": {func(w http.ResponseWriter, _ *http.Request, attempt string) {
			_, _ = fmt.Fprintf(w, `[{"id":%q,"holder":"h","tokens":1,"ttl-ms":0}]`, attempt)
		}, true},
		"no list":  {func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(http.StatusNotFound) }, true},
		"not JSON": {func(w http.ResponseWriter, _ *http.Request, _ string) { _, _ = io.WriteString(w, "<html>") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var attempt atomic.Value
			listCount, asked := atomic.Int64{}, make(chan struct{})
			complete := hang
			if test.working {
				complete = func(w http.ResponseWriter, r *http.Request, e eventWriter) {
					attempt.Store(e.attempt)
					select {
					case <-asked:
						writeWholeResponse(w, e)
					case <-r.Context().Done():
					}
				}
			}
			first := startListingEngine(t, complete, func(w http.ResponseWriter, r *http.Request) {
				id, _ := attempt.Load().(string)
				test.list(w, r, id)
				if listCount.Add(1) == 3 {
					close(asked)
				}
			})
			good := startListingEngine(t, func(w http.ResponseWriter, _ *http.Request, e eventWriter) { writeWholeResponse(w, e) }, nil)
			s := startEntry(t, first, good)
			// These are the estimates of the time to first token; a slow machine cannot fail the good engine.
			s.dispatcher.estimates = map[string]time.Duration{"e1": time.Millisecond, "e2": time.Hour}
			s.restart(t, func() { s.options.MinFirstByte = 50 * time.Millisecond })
			response := s.send(t, "POST", "/v1/completions", wholeRequest, "X-Time-Limit", "60")
			is.Equal(response.status, http.StatusOK)
			want := `-2"`
			if test.working {
				want = `-1"`
			}
			is.True(strings.Contains(response.body, want))
		})
	}
}

// Guards against a stream that waits for its first event until its time limit at an engine that has lost the
// request but still serves others.
func TestLostAtWorkingEngine(t *testing.T) {
	is := is.New(t)
	streaming, cut := make(chan struct{}), make(chan struct{})
	var requests atomic.Int64
	first := startListingEngine(t, func(w http.ResponseWriter, r *http.Request, e eventWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		if requests.Add(1) > 1 {
			<-r.Context().Done()
			close(cut)
			return
		}
		for i := 0; ; i++ {
			e.chunk(i)
			if i == 0 {
				close(streaming)
			}
			select {
			case <-cut:
				e.usage(i+1, 20, i+1, 0)
				e.done()
				return
			case <-r.Context().Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "[]") })
	good := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.finish(0, 1) })
	s := startEntry(t, first, good)
	s.dispatcher.estimates = map[string]time.Duration{"e1": time.Millisecond, "e2": time.Hour}
	s.restart(t, func() { s.options.MinFirstByte = 500 * time.Millisecond })
	running := make(chan clientResponse, 1)
	go func() { running <- s.send(t, "POST", "/v1/chat/completions", streamRequest) }()
	<-streaming
	lost := s.send(t, "POST", "/v1/chat/completions", streamRequest, "X-Time-Limit", "60")
	is.Equal(lost.status, http.StatusOK)
	is.True(strings.HasSuffix(lost.body, "data: [DONE]\n\n"))
	is.True(strings.HasSuffix((<-running).body, "data: [DONE]\n\n"))
	is.NoErr(s.stop())
	is.Equal(s.budget.held, int64(0))
}
