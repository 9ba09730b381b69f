// Package registration holds the replicated registry of endpoints: which service each belongs to, its address, and
// whether it is draining. Only changes are replicated; check-ins that repeat what is known are not.
package registration

import (
	"cmp"
	"slices"
	"time"
)

// State says whether an endpoint accepts work.
type State string

const (
	// Ready endpoints accept new work.
	Ready State = "ready"
	// Draining endpoints finish their work and accept no more.
	Draining State = "draining"
)

// Record is the registration of one endpoint.
type Record struct {
	ID string `cbor:"1,keyasint"`
	// Service is the name of the service that the endpoint belongs to.
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	Slots      int    `cbor:"5,keyasint"`
	State      State  `cbor:"6,keyasint"`
	// Started identifies the incarnation of the endpoint by its start in Unix milliseconds.
	Started int64 `cbor:"7,keyasint"`
	// Sequence is the sequence number of the check-in that last changed the record.
	Sequence uint64 `cbor:"8,keyasint"`
	// Cold is how long the endpoint stays slow and sensitive to many requests, counted from that check-in; 0 if it is warm.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
}

// sameAs reports whether a later check-in of the same incarnation contains nothing new. The time for which an endpoint stays
// cold counts from its check-in, so that a later one is new.
func (r Record) sameAs(other Record) bool {
	if r.Cold > 0 && r.Sequence != other.Sequence {
		return false
	}
	other.Sequence = r.Sequence
	return r == other
}

// staysCold reports whether a later check-in differs only in the time for which the endpoint stays cold.
func (r Record) staysCold(other Record) bool {
	stays := r.Cold > 0 && other.Cold > 0
	other.Cold, other.Sequence = r.Cold, r.Sequence
	return stays && r == other
}

// contradicts reports whether a check-in of the same incarnation names another service, data centre or address, so that it
// is not the endpoint's own. Without a start, an endpoint that starts again under its id may have another address.
func (r Record) contradicts(other Record) bool {
	if r.Started != other.Started {
		return false
	}
	if r.Service != other.Service {
		return true
	}
	return r.Started != 0 && (r.DataCentre != other.DataCentre || r.Address != other.Address)
}

// Change adds, replaces or removes one record.
type Change struct {
	Record  Record
	Removed bool
}

// Departure removes an endpoint, which accepts no more work.
type Departure struct {
	ID string `cbor:"1,keyasint"`
	// Started, if it is not 0, identifies the incarnation that ended; if that is earlier than the registered one, the
	// departure changes nothing.
	Started int64 `cbor:"2,keyasint"`
	// Silent says that the endpoint has sent no check-ins for too long. The same incarnation may check in again.
	Silent bool `cbor:"3,keyasint"`
	// Unregistered says that the endpoint was not registered when the departure was accepted. If it is by now, the departure
	// changes nothing.
	Unregistered bool `cbor:"4,keyasint,omitempty"`
}

// precedes reports whether the departure is that of an earlier incarnation than the registered one.
func (d Departure) precedes(registered Record) bool {
	return d.Unregistered || d.Started != 0 && d.Started < registered.Started
}

// endedIncarnation is an incarnation that announced its departure. It is kept so that a late check-in of it is ignored.
type endedIncarnation struct {
	ID      string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"`
}

const (
	// maxEnded bounds the ended incarnations that are kept: enough for some hours at 2,700 restarts a day.
	maxEnded = 4096
	// maxChanges bounds the changes that are kept for readers that lag behind.
	maxChanges = 512
)

// Snapshot is the state of a Registry.
type Snapshot struct {
	Version uint64             `cbor:"1,keyasint"`
	Records []Record           `cbor:"2,keyasint"`
	Ended   []endedIncarnation `cbor:"3,keyasint"`
}

// Registry is the registry of endpoints as a deterministic state machine. It is not safe for concurrent use.
type Registry struct {
	version uint64
	records map[string]Record
	ended   []endedIncarnation
	// changes are the latest ones, leading from version-len(changes) to version.
	changes []Change
}

// NewRegistry returns the registry with the state of a snapshot; the zero snapshot gives an empty one.
func NewRegistry(s Snapshot) *Registry {
	g := &Registry{version: s.Version, records: make(map[string]Record, len(s.Records)), ended: s.Ended}
	for _, r := range s.Records {
		g.records[r.ID] = r
	}
	return g
}

// Snapshot returns the state.
func (g *Registry) Snapshot() Snapshot {
	return Snapshot{Version: g.version, Records: g.Records(), Ended: slices.Clone(g.ended)}
}

// Version returns the number of changes so far.
func (g *Registry) Version() uint64 {
	return g.version
}

