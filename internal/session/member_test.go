package session

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
)

func manyMembers(count, regions int) []Member {
	var members []Member
	for i := range count {
		members = append(members, Member{Instance: fmt.Sprint("entry-", i), Region: fmt.Sprint("region-", i%regions)})
	}
	return members
}

func manyModels(count int) configuration.Configuration {
	c := configuration.Configuration{Models: make(map[string]configuration.Model)}
	for i := range count {
		c.Models[fmt.Sprint("model-", i)] = configuration.Model{}
	}
	return c
}

// Guards against a cell without dispatcher, one at a draining entry or in another region, and an entry
// with more than its share. Plain rendezvous hashing breaks the share.
func TestDispatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		members := manyMembers(rapid.IntRange(regions, 24).Draw(t, "members"), regions)
		for i := regions; i < len(members); i++ {
			members[i].Draining = rapid.Bool().Draw(t, "draining")
		}
		models := rapid.IntRange(0, 40).Draw(t, "models")
		assigned := Dispatchers(manyModels(models), members)
		if len(assigned) != models*regions {
			t.Fatalf("%d of %d cells are assigned", len(assigned), models*regions)
		}
		live := make(map[string]int)
		for _, m := range members {
			if !m.Draining {
				live[m.Region]++
			}
		}
		count := make(map[string]int)
		for cell, m := range assigned {
			count[m.Instance]++
			if m.Draining || cell[len(cell)-len(m.Region):] != m.Region {
				t.Fatalf("cell %s is assigned to %v", cell, m)
			}
			if share := (models + live[m.Region] - 1) / live[m.Region]; count[m.Instance] > share {
				t.Fatalf("%s has %d cells, its share is %d", m.Instance, count[m.Instance], share)
			}
		}
	})
}

// BenchmarkDispatchers measures the assignment at the target size and, as a metric, the share of cells
// that move when one entry leaves.
func BenchmarkDispatchers(b *testing.B) {
	for name, size := range map[string]struct{ members, regions, models int }{
		"today":  {16, 1, 3},
		"target": {380, 3, 80},
	} {
		b.Run(name, func(b *testing.B) {
			members, c := manyMembers(size.members, size.regions), manyModels(size.models)
			before := Dispatchers(c, members)
			moved := 0
			for i := range members {
				rest := append(append([]Member(nil), members[:i]...), members[i+1:]...)
				for cell, m := range Dispatchers(c, rest) {
					if before[cell].Instance != m.Instance {
						moved++
					}
				}
			}
			for b.Loop() {
				Dispatchers(c, members)
			}
			b.ReportMetric(100*float64(moved)/float64(len(members)*len(before)), "%moved")
		})
	}
}
