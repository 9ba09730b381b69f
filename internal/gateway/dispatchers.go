package gateway

import (
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const (
	// dispatchersPerCell is the number of instances that may dispatch for a cell: the first choice and its substitutes.
	dispatchersPerCell = 3
	// minDispatcherCapacity is the processor time, in thousandths of a core, that an instance needs to be preferred as a
	// dispatcher. Smaller instances dispatch only if there are fewer of the others than dispatchersPerCell or than cells.
	minDispatcherCapacity = 200
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

// assignDispatchers selects the dispatchers of each cell among the live instances by rendezvous hashing. No instance is the
// first choice of more cells than its even share.
func assignDispatchers(cells []placement.Cell, members []session.Member) map[placement.Cell][]placement.Dispatcher {
	byName, names := dispatcherCandidates(members, len(cells))
	share := (len(cells) + max(1, len(names)) - 1) / max(1, len(names))
	firstChoices := make(map[string]int)
	assigned := make(map[placement.Cell][]placement.Dispatcher)
	for _, cell := range cells {
		ranked := rendezvous.Rank(cell.String(), names)
		moveFirstWithinShare(ranked, firstChoices, share)
		for _, name := range ranked[:min(dispatchersPerCell, len(ranked))] {
			assigned[cell] = append(assigned[cell], placement.Dispatcher{Instance: name, Address: byName[name].Peer})
		}
		if len(ranked) > 0 {
			firstChoices[ranked[0]]++
		}
	}
	return assigned
}

// dispatcherCandidates returns the live instances that may dispatch for a number of cells.
func dispatcherCandidates(members []session.Member, cells int) (byName map[string]session.Member, names []string) {
	byName = make(map[string]session.Member)
	var large []string
	for _, m := range members {
		if m.Draining {
			continue
		}
		byName[m.Instance] = m
		names = append(names, m.Instance)
		if m.Capacity >= minDispatcherCapacity {
			large = append(large, m.Instance)
		}
	}
	if len(large) >= max(dispatchersPerCell, cells) {
		return byName, large
	}
	return byName, names
}

// moveFirstWithinShare moves the first instance that has not its share of first choices yet to the front; the order of the
// others stays.
func moveFirstWithinShare(ranked []string, firstChoices map[string]int, share int) {
	for i, name := range ranked {
		if firstChoices[name] < share {
			copy(ranked[1:i+1], ranked[:i])
			ranked[0] = name
			return
		}
	}
}
