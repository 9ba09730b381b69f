package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
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

// Guards against an entry that stops following the list of endpoints, or sends requests to an unusable one, because one
// record, which another version of this software has admitted, is odd.
func TestOddRecordBesideSoundOnes(t *testing.T) {
	for name, change := range map[string]func(*registration.Record){
		"port out of range":  func(r *registration.Record) { r.Address = "127.0.0.1:70000" },
		"port 0":             func(r *registration.Record) { r.Address = "127.0.0.1:0" },
		"host name":          func(r *registration.Record) { r.Address = "engine:80" },
		"no address":         func(r *registration.Record) { r.Address = "" },
		"long id":            func(r *registration.Record) { r.ID = strings.Repeat("i", 1<<20) },
		"control characters": func(r *registration.Record) { r.ID = "i\n1" },
		"no UTF-8":           func(r *registration.Record) { r.ID = "i\xff" },
		"slots":              func(r *registration.Record) { r.Slots = math.MaxInt },
		"negative slots":     func(r *registration.Record) { r.Slots = -1 },
		"start":              func(r *registration.Record) { r.Started = math.MaxInt64 },
		"sequence":           func(r *registration.Record) { r.Sequence = math.MaxUint64 },
		"state":              func(r *registration.Record) { r.State = "asleep" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"sound": respondOK})
			odd := registration.Record{ID: "odd", Service: "desk", Address: "127.0.0.1:9", State: registration.Ready}
			change(&odd)
			is.True(odd.Check() != nil)
			d.session.view.Endpoints = d.session.view.Endpoints.WithChanges(2, []registration.Change{{Record: odd}})
			d.updateFleet(t)
			records, _ := d.fleet.Endpoints("desk")
			is.Equal(len(records), 1)
			is.Equal(records[0].ID, "sound")
			is.Equal(d.call(t, http.MethodGet, "/read/x", "", nil).StatusCode, http.StatusOK)
		})
	}
}

// Guards against bytes without end from an endpoint, in the head or the body of a response, that take the memory of an
// instance or keep a caller waiting.
func TestResponseWithoutEnd(t *testing.T) {
	endless := func(start string) endpointBehaviour {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, err = io.WriteString(conn, start)
			more := strings.Repeat("x", 32<<10)
			for err == nil {
				_, err = io.WriteString(conn, more)
			}
		}
	}
	const head = "HTTP/1.1 200 OK\r\nId: request-1\r\nProof: p\r\n"
	for name, behaviour := range map[string]endpointBehaviour{
		"head": endless(head + "X: "), "status line": endless("HTTP/1.1 200 "), "body": endless(head + "\r\n"), "event": endless(head + "\r\ndata: "),
	} {
		for path, once := range map[string]bool{"/read/x": false, "/file/x": true, "/ask/x": false, "/tell/x": true} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				d := deploy(t, map[string]endpointBehaviour{"endless": behaviour})
				is.Equal(d.call(t, http.MethodPost, path, "body", nil).StatusCode, http.StatusBadGateway)
				is.True(!once || d.requestsAt("endless") == 1)
			})
		}
	}
}

// Guards against a stream that never ends because its endpoint sends a byte now and then, and against one that is cut
// although its slow endpoint sends events.
func TestTrickledStream(t *testing.T) {
	trickle := func(text func(i int) string, count int) endpointBehaviour {
		return func(w http.ResponseWriter, r *http.Request) {
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for i := 1; i <= count && r.Context().Err() == nil; i++ {
				_, _ = io.WriteString(w, text(i))
				_ = http.NewResponseController(w).Flush()
				<-ticker.C
			}
		}
	}
	limit := func(timeout time.Duration) func(*routing.Config) {
		return func(c *routing.Config) {
			for i := range c.Routes {
				c.Routes[i].Timeout = timeout
			}
		}
	}
	t.Run("a byte now and then", func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, map[string]endpointBehaviour{"stalled": trickle(func(int) string { return "x" }, 1<<20)}, limit(300*time.Millisecond))
		is.Equal(d.call(t, http.MethodGet, "/tell/x", "", nil).StatusCode, http.StatusGatewayTimeout)
	})
	t.Run("slow but sound", func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, map[string]endpointBehaviour{"slow": trickle(func(i int) string { return encodeEvents(i, i) }, 120)}, limit(time.Minute))
		body, err := io.ReadAll(d.call(t, http.MethodGet, "/tell/x", "", nil).Body)
		is.NoErr(err)
		is.Equal(string(body), encodeEvents(1, 120))
	})
}

// Guards against running work that is given up or started again elsewhere, because its endpoint is silent for a while and
// drops out of the list.
func TestSilentEndpointKeepsItsWork(t *testing.T) {
	is := is.New(t)
	begun, dropped := make(chan struct{}), make(chan struct{})
	work := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, encodeEvents(1, 1))
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-dropped
		_, _ = io.WriteString(w, encodeEvents(2, 2))
	}
	d := deploy(t, map[string]endpointBehaviour{"silent": work})
	go func() {
		<-begun
		d.session.view.Endpoints = registration.List{Version: 2, Records: map[string]registration.Record{}}
		d.updateFleet(t)
		close(dropped)
	}()
	body, err := io.ReadAll(d.call(t, http.MethodGet, "/ask/x", "", nil).Body)
	is.NoErr(err)
	is.Equal(string(body), encodeEvents(1, 2))
	is.Equal(d.requestCount(), 1)
}
