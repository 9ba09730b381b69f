package placement

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// cellChoice decides which cells a job asks: one, and a second one if the first has no room. A job that both let wait stays
// in the queue of the one that has room sooner: in two queues it would hold up those behind it twice.
type cellChoice struct {
	// cells are those that have not rejected the job; the first one is asked next.
	cells []Cell
	// second is asked after the first cell, if there is one and it was not asked yet.
	second    Cell
	hasSecond bool
	// firstWait is the time after which the first cell wants to be asked again.
	firstWait time.Duration
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

// wait records that the cell asked last lets the job wait. It returns the pause before the next question, and the cells
// whose queues the job leaves.
func (c *cellChoice) wait(after time.Duration) (pause time.Duration, left []Cell) {
	switch {
	case c.hasSecond:
		c.firstWait = after
		c.cells, c.hasSecond = []Cell{c.second, c.cells[0]}, false
		return 0, nil
	case len(c.cells) == 1:
		return after, nil
	case after < c.firstWait:
		c.cells, left = c.cells[:1], c.cells[1:]
		return after, left
	default:
		left, c.cells = c.cells[:1], c.cells[1:]
		return c.firstWait, left
	}
}

// others returns the cells that may hold a place in their queue for the job.
func (c *cellChoice) others() []Cell {
	return c.cells[1:]
}
