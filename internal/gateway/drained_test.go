package gateway_test

import (
	"io"
	"maps"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// moveTo puts an endpoint into a data centre.
func (d *deployment) moveTo(t *testing.T, endpoint, dataCentre string) {
	t.Helper()
	records := maps.Clone(d.session.view.Endpoints.Records)
	for key, r := range records {
		if r.ID == endpoint {
			r.DataCentre = dataCentre
			records[key] = r
		}
	}
	d.session.view.Endpoints = registration.List{Version: d.session.view.Endpoints.Version + 1, Records: records}
	d.updateFleet(t)
}

// setDrained drains a data centre or ends that.
func (d *deployment) setDrained(t *testing.T, dataCentre string, drain bool) {
	t.Helper()
	c := d.session.view.Configuration
	c.Revision++
	c.DataCentres = map[string]configuration.DataCentreSetting{dataCentre: {Name: dataCentre, Drain: drain}}
	d.session.view.Configuration = c
	d.updateFleet(t)
}

// Guards against requests to endpoints in a drained data centre, on any path: first attempts, retries, resumed streams and
// helpers, also those granted by a dispatcher that does not know of the drain, and plain services.
func TestDrainedDataCentreGetsNoRequests(t *testing.T) {
	cases := map[string]struct {
		path string
		// asHelper grants the drained engine as a helper.
		asHelper bool
		// first is what the first endpoint does that is asked.
		first endpointBehaviour
	}{
		"prompt":                {path: "/ask/x"},
		"prompt that runs once": {path: "/tell/x"},
		"helper":                {path: "/ask/x", asHelper: true},
		"retry":                 {path: "/ask/x", first: notRun},
		"resumed stream":        {path: "/ask/x", first: breakAfterOneEvent},
		"plain service":         {path: "/read/x"},
		"plain service, retry":  {path: "/read/x", first: notRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endpoints := map[string]endpointBehaviour{"drained": respondOneEvent, "drained-2": respondOneEvent, "sound": respondOneEvent}
			if c.first != nil {
				endpoints["first"] = c.first
			}
			d := deploy(t, endpoints)
			byID := make(map[string]placement.Member)
			for _, m := range d.placer.members {
				byID[m.Endpoint] = m
			}
			d.placer.members = []placement.Member{byID["drained"], byID["drained-2"], byID["sound"]}
			if c.first != nil {
				d.placer.members = append([]placement.Member{byID["first"]}, d.placer.members...)
			}
			if c.asHelper {
				d.placer.members, d.placer.helpers = []placement.Member{byID["sound"]}, []placement.Member{byID["drained"]}
			}
			d.placer.onDeclined = func() { d.placer.helpers = nil }
			d.moveTo(t, "drained", "bilbao")
			d.moveTo(t, "drained-2", "bilbao")
			d.setDrained(t, "bilbao", true)
			for range 8 {
				response := d.call(t, http.MethodPost, c.path, "", nil)
				_, _ = io.Copy(io.Discard, response.Body)
				is.Equal(response.StatusCode, http.StatusOK)
			}
			is.Equal(d.requestsAt("drained")+d.requestsAt("drained-2"), 0)
			// An outdated dispatcher is asked once more for each request. Requests that were not run count as declined, too.
			is.True(d.placer.count(placement.Declined) <= 8+d.requestsAt("first"))
			is.Equal(len(d.placer.leaving), 0) // the endpoints stay known to it as sound
			d.setDrained(t, "bilbao", false)
			withdrawn, _ := d.fleet.Withdrawn("drained", endpointStarted)
			is.True(!withdrawn)
		})
	}
}

// Guards against a request to a service with endpoints in drained data centres only that waits, or that is refused without
// the reason.
func TestServiceInDrainedDataCentresOnly(t *testing.T) {
	for _, path := range []string{"/ask/x", "/read/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"a": respondOneEvent})
			d.moveTo(t, "a", "bilbao")
			d.setDrained(t, "bilbao", true)
			response := d.call(t, http.MethodPost, path, "", nil)
			body, _ := io.ReadAll(response.Body)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(string(body), "all endpoints of the service are in drained data centres\n")
			is.Equal(d.placer.lastJob().ID, "") // no dispatcher was asked
			d.setDrained(t, "bilbao", false)
			is.Equal(d.call(t, http.MethodPost, path, "", nil).StatusCode, http.StatusOK)
		})
	}
}

// Guards against a drain that cuts off what runs in the data centre.
func TestDrainLetsRequestsEnd(t *testing.T) {
	is := is.New(t)
	reached, proceed := make(chan struct{}), make(chan struct{})
	d := deploy(t, map[string]endpointBehaviour{"a": func(w http.ResponseWriter, r *http.Request) {
		close(reached)
		<-proceed
		respondOneEvent(w, r)
	}})
	d.moveTo(t, "a", "bilbao")
	status := make(chan int)
	go func() { status <- d.call(t, http.MethodPost, "/ask/x", "", nil).StatusCode }()
	<-reached
	d.setDrained(t, "bilbao", true)
	close(proceed)
	is.Equal(<-status, http.StatusOK)
}
