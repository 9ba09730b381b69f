package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Guards against responses that are incomplete or belong to another request, against requests that run twice
// although they must not, and against statuses that deny that a request has run when it may have.
func TestMisbehavingEndpoints(t *testing.T) {
	tests := map[string]struct {
		behaviour endpointBehaviour
		// once and repeated are the statuses of a non-repeatable and of a repeatable request when there is
		// also a healthy endpoint.
		once, repeated int
		// onlyEndpoint is the status of a non-repeatable request when there is no other endpoint.
		onlyEndpoint int
	}{
		"good":                {respondOK, 200, 200, 200},
		"own failure":         {status(500), 500, 200, 500},
		"did not run":         {notRun, 200, 200, 503},
		"not reached":         {nil, 200, 200, 503},
		"cut before response": {abortConnection, 502, 200, 502},
		"truncated":           {truncateBody, 502, 200, 502},
		"of another request":  {respondToAnotherRequest, 502, 200, 502},
		"without proof":       {respondWithoutProof, 502, 200, 502},
		"encoded":             {respondEncoded, 502, 200, 502},
		"503 without promise": {status(503), 502, 200, 502},
		"429 without promise": {status(429), 502, 200, 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			onlyEndpoint := deploy(t, map[string]endpointBehaviour{"bad": test.behaviour})
			is.Equal(onlyEndpoint.call(t, http.MethodPost, "/file/x", "body", nil).StatusCode, test.onlyEndpoint)
			is.True(onlyEndpoint.requestCount() <= 1)
			for range 8 {
				d := deploy(t, map[string]endpointBehaviour{"bad": test.behaviour, "sound": respondOK})
				response := d.call(t, http.MethodGet, "/read/x", "", nil)
				is.Equal(response.StatusCode, test.repeated)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), "whole")
				d = deploy(t, map[string]endpointBehaviour{"bad": test.behaviour, "sound": respondOK})
				code := d.call(t, http.MethodPost, "/file/x", "body", nil).StatusCode
				is.True(code == test.once || code == 200) // 200 if the healthy endpoint was chosen
				runs := d.requestCount()
				is.True(runs <= 1 || name == "did not run")
			}
		})
	}
}

// Guards against admitting requests that the declaration does not allow.
func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		path, body string
		header     map[string]string
		status     int
	}{
		"allowed":     {"/read/x", "", nil, 200},
		"no route":    {"/none/x", "", nil, 404},
		"unknown key": {"/read/x", "", map[string]string{"Key": "z"}, 401},
		"no key":      {"/read/x", "", map[string]string{"Key": ""}, 401},
		"too large":   {"/file/x", strings.Repeat("x", 1001), nil, 413},
		"just fits":   {"/file/x", strings.Repeat("x", 1000), nil, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"sound": respondOK})
			is.Equal(d.call(t, http.MethodPost, test.path, test.body, test.header).StatusCode, test.status)
			is.Equal(d.requestCount() == 1, test.status == 200)
			if test.status == 200 {
				is.Equal(d.headers[0].Get("Workspace"), "shop")
				is.Equal(d.headers[0].Get("Key"), "")
			}
		})
	}
}

// Guards against a stopping process that accepts a request which it cannot finish.
func TestStoppedGatewayRefuses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, map[string]endpointBehaviour{"sound": respondOK})
	d.gateway.Stop()
	is.Equal(d.call(t, http.MethodGet, "/read/x", "", nil).StatusCode, 503)
	is.Equal(d.requestCount(), 0)
}

// Guards against a caller that waits longer than the timeout of its route.
func TestTimeLimitOfRoute(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	d := deploy(t, map[string]endpointBehaviour{"slow": func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}})
	defer close(release)
	is.Equal(d.call(t, http.MethodGet, "/short/x", "", nil).StatusCode, 504)
}

func encodeEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// streamEvents writes the events after the one that the request names, up to to. The stream then ends, or is cut
// off within the next event if it is not complete.
func streamEvents(from, to int, complete bool) endpointBehaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		start := from
		if after := r.Header.Get("After"); after != "" {
			_, _ = fmt.Sscan(after, &start)
			start++
		}
		_, _ = fmt.Fprint(w, encodeEvents(start, to))
		if !complete {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: hal", to+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against a stream with missing, repeated or truncated events, and against an incomplete stream that looks
// complete to the caller.
func TestStreams(t *testing.T) {
	tests := map[string]struct {
		path          string
		first, second endpointBehaviour
		after         string
		want          string
		complete      bool
		reached       int
	}{
		"whole":            {"/ask/x", streamEvents(1, 5, true), nil, "", encodeEvents(1, 5), true, 1},
		"resumed":          {"/ask/x", streamEvents(1, 3, false), streamEvents(1, 5, true), "", encodeEvents(1, 5), true, 2},
		"resumed twice":    {"/ask/x", streamEvents(1, 2, false), streamEvents(1, 4, false), "", encodeEvents(1, 4), false, 2},
		"caller resumes":   {"/ask/x", streamEvents(1, 5, true), nil, "2", encodeEvents(3, 5), true, 1},
		"may run once":     {"/tell/x", streamEvents(1, 3, false), streamEvents(1, 5, true), "", encodeEvents(1, 3), false, 1},
		"cut at the start": {"/ask/x", abortConnection, streamEvents(1, 5, true), "", encodeEvents(1, 5), true, 2},
		"second overlaps":  {"/ask/x", streamEvents(1, 3, false), ignoreLastEvent(2, 5), "", encodeEvents(1, 5), true, 2},
		"second has a gap": {"/ask/x", streamEvents(1, 3, false), ignoreLastEvent(5, 6), "", encodeEvents(1, 3), false, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"a": test.first})
			if test.second != nil {
				address := d.startEndpoint(t, "b", test.second)
				d.placer.members = append(d.placer.members, placement.Member{Endpoint: "b", Address: address})
			}
			response := d.call(t, http.MethodPost, test.path, "prompt", map[string]string{"After": test.after})
			is.Equal(response.StatusCode, 200)
			is.Equal(response.Header.Get("Proof") != "", true)
			body, err := io.ReadAll(bufio.NewReader(response.Body))
			is.Equal(err == nil, test.complete)
			is.Equal(string(body), test.want)
			is.Equal(d.requestCount(), test.reached)
		})
	}
}

