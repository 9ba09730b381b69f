package gateway

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

func membersOf(large, small int) []session.Member {
	var members []session.Member
	for i := range large + small {
		m := session.Member{Instance: fmt.Sprint("entry-", i), Peer: fmt.Sprint("10.0.0.", i), Capacity: 100}
		if i < large {
			m.Capacity = 500
		}
		members = append(members, m)
	}
	return members
}

func cellsOfOneService(count int) []placement.Cell {
	var cells []placement.Cell
	for index := range count {
		cells = append(cells, placement.Cell{Service: "model", Index: index, Count: count})
	}
	return cells
}

// Guards against one instance that decides for much of a large service while others decide for nothing.
func TestDispatchersShareTheCells(t *testing.T) {
	for name, test := range map[string]struct {
		large, small, cells int
		// mostFirst is the largest number of cells of which one instance is the first choice.
		mostFirst int
		onlyLarge bool
	}{
		"one cell":                   {3, 20, 1, 1, true},
		"as many large ones":         {5, 295, 5, 1, true},
		"more cells than large ones": {5, 295, 10, 2, true},
		"many more cells":            {5, 95, 30, 2, false},
		"few large ones":             {2, 20, 1, 1, false},
		"fewer instances than cells": {0, 4, 10, 3, false},
		"one instance":               {0, 1, 4, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := membersOf(test.large, test.small)
			assigned := assignDispatchers(cellsOfOneService(test.cells), members)
			first := make(map[string]int)
			for _, cell := range cellsOfOneService(test.cells) {
				dispatchers := assigned[cell]
				is.Equal(len(dispatchers), min(dispatchersPerCell, len(members)))
				first[dispatchers[0].Instance]++
				for i, d := range dispatchers {
					is.True(d.Address != "")
					for _, other := range dispatchers[:i] {
						is.True(d.Instance != other.Instance)
					}
				}
			}
			for instance, count := range first {
				is.True(count <= test.mostFirst)
				var index int
				_, err := fmt.Sscanf(instance, "entry-%d", &index)
				is.NoErr(err)
				is.True(!test.onlyLarge || index < test.large)
			}
			draining := members
			for i := range draining {
				draining[i].Draining = true
			}
			is.Equal(len(assignDispatchers(cellsOfOneService(1), draining)[placement.Cell{Service: "model", Count: 1}]), 0)
		})
	}
}

// Guards against cells that all get another dispatcher, which knows nothing of what runs, when a few instances leave:
// beside their own cells, at most a tenth may move.
func TestFewCellsMoveWithAnInstance(t *testing.T) {
	for name, test := range map[string]struct{ large, small, cells, firstGone, gone int }{
		"one large":           {5, 295, 4, 0, 1},
		"two large":           {5, 295, 4, 0, 2},
		"one of equal ones":   {16, 0, 4, 0, 1},
		"one large, 30 cells": {5, 95, 30, 0, 1},
		"one small, 30 cells": {5, 95, 30, 5, 1},
		"ten small, 30 cells": {5, 95, 30, 5, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cells := cellsOfOneService(test.cells)
			members := membersOf(test.large, test.small)
			before := assignDispatchers(cells, members)
			for shift := range 4 {
				first := test.firstGone + shift
				gone := members[first : first+test.gone]
				after := assignDispatchers(cells, slices.Concat(members[:first], members[first+test.gone:]))
				moved := 0
				for _, cell := range cells {
					wasGone := slices.ContainsFunc(gone, func(m session.Member) bool { return m.Instance == before[cell][0].Instance })
					if !wasGone && before[cell][0] != after[cell][0] {
						moved++
					}
				}
				is.True(moved <= max(1, test.cells/10))
			}
		})
	}
}
