package registration_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// The seed is fixed so that every run gives the same result.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func record(id, address string, started int64, sequence uint64, state registration.State) registration.Record {
	return registration.Record{ID: id, Service: "model", Address: address, State: state, Started: started, Sequence: sequence}
}

// Guards against check-ins that arrive late and bring back an ended incarnation or an outdated state.
func TestLateCheckInsChangeNothing(t *testing.T) {
	tests := map[string]struct {
		steps func(*registration.Registry)
		late  registration.Record
	}{
		"ready behind draining": {
			steps: func(registry *registration.Registry) {
				registry.CheckIn(record("e", "a:1", 10, 1, registration.Ready))
				registry.CheckIn(record("e", "a:1", 10, 3, registration.Draining))
			},
			late: record("e", "a:1", 10, 2, registration.Ready),
		},
		"behind a departure": {
			steps: func(registry *registration.Registry) {
				registry.CheckIn(record("e", "a:1", 10, 1, registration.Ready))
				registry.Depart(registration.Departure{ID: "e"})
			},
			late: record("e", "a:1", 10, 9, registration.Ready),
		},
		"of an earlier incarnation with the same id": {
			steps: func(registry *registration.Registry) { registry.CheckIn(record("e", "a:1", 20, 1, registration.Ready)) },
			late:  record("e", "a:1", 10, 9, registration.Draining),
		},
		"of an earlier incarnation at the same address": {
			steps: func(registry *registration.Registry) {
				registry.CheckIn(record("new", "a:1", 20, 1, registration.Ready))
			},
			late: record("old", "a:1", 10, 9, registration.Ready),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			registry := registration.NewRegistry(registration.Snapshot{})
			test.steps(registry)
			version := registry.Version()
			is.True(!registry.WouldChange(test.late))
			registry.CheckIn(test.late)
			is.Equal(registry.Version(), version)
		})
	}
}

// Guards against an endpoint that restarts, or takes over an address, and is not registered.
func TestNewIncarnationReplacesOldOne(t *testing.T) {
	is := is.New(t)
	registry := registration.NewRegistry(registration.Snapshot{})
	registry.CheckIn(record("old", "a:1", 10, 5, registration.Ready))
	registry.CheckIn(record("new", "a:1", 20, 1, registration.Ready))
	_, known := registry.Find("old")
	is.True(!known)
	registry.Depart(registration.Departure{ID: "new"})
	registry.CheckIn(record("new", "a:1", 30, 1, registration.Ready))
	r, known := registry.Find("new")
	is.True(known)
	is.Equal(r.Started, int64(30))
}

// Guards against a late departure that ends a later incarnation than its own.
func TestLateDeparture(t *testing.T) {
	tests := map[string]struct {
		departure registration.Departure
		departs   bool
	}{
		"of the registered incarnation":  {registration.Departure{ID: "e", Started: 20}, true},
		"of an earlier one":              {registration.Departure{ID: "e", Started: 10}, false},
		"accepted when there was none":   {registration.Departure{ID: "e", Unregistered: true}, false},
		"of an unknown incarnation":      {registration.Departure{ID: "e"}, true},
		"of another endpoint":            {registration.Departure{ID: "other", Unregistered: true}, true},
		"of one that has been silent":    {registration.Departure{ID: "e", Started: 20, Silent: true}, true},
		"of an earlier one, now silent":  {registration.Departure{ID: "e", Started: 10, Silent: true}, false},
		"of one that the list lacks yet": {registration.Departure{ID: "e", Started: 30}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			registry := registration.NewRegistry(registration.Snapshot{})
			registry.CheckIn(record("e", "a:1", 20, 1, registration.Ready))
			is.Equal(registry.Depart(test.departure), test.departs)
			_, known := registry.Find("e")
			is.Equal(known, !test.departs || test.departure.ID != "e")
			is.Equal(registry.WouldChange(record("e", "a:1", 20, 2, registration.Draining)), known || test.departure.Silent)
		})
	}
}

