package prefix

import (
	"math/bits"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Index records which endpoints hold which prefix blocks in their cache. It is only a hint, because cache
// events may be late or missing: it may have blocks that are not cached and lack blocks that are. Each
// endpoint has a slot, which is identified by its number. Index is not safe for concurrent use.
type Index struct {
	// slotBits has one map for every 64 slots, from a block to a bit set of the slots that hold it.
	slotBits  []map[uint64]uint64
	slots     []*slot
	freeSlots []int
}

type slot struct {
	limit int
	// lastUse has the time of the last use by block. useOrder has the uses by increasing time; one whose
	// time differs from that in lastUse is outdated. clock counts uses and serves as the time.
	lastUse     map[uint64]uint64
	useOrder    []use
	clock       uint64
	sequence    uint64
	hasSequence bool
}

type use struct {
	block uint64
	time  uint64
}

const slotsPerWord = 64

// NewIndex returns an index without slots.
func NewIndex() *Index {
	return &Index{}
}

// Add returns an empty slot that holds at most limit blocks. Above that, the least recently used blocks are
// dropped.
func (x *Index) Add(limit int) int {
	s := &slot{limit: limit, lastUse: make(map[uint64]uint64)}
	if n := len(x.freeSlots); n > 0 {
		id := x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
		x.slots[id] = s
		return id
	}
	x.slots = append(x.slots, s)
	if len(x.slots) > len(x.slotBits)*slotsPerWord {
		x.slotBits = append(x.slotBits, make(map[uint64]uint64))
	}
	return len(x.slots) - 1
}

// Remove frees a slot.
func (x *Index) Remove(id int) {
	x.Reset(id)
	x.slots[id] = nil
	x.freeSlots = append(x.freeSlots, id)
}

// Reset drops the blocks and the sequence number of a slot, after a restart of its endpoint.
func (x *Index) Reset(id int) {
	s := x.slots[id]
	for block := range s.lastUse {
		x.clearBit(id, block)
	}
	x.slots[id] = &slot{limit: s.limit, lastUse: make(map[uint64]uint64)}
}

// Apply applies a cache event of the endpoint in a slot. A gap of n events can hide at most n evictions,
// and engines evict the least recently used blocks first, so the n least recently used blocks are dropped.
// Of events that arrive out of order, only evictions are applied: dropping a block that is cached loses a
// cache hit, but keeping one that is not cached leads to a wrong choice of endpoint.
func (x *Index) Apply(id int, event endpoint.CacheEvent) {
	s := x.slots[id]
	if s.hasSequence && event.Sequence <= s.sequence {
		if event.Evicted {
			x.dropBlock(id, event.Block)
		}
		return
	}
	if missing := event.Sequence - s.sequence - 1; s.hasSequence && missing > 0 {
		x.dropOldest(id, int(min(missing, uint64(len(s.lastUse)))))
	}
	s.hasSequence, s.sequence = true, event.Sequence
	if event.Evicted {
		x.dropBlock(id, event.Block)
		return
	}
	x.Store(id, []uint64{event.Block})
}

// Store records that the endpoint in a slot has used the blocks.
func (x *Index) Store(id int, blocks []uint64) {
	s := x.slots[id]
	for _, block := range blocks {
		s.clock++
		s.lastUse[block] = s.clock
		s.useOrder = append(s.useOrder, use{block: block, time: s.clock})
		x.slotBits[id/slotsPerWord][block] |= 1 << (id % slotsPerWord)
	}
	x.dropOldest(id, len(s.lastUse)-s.limit)
	s.compact()
}

// Forget drops blocks that were not cached according to a response.
func (x *Index) Forget(id int, blocks []uint64) {
	for _, block := range blocks {
		x.dropBlock(id, block)
	}
}

// Match sets hits, indexed by slot, to the number of leading blocks that each endpoint holds, and returns
// it. It allocates a new slice if hits is too short.
func (x *Index) Match(blocks []uint64, hits []int) []int {
	if need := len(x.slotBits) * slotsPerWord; cap(hits) < need {
		hits = make([]int, need)
	}
	hits = hits[:len(x.slotBits)*slotsPerWord]
	clear(hits)
	for w, bitsByBlock := range x.slotBits {
		candidates := ^uint64(0)
		matched := 0
		for _, block := range blocks {
			held := bitsByBlock[block]
			setHits(hits[w*slotsPerWord:], candidates&^held, matched)
			candidates &= held
			if candidates == 0 {
				break
			}
			matched++
		}
		setHits(hits[w*slotsPerWord:], candidates, matched)
	}
	return hits
}

func setHits(hits []int, slotMask uint64, matched int) {
	if matched == 0 {
		return
	}
	for ; slotMask != 0; slotMask &= slotMask - 1 {
		hits[bits.TrailingZeros64(slotMask)] = matched
	}
}

// Len returns the number of blocks in a slot.
func (x *Index) Len(id int) int {
	return len(x.slots[id].lastUse)
}

func (x *Index) dropBlock(id int, block uint64) {
	delete(x.slots[id].lastUse, block)
	x.clearBit(id, block)
}

func (x *Index) clearBit(id int, block uint64) {
	word := x.slotBits[id/slotsPerWord]
	word[block] &^= 1 << (id % slotsPerWord)
	if word[block] == 0 {
		delete(word, block)
	}
}

func (x *Index) dropOldest(id, count int) {
	s := x.slots[id]
	for count > 0 && len(s.useOrder) > 0 {
		oldest := s.useOrder[0]
		s.useOrder = s.useOrder[1:]
		if s.lastUse[oldest.block] != oldest.time {
			continue
		}
		x.dropBlock(id, oldest.block)
		count--
	}
}

// compact removes outdated uses from useOrder once they are the majority.
func (s *slot) compact() {
	if len(s.useOrder) < 2*len(s.lastUse)+slotsPerWord {
		return
	}
	current := make([]use, 0, len(s.lastUse))
	for _, u := range s.useOrder {
		if s.lastUse[u.block] == u.time {
			current = append(current, u)
		}
	}
	s.useOrder = current
}
