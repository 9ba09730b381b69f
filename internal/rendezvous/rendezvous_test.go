package rendezvous_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
)

func names(prefix string, count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%03d", prefix, i)
	}
	return all
}

// modulo and ring (consistent hashing) are the alternatives with which rendezvous hashing is compared.
func modulo(key string, names []string) string {
	return names[xxhash.Sum64String(key)%uint64(len(names))]
}

const virtualNodes = 100

func ring(names []string) func(key string) string {
	type node struct {
		hash uint64
		name string
	}
	var nodes []node
	for _, name := range names {
		for i := range virtualNodes {
			nodes = append(nodes, node{hash: xxhash.Sum64String(fmt.Sprintf("%s#%d", name, i)), name: name})
		}
	}
	byHash := func(n node, hash uint64) int { return cmp.Compare(n.hash, hash) }
	slices.SortFunc(nodes, func(a, b node) int { return byHash(a, b.hash) })
	return func(key string) string {
		at, _ := slices.BinarySearchFunc(nodes, xxhash.Sum64String(key), byHash)
		return nodes[at%len(nodes)].name
	}
}

// Guards against cells that move although their dispatcher was not removed, and against a ranking whose first
// name differs from the result of First.
func TestOnlyCellsOfRemovedEntryMove(t *testing.T) {
	is := is.New(t)
	entries := names("entry", 16)
	for _, cell := range names("cell", 240) {
		before := rendezvous.First(cell, entries)
		is.Equal(before, rendezvous.Rank(cell, entries)[0])
		for i, removed := range entries {
			after := rendezvous.First(cell, slices.Delete(slices.Clone(entries), i, i+1))
			is.True(after == before || before == removed)
			is.True(after != removed)
		}
	}
	is.Equal(rendezvous.First("cell", nil), "")
}

// BenchmarkPlacement measures for each method the share of cells that move when one entry is removed (mean
// over all entries), the highest number of cells of an entry relative to the mean, and the time of a lookup.
func BenchmarkPlacement(b *testing.B) {
	methods := map[string]func(names []string) func(string) string{
		"rendezvous": func(names []string) func(string) string {
			return func(key string) string { return rendezvous.First(key, names) }
		},
		"modulo": func(names []string) func(string) string {
			return func(key string) string { return modulo(key, names) }
		},
		"ring": ring,
	}
	for _, entries := range []int{16, 380} {
		for _, cells := range []int{24, 240} {
			for _, method := range []string{"rendezvous", "modulo", "ring"} {
				b.Run(fmt.Sprintf("%s/entries=%d/cells=%d", method, entries, cells), func(b *testing.B) {
					moved, balance := measure(methods[method], names("entry", entries), names("cell", cells))
					lookup := methods[method](names("entry", entries))
					for b.Loop() {
						lookup("cell-007")
					}
					b.ReportMetric(moved*100, "%moved")
					b.ReportMetric(balance, "max/mean")
				})
			}
		}
	}
}

func measure(method func([]string) func(string) string, entries, cells []string) (moved, balance float64) {
	lookup := method(entries)
	load := make(map[string]int)
	for _, cell := range cells {
		load[lookup(cell)]++
	}
	maxLoad, moves := 0, 0
	for _, count := range load {
		maxLoad = max(maxLoad, count)
	}
	for i := range entries {
		after := method(slices.Delete(slices.Clone(entries), i, i+1))
		for _, cell := range cells {
			if after(cell) != lookup(cell) {
				moves++
			}
		}
	}
	total := float64(len(entries) * len(cells))
	return float64(moves) / total, float64(maxLoad) * float64(len(entries)) / float64(len(cells))
}

// Guards against buckets of very different size, and against keys that move although their bucket stays.
func TestBucket(t *testing.T) {
	is := is.New(t)
	const keys = 4000
	for _, buckets := range []int{1, 4, 5, 75} {
		sizes := make([]int, buckets)
		moved := 0
		for _, name := range names("engine", keys) {
			bucket := rendezvous.Bucket(name, buckets)
			sizes[bucket]++
			if rendezvous.Bucket(name, buckets+1) != bucket {
				moved++
			}
		}
		is.True(slices.Min(sizes)*2 > keys/buckets)
		is.True(slices.Max(sizes) < 2*keys/buckets)
		is.True(moved < 2*keys/(buckets+1))
	}
	is.Equal(rendezvous.Bucket("engine", 0), 0)
}
