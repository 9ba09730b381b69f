package gateway

import (
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const (
	// dispatchersPerCell is the number of instances that may dispatch for a cell: the first choice and its substitutes.
	dispatchersPerCell = 3
	// largeCapacity is the processor time, in thousandths of a core, of an instance that is preferred as a dispatcher.
	largeCapacity = 200
	// maxCellsOfLarge is the number of cells of which each preferred instance is the first choice before others are.
	maxCellsOfLarge = 2
)

// cellsOf returns the cells of all services with engines, in a fixed order.
func cellsOf(table *routing.Table, services map[string][]registration.Record) []placement.Cell {
	if table == nil {
		return nil
	}
	var cells []placement.Cell
	for _, name := range table.Services() {
		if service, _ := table.Service(name); service.Engine == nil {
			continue
		}
		count := placement.CellCount(len(services[name]))
		for index := range count {
			cells = append(cells, placement.Cell{Service: name, Index: index, Count: count})
		}
	}
	return cells
}

// assignDispatchers selects the dispatchers of each cell among the live instances by rendezvous hashing. An instance that has
// its share of first choices is passed over. When an instance joins or leaves, few other cells move.
func assignDispatchers(cells []placement.Cell, members []session.Member) map[placement.Cell][]placement.Dispatcher {
	byName, large, small := dispatcherCandidates(members)
	firstChoices := make(map[string]int)
	share := 1
	hasRoom := func(name string) bool { return firstChoices[name] < share }
	assigned := make(map[placement.Cell][]placement.Dispatcher)
	for _, cell := range cells {
		ranked := rendezvous.Rank(cell.String(), large)
		if len(large) < dispatchersPerCell || maxCellsOfLarge*len(large) < len(cells) {
			ranked = append(ranked, rendezvous.Rank(cell.String(), small)...)
		}
		if len(ranked) > 0 && !slices.ContainsFunc(ranked, hasRoom) {
			share++
		}
		moveToFront(ranked, slices.IndexFunc(ranked, hasRoom))
		for _, name := range ranked[:min(dispatchersPerCell, len(ranked))] {
			assigned[cell] = append(assigned[cell], placement.Dispatcher{Instance: name, Address: byName[name].Peer})
		}
		if len(ranked) > 0 {
			firstChoices[ranked[0]]++
		}
	}
	return assigned
}

// dispatcherCandidates returns the live instances, the preferred ones and the smaller ones apart.
func dispatcherCandidates(members []session.Member) (byName map[string]session.Member, large, small []string) {
	byName = make(map[string]session.Member)
	for _, m := range members {
		switch {
		case m.Draining:
			continue
		case m.Capacity >= largeCapacity:
			large = append(large, m.Instance)
		default:
			small = append(small, m.Instance)
		}
		byName[m.Instance] = m
	}
	return byName, large, small
}

// moveToFront moves an element to the front; the order of the others stays. An index below 0 changes nothing.
func moveToFront(names []string, index int) {
	if index > 0 {
		name := names[index]
		copy(names[1:index+1], names[:index])
		names[0] = name
	}
}
