package prefix

import (
	"math/bits"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Index records which endpoint holds which prefix blocks in its cache. It is a hint built from late
// and gapped events: a match may be wrong in either direction. Endpoints are numbered by slots. It is
// not safe for concurrent use.
type Index struct {
	// words has one map for each 64 slots: the bit of a slot is set for each block that it holds.
	words []map[uint64]uint64
	slots []*slot
	free  []int
}

type slot struct {
	limit int
	// stamps has the blocks with the time of their last use, order the same by rising stamp; an entry
	// of order with another stamp than in stamps is outdated.
	stamps   map[uint64]uint64
	order    []use
	clock    uint64
	sequence uint64
	started  bool
}

type use struct {
	block uint64
	stamp uint64
}

const wordSlots = 64

// NewIndex returns an index without slots.
func NewIndex() *Index {
	return &Index{}
}

// Add returns an empty slot that holds at most limit blocks; the least recently used are dropped
// beyond that.
func (x *Index) Add(limit int) int {
	s := &slot{limit: limit, stamps: make(map[uint64]uint64)}
	if n := len(x.free); n > 0 {
		id := x.free[n-1]
		x.free = x.free[:n-1]
		x.slots[id] = s
		return id
	}
	x.slots = append(x.slots, s)
	if len(x.slots) > len(x.words)*wordSlots {
		x.words = append(x.words, make(map[uint64]uint64))
	}
	return len(x.slots) - 1
}

// Remove frees a slot.
func (x *Index) Remove(id int) {
	x.Reset(id)
	x.slots[id] = nil
	x.free = append(x.free, id)
}

// Reset forgets the blocks and the sequence number of a slot, after a restart of its endpoint.
func (x *Index) Reset(id int) {
	s := x.slots[id]
	for block := range s.stamps {
		x.clear(id, block)
	}
	x.slots[id] = &slot{limit: s.limit, stamps: make(map[uint64]uint64)}
}

// Apply takes a cache event of the endpoint in a slot. A gap of n missing events can hide at most n
// evictions, and engines evict the least recently used blocks first, so the n least recently used
// blocks are dropped. Of an event older than the newest only an eviction counts: dropping a block
// that is there costs a hit, believing in one that is not costs a wrong choice.
func (x *Index) Apply(id int, event endpoint.CacheEvent) {
	s := x.slots[id]
	if s.started && event.Sequence <= s.sequence {
		if event.Evicted {
			x.drop(id, event.Block)
		}
		return
	}
	if missing := event.Sequence - s.sequence - 1; s.started && missing > 0 {
		x.dropOldest(id, int(min(missing, uint64(len(s.stamps)))))
	}
	s.started, s.sequence = true, event.Sequence
	if event.Evicted {
		x.drop(id, event.Block)
		return
	}
	x.Store(id, []uint64{event.Block})
}

// Store records that the endpoint in a slot has just used the blocks.
func (x *Index) Store(id int, blocks []uint64) {
	s := x.slots[id]
	for _, block := range blocks {
		s.clock++
		s.stamps[block] = s.clock
		s.order = append(s.order, use{block: block, stamp: s.clock})
		x.words[id/wordSlots][block] |= 1 << (id % wordSlots)
	}
	x.dropOldest(id, len(s.stamps)-s.limit)
	s.compact()
}

// Forget drops blocks that a response has shown to be absent.
func (x *Index) Forget(id int, blocks []uint64) {
	for _, block := range blocks {
		x.drop(id, block)
	}
}

// Match writes to hits, by slot, how many leading blocks each endpoint holds, and returns it. The
// slice is grown when it is too short.
func (x *Index) Match(blocks []uint64, hits []int) []int {
	if need := len(x.words) * wordSlots; cap(hits) < need {
		hits = make([]int, need)
	}
	hits = hits[:len(x.words)*wordSlots]
	clear(hits)
	for w, word := range x.words {
		alive := ^uint64(0)
		matched := 0
		for _, block := range blocks {
			held := word[block]
			record(hits[w*wordSlots:], alive&^held, matched)
			alive &= held
			if alive == 0 {
				break
			}
			matched++
		}
		record(hits[w*wordSlots:], alive, matched)
	}
	return hits
}

func record(hits []int, mask uint64, matched int) {
	if matched == 0 {
		return
	}
	for ; mask != 0; mask &= mask - 1 {
		hits[bits.TrailingZeros64(mask)] = matched
	}
}

// Len returns the number of blocks in a slot.
func (x *Index) Len(id int) int {
	return len(x.slots[id].stamps)
}

func (x *Index) drop(id int, block uint64) {
	delete(x.slots[id].stamps, block)
	x.clear(id, block)
}

func (x *Index) clear(id int, block uint64) {
	word := x.words[id/wordSlots]
	word[block] &^= 1 << (id % wordSlots)
	if word[block] == 0 {
		delete(word, block)
	}
}

func (x *Index) dropOldest(id, count int) {
	s := x.slots[id]
	for count > 0 && len(s.order) > 0 {
		oldest := s.order[0]
		s.order = s.order[1:]
		if s.stamps[oldest.block] != oldest.stamp {
			continue
		}
		x.drop(id, oldest.block)
		count--
	}
}

// compact removes outdated entries once they are the larger part of order.
func (s *slot) compact() {
	if len(s.order) < 2*len(s.stamps)+wordSlots {
		return
	}
	current := make([]use, 0, len(s.stamps))
	for _, u := range s.order {
		if s.stamps[u.block] == u.stamp {
			current = append(current, u)
		}
	}
	s.order = current
}
