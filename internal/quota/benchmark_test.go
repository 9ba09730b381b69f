package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/quota"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Guards against more than about one permit call for each request. docs/CAPACITY.md quotes the logged
// figures.
func TestMessages(t *testing.T) {
	// Requests per second at each of four entries; 0.21 is the mean when 6,500 workspaces send 5,500 requests
	// per second.
	for _, rate := range []float64{0.21, 1, 5, 20} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(5*rate*4, 20)
			random := rand.New(rand.NewPCG(1, 2))
			requests, admitted, waited := 0, 0, 0
			for range 4000 {
				time.Sleep(time.Duration(random.ExpFloat64() / (4 * rate) * float64(time.Second)))
				requests++
				began := time.Now()
				f.setNetwork(slow)
				if f.admit(fmt.Sprint("entry-", random.IntN(4))) {
					admitted++
				}
				if time.Since(began) > 0 {
					waited++
				}
			}
			f.waitForCalls()
			calls := int64(0)
			for _, n := range f.nodes {
				calls += n.metrics.Counter("entry_rate_slices_total", "outcome", "answered").Count()
			}
			perRequest := float64(calls) / float64(requests)
			t.Logf("%v requests/s at an entry: %.2f messages a request, %.1f %% waited, %d of %d admitted",
				rate, perRequest, 100*float64(waited)/float64(requests), admitted, requests)
			is.True(perRequest <= 1.05)
			is.Equal(admitted, requests)
		})
	}
}

// BenchmarkTake measures the time and the bytes of a permit call over a loopback connection.
func BenchmarkTake(b *testing.B) {
	f := newFleet(1e9, 380)
	pool, server := serveOwner(b, f)
	request := quota.TakeRequest{Entry: "entry-117", Workspace: "workspace-4711", Held: 1, Want: 2}
	take := func() {
		var reply quota.TakeReply
		if err := pool.Call(b.Context(), "home:1", "Quota.Take", request, &reply); err != nil {
			b.Fatal(err)
		}
	}
	take()
	before := server.Traffic()
	for b.Loop() {
		take()
	}
	b.ReportMetric(float64(server.Traffic()-before)/float64(b.N), "bytes/op")
}

// BenchmarkConnections measures the memory of both ends of a connection that has carried a permit call.
func BenchmarkConnections(b *testing.B) {
	f := newFleet(1e9, 380)
	pool, _ := serveOwner(b, f)
	before := memoryInUse()
	count := 0
	for b.Loop() {
		for range 379 {
			count++
			var reply quota.TakeReply
			if err := pool.Call(b.Context(), fmt.Sprintf("home:%d", count), "Quota.Take", quota.TakeRequest{}, &reply); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(count), "bytes/connection")
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// serveOwner serves the owner of the workspace on loopback. The pool dials it for every address.
func serveOwner(b *testing.B, f *fleet) (*peer.Pool, *peer.Server) {
	const key = "0123456789abcdef"
	server := peer.NewServer(peer.ServerConfig{Key: key, Logger: zap.NewNop()})
	if err := server.Register(quota.ServiceName, f.nodes[f.owners()[0]].owner); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	end := task.Start(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
	pool := peer.NewPool(peer.PoolConfig{Key: key, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", listener.Addr().String())
	}})
	b.Cleanup(func() {
		pool.Close()
		cancel()
		<-end
	})
	return pool, server
}
