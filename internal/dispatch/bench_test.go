package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// loadedCell returns a cell whose replicas have 4 queued prefills, 8 running streams and, on one of
// them, the prefix of the returned request.
func loadedCell(replicas int) (*cell, ReserveRequest) {
	c := testCellWith(testConfig())
	for i := range replicas {
		c.announce(epoch, engine(i, 1_000_000))
	}
	for i := range replicas * 12 {
		id := fmt.Sprintf("load-%d", i)
		c.reserve(epoch, request(id, 200+i%7*100, 100))
		if i%3 != 0 {
			c.report(epoch, Event{Cell: testCell, Grant: id, Type: FirstToken})
		}
	}
	r := request("", 16_000, 500)
	r.Blocks = []uint64{11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25}
	c.index.Store(c.order[replicas/2].slot, r.Blocks[:10])
	return c, r
}

// BenchmarkDecision measures a reservation that is granted at once, and its end.
func BenchmarkDecision(b *testing.B) {
	for _, replicas := range []int{32, 400} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			c, r := loadedCell(replicas)
			b.ReportAllocs()
			now := epoch
			ids := make([]string, 1024)
			for i := range ids {
				ids[i] = fmt.Sprintf("bench-%d", i)
			}
			i := 0
			for b.Loop() {
				r.AttemptID = ids[i%len(ids)]
				delete(c.ended, r.AttemptID)
				i++
				now = now.Add(time.Microsecond)
				if reply := c.reserve(now, r); reply.Status != Granted {
					b.Fatalf("not granted: %+v", reply)
				}
				c.report(now, Event{Cell: testCell, Grant: r.AttemptID, Type: Cancelled})
			}
		})
	}
}

// BenchmarkSaturated measures a reservation that joins a queue of 500 from 50 workspaces.
func BenchmarkSaturated(b *testing.B) {
	c, r := loadedCell(32)
	r.PromptTokens, r.Blocks = 900_000, nil
	for i := range 500 {
		r.AttemptID, r.Workspace = fmt.Sprintf("wait-%d", i), fmt.Sprintf("workspace-%d", i%50)
		r.TimeLeft = time.Hour
		c.reserve(epoch, r)
	}
	if c.queue.size < 400 {
		b.Fatalf("only %d reservations wait", c.queue.size)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.AttemptID = "joins"
		c.reserve(epoch, r)
		c.dropItem(epoch, c.items["joins"])
	}
}
