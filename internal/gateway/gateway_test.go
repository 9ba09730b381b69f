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

// Guards against answers that are not the whole answer of one endpoint to this request, against requests that
// run twice although they may not, and against promises that a request has not run when it may have.
func TestAnswersOfMisbehavingEndpoints(t *testing.T) {
	tests := map[string]struct {
		act behaviour
		// once and repeated are the statuses of a request that may run once and of one that may be repeated,
		// when a sound endpoint stands beside; total is how many requests reached endpoints then.
		once, repeated int
		// alone is the status of a request that may run once at the only endpoint.
		alone int
	}{
		"good":                {good, 200, 200, 200},
		"own failure":         {status(500), 500, 200, 500},
		"did not run":         {notRun, 200, 200, 503},
		"not reached":         {nil, 200, 200, 503},
		"cut before answer":   {cut, 502, 200, 502},
		"truncated":           {truncated, 502, 200, 502},
		"of another request":  {crossed, 502, 200, 502},
		"without proof":       {unproven, 502, 200, 502},
		"encoded":             {encoded, 502, 200, 502},
		"503 without promise": {status(503), 502, 200, 502},
		"429 without promise": {status(429), 502, 200, 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			alone := deploy(t, map[string]behaviour{"bad": test.act})
			is.Equal(alone.call(t, http.MethodPost, "/file/x", "body", nil).StatusCode, test.alone)
			is.True(alone.total() <= 1)
			for range 8 {
				d := deploy(t, map[string]behaviour{"bad": test.act, "sound": good})
				answer := d.call(t, http.MethodGet, "/read/x", "", nil)
				is.Equal(answer.StatusCode, test.repeated)
				body, err := io.ReadAll(answer.Body)
				is.NoErr(err)
				is.Equal(string(body), "whole")
				d = deploy(t, map[string]behaviour{"bad": test.act, "sound": good})
				code := d.call(t, http.MethodPost, "/file/x", "body", nil).StatusCode
				is.True(code == test.once || code == 200) // 200 when the sound one was chosen
				runs := d.total()
				is.True(runs <= 1 || name == "did not run")
			}
		})
	}
}

// Guards against requests that are admitted although the declaration does not allow them.
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
			d := deploy(t, map[string]behaviour{"sound": good})
			is.Equal(d.call(t, http.MethodPost, test.path, test.body, test.header).StatusCode, test.status)
			is.Equal(d.total() == 1, test.status == 200)
			if test.status == 200 {
				is.Equal(d.headers[0].Get("Workspace"), "shop")
				is.Equal(d.headers[0].Get("Key"), "")
			}
		})
	}
}

// Guards against a process that stops and takes a request that it cannot finish.
func TestStoppedGatewayRefuses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, map[string]behaviour{"sound": good})
	d.gateway.Stop()
	is.Equal(d.call(t, http.MethodGet, "/read/x", "", nil).StatusCode, 503)
	is.Equal(d.total(), 0)
}

// Guards against a caller that is kept waiting beyond the time limit of its route.
func TestTimeLimitOfRoute(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	d := deploy(t, map[string]behaviour{"slow": func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}})
	defer close(release)
	is.Equal(d.call(t, http.MethodGet, "/short/x", "", nil).StatusCode, 504)
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// stream writes some events and then ends as told: whole, or cut off within an event.
func stream(from, to int, whole bool) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		start := from
		if after := r.Header.Get("After"); after != "" {
			_, _ = fmt.Sscan(after, &start)
			start++
		}
		_, _ = fmt.Fprint(w, events(start, to))
		if !whole {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: hal", to+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against a stream with a piece that is missing, twice, or cut off, and against one that looks
// complete although it is not.
func TestStreams(t *testing.T) {
	tests := map[string]struct {
		path        string
		first, then behaviour
		after       string
		want        string
		complete    bool
		reached     int
	}{
		"whole":            {"/ask/x", stream(1, 5, true), nil, "", events(1, 5), true, 1},
		"resumed":          {"/ask/x", stream(1, 3, false), stream(1, 5, true), "", events(1, 5), true, 2},
		"resumed twice":    {"/ask/x", stream(1, 2, false), stream(1, 4, false), "", events(1, 4), false, 2},
		"caller resumes":   {"/ask/x", stream(1, 5, true), nil, "2", events(3, 5), true, 1},
		"may run once":     {"/tell/x", stream(1, 3, false), stream(1, 5, true), "", events(1, 3), false, 1},
		"cut at the start": {"/ask/x", cut, stream(1, 5, true), "", events(1, 5), true, 2},
		"second overlaps":  {"/ask/x", stream(1, 3, false), overlapping(2, 5), "", events(1, 5), true, 2},
		"second has a gap": {"/ask/x", stream(1, 3, false), overlapping(5, 6), "", events(1, 3), false, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]behaviour{"a": test.first})
			if test.then != nil {
				address := d.endpoint(t, "b", test.then)
				d.placer.members = append(d.placer.members, placement.Member{Endpoint: "b", Address: address})
			}
			answer := d.call(t, http.MethodPost, test.path, "prompt", map[string]string{"After": test.after})
			is.Equal(answer.StatusCode, 200)
			is.Equal(answer.Header.Get("Proof") != "", true)
			body, err := io.ReadAll(bufio.NewReader(answer.Body))
			is.Equal(err == nil, test.complete)
			is.Equal(string(body), test.want)
			is.Equal(d.total(), test.reached)
		})
	}
}

