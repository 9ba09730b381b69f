package session

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
)

func newMembers(count, regions int) []Member {
	var members []Member
	for i := range count {
		members = append(members, Member{Instance: fmt.Sprint("entry-", i), Region: fmt.Sprint("region-", i%regions)})
	}
	return members
}

func newModels(count int) configuration.Configuration {
	c := configuration.Configuration{Models: make(map[string]configuration.Model)}
	for i := range count {
		c.Models[fmt.Sprint("model-", i)] = configuration.Model{}
	}
	return c
}

// Guards against a cell without a dispatcher, a dispatcher that is draining or in another region, and an
// entry with more than its share of the cells. Plain rendezvous hashing exceeds the share.
func TestDispatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		members := newMembers(rapid.IntRange(regions, 24).Draw(t, "members"), regions)
		for i := regions; i < len(members); i++ {
			members[i].Draining = rapid.Bool().Draw(t, "draining")
		}
		models := rapid.IntRange(0, 40).Draw(t, "models")
		c, cells := newModels(models), 0
		for name, model := range c.Models {
			model.Replicas = rapid.IntRange(0, 200).Draw(t, "replicas")
			c.Models[name] = model
			cells += max(1, (model.Replicas+31)/32)
		}
		assigned := AssignDispatchers(c, members)
		if len(assigned) != cells*regions {
			t.Fatalf("%d of %d cells are assigned", len(assigned), cells*regions)
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
			first, _ := dispatch.SplitCell(cell)
			if m.Draining || first[len(first)-len(m.Region):] != m.Region {
				t.Fatalf("cell %s is assigned to %v", cell, m)
			}
			if share := (cells + live[m.Region] - 1) / live[m.Region]; count[m.Instance] > share {
				t.Fatalf("%s has %d cells, its share is %d", m.Instance, count[m.Instance], share)
			}
		}
	})
}

// BenchmarkDispatchers measures the assignment at the target size and, as a metric, the share of cells
// that move when one entry leaves.
func BenchmarkDispatchers(b *testing.B) {
	for name, size := range map[string]struct{ members, regions, models, replicas int }{
		"today":  {16, 1, 3, 25},
		"target": {380, 3, 24, 321},
	} {
		b.Run(name, func(b *testing.B) {
			members, c := newMembers(size.members, size.regions), newModels(size.models)
			for name := range c.Models {
				c.Models[name] = configuration.Model{Replicas: size.replicas}
			}
			before := AssignDispatchers(c, members)
			moved := 0
			for i := range members {
				rest := append(append([]Member(nil), members[:i]...), members[i+1:]...)
				for cell, m := range AssignDispatchers(c, rest) {
					if before[cell].Instance != m.Instance {
						moved++
					}
				}
			}
			for b.Loop() {
				AssignDispatchers(c, members)
			}
			b.ReportMetric(100*float64(moved)/float64(len(members)*len(before)), "%moved")
		})
	}
}

// Guards against entries that keep the old cells of a model after its number of replicas has changed.
func TestSameCells(t *testing.T) {
	declared := func(name string, replicas int) configuration.Configuration {
		return configuration.Configuration{Models: map[string]configuration.Model{name: {Replicas: replicas}}}
	}
	before := declared("oak", 32)
	for name, test := range map[string]struct {
		after configuration.Configuration
		same  bool
	}{
		"fewer replicas": {declared("oak", 1), true},
		"one more cell":  {declared("oak", 33), false},
		"other model":    {declared("pine", 32), false},
		"new service":    {configuration.Configuration{Models: before.Models, Services: map[string]configuration.Service{"saw": {}}}, false},
	} {
		if sameCells(before, test.after) != test.same {
			t.Errorf("%s: the cells are the same: %v", name, !test.same)
		}
	}
}
