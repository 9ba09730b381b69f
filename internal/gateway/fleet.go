package gateway

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Session is the entry's session with the control leader, as session.Client is.
type Session interface {
	View() (session.View, error)
	Changed() <-chan struct{}
}

// FleetConfig sets up a Fleet.
type FleetConfig struct {
	Session Session
	// Decode reads a declared document.
	Decode func(document declaration.Document) (*routing.Table, error)
	Logger *zap.Logger
}

// Fleet is what this instance knows of the deployment, in the form in which requests need it. An instance
// whose lease has run out goes on with what it knows. It is safe for concurrent use.
type Fleet struct {
	config FleetConfig
	state  atomic.Pointer[fleetState]
	// declared is closed with the first declaration.
	declared chan struct{}
}

// fleetState is immutable.
type fleetState struct {
	version uint64
	table   *routing.Table
	// endpoints and membership are the versions of services and members.
	endpoints   uint64
	services    map[string][]registration.Record
	membership  uint64
	members     []session.Member
	dispatchers map[string][]placement.Dispatcher
	quarantined map[uint64]bool
}

// NewFleet returns a fleet that knows nothing; Run must run.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{config: config, declared: make(chan struct{})}
	f.state.Store(&fleetState{})
	return f
}

// Run follows the session until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	for {
		changed := f.config.Session.Changed()
		// The lease bounds what an entry may decide under our own interface; declared routes are served on.
		view, _ := f.config.Session.View()
		f.take(view)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (f *Fleet) take(view session.View) {
	old := f.state.Load()
	next := *old
	next.quarantined = view.Quarantined
	newMembers := view.MembershipVersion != old.membership
	newEndpoints := view.Endpoints.Version != old.endpoints || old.services == nil
	table := f.decode(old.table, view.Declaration)
	if newEndpoints {
		next.endpoints = view.Endpoints.Version
		next.services = byService(view.Endpoints)
	}
	if newMembers {
		next.membership, next.members = view.MembershipVersion, view.Members
	}
	if table != old.table || newMembers {
		next.table = table
		next.dispatchers = assign(table, next.members)
	}
	if newMembers || newEndpoints || table != old.table {
		next.version++
	}
	f.state.Store(&next)
	if old.table == nil && next.table != nil {
		close(f.declared)
	}
}

// Declared is closed once there is a declaration.
func (f *Fleet) Declared() <-chan struct{} {
	return f.declared
}

// decode returns the table of a document, or the old one when the document is not newer or cannot be read.
func (f *Fleet) decode(old *routing.Table, document declaration.Document) *routing.Table {
	if document.Version == 0 || old != nil && document.Version <= old.Version() {
		return old
	}
	table, err := f.config.Decode(document)
	if err != nil {
		f.config.Logger.Error("Could not decode a declaration; the old one stays in force",
			zap.Uint64("version", document.Version), zap.Error(err))
		return old
	}
	return table
}

func byService(list registration.List) map[string][]registration.Record {
	services := make(map[string][]registration.Record)
	for _, r := range list.Records {
		services[r.Service] = append(services[r.Service], r)
	}
	return services
}

// Table returns the declaration in force, or nil.
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

// Quarantined reports whether a request is refused because it crashes endpoints.
func (f *Fleet) Quarantined(fingerprint uint64) bool {
	return f.state.Load().quarantined[fingerprint]
}

// Engine returns the declaration of the engines of a service.
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

// Endpoints returns the registered endpoints of a service.
func (f *Fleet) Endpoints(service string) (records []registration.Record, version uint64) {
	s := f.state.Load()
	return s.services[service], s.version
}

const (
	// dispatchers is the number of instances that are asked for a service: one and those that take over.
	dispatchers = 3
	// dispatcherCapacity is the processor time, in thousandths of a core, of instances that dispatch where
	// there are any.
	dispatcherCapacity = 200
)

// Dispatchers returns the instances that dispatch for a service, first choice first.
func (f *Fleet) Dispatchers(service string) []placement.Dispatcher {
	return f.state.Load().dispatchers[service]
}

// assign ranks the live instances for each service by rendezvous hashing.
func assign(table *routing.Table, members []session.Member) map[string][]placement.Dispatcher {
	if table == nil {
		return nil
	}
	byName := make(map[string]session.Member)
	var names, large []string
	for _, m := range members {
		if m.Draining {
			continue
		}
		byName[m.Instance] = m
		names = append(names, m.Instance)
		if m.Capacity >= dispatcherCapacity {
			large = append(large, m.Instance)
		}
	}
	if len(large) >= dispatchers {
		names = large
	}
	assigned := make(map[string][]placement.Dispatcher)
	for _, service := range table.Services() {
		ranked := rendezvous.Rank(service, names)
		for _, name := range ranked[:min(dispatchers, len(ranked))] {
			assigned[service] = append(assigned[service], placement.Dispatcher{Instance: name, Address: byName[name].Peer})
		}
	}
	return assigned
}
