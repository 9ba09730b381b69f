package consensus

import (
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// Types of entries.
const (
	commandEntry uint8 = iota
	// noopEntry is the first entry of each term.
	noopEntry
	membershipEntry
)

const (
	// trailingEntries stay in memory after a snapshot, so that a follower that is slightly behind does
	// not need the snapshot.
	trailingEntries = 1024
	// trailingBytes bounds the entries that stay for members that are further behind.
	trailingBytes = 8 << 20
)

// entryLog is the log in memory. A slice of its entries stays valid after the log changes.
type entryLog struct {
	// base and baseTerm are those of the entry before the first one held.
	base     uint64
	baseTerm uint64
	entries  []journal.Entry
	// snapshot is the latest stored snapshot; base is at most its index.
	snapshot journal.Meta
	commit   uint64
	// unstored is the index of the first entry that is not stored yet.
	unstored uint64
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// term returns the term of the entry at index; ok is false if it is not known.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last uint64) []journal.Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// limited returns entries from first on that fit into limit bytes, at least one if there is one.
func (l *entryLog) limited(first uint64, limit int) []journal.Entry {
	entries := l.slice(first, l.last())
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > limit && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

func (l *entryLog) append(entries ...journal.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries after index. The rest is copied, because messages may share the array.
func (l *entryLog) truncate(index uint64) {
	l.entries = append([]journal.Entry(nil), l.slice(l.base+1, index)...)
	l.unstored = min(l.unstored, index+1)
}

// compact records a stored snapshot and drops the entries that it covers, but the last few and, within
// a bound, those after needed.
func (l *entryLog) compact(meta journal.Meta, needed uint64) {
	l.snapshot = meta
	base := l.bounded(meta.Index, min(needed, meta.Index-min(meta.Index, trailingEntries)))
	if base <= l.base {
		return
	}
	term, _ := l.term(base)
	l.entries = append([]journal.Entry(nil), l.slice(base+1, l.last())...)
	l.base, l.baseTerm = base, term
}

// bounded returns the lowest index from which the entries up to last fit into trailingBytes, but not
// less than lowest.
func (l *entryLog) bounded(last, lowest uint64) uint64 {
	index := last
	for size := 0; index > max(lowest, l.base); index-- {
		size += len(l.entries[index-l.base-1].Data)
		if size > trailingBytes {
			break
		}
	}
	return index
}

// install replaces the log up to the snapshot's index. Entries after it stay if the log agrees with
// the snapshot.
func (l *entryLog) install(meta journal.Meta) {
	var tail []journal.Entry
	if term, ok := l.term(meta.Index); ok && term == meta.Term {
		tail = append(tail, l.slice(meta.Index+1, l.last())...)
	}
	l.entries = tail
	l.base, l.baseTerm = meta.Index, meta.Term
	l.snapshot = meta
	l.commit = max(l.commit, meta.Index)
	l.unstored = meta.Index + 1
}
