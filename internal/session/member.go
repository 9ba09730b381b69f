package session

import (
	"maps"
	"slices"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
)

// Dispatchers assigns each cell of the declared models and services to an entry of its region, or of
// any region when that has none. Draining members get no cell. A cell goes to the first entry by
// rendezvous hashing (Thaler and Ravishankar, 1998) that has not its share yet: without the bound, the
// fullest of 380 entries would have 6 times the mean of 240 cells.
func Dispatchers(c configuration.Configuration, members []Member) map[string]Member {
	live := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Draining })
	regions := make(map[string][]string)
	byName := make(map[string]Member, len(live))
	for _, m := range live {
		regions[m.Region] = append(regions[m.Region], m.Instance)
		byName[m.Instance] = m
	}
	assigned := make(map[string]Member)
	for region, names := range regions {
		for cell, name := range assign(cells(c, region), names) {
			assigned[cell] = byName[name]
		}
	}
	return assigned
}

// cells names the cells of all declared models and services in a region, sorted.
func cells(c configuration.Configuration, region string) []string {
	names := make([]string, 0, len(c.Models)+len(c.Services))
	for name, model := range c.Models {
		names = append(names, dispatch.CellNames(dispatch.FirstCell(name, region), model.Cells())...)
	}
	for name := range c.Services {
		names = append(names, dispatch.FirstCell(name, region))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func assign(cells, names []string) map[string]string {
	share := (len(cells) + len(names) - 1) / len(names)
	count := make(map[string]int, len(names))
	open := slices.Clone(names)
	assigned := make(map[string]string, len(cells))
	for _, cell := range cells {
		name := rendezvous.First(cell, open)
		assigned[cell] = name
		if count[name]++; count[name] == share {
			open = slices.DeleteFunc(open, func(other string) bool { return other == name })
		}
	}
	return assigned
}

// Dispatcher returns the entry that dispatches for a cell. A cell of nothing that is declared goes to
// the first live entry by rendezvous hashing.
func (v View) Dispatcher(cell string) (Member, bool) {
	if m, ok := v.dispatchers[cell]; ok {
		return m, true
	}
	return v.Home(cell)
}

// Home returns the live entry that rendezvous hashing ranks first for a key. Draining entries are passed
// over. With 380 entries it takes about 15 µs, so callers keep the result for the MembershipVersion.
func (v View) Home(key string) (Member, bool) {
	names := make([]string, 0, len(v.Members))
	for i := range v.Members {
		if !v.Members[i].Draining {
			names = append(names, v.Members[i].Instance)
		}
	}
	first := rendezvous.First(key, names)
	for i := range v.Members {
		if first != "" && v.Members[i].Instance == first {
			return v.Members[i], true
		}
	}
	return Member{}, false
}

// Cells returns the number of cells of a model or service by the name of its first one. It is 1 for
// services and for what is not declared.
func (v View) Cells(first string) int {
	model := v.Configuration.Models[first[:max(0, strings.LastIndexByte(first, '/'))]]
	return model.Cells()
}

// CellOf returns the cell of an endpoint among those of a model or service.
func (v View) CellOf(model, region, endpoint string) string {
	first := dispatch.FirstCell(model, region)
	return dispatch.CellForEndpoint(first, endpoint, v.Cells(first))
}

// WithDispatchers returns the view with its cells assigned.
func (v View) WithDispatchers() View {
	v.dispatchers = Dispatchers(v.Configuration, v.Members)
	return v
}

// sameCells reports whether two configurations declare the same models, with as many cells each, and the
// same services.
func sameCells(a, b configuration.Configuration) bool {
	sameCount := func(x, y configuration.Model) bool { return x.Cells() == y.Cells() }
	return maps.EqualFunc(a.Models, b.Models, sameCount) &&
		slices.Equal(slices.Sorted(maps.Keys(a.Services)), slices.Sorted(maps.Keys(b.Services)))
}
