package placement

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// cellChoice decides which cells a job asks: one, and a second one if the first has no room. A job that both let wait asks
// them in turn, so that it does not wait in one cell while engines of the other are free.
type cellChoice struct {
	// cells are those that have not rejected the job; the first one is asked next.
	cells []Cell
	// second is asked after the first cell, if there is one and it was not asked yet.
	second    Cell
	hasSecond bool
	// rejection is the one with the earlier return of the caller.
	rejection ReserveReply
}

func newCellChoice(service string, records []registration.Record) *cellChoice {
	first := chooseCell(service, records, Cell{})
	second := chooseCell(service, records, first)
	return &cellChoice{cells: []Cell{first}, second: second, hasSecond: second != first}
}

// next returns the cell to ask.
func (c *cellChoice) next() Cell {
	return c.cells[0]
}

// reject records that the cell asked last rejects the job. It reports whether no cell is left.
func (c *cellChoice) reject(reply ReserveReply) (final bool) {
	if c.rejection.Status == "" || reply.After < c.rejection.After {
		c.rejection = reply
	}
	c.cells = c.cells[1:]
	if c.hasSecond {
		c.cells, c.hasSecond = append(c.cells, c.second), false
	}
	return len(c.cells) == 0
}

// wait records that the cell asked last lets the job wait, and returns the pause before the next cell is asked.
func (c *cellChoice) wait(after time.Duration) time.Duration {
	if c.hasSecond {
		c.cells, c.hasSecond = []Cell{c.second, c.cells[0]}, false
		return 0
	}
	c.cells = append(c.cells[1:], c.cells[0])
	return after
}

// others returns the cells that may hold a place in their queue for the job.
func (c *cellChoice) others() []Cell {
	return c.cells[1:]
}