// overlapping ignores where it should go on.
func overlapping(from, to int) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, events(from, to)) }
}

// Guards against engines whose slots stay taken because nobody says that a stream has ended.
func TestEndsAreReported(t *testing.T) {
	tests := map[string]struct {
		act  behaviour
		want placement.EventType
	}{
		"whole":       {stream(1, 2, true), placement.Finished},
		"cut":         {stream(1, 2, false), placement.Failed},
		"did not run": {notRun, placement.Declined},
		"not reached": {nil, placement.Unreached},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]behaviour{"a": test.act})
			answer := d.call(t, http.MethodPost, "/ask/x", "prompt", nil)
			_, _ = io.ReadAll(answer.Body)
			d.placer.mu.Lock()
			defer d.placer.mu.Unlock()
			is.Equal(d.placer.events[len(d.placer.events)-1], test.want)
		})
	}
}

// Guards against endpoints that work on for callers who have left.
func TestCallerLeaves(t *testing.T) {
	for name, path := range map[string]string{"whole": "/read/x", "stream": "/ask/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reached, ended := make(chan struct{}), make(chan struct{})
			d := deploy(t, map[string]behaviour{"busy": func(_ http.ResponseWriter, r *http.Request) {
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
				answer, err := http.DefaultClient.Do(r)
				if err == nil {
					_ = answer.Body.Close()
				}
			}()
			<-reached
			cancel()
			<-left
			<-ended // the test's own time limit bounds the wait
			is.Equal(d.total(), 1)
		})
	}
}

// fakeMemory counts the reservations that are held.
type fakeMemory struct {
	mu     sync.Mutex
	held   map[string]int
	refuse string
}

func (m *fakeMemory) Reserve(_ context.Context, address, _ string, tokens int, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == m.refuse {
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

func (m *fakeMemory) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// Guards against memory that stays reserved after a request has ended in any way, and against a request that is
// sent although one of its engines has no memory for it.
func TestReservedMemoryComesBack(t *testing.T) {
	tests := map[string]struct {
		act     behaviour
		refuse  string
		status  int
		reached int
	}{
		"whole":          {stream(1, 3, true), "", 200, 1},
		"cut":            {stream(1, 2, false), "", 200, 1},
		"did not run":    {notRun, "", 503, 1},
		"no memory left": {stream(1, 3, true), "helper-2", 503, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := &fakeMemory{held: make(map[string]int), refuse: test.refuse}
			d := deploy(t, map[string]behaviour{"a": test.act})
			d.placer.helpers = []placement.Member{
				{Endpoint: "h1", Address: "helper-1", Hold: 100}, {Endpoint: "h2", Address: "helper-2", Hold: 50},
			}
			d.useMemory(memory)
			answer := d.call(t, http.MethodPost, "/tell/x", "prompt", nil)
			is.Equal(answer.StatusCode, test.status)
			_, _ = io.ReadAll(answer.Body)
			is.Equal(d.total(), test.reached)
			for memory.count() > 0 { // the release follows the answer; the test's own time limit bounds the wait
				runtime.Gosched()
			}
		})
	}
}

// Guards against an instance that runs out of memory when many callers send large bodies at once.
func TestBodiesInMemoryAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	d := deploy(t, map[string]behaviour{"slow": func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
		good(w, r)
	}}, func(c *routing.Config) { c.Limits.MaxBodyBytes = 8 << 20 })
	body := strings.Repeat("x", 8<<20)
	const callers = 6
	statuses := make(chan int, callers)
	for range callers {
		go func() { statuses <- d.call(t, http.MethodPost, "/file/x", body, nil).StatusCode }()
	}
	// 32 MiB are four bodies; the other two are refused while these are served.
	is.Equal(<-statuses, 503)
	is.Equal(<-statuses, 503)
	close(release)
	for range callers - 2 {
		is.Equal(<-statuses, 200)
	}
	is.Equal(d.call(t, http.MethodPost, "/file/x", body, nil).StatusCode, 200)
}
