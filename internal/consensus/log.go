package consensus

import (
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// Types of entries.
const (
	commandEntry uint8 = iota
	// noopEntry is the first entry of each term; it has no data.
	noopEntry
	membershipEntry
)

const (
	// trailingEntries is the number of entries that stay in memory after a snapshot, so that a
	// slightly lagging follower does not need the snapshot.
	trailingEntries = 1024
	// trailingBytes bounds the entries that are kept for members that lag further behind.
	trailingBytes = 8 << 20
)

// entryLog is the part of the log in memory. A slice of its entries stays valid after the log
// changes.
type entryLog struct {
	// baseIndex and baseTerm are the index and term of the entry before the first one in memory.
	baseIndex uint64
	baseTerm  uint64
	entries   []journal.Entry
	// snapshot describes the latest stored snapshot; baseIndex is at most its index.
	snapshot    journal.SnapshotMeta
	commitIndex uint64
	// firstUnstored is the index of the first entry that is not stored on disk yet.
	firstUnstored uint64
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

// term returns the term of the entry at index; ok is false if the entry is not in memory.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// slice returns the entries from first to last, inclusive.
func (l *entryLog) slice(first, last uint64) []journal.Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

// entriesWithinSize returns the entries from first that fit into limit bytes, but at least one if
// there is one.
func (l *entryLog) entriesWithinSize(first uint64, limit int) []journal.Entry {
	entries := l.slice(first, l.lastIndex())
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

// truncate removes the entries after index. The remaining ones are copied, because messages may
// share the underlying array.
func (l *entryLog) truncate(index uint64) {
	l.entries = append([]journal.Entry(nil), l.slice(l.baseIndex+1, index)...)
	l.firstUnstored = min(l.firstUnstored, index+1)
}

// compact records a stored snapshot and drops the entries that it covers. Up to trailingBytes it
// keeps the last trailingEntries and the entries after needed.
func (l *entryLog) compact(meta journal.SnapshotMeta, needed uint64) {
	l.snapshot = meta
	base := l.lowestWithinTrailingBytes(meta.Index, min(needed, meta.Index-min(meta.Index, trailingEntries)))
	if base <= l.baseIndex {
		return
	}
	term, _ := l.term(base)
	l.entries = append([]journal.Entry(nil), l.slice(base+1, l.lastIndex())...)
	l.baseIndex, l.baseTerm = base, term
}

// lowestWithinTrailingBytes returns the lowest index, but at least lowest, such that the entries
// after it up to last fit into trailingBytes.
func (l *entryLog) lowestWithinTrailingBytes(last, lowest uint64) uint64 {
	index := last
	for size := 0; index > max(lowest, l.baseIndex); index-- {
		size += len(l.entries[index-l.baseIndex-1].Data)
		if size > trailingBytes {
			break
		}
	}
	return index
}

// install replaces the log up to the snapshot's index. Later entries are kept if the log contains
// the snapshot's last entry.
func (l *entryLog) install(meta journal.SnapshotMeta) {
	var tail []journal.Entry
	if term, ok := l.term(meta.Index); ok && term == meta.Term {
		tail = append(tail, l.slice(meta.Index+1, l.lastIndex())...)
	}
	l.entries = tail
	l.baseIndex, l.baseTerm = meta.Index, meta.Term
	l.snapshot = meta
	l.commitIndex = max(l.commitIndex, meta.Index)
	l.firstUnstored = meta.Index + 1
}