// ignoreLastEvent writes the same events wherever the stream should resume.
func ignoreLastEvent(from, to int) endpointBehaviour {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, encodeEvents(from, to)) }
}

// Guards against engine slots that stay occupied because the end of a stream is not reported to the placer.
func TestOutcomesAreReported(t *testing.T) {
	tests := map[string]struct {
		behaviour endpointBehaviour
		want      placement.EventType
	}{
		"whole":       {streamEvents(1, 2, true), placement.Finished},
		"cut":         {streamEvents(1, 2, false), placement.Failed},
		"did not run": {notRun, placement.Declined},
		"not reached": {nil, placement.Unreached},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"a": test.behaviour})
			response := d.call(t, http.MethodPost, "/ask/x", "prompt", nil)
			_, _ = io.ReadAll(response.Body)
			d.placer.mu.Lock()
			defer d.placer.mu.Unlock()
			is.Equal(d.placer.events[len(d.placer.events)-1], test.want)
		})
	}
}

// Guards against endpoints that keep working on requests whose callers have disconnected.
func TestCallerLeaves(t *testing.T) {
	for name, path := range map[string]string{"whole": "/read/x", "stream": "/ask/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reached, ended := make(chan struct{}), make(chan struct{})
			d := deploy(t, map[string]endpointBehaviour{"busy": func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(reached)
				<-r.Context().Done()
				close(ended)
			}})
			ctx, cancel := context.WithCancel(t.Context())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, d.server.URL+path, strings.NewReader("prompt"))
			is.NoErr(err)
			r.Header.Set("Id", "request-1")
			r.Header.Set("Key", "k")
			left := make(chan struct{})
			go func() {
				defer close(left)
				response, err := http.DefaultClient.Do(r)
				if err == nil {
					_ = response.Body.Close()
				}
			}()
			<-reached
			cancel()
			<-left
			<-ended // the test's timeout limits the wait
			is.Equal(d.requestCount(), 1)
		})
	}
}

// fakeMemory tracks the reserved memory of each address.
type fakeMemory struct {
	mu       sync.Mutex
	held     map[string]int
	refuseAt string
}

func (m *fakeMemory) Reserve(_ context.Context, address, _ string, tokens int, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == m.refuseAt {
		return errors.New("no memory is free")
	}
	m.held[address] = tokens
	return nil
}

func (m *fakeMemory) Release(_ context.Context, address, _ string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, address)
	return nil
}

func (m *fakeMemory) reservationCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// Guards against memory that stays reserved after a request has ended, and against a request that is sent although
// one of its engines has no memory for it.
func TestReservedMemoryIsReleased(t *testing.T) {
	tests := map[string]struct {
		behaviour endpointBehaviour
		refuseAt  string
		status    int
		reached   int
	}{
		"whole":          {streamEvents(1, 3, true), "", 200, 1},
		"cut":            {streamEvents(1, 2, false), "", 200, 1},
		"did not run":    {notRun, "", 503, 1},
		"no memory left": {streamEvents(1, 3, true), "helper-2", 503, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := &fakeMemory{held: make(map[string]int), refuseAt: test.refuseAt}
			d := deploy(t, map[string]endpointBehaviour{"a": test.behaviour})
			d.placer.helpers = []placement.Member{
				{Endpoint: "h1", Address: "helper-1", Hold: 100}, {Endpoint: "h2", Address: "helper-2", Hold: 50},
			}
			d.setMemory(memory)
			response := d.call(t, http.MethodPost, "/tell/x", "prompt", nil)
			is.Equal(response.StatusCode, test.status)
			_, _ = io.ReadAll(response.Body)
			is.Equal(d.requestCount(), test.reached)
			for memory.reservationCount() > 0 { // the release follows the response; the test's timeout limits the wait
				runtime.Gosched()
			}
		})
	}
}

// Guards against an instance that runs out of memory when many callers send large bodies concurrently.
func TestBodiesInMemoryAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	d := deploy(t, map[string]endpointBehaviour{"slow": func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
		respondOK(w, r)
	}}, func(c *routing.Config) { c.Limits.MaxBodyBytes = 8 << 20 })
	body := strings.Repeat("x", 8<<20)
	const callers = 6
	statuses := make(chan int, callers)
	for range callers {
		go func() { statuses <- d.call(t, http.MethodPost, "/file/x", body, nil).StatusCode }()
	}
	// The limit of 32 MiB admits four bodies; the other two are refused while these are served.
	is.Equal(<-statuses, 503)
	is.Equal(<-statuses, 503)
	close(release)
	for range callers - 2 {
		is.Equal(<-statuses, 200)
	}
	is.Equal(d.call(t, http.MethodPost, "/file/x", body, nil).StatusCode, 200)
}
