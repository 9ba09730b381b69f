// Package registration is the replicated list of endpoints: who serves what, where, and who is leaving.
// Only changes are replicated; check-ins that repeat what is known are not.
package registration

import (
	"cmp"
	"slices"
)

// State is where an endpoint is in its life.
type State string

const (
	// Ready takes new work.
	Ready State = "ready"
	// Draining finishes its work and takes no more.
	Draining State = "draining"
)

// Record is what is known of one endpoint.
type Record struct {
	ID string `cbor:"1,keyasint"`
	// Service is the name of the service that it is an endpoint of.
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	Slots      int    `cbor:"5,keyasint"`
	State      State  `cbor:"6,keyasint"`
	// Started is the start of this life of the endpoint in Unix milliseconds.
	Started int64 `cbor:"7,keyasint"`
	// Sequence is that of the check-in that changed the record last.
	Sequence uint64 `cbor:"8,keyasint"`
}

// sameAs reports whether a later check-in of the same life says nothing new.
func (r Record) sameAs(other Record) bool {
	other.Sequence = r.Sequence
	return r == other
}

// Change adds, replaces or removes one record.
type Change struct {
	Record  Record
	Removed bool
}

// Departure says that an endpoint takes no more work.
type Departure struct {
	ID string `cbor:"1,keyasint"`
	// Started, if it is not 0, names the life that ended; a departure of an earlier one changes nothing.
	Started int64 `cbor:"2,keyasint"`
	// Silent says that the endpoint was not heard of for long. The same life may check in again.
	Silent bool `cbor:"3,keyasint"`
}

// ended remembers a life that said that it leaves, so that a check-in of it that arrives late is known.
type ended struct {
	ID      string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"`
}

const (
	// maxEnded bounds the ended lives that are remembered: some hours at 2,700 restarts a day.
	maxEnded = 4096
	// maxChanges bounds the changes that are kept for readers that lag behind.
	maxChanges = 512
)

// Snapshot is the state of a Book.
type Snapshot struct {
	Version uint64   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
	Ended   []ended  `cbor:"3,keyasint"`
}

// Book is the list of endpoints as a deterministic state machine. It is not safe for concurrent use.
type Book struct {
	version uint64
	records map[string]Record
	ended   []ended
	// changes lead from version-len(changes) to version.
	changes []Change
}

// NewBook returns the book of a snapshot; the zero snapshot is the empty one.
func NewBook(s Snapshot) *Book {
	b := &Book{version: s.Version, records: make(map[string]Record, len(s.Records)), ended: s.Ended}
	for _, r := range s.Records {
		b.records[r.ID] = r
	}
	return b
}

// Snapshot returns the state.
func (b *Book) Snapshot() Snapshot {
	return Snapshot{Version: b.version, Records: b.Records(), Ended: slices.Clone(b.ended)}
}

// Version counts the changes.
func (b *Book) Version() uint64 {
	return b.version
}

// Records returns all records, sorted by id.
func (b *Book) Records() []Record {
	records := make([]Record, 0, len(b.records))
	for _, r := range b.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// Find returns the record of an endpoint.
func (b *Book) Find(id string) (Record, bool) {
	r, ok := b.records[id]
	return r, ok
}

// Since returns the changes after a version, and false when they are no longer all kept.
func (b *Book) Since(version uint64) ([]Change, bool) {
	missing := b.version - min(version, b.version)
	if version > b.version || missing > uint64(len(b.changes)) {
		return nil, false
	}
	return slices.Clone(b.changes[uint64(len(b.changes))-missing:]), true
}

// News reports whether a check-in would change the book.
func (b *Book) News(r Record) bool {
	return b.current(r) && !b.known(r)
}

// CheckIn takes what an endpoint says of itself. Check-ins of ended lives and ones that arrive after a later
// one change nothing. An address belongs to the life that started last.
func (b *Book) CheckIn(r Record) {
	if !b.News(r) {
		return
	}
	for _, other := range b.at(r.Address) {
		if other.ID != r.ID {
			b.remove(other)
		}
	}
	b.records[r.ID] = r
	b.record(Change{Record: r})
}

func (b *Book) known(r Record) bool {
	old, ok := b.records[r.ID]
	return ok && old.sameAs(r)
}

// current reports whether a check-in is not older than what is known of its endpoint and its address.
func (b *Book) current(r Record) bool {
	if slices.ContainsFunc(b.ended, func(e ended) bool { return e.ID == r.ID && r.Started <= e.Started }) {
		return false
	}
	if old, ok := b.records[r.ID]; ok {
		if r.Started < old.Started || r.Started == old.Started && r.Sequence < old.Sequence {
			return false
		}
	}
	for _, other := range b.at(r.Address) {
		if other.ID != r.ID && other.Started > r.Started {
			return false
		}
	}
	return true
}

func (b *Book) at(address string) []Record {
	var found []Record
	for _, r := range b.records {
		if r.Address == address {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Depart removes an endpoint.
func (b *Book) Depart(d Departure) {
	old, ok := b.records[d.ID]
	if ok && d.Started != 0 && d.Started < old.Started {
		return
	}
	if !d.Silent {
		b.end(ended{ID: d.ID, Started: max(d.Started, old.Started)})
	}
	if ok {
		b.remove(old)
	}
}

func (b *Book) end(e ended) {
	b.ended = append(b.ended, e)
	if len(b.ended) > maxEnded {
		b.ended = slices.Clone(b.ended[len(b.ended)-maxEnded/2:])
	}
}

func (b *Book) remove(r Record) {
	delete(b.records, r.ID)
	b.record(Change{Record: r, Removed: true})
}

func (b *Book) record(c Change) {
	b.version++
	b.changes = append(b.changes, c)
	if len(b.changes) > maxChanges {
		b.changes = slices.Clone(b.changes[len(b.changes)-maxChanges/2:])
	}
}

// List is the reader's side of a book: an immutable copy that follows by changes.
type List struct {
	Version uint64
	Records map[string]Record
}

// WithChanges returns the list after the changes that lead to a version.
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

// NewList returns the list of whole records.
func NewList(version uint64, records []Record) List {
	l := List{Version: version, Records: make(map[string]Record, len(records))}
	for _, r := range records {
		l.Records[r.ID] = r
	}
	return l
}
