package gateway

import (
	"context"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Session is the session of an entry with the control leader. session.Client implements it.
type Session interface {
	View() (session.View, error)
	Changed() <-chan struct{}
}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Session Session
	// Decode decodes a declaration into a routing table.
	Decode func(document declaration.Document) (*routing.Table, error)
	Logger *zap.Logger
}

// Fleet is this instance's view of the deployment, prepared for request handling: the routing table, the endpoints
// and the other instances. After the session's lease has expired, it keeps the last known state. It is safe for
// concurrent use.
type Fleet struct {
	config FleetConfig
	state  atomic.Pointer[fleetState]
	// declared is closed when the first declaration arrives.
	declared chan struct{}
}

// fleetState is immutable.
type fleetState struct {
	version uint64
	table   *routing.Table
	// endpointsVersion and membershipVersion are the versions of services and members.
	endpointsVersion uint64
	// services has the endpoints of each service. Those in drained data centres are listed as draining.
	services map[string][]registration.Record
	// drained has the drained data centres, inDrained the ids of the endpoints there by service.
	drained   []string
	inDrained map[string][]string
	// withdrawn has the endpoints that get no new requests, by id.
	withdrawn map[string]withdrawal
	// draining has the ids of the draining endpoints of each service.
	draining          map[string][]string
	membershipVersion uint64
	members           []session.Member
	// cells are those of all services with engines.
	cells       []placement.Cell
	dispatchers map[placement.Cell][]placement.Dispatcher
	quarantined map[uint64]bool
	blames      crash.Blames
}

// NewFleet returns an empty fleet. Run keeps it up to date.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{config: config, declared: make(chan struct{})}
	f.state.Store(&fleetState{})
	return f
}

// Run applies changes of the session until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	for {
		changed := f.config.Session.Changed()
		// The error is ignored: an expired lease restricts only the API of the command entryd run. Declared routes are
		// served regardless.
		view, _ := f.config.Session.View()
		f.apply(view)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (f *Fleet) apply(view session.View) {
	old := f.state.Load()
	next := *old
	next.quarantined, next.blames = view.Quarantined, view.Blames
	newMembers := view.MembershipVersion != old.membershipVersion
	drained := drainedDataCentres(view.Configuration)
	newDrains := !slices.Equal(drained, old.drained)
	newEndpoints := view.Endpoints.Version != old.endpointsVersion || old.services == nil || newDrains
	table := f.decode(old.table, view.Declaration)
	if newEndpoints {
		next.endpointsVersion = view.Endpoints.Version
		next.drained = drained
		next.services, next.inDrained = withDrained(f.byService(view.Endpoints), drained)
		next.withdrawn = withdrawals(old.withdrawn, old.services, next.services, drained)
		next.draining = drainingByService(next.services, drained)
	}
	if newMembers {
		next.membershipVersion, next.members = view.MembershipVersion, view.Members
	}
	cells := cellsOf(table, next.services)
	if table != old.table || newMembers || !slices.Equal(cells, old.cells) {
		next.table, next.cells = table, cells
		next.dispatchers = assignDispatchers(cells, next.members)
	}
	if newMembers || newEndpoints || table != old.table {
		next.version++
	}
	f.state.Store(&next)
	if newDrains {
		f.logDrained(view.Configuration.Revision, drained)
	}
	if old.table == nil && next.table != nil {
		close(f.declared)
	}
}

// Declared returns a channel that is closed once there is a declaration.
func (f *Fleet) Declared() <-chan struct{} {
	return f.declared
}

// decode returns the routing table of a document, or the old table if the document is not newer or cannot be decoded.
func (f *Fleet) decode(old *routing.Table, document declaration.Document) *routing.Table {
	if document.Version == 0 || old != nil && document.Version <= old.Version() {
		return old
	}
	table, err := f.config.Decode(document)
	if err != nil {
		f.config.Logger.Error("Could not decode a declaration, the previous one stays in force",
			zap.Uint64("version", document.Version), zap.Error(err))
		return old
	}
	return table
}

// byService returns the endpoints of each service. It leaves out records that cannot be used, which another version of
// this software may have admitted.
func (f *Fleet) byService(list registration.List) map[string][]registration.Record {
	services := make(map[string][]registration.Record)
	for _, r := range list.Records {
		if err := r.Check(); err != nil {
			f.config.Logger.Warn("Left out a registered endpoint", zap.Uint64("version", list.Version), zap.Error(err))
			continue
		}
		services[r.Service] = append(services[r.Service], r)
	}
	return services
}

// Table returns the routing table of the declaration in force, or nil if there is none yet.
func (f *Fleet) Table() *routing.Table {
	return f.state.Load().table
}

// Members returns the live entries.
func (f *Fleet) Members() []session.Member {
	return f.state.Load().members
}

// Peer returns the peer address of a live entry.
func (f *Fleet) Peer(instance string) (address string, ok bool) {
	for _, m := range f.Members() {
		if m.Instance == instance {
			return m.Peer, true
		}
	}
	return "", false
}

// Quarantined reports whether requests with this fingerprint are refused because they crash endpoints.
func (f *Fleet) Quarantined(fingerprint uint64) bool {
	return f.state.Load().quarantined[fingerprint]
}

// Blames returns the parts of prompts that are blamed for crashes.
func (f *Fleet) Blames() crash.Blames {
	return f.state.Load().blames
}

// Engine returns the declared properties of a service's engines. It returns false for plain services.
func (f *Fleet) Engine(service string) (routing.Engine, bool) {
	table := f.state.Load().table
	if table == nil {
		return routing.Engine{}, false
	}
	s, ok := table.Service(service)
	if !ok || s.Engine == nil {
		return routing.Engine{}, false
	}
	return *s.Engine, true
}

// Endpoints returns the registered endpoints of a service and the version of this fleet's state.
func (f *Fleet) Endpoints(service string) (records []registration.Record, version uint64) {
	s := f.state.Load()
	return s.services[service], s.version
}

// Dispatchers returns the instances that dispatch for a cell, in order of preference.
func (f *Fleet) Dispatchers(cell placement.Cell) []placement.Dispatcher {
	return f.state.Load().dispatchers[cell]
}