// Guards against an endpoint that was only silent and is ignored when it checks in again.
func TestSilentEndpointMayReturn(t *testing.T) {
	is := is.New(t)
	registry := registration.NewRegistry(registration.Snapshot{})
	registry.CheckIn(record("e", "a:1", 10, 5, registration.Ready))
	registry.Depart(registration.Departure{ID: "e", Started: 10, Silent: true})
	registry.CheckIn(record("e", "a:1", 10, 6, registration.Ready))
	_, known := registry.Find("e")
	is.True(known)
}

// Guards against a reader whose list differs from the registry after it applied the changes that it received, and
// against a snapshot that loses state.
func TestChangesLeadToWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := registration.NewRegistry(registration.Snapshot{})
		list := registration.NewList(0, nil)
		t.Repeat(map[string]func(*rapid.T){
			"check-in": func(t *rapid.T) {
				state := rapid.SampledFrom([]registration.State{registration.Ready, registration.Draining}).Draw(t, "state")
				registry.CheckIn(record(fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "id")), fmt.Sprint("a:", rapid.IntRange(1, 4).Draw(t, "port")),
					rapid.Int64Range(1, 5).Draw(t, "started"), rapid.Uint64Range(1, 9).Draw(t, "sequence"), state))
			},
			"depart": func(t *rapid.T) {
				registry.Depart(registration.Departure{
					ID: fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "id")), Started: rapid.Int64Range(0, 5).Draw(t, "started"),
					Silent: rapid.Bool().Draw(t, "silent"),
				})
			},
			"restore": func(*rapid.T) { registry = registration.NewRegistry(registry.Snapshot()) },
			"read": func(t *rapid.T) {
				changes, complete := registry.Since(list.Version)
				if complete {
					list = list.WithChanges(registry.Version(), changes)
				} else {
					list = registration.NewList(registry.Version(), registry.Records())
				}
				if want := registration.NewList(registry.Version(), registry.Records()); fmt.Sprint(list) != fmt.Sprint(want) {
					t.Fatalf("list %v differs from %v", list, want)
				}
			},
		})
		addresses := make(map[string]bool)
		for _, r := range registry.Records() {
			if addresses[r.Address] {
				t.Fatalf("two endpoints at %s", r.Address)
			}
			addresses[r.Address] = true
		}
	})
}

// Guards against a check-in of another writer that takes over the record of an endpoint: the service, the data centre and
// the address stay the same within one incarnation.
func TestCheckInOfAnotherWriter(t *testing.T) {
	sound := registration.Record{ID: "e", Service: "model", DataCentre: "z", Address: "a:1", State: registration.Ready, Started: 10, Sequence: 1}
	tests := map[string]struct {
		change func(r *registration.Record)
		// refused says that the check-in is not the endpoint's own.
		refused bool
	}{
		"other service":     {func(r *registration.Record) { r.Service = "desk" }, true},
		"other data centre": {func(r *registration.Record) { r.DataCentre = "y" }, true},
		"other address":     {func(r *registration.Record) { r.Address = "a:2" }, true},
		"other slots":       {func(r *registration.Record) { r.Slots = 9 }, false},
		"next incarnation":  {func(r *registration.Record) { r.Service, r.Address, r.Started = "desk", "a:2", 11 }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			registry := registration.NewRegistry(registration.Snapshot{})
			registry.CheckIn(sound)
			odd := sound
			odd.Sequence = 1000
			test.change(&odd)
			for range 2 {
				is.Equal(registry.Contradicts(odd), test.refused)
				is.Equal(registry.WouldChange(odd), !test.refused)
				registry = registration.NewRegistry(registry.Snapshot())
			}
			registry.CheckIn(odd)
			draining := sound
			draining.State, draining.Sequence = registration.Draining, 2
			registry.CheckIn(draining)
			got, _ := registry.Find("e")
			is.Equal(got == draining, test.refused)
		})
	}
}

// Guards against an endpoint without a start that is not found again at its new address, and against one that changes its
// service.
func TestCheckInWithoutStart(t *testing.T) {
	is := is.New(t)
	registry := registration.NewRegistry(registration.Snapshot{})
	registry.CheckIn(record("e", "a:1", 0, 1, registration.Ready))
	moved := record("e", "a:2", 0, 2, registration.Ready)
	is.True(registry.WouldChange(moved))
	moved.Service = "desk"
	is.True(registry.Contradicts(moved))
}
