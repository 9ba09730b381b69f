package placement

import (
	"fmt"
	"math/rand/v2"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
)

// cellEngines is the least mean number of engines of a cell where a service has several. It is above maxParts, because a
// prompt is divided over the engines of one cell. Hashing makes single cells smaller or larger.
const cellEngines = 40

// Cell is a part of the engines of a service. One dispatcher decides on all requests to it, so that the work of a
// dispatcher does not grow with the service. Two instances that know different numbers of engines may disagree on the
// number of cells for as long as it takes the list of endpoints to reach both.
type Cell struct {
	Service string
	// Index counts from 0 to Count-1. Entries of an earlier version send a Count of 0, which means one cell.
	Index int
	Count int
}

// CellCount returns the number of cells of a service with the given number of engines.
func CellCount(engines int) int {
	return max(1, engines/cellEngines)
}

// CellOf returns the cell of an engine, if the service has the given number of cells.
func CellOf(service, endpoint string, count int) Cell {
	return Cell{Service: service, Index: rendezvous.Bucket(endpoint, count), Count: count}
}

// String returns the name of the cell in logs. It is the key by which instances are ranked as its dispatchers.
func (c Cell) String() string {
	if c.Count <= 1 {
		return c.Service
	}
	return fmt.Sprintf("%s/%d", c.Service, c.Index)
}

// filter returns the engines of the cell.
func (c Cell) filter(records []registration.Record) []registration.Record {
	if c.Count <= 1 {
		return records
	}
	var own []registration.Record
	for _, r := range records {
		if CellOf(c.Service, r.ID, c.Count) == c {
			own = append(own, r)
		}
	}
	return own
}

// chooseCell returns a cell for a request, in proportion to the engines of the cells. It returns one other than avoid if
// there is one.
func chooseCell(service string, records []registration.Record, avoid Cell) Cell {
	count := CellCount(len(records))
	if count <= 1 {
		return Cell{Service: service, Count: 1}
	}
	cell := CellOf(service, records[rand.IntN(len(records))].ID, count)
	if cell == avoid {
		cell.Index = (cell.Index + 1 + rand.IntN(count-1)) % count
	}
	return cell
}

// cell returns the cell of a job. A job of an earlier version has none.
func (j Job) cell() Cell {
	if j.Cell.Count == 0 {
		return Cell{Service: j.Service, Count: 1}
	}
	return j.Cell
}
