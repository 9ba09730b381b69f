package gateway

import (
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// maxDeparted bounds the departed endpoints that are remembered. A dispatcher that still grants one has an outdated list
// for seconds at most.
const maxDeparted = 1024

// withdrawal says that an endpoint gets no new requests: it drains, is in a drained data centre, or has left the list.
type withdrawal struct {
	// started is the start of the last incarnation that is concerned, in Unix milliseconds.
	started int64
	// drains is set for an endpoint that drains by itself, which is final for its incarnation.
	drains bool
}

// withdrawals returns the endpoints that get no new requests after the list has changed, by id. Departed ones of earlier
// lists are kept until they are listed again.
func withdrawals(before map[string]withdrawal, old, listed map[string][]registration.Record, drained []string) map[string]withdrawal {
	next := make(map[string]withdrawal)
	if len(before) < maxDeparted {
		for id, w := range before {
			next[id] = withdrawal{started: w.started}
		}
	}
	for _, records := range old {
		for _, r := range records {
			next[r.ID] = withdrawal{started: r.Started}
		}
	}
	for _, records := range listed {
		for _, r := range records {
			delete(next, r.ID)
			if r.State == registration.Draining {
				next[r.ID] = withdrawal{started: r.Started, drains: !slices.Contains(drained, r.DataCentre)}
			}
		}
	}
	return next
}

// drainingByService returns the ids of the draining endpoints of each service, without those in drained data centres: all
// instances know them, and their number would make each request to a dispatcher larger.
func drainingByService(listed map[string][]registration.Record, drained []string) map[string][]string {
	draining := make(map[string][]string)
	for service, records := range listed {
		for _, r := range records {
			if r.State == registration.Draining && !slices.Contains(drained, r.DataCentre) {
				draining[service] = append(draining[service], r.ID)
			}
		}
	}
	return draining
}

// Draining returns the ids of the endpoints of a service that drain by themselves.
func (f *Fleet) Draining(service string) []string {
	return f.state.Load().draining[service]
}

// Withdrawn reports whether an incarnation of an endpoint gets no new requests by the list of this instance, and whether it
// is listed as draining. A dispatcher may have an older list, as when it is cut off from the quorum.
func (f *Fleet) Withdrawn(endpoint string, started int64) (withdrawn, drains bool) {
	w, ok := f.state.Load().withdrawn[endpoint]
	if !ok || started > w.started {
		return false, false
	}
	return true, w.drains
}
