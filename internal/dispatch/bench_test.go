package dispatch

import (
	"encoding/gob"
	"fmt"
	"maps"
	"net/rpc"
	"slices"
	"strings"
	"testing"
	"time"
)

// loadedCell returns a cell whose replicas have 4 queued prefills and 8 running streams each, and a
// request whose prefix is partly cached at one of them.
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
	c.prefixIndex.Store(c.sortedReplicas[replicas/2].indexSlot, r.Blocks[:10])
	return c, r
}

// BenchmarkDecision measures a reservation that is granted immediately, and the end of its grant.
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
				delete(c.endedAttempts, r.AttemptID)
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

// BenchmarkSaturated measures a reservation that joins a queue of 500 reservations of 50 workspaces.
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
		c.dropReservation(epoch, c.reservations["joins"])
	}
}

// BenchmarkCells measures the cost of one request for the dispatchers of a model: the reservation in one
// cell of 128 replicas, or two estimates and the reservation in cells of 32. It counts the bytes of
// net/rpc with gob in both directions.
func BenchmarkCells(b *testing.B) {
	b.Run("cells=1", func(b *testing.B) {
		c, r := loadedCell(128)
		benchmarkRequest(b, []*cell{c}, r)
	})
	b.Run("cells=4", func(b *testing.B) {
		c, r := loadedCell(32)
		other, _ := loadedCell(32)
		benchmarkRequest(b, []*cell{c, other}, r)
	})
}

func benchmarkRequest(b *testing.B, cells []*cell, r ReserveRequest) {
	b.ReportAllocs()
	now := epoch
	requests, replies := &byteCounter{}, &byteCounter{}
	encodeRequest, encodeReply := gob.NewEncoder(requests), gob.NewEncoder(replies)
	encode := func(method string, request, reply any) {
		_ = encodeRequest.Encode(rpc.Request{ServiceMethod: method, Seq: 1000})
		_ = encodeRequest.Encode(request)
		_ = encodeReply.Encode(rpc.Response{ServiceMethod: method, Seq: 1000})
		_ = encodeReply.Encode(reply)
	}
	id := strings.Repeat("a", 32)
	r.RequestID, r.AttemptID, r.Entry, r.Fingerprint = id, id, "entry-1/0123456789abcdef", 1<<60
	for range 2 { // the first pass also sends the gob type descriptions
		requests.bytes, replies.bytes = 0, 0
		if len(cells) > 1 {
			for _, c := range cells {
				encode("Dispatch.Estimate", r, c.estimate(now, r))
			}
		}
		encode("Dispatch.Reserve", r, cells[0].reserve(now, r))
		cells[0].report(now, Event{Cell: testCell, Grant: id, Type: Cancelled})
		delete(cells[0].endedAttempts, id)
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if len(cells) > 1 {
			for _, c := range cells {
				c.estimate(now, r)
			}
		}
		if reply := cells[0].reserve(now, r); reply.Status != Granted {
			b.Fatalf("not granted: %+v", reply)
		}
		cells[0].report(now, Event{Cell: testCell, Grant: id, Type: Cancelled})
		delete(cells[0].endedAttempts, id)
	}
	b.ReportMetric(float64(requests.bytes+replies.bytes), "bytes/request")
}

// byteCounter counts the bytes written to it.
type byteCounter struct {
	bytes int
}

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// BenchmarkCellForEndpoint measures the share of endpoints that move when a model gets one more cell, and the
// size of the largest cell relative to the mean of 32.
func BenchmarkCellForEndpoint(b *testing.B) {
	for _, count := range []int{1, 2, 4, 10} {
		b.Run(fmt.Sprintf("cells=%d", count), func(b *testing.B) {
			moved, sizes := 0, map[string]int{}
			for i := range 32 * count {
				name := engine(i, 0).Name
				sizes[CellForEndpoint(testCell, name, count)]++
				if CellForEndpoint(testCell, name, count) != CellForEndpoint(testCell, name, count+1) {
					moved++
				}
			}
			for b.Loop() {
				CellForEndpoint(testCell, "engine-007", count)
			}
			b.ReportMetric(100*float64(moved)/float64(32*count), "%moved")
			b.ReportMetric(float64(slices.Max(slices.Collect(maps.Values(sizes))))/32, "max/mean")
		})
	}
}