// Records returns all records, sorted by id.
func (g *Registry) Records() []Record {
	records := make([]Record, 0, len(g.records))
	for _, r := range g.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// Find returns the record of an endpoint.
func (g *Registry) Find(id string) (Record, bool) {
	r, ok := g.records[id]
	return r, ok
}

// Since returns the changes after a version, and false when some of them are no longer kept.
func (g *Registry) Since(version uint64) ([]Change, bool) {
	missing := g.version - min(version, g.version)
	if version > g.version || missing > uint64(len(g.changes)) {
		return nil, false
	}
	return slices.Clone(g.changes[uint64(len(g.changes))-missing:]), true
}

// WouldChange reports whether a check-in would change the registry.
func (g *Registry) WouldChange(r Record) bool {
	return g.isCurrent(r) && !g.isKnown(r)
}

// StaysCold reports whether a check-in says of a cold endpoint only for how long it stays so.
func (g *Registry) StaysCold(r Record) bool {
	old, ok := g.records[r.ID]
	return ok && old.staysCold(r)
}

// Contradicts reports whether a check-in cannot be that of the endpoint with its id.
func (g *Registry) Contradicts(r Record) bool {
	old, ok := g.records[r.ID]
	return ok && old.contradicts(r)
}

// CheckIn registers an endpoint or updates its record. Check-ins of ended incarnations, ones that arrive after a later one
// and ones that contradict the record change nothing. An address belongs to the incarnation that started last.
func (g *Registry) CheckIn(r Record) {
	if !g.WouldChange(r) {
		return
	}
	for _, other := range g.recordsAt(r.Address) {
		if other.ID != r.ID {
			g.remove(other)
		}
	}
	g.records[r.ID] = r
	g.appendChange(Change{Record: r})
}

func (g *Registry) isKnown(r Record) bool {
	old, ok := g.records[r.ID]
	return ok && old.sameAs(r)
}

// isCurrent reports whether a check-in is not older than the records of its endpoint and its address.
func (g *Registry) isCurrent(r Record) bool {
	if slices.ContainsFunc(g.ended, func(e endedIncarnation) bool { return e.ID == r.ID && r.Started <= e.Started }) {
		return false
	}
	if old, ok := g.records[r.ID]; ok {
		if r.Started < old.Started || r.Started == old.Started && r.Sequence < old.Sequence || old.contradicts(r) {
			return false
		}
	}
	for _, other := range g.recordsAt(r.Address) {
		if other.ID != r.ID && other.Started > r.Started {
			return false
		}
	}
	return true
}

func (g *Registry) recordsAt(address string) []Record {
	var found []Record
	for _, r := range g.records {
		if r.Address == address {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Depart removes an endpoint. It returns false, and changes nothing, if a later incarnation than the one that ended is
// registered.
func (g *Registry) Depart(d Departure) bool {
	old, ok := g.records[d.ID]
	if ok && d.precedes(old) {
		return false
	}
	if !d.Silent {
		g.recordEnded(endedIncarnation{ID: d.ID, Started: max(d.Started, old.Started)})
	}
	if ok {
		g.remove(old)
	}
	return true
}

func (g *Registry) recordEnded(e endedIncarnation) {
	g.ended = append(g.ended, e)
	if len(g.ended) > maxEnded {
		g.ended = slices.Clone(g.ended[len(g.ended)-maxEnded/2:])
	}
}

func (g *Registry) remove(r Record) {
	delete(g.records, r.ID)
	g.appendChange(Change{Record: r, Removed: true})
}

func (g *Registry) appendChange(c Change) {
	g.version++
	g.changes = append(g.changes, c)
	if len(g.changes) > maxChanges {
		g.changes = slices.Clone(g.changes[len(g.changes)-maxChanges/2:])
	}
}

// List is a reader's immutable copy of the registry, which is updated by changes.
type List struct {
	Version uint64
	Records map[string]Record
}

// WithChanges returns the list after changes that lead to the given version.
func (l List) WithChanges(version uint64, changes []Change) List {
	next := make(map[string]Record, len(l.Records)+len(changes))
	for id, r := range l.Records {
		next[id] = r
	}
	for _, c := range changes {
		if c.Removed {
			delete(next, c.Record.ID)
		} else {
			next[c.Record.ID] = c.Record
		}
	}
	return List{Version: version, Records: next}
}

// NewList returns a list of all records at a version.
func NewList(version uint64, records []Record) List {
	l := List{Version: version, Records: make(map[string]Record, len(records))}
	for _, r := range records {
		l.Records[r.ID] = r
	}
	return l
}
