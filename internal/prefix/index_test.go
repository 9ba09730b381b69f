package prefix_test

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// plainIndex is the reference implementation: a list of blocks for each slot, the least recently used first.
type plainIndex struct {
	blocks   map[int][]uint64
	sequence map[int]uint64
	limit    int
}

func (p *plainIndex) remove(slot int, block uint64) {
	p.blocks[slot] = slices.DeleteFunc(p.blocks[slot], func(b uint64) bool { return b == block })
}

func (p *plainIndex) store(slot int, block uint64) {
	p.remove(slot, block)
	p.blocks[slot] = append(p.blocks[slot], block)
	if len(p.blocks[slot]) > p.limit {
		p.blocks[slot] = p.blocks[slot][1:]
	}
}

func (p *plainIndex) apply(slot int, e endpoint.CacheEvent) {
	last, started := p.sequence[slot]
	if started && e.Sequence > last {
		missing := min(int(e.Sequence-last-1), len(p.blocks[slot]))
		p.blocks[slot] = p.blocks[slot][missing:]
	}
	late := started && e.Sequence <= last
	if !late {
		p.sequence[slot] = e.Sequence
	}
	switch {
	case e.Evicted:
		p.remove(slot, e.Block)
	case !late:
		p.store(slot, e.Block)
	}
}

func (p *plainIndex) match(slot int, blocks []uint64) int {
	for i, block := range blocks {
		if !slices.Contains(p.blocks[slot], block) {
			return i
		}
	}
	return len(blocks)
}

// Guards against hits that differ from those of plain lists of blocks, due to the bit sets, the reuse of
// slots or the order of uses, with gaps, late events, restarts, limits and more than 64 slots.
func TestIndexAgainstPlainLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, slots = 6, 70
		index := prefix.NewIndex()
		plain := &plainIndex{blocks: map[int][]uint64{}, sequence: map[int]uint64{}, limit: limit}
		for range slots {
			index.Add(limit)
		}
		slot := rapid.SampledFrom([]int{0, 1, 63, 64, 69})
		block := rapid.Uint64Range(0, 9)
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				s := slot.Draw(t, "slot")
				sequence := uint64(max(0, int(plain.sequence[s])+rapid.IntRange(-2, 4).Draw(t, "step")))
				e := endpoint.CacheEvent{Sequence: sequence, Block: block.Draw(t, "block"), Evicted: rapid.Bool().Draw(t, "evicted")}
				index.Apply(s, e)
				plain.apply(s, e)
			},
			"store": func(t *rapid.T) {
				s := slot.Draw(t, "slot")
				blocks := rapid.SliceOfN(block, 1, limit).Draw(t, "blocks")
				index.Store(s, blocks)
				for _, b := range slices.Compact(blocks) {
					plain.store(s, b)
				}
			},
			"forget": func(t *rapid.T) {
				s, b := slot.Draw(t, "slot"), block.Draw(t, "block")
				index.Forget(s, []uint64{b})
				plain.remove(s, b)
			},
			"restart": func(t *rapid.T) {
				s := slot.Draw(t, "slot")
				index.Remove(s)
				if added := index.Add(limit); added != s {
					t.Fatalf("slot %d was not reused, got %d", s, added)
				}
				delete(plain.blocks, s)
				delete(plain.sequence, s)
			},
			"": func(t *rapid.T) {
				blocks := rapid.SliceOfN(block, 0, 4).Draw(t, "prompt")
				hits := index.Match(blocks, nil)
				for s := range slots {
					if want := plain.match(s, blocks); hits[s] != want {
						t.Fatalf("slot %d: %d hits, want %d", s, hits[s], want)
					}
				}
			},
		})
	})
}

// Guards against memory that grows with the uses of blocks instead of with the number of blocks held.
func TestIndexForgetsOutdatedUses(t *testing.T) {
	is := is.New(t)
	index := prefix.NewIndex()
	slot := index.Add(4)
	for range 10_000 {
		index.Store(slot, []uint64{1, 2, 3, 4, 5})
	}
	is.Equal(index.Len(slot), 4)
	is.Equal(index.Match([]uint64{2, 3, 4, 5}, nil)[slot], 4)
	is.Equal(index.Match([]uint64{1}, nil)[slot], 0)
}

// BenchmarkMatch measures the lookup of a prompt of a million tokens that one endpoint holds.
func BenchmarkMatch(b *testing.B) {
	index := prefix.NewIndex()
	blocks := make([]uint64, 1000)
	for i := range blocks {
		blocks[i] = uint64(i) * 0x9e3779b97f4a7c15
	}
	for range 32 {
		index.Add(2000)
	}
	index.Store(7, blocks)
	hits := index.Match(blocks, nil)
	for b.Loop() {
		hits = index.Match(blocks, hits)
	}
}
