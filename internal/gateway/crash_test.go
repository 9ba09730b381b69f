package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/crash"
)

// crashAfterEvents ends the endpoint with all its connections after the number of events in the header Events.
func crashAfterEvents(w http.ResponseWriter, r *http.Request) {
	events, err := strconv.Atoi(r.Header.Get("Events"))
	if err != nil {
		panic(err)
	}
	if events > 0 {
		_, _ = fmt.Fprint(w, encodeEvents(1, events))
		_ = http.NewResponseController(w).Flush()
	}
	_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
	panic(http.ErrAbortHandler)
}

// askParts sends a prompt of three parts to a route of engines and reads the response.
func (d *deployment) askParts(t *testing.T, route string, events int) *http.Response {
	t.Helper()
	response := d.call(t, http.MethodPost, "/"+route+"/x", "prompt", map[string]string{"Parts": "system deadly own", "Events": fmt.Sprint(events)})
	_, _ = io.ReadAll(response.Body)
	return response
}

// Guards against blaming the parts of a prompt for the crash of an engine that had begun to write on them, against blaming
// the own part of a prompt, and against evidence that is not reported: a request that crashed engines behind its first event
// was never refused.
func TestCrashesAreReported(t *testing.T) {
	is := is.New(t)
	d := deploy(t, map[string]endpointBehaviour{"a": crashAfterEvents, "b": crashAfterEvents})
	before := time.Now()
	// The first engine crashes during the stream, the other one before it.
	d.askParts(t, "tell", 2)
	during := d.witness.nextReport(t)
	stream := during.Stream
	during.Stream = nil
	is.Equal(during, crash.Report{Endpoint: d.placer.members[0].Endpoint, Started: endpointStarted})
	is.True(!stream.Sent.Before(before) && stream.Ended.After(stream.Sent) && stream.Ended.Before(time.Now()))
	d.askParts(t, "tell", 0)
	report := d.witness.nextReport(t)
	is.Equal(report, crash.Report{Endpoint: d.placer.members[1].Endpoint, Started: endpointStarted, Parts: []string{"system", "deadly"}})
	d.witness.mu.Lock()
	defer d.witness.mu.Unlock()
	is.Equal(d.witness.written, []string{"system", "deadly"}) // by the first stream
}

// Guards against a sound request that is convicted because endpoints that were replaced one after another cut its streams.
func TestEndOfLeavingEndpointIsNoCrash(t *testing.T) {
	is := is.New(t)
	var d *deployment
	leave := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Events") != "0" {
			d.changeRecord(t, d.placer.members[0].Endpoint, drain)
		}
		crashAfterEvents(w, r)
	}
	d = deploy(t, map[string]endpointBehaviour{"a": leave, "b": leave})
	first, second := d.placer.members[0].Endpoint, d.placer.members[1].Endpoint
	d.askParts(t, "tell", 2)
	d.askParts(t, "tell", 0)
	is.True(first != second)
	is.Equal(d.witness.nextReport(t).Endpoint, second)
}

// Guards against a stream that is resumed at a further engine after its request has been convicted of crashing engines.
func TestConvictedStreamIsNotResumed(t *testing.T) {
	is := is.New(t)
	var d *deployment
	convict := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Events") == "" {
			respondOneEvent(w, r)
			return
		}
		d.witness.mu.Lock()
		d.session.view.Quarantined = map[uint64]bool{d.witness.served[0]: true}
		d.witness.mu.Unlock()
		d.updateFleet(t)
		crashAfterEvents(w, r)
	}
	d = deploy(t, map[string]endpointBehaviour{"a": convict, "b": convict})
	ask := func(events string) error {
		response := d.call(t, http.MethodPost, "/ask/x", "prompt", map[string]string{"Events": events})
		_, err := io.ReadAll(response.Body)
		return err
	}
	is.NoErr(ask("")) // tells the witness the fingerprint of the request
	is.True(ask("2") != nil)
	is.Equal(d.requestCount(), 2)
	is.Equal(d.call(t, http.MethodPost, "/ask/x", "prompt", nil).StatusCode, http.StatusServiceUnavailable)
	is.Equal(d.requestCount(), 2)
}

// Guards against the crash of a plain endpoint that is reported without its incarnation: one that starts again under its id
// would count once.
func TestCrashOfPlainEndpointIsReported(t *testing.T) {
	is := is.New(t)
	d := deploy(t, map[string]endpointBehaviour{"a": crashAfterEvents})
	is.Equal(d.call(t, http.MethodPost, "/file/x", "book", map[string]string{"Events": "0"}).StatusCode, http.StatusBadGateway)
	is.Equal(d.witness.nextReport(t), crash.Report{Endpoint: "a", Started: endpointStarted})
}

// Guards against sound requests that are suspects of crashes because nothing says that they were served, and against ones
// that count as served although they failed.
func TestServedRequestsAreRecorded(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		behaviour endpointBehaviour
		served    int
	}{
		"plain":           {"/read/x", respondOK, 1},
		"stream":          {"/ask/x", respondOneEvent, 1},
		"failure":         {"/file/x", status(http.StatusInternalServerError), 0},
		"connection lost": {"/file/x", abortConnection, 0},
		"broken stream":   {"/tell/x", breakAfterOneEvent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, map[string]endpointBehaviour{"a": test.behaviour})
			response := d.call(t, http.MethodPost, test.path, "", nil)
			_, _ = io.ReadAll(response.Body)
			d.server.Close()
			d.witness.mu.Lock()
			defer d.witness.mu.Unlock()
			is.New(t).Equal(len(d.witness.served), test.served)
		})
	}
}

// Guards against prompts with a blamed part that reach engines: new ones, those whose first engine has crashed, and
// those of routes without streams.
func TestBlamedPartIsRefused(t *testing.T) {
	blames := func(part string) crash.Blames {
		now := time.Now()
		return crash.Blames{part: crash.Interval{Since: now.Add(-time.Minute), From: now.Add(-time.Second), Until: now.Add(90 * time.Second)}}
	}
	for name, test := range map[string]struct {
		blamed  string
		status  int
		reached int
	}{
		"the first part":  {"system", 503, 0},
		"the middle part": {"deadly", 503, 0},
		"the own part":    {"own", 200, 1},
		"another part":    {"other", 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"a": streamEvents(1, 2, true)})
			d.session.view.Blames = blames(test.blamed)
			d.updateFleet(t)
			response := d.askParts(t, "ask", 0)
			is.Equal(response.StatusCode, test.status)
			is.Equal(d.requestCount(), test.reached)
			if test.status != http.StatusOK {
				after, err := time.ParseDuration(response.Header.Get("Retry-After"))
				is.NoErr(err)
				is.True(after > time.Minute && after <= 90*time.Second) // the end of the blame
			}
		})
	}
	t.Run("after a crash", func(t *testing.T) {
		is := is.New(t)
		var d *deployment
		d = deploy(t, map[string]endpointBehaviour{"a": func(http.ResponseWriter, *http.Request) {
			d.session.view.Blames = blames("deadly")
			d.updateFleet(t)
			panic(http.ErrAbortHandler)
		}, "b": nil})
		response := d.askParts(t, "ask", 0)
		is.Equal(response.StatusCode, http.StatusBadGateway) // it may have run
		is.Equal(d.requestCount(), 1)
	})
}
