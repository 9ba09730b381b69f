package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// leavingAfter makes an endpoint say that it is leaving in its responses.
func leavingAfter(behaviour endpointBehaviour) endpointBehaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		behaviour(w, r)
	}
}

// pausing makes an endpoint refuse requests and ask for a pause.
func pausing(pause string) endpointBehaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pause", pause)
		notRun(w, r)
	}
}

func oneEvent(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, encodeEvents(1, 1)) }

// reachedBy calls a path until the endpoint has had one request, makes ten more calls and returns its requests.
func (d *deployment) reachedBy(t *testing.T, path, endpoint string) int {
	t.Helper()
	after := -1
	for calls := 0; calls < 200 && after < 10; calls++ {
		response := d.call(t, http.MethodGet, path, "", nil)
		_, _ = io.Copy(io.Discard, response.Body)
		if d.requestsAt(endpoint) > 0 {
			after++
		}
	}
	return d.requestsAt(endpoint)
}

func (d *deployment) requestsAt(endpoint string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reached[endpoint]
}

// startAnew registers all endpoints as new incarnations.
func (d *deployment) startAnew(t *testing.T) {
	t.Helper()
	records := make(map[string]registration.Record)
	for key, r := range d.session.view.Endpoints.Records {
		r.Started++
		records[key] = r
	}
	d.session.view.Endpoints = registration.List{Version: d.session.view.Endpoints.Version + 1, Records: records}
	d.updateFleet(t)
	for i := range d.placer.members {
		d.placer.members[i].Started++
	}
}

// Guards against requests to an endpoint that has said in a response that it is leaving, although its registration still
// says that it is ready.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		behaviour endpointBehaviour
	}{
		"success":         {"/read/x", respondOK},
		"refusal":         {"/read/x", notRun},
		"failure":         {"/read/x", status(http.StatusInternalServerError)},
		"cut off":         {"/read/x", truncateBody},
		"stream":          {"/ask/x", oneEvent},
		"refused stream":  {"/ask/x", notRun},
		"failed stream":   {"/ask/x", status(http.StatusInternalServerError)},
		"stream, not run": {"/tell/x", notRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// Beside a sound endpoint the balancer would avoid one that fails anyway.
			alone := deploy(t, map[string]endpointBehaviour{"old": leavingAfter(test.behaviour)})
			is.Equal(alone.reachedBy(t, test.path, "old"), 1)
			d := deploy(t, map[string]endpointBehaviour{"old": leavingAfter(test.behaviour), "sound": oneEvent})
			d.placer.putFirst("old")
			is.Equal(d.reachedBy(t, test.path, "old"), 1)
			d.startAnew(t)
			if test.path != "/read/x" {
				is.True(d.reachedBy(t, test.path, "old") > 1) // its next incarnation is not held to it
				is.Equal(d.placer.leaving[0], "old")          // the dispatcher was told
			}
		})
	}
}

// Guards against holding a new incarnation of a plain service's endpoint to what the one before it has said.
func TestNewIncarnationOfLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	d := deploy(t, map[string]endpointBehaviour{"only": leavingAfter(respondOK)})
	is.Equal(d.call(t, http.MethodGet, "/read/x", "", nil).StatusCode, http.StatusOK)
	is.Equal(d.call(t, http.MethodGet, "/read/x", "", nil).StatusCode, http.StatusServiceUnavailable)
	d.startAnew(t)
	is.Equal(d.call(t, http.MethodGet, "/read/x", "", nil).StatusCode, http.StatusOK)
}

// putFirst makes the placer prefer an endpoint.
func (p *fakePlacer) putFirst(endpoint string) {
	for i, m := range p.members {
		if m.Endpoint == endpoint {
			p.members[0], p.members[i] = p.members[i], p.members[0]
		}
	}
}

// Guards against requests to an endpoint within the pause that it has asked for, and against requests that wait for the
// end of the pause instead of going elsewhere.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/read/x", "/file/x", "/ask/x", "/tell/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			alone := deploy(t, map[string]endpointBehaviour{"busy": pausing("50s")})
			is.Equal(alone.reachedBy(t, path, "busy"), 1)
			d := deploy(t, map[string]endpointBehaviour{"busy": pausing("50s"), "sound": oneEvent})
			d.placer.putFirst("busy")
			is.Equal(d.reachedBy(t, path, "busy"), 1)
			is.Equal(d.call(t, http.MethodGet, path, "", nil).StatusCode, http.StatusOK)
		})
	}
}

// Guards against a refusal that names a time at which the only endpoint still wants no requests.
func TestRefusalNamesTheEndOfThePause(t *testing.T) {
	for _, path := range []string{"/read/x", "/ask/x"} {
		is := is.New(t)
		d := deploy(t, map[string]endpointBehaviour{"busy": pausing("50s")})
		is.Equal(d.call(t, http.MethodGet, path, "", nil).StatusCode, http.StatusServiceUnavailable)
		response := d.call(t, http.MethodGet, path, "", nil)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		after, err := time.ParseDuration(response.Header.Get("Retry-After"))
		is.NoErr(err)
		is.True(after > 30*time.Second && after <= 50*time.Second)
		is.Equal(d.requestsAt("busy"), 1)
	}
}

// Guards against the use of a grant for an engine that became unavailable while the job waited for it, as primary or as
// helper.
func TestOutdatedGrantIsDeclined(t *testing.T) {
	is := is.New(t)
	d := deploy(t, map[string]endpointBehaviour{"old": leavingAfter(oneEvent), "sound": oneEvent})
	d.placer.putFirst("old")
	is.Equal(d.call(t, http.MethodGet, "/ask/x", "", nil).StatusCode, http.StatusOK)
	d.placer.outdated = 2
	is.Equal(d.call(t, http.MethodGet, "/ask/x", "", nil).StatusCode, http.StatusOK)
	is.Equal(d.requestsAt("old"), 1)
	d.placer.mu.Lock()
	defer d.placer.mu.Unlock()
	declined := 0
	for _, e := range d.placer.events {
		if e == placement.Declined {
			declined++
		}
	}
	is.Equal(declined, 2)
}
