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

// listingEngine is an engine whose answers to completions and to the list of holdings the test gives.
func listingEngine(t *testing.T, complete func(w http.ResponseWriter, r *http.Request, e events), list func(w http.ResponseWriter, r *http.Request)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/platform/holdings":
			list(w, r)
		case r.Method == http.MethodPost:
			_, _ = io.Copy(io.Discard, r.Body)
			e := events{w: w, context: r.Context(), request: r.Header.Get(endpoint.HeaderRequestID), attempt: r.Header.Get(endpoint.HeaderAttemptID)}
			w.Header().Set(endpoint.HeaderRequestID, e.request)
			w.Header().Set(endpoint.HeaderAttemptID, e.attempt)
			complete(w, r, e)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func whole(w http.ResponseWriter, e events) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"request_id":%q,"attempt_id":%q,"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2,"cached_tokens":0}}`, e.request, e.attempt)
}

// wholeBody asks for a response whose estimate is longer than the time limit of the tests.
const wholeBody = `{"model":"oak","prompt":"angle","max_tokens":5000}`

// Guards against a response without stream that is awaited for the whole of its estimate at an engine that
// has lost the request or hangs, and against engines that work and are cut off.
func TestSilentWithoutStream(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request, _ events) { <-r.Context().Done() }
	for name, test := range map[string]struct {
		// lists is called for each list of holdings with its number and the running attempt.
		lists func(w http.ResponseWriter, r *http.Request, attempt string)
		works bool
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
			lists, asked := atomic.Int64{}, make(chan struct{})
			complete := hang
			if test.works {
				complete = func(w http.ResponseWriter, r *http.Request, e events) {
					attempt.Store(e.attempt)
					select {
					case <-asked:
						whole(w, e)
					case <-r.Context().Done():
					}
				}
			}
			first := listingEngine(t, complete, func(w http.ResponseWriter, r *http.Request) {
				id, _ := attempt.Load().(string)
				test.lists(w, r, id)
				if lists.Add(1) == 3 {
					close(asked)
				}
			})
			good := listingEngine(t, func(w http.ResponseWriter, _ *http.Request, e events) { whole(w, e) }, nil)
			s := start(t, first, good)
			// The estimates are those for the first token; a slow machine cannot fail the good engine.
			s.dispatcher.estimates = map[string]time.Duration{"e1": time.Millisecond, "e2": time.Hour}
			s.stopAndRun(t, func() { s.options.MinFirstByte = 50 * time.Millisecond })
			answer := s.send(t, "POST", "/v1/completions", wholeBody, "X-Time-Limit", "60")
			is.Equal(answer.status, http.StatusOK)
			want := `-2"`
			if test.works {
				want = `-1"`
			}
			is.True(strings.Contains(answer.body, want))
		})
	}
}

// Guards against a stream that waits for its first event until its time limit, because the engine that
// has lost the request serves others.
func TestLostAtWorkingEngine(t *testing.T) {
	is := is.New(t)
	streaming, cut := make(chan struct{}), make(chan struct{})
	var requests atomic.Int64
	first := listingEngine(t, func(w http.ResponseWriter, r *http.Request, e events) {
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
	good := engine(t, func(_ http.ResponseWriter, _ *http.Request, e events) { e.finish(0, 1) })
	s := start(t, first, good)
	s.dispatcher.estimates = map[string]time.Duration{"e1": time.Millisecond, "e2": time.Hour}
	s.stopAndRun(t, func() { s.options.MinFirstByte = 500 * time.Millisecond })
	running := make(chan answer, 1)
	go func() { running <- s.send(t, "POST", "/v1/chat/completions", streamBody) }()
	<-streaming
	lost := s.send(t, "POST", "/v1/chat/completions", streamBody, "X-Time-Limit", "60")
	is.Equal(lost.status, http.StatusOK)
	is.True(strings.HasSuffix(lost.body, "data: [DONE]\n\n"))
	is.True(strings.HasSuffix((<-running).body, "data: [DONE]\n\n"))
	is.NoErr(s.stop())
	is.Equal(s.purse.held, int64(0))
}
