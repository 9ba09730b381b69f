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
		pause, left := c.wait(time.Second)
		is.Equal(pause, time.Second)
		is.Equal(len(left), 0)
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
	for name, test := range map[string]struct {
		first, second time.Duration
		staysInSecond bool
	}{
		"first sooner":  {20 * time.Millisecond, 30 * time.Millisecond, false},
		"second sooner": {30 * time.Millisecond, 20 * time.Millisecond, true},
	} {
		t.Run("both let wait, "+name, func(t *testing.T) {
			is := is.New(t)
			c := newCellChoice("model", engines(200))
			first := c.next()
			pause, left := c.wait(test.first)
			is.Equal(pause, time.Duration(0)) // the second cell is asked at once
			is.Equal(len(left), 0)
			second := c.next()
			is.True(second != first)
			is.Equal(c.others(), []Cell{first})
			pause, left = c.wait(test.second)
			is.Equal(pause, min(test.first, test.second))
			stays, leaves := first, second
			if test.staysInSecond {
				stays, leaves = second, first
			}
			is.Equal(c.next(), stays)
			is.Equal(left, []Cell{leaves})
			is.Equal(len(c.others()), 0)
			is.True(c.reject(rejected(time.Second)))
		})
	}
	t.Run("first lets wait, second rejects", func(t *testing.T) {
		is := is.New(t)
		c := newCellChoice("model", engines(200))
		first := c.next()
		c.wait(time.Millisecond)
		is.True(!c.reject(rejected(time.Second)))
		is.Equal(c.next(), first)
	})
}
