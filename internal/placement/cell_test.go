package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against engines that belong to no cell or to two, cells too small to divide a prompt, and requests that are not
// spread in proportion to the engines.
func TestCells(t *testing.T) {
	for engineCount, cells := range map[int]int{1: 1, 25: 1, 79: 1, 80: 2, 195: 4, 3000: 75} {
		t.Run(fmt.Sprint(engineCount), func(t *testing.T) {
			is := is.New(t)
			records := engines(engineCount)
			is.Equal(CellCount(engineCount), cells)
			total := 0
			asked := make(map[Cell]int)
			for range 20 * engineCount {
				asked[chooseCell("model", records, Cell{})]++
			}
			for index := range cells {
				cell := Cell{Service: "model", Index: index, Count: cells}
				own := len(cell.filter(records))
				is.True(own >= min(engineCount, maxParts))
				share := float64(asked[cell]) / float64(20*own)
				is.True(share > 0.5 && share < 1.5)
				is.True(cells == 1 || chooseCell("model", records, cell) != cell)
				total += own
			}
			is.Equal(total, engineCount)
		})
	}
}

// Guards against a job that waits in one cell while another one has room, and against one that asks without end.
func TestCellChoice(t *testing.T) {
	rejected := func(after time.Duration) ReserveReply { return ReserveReply{Status: Rejected, After: after} }
	t.Run("one cell", func(t *testing.T) {
		is := is.New(t)
		c := newCellChoice("model", engines(20))
		is.Equal(c.wait(time.Second), time.Second)
		is.Equal(c.next(), Cell{Service: "model", Count: 1})
		is.True(c.reject(rejected(time.Second)))
	})
	t.Run("second cell", func(t *testing.T) {
		is := is.New(t)
		c := newCellChoice("model", engines(200))
		first := c.next()
		is.True(!c.reject(rejected(time.Second)))
		is.True(c.next() != first)
		is.True(c.reject(rejected(2 * time.Second)))
		is.Equal(c.rejection.After, time.Second)
	})
	t.Run("both let wait", func(t *testing.T) {
		is := is.New(t)
		c := newCellChoice("model", engines(200))
		first := c.next()
		is.Equal(c.wait(20*time.Millisecond), time.Duration(0)) // the second cell is asked at once
		second := c.next()
		is.True(second != first)
		is.Equal(c.wait(30*time.Millisecond), 30*time.Millisecond)
		is.Equal(c.next(), first)
		is.Equal(c.others(), []Cell{second})
		is.True(!c.reject(rejected(time.Second)))
		is.Equal(c.next(), second)
	})
}
