package session

import (
	"maps"
	"slices"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
)

// AssignDispatchers assigns a dispatcher to each cell: an entry in the cell's region. A cell is one of the
// parts into which the endpoints of a model or service in a region are divided. Draining members get no
// cell. A cell goes to the entry that ranks first by rendezvous hashing (Thaler and Ravishankar, 1998)
// among those that have less than an equal share of the cells: without this bound, the fullest of 380
// entries would have 6 times the mean of 240 cells.
func AssignDispatchers(c configuration.Configuration, members []Member) map[string]Member {
	live := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Draining })
	regions := make(map[string][]string)
	byName := make(map[string]Member, len(live))
	for _, m := range live {
		regions[m.Region] = append(regions[m.Region], m.Instance)
		byName[m.Instance] = m
	}
	assigned := make(map[string]Member)
	for region, names := range regions {
		for cell, name := range assignCells(cellNames(c, region), names) {
			assigned[cell] = byName[name]
		}
	}
	return assigned
}

// cellNames returns the sorted names of the cells of all declared models and services in a region.
func cellNames(c configuration.Configuration, region string) []string {
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

func assignCells(cells, entries []string) map[string]string {
	maxCellsPerEntry := (len(cells) + len(entries) - 1) / len(entries)
	count := make(map[string]int, len(entries))
	available := slices.Clone(entries)
	assigned := make(map[string]string, len(cells))
	for _, cell := range cells {
		entry := rendezvous.First(cell, available)
		assigned[cell] = entry
		if count[entry]++; count[entry] == maxCellsPerEntry {
			available = slices.DeleteFunc(available, func(other string) bool { return other == entry })
		}
	}
	return assigned
}

// Dispatcher returns the entry that dispatches for a cell. A cell of an undeclared model or service, or in
// a region without live entries, goes to the entry of any region that ranks first by rendezvous hashing.
func (v View) Dispatcher(cell string) (Member, bool) {
	if m, ok := v.dispatchers[cell]; ok {
		return m, true
	}
	return v.Owner(cell)
}

// Owner returns the live entry that ranks first for a key by rendezvous hashing, without the draining ones.
// It takes about 15 µs with 380 entries, so callers cache the result until MembershipVersion changes.
func (v View) Owner(key string) (Member, bool) {
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

// Cells returns the number of cells of a model or service, given the name of its first cell. It is 1 for
// services and undeclared models.
func (v View) Cells(first string) int {
	model := v.Configuration.Models[first[:max(0, strings.LastIndexByte(first, '/'))]]
	return model.Cells()
}

// CellOf returns the cell of a model or service that an endpoint belongs to.
func (v View) CellOf(model, region, endpoint string) string {
	first := dispatch.FirstCell(model, region)
	return dispatch.CellForEndpoint(first, endpoint, v.Cells(first))
}

// WithDispatchers returns the view with a dispatcher for each cell.
func (v View) WithDispatchers() View {
	v.dispatchers = AssignDispatchers(v.Configuration, v.Members)
	return v
}

// sameCells reports whether two configurations declare the same models with the same numbers of cells, and
// the same services.
func sameCells(a, b configuration.Configuration) bool {
	sameCount := func(x, y configuration.Model) bool { return x.Cells() == y.Cells() }
	return maps.EqualFunc(a.Models, b.Models, sameCount) &&
		slices.Equal(slices.Sorted(maps.Keys(a.Services)), slices.Sorted(maps.Keys(b.Services)))
}
