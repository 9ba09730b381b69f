package consensus

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/peer"
)

// countingMachine is a state machine that only counts commands.
type countingMachine struct{ count uint64 }

func (d *countingMachine) Apply(uint64, []byte) any { d.count++; return d.count }
func (d *countingMachine) Snapshot() func() ([]byte, error) {
	return func() ([]byte, error) { return []byte{0}, nil }
}

func (d *countingMachine) Restore(snapshot []byte) error { return nil }

// process is a node with its peer server, as a program would run it.
type process struct {
	node   *Node
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// benchCluster runs nodes that communicate over loopback sockets and sync files in a temporary
// directory.
type benchCluster struct {
	b         *testing.B
	directory string
	servers   []Server
	processes []*process
	maxBatch  int
	// newMachine returns the state machine of a node.
	newMachine func() StateMachine
}

func newBenchCluster(b *testing.B, size, maxBatch int) *benchCluster {
	return newBenchClusterOf(b, size, maxBatch, func() StateMachine { return &countingMachine{} })
}

func newBenchClusterOf(b *testing.B, size, maxBatch int, newMachine func() StateMachine) *benchCluster {
	n := &benchCluster{b: b, directory: b.TempDir(), maxBatch: maxBatch, newMachine: newMachine, processes: make([]*process, size)}
	listeners := make([]net.Listener, size)
	for i := range size {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		n.servers = append(n.servers, Server{ID: fmt.Sprint(i), Address: listeners[i].Addr().String()})
	}
	for i := range size {
		n.start(i, listeners[i])
	}
	return n
}

func (n *benchCluster) start(i int, listener net.Listener) {
	pool := peer.NewPool(peer.PoolConfig{Key: "key"})
	server := peer.NewServer(peer.ServerConfig{Key: "key", Logger: zap.NewNop()})
	node, err := New(Config{
		ID: n.servers[i].ID, Address: n.servers[i].Address, Directory: filepath.Join(n.directory, n.servers[i].ID),
		Bootstrap: n.servers, StateMachine: n.newMachine(), Transport: NewPeerTransport(pool), maxBatch: n.maxBatch,
		Timing: Timing{ReplaceAfter: -1},
	})
	if err != nil {
		n.b.Fatal(err)
	}
	if err := Register(server, node); err != nil {
		n.b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{node: node, cancel: cancel}
	p.done.Go(func() { _ = server.Serve(ctx, listener) })
	p.done.Go(func() {
		if err := node.Run(ctx); err != nil {
			n.b.Error(err)
		}
		pool.Close()
	})
	n.processes[i] = p
}

func (n *benchCluster) stop(i int) {
	n.processes[i].cancel()
	n.processes[i].done.Wait()
}

func (n *benchCluster) stopAll() {
	for i := range n.processes {
		n.stop(i)
	}
}

// leader polls for a node that holds a lease, other than except.
func (n *benchCluster) leader(except int) int {
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for ; ; <-poll.C {
		for i, p := range n.processes {
			if lease, _ := p.node.LeaderLease(); i != except && lease > 0 {
				return i
			}
		}
	}
}

// awaitCaughtUpLeader polls for a leader whose members all hold its whole log.
func (n *benchCluster) awaitCaughtUpLeader() int {
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for ; ; <-poll.C {
		leader := n.leader(-1)
		status := n.processes[leader].node.Status()
		behind := slices.ContainsFunc(status.Members, func(m MemberStatus) bool { return m.MatchIndex < status.LastIndex })
		if !behind && status.Role == Leader {
			return leader
		}
	}
}

func reportLatency(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}

// BenchmarkCommit measures the time from Propose to the result of a 256-byte command at the leader,
// with all nodes on one disk. Without group commit each command takes its own sync on the leader.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, writers := range []int{1, 16, 256} {
			for name, maxBatch := range map[string]int{"group": 0, "none": 1} {
				b.Run(fmt.Sprintf("nodes=%d/writers=%d/commit=%s", size, writers, name), func(b *testing.B) {
					benchmarkCommit(b, size, writers, maxBatch)
				})
			}
		}
	}
}

func benchmarkCommit(b *testing.B, size, writers, maxBatch int) {
	n := newBenchCluster(b, size, maxBatch)
	defer n.stopAll()
	n.measureCommits(b, writers)
}

// largeSnapshotMachine has a snapshot of 36 MB that takes 0.35 s to encode, like the control state
// when it is full of claims (BenchmarkSnapshot in package control). With encodeAtOnce, Snapshot
// encodes before it returns.
type largeSnapshotMachine struct {
	countingMachine
	encodeAtOnce bool
}

func (l *largeSnapshotMachine) Snapshot() func() ([]byte, error) {
	encode := func() ([]byte, error) {
		for start := time.Now(); time.Since(start) < 350*time.Millisecond; {
			runtime.Gosched()
		}
		return make([]byte, 36<<20), nil
	}
	if !l.encodeAtOnce {
		return encode
	}
	data, err := encode()
	return func() ([]byte, error) { return data, err }
}

// BenchmarkCommitDuringSnapshots measures commits of 64 writers while snapshots of a large state are
// taken.
func BenchmarkCommitDuringSnapshots(b *testing.B) {
	for name, newMachine := range map[string]func() StateMachine{
		"none":     func() StateMachine { return &countingMachine{} },
		"beside":   func() StateMachine { return &largeSnapshotMachine{} },
		"in-order": func() StateMachine { return &largeSnapshotMachine{encodeAtOnce: true} },
	} {
		b.Run("snapshot="+name, func(b *testing.B) {
			n := newBenchClusterOf(b, 3, 0, newMachine)
			defer n.stopAll()
			n.measureCommits(b, 64)
		})
	}
}

func (n *benchCluster) measureCommits(b *testing.B, writers int) {
	node := n.processes[n.leader(-1)].node
	command := make([]byte, 256)
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var group sync.WaitGroup
	b.ResetTimer()
	started := time.Now()
	for range writers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if _, err := node.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = histogram.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "commits/s")
	b.StopTimer()
	reportLatency(b, histogram)
}

// BenchmarkFailover measures the time from the stop of the leader to the first commit of its
// successor. Each operation is one stop; the stopped node restarts afterwards.
func BenchmarkFailover(b *testing.B) {
	benchmarkStop(b, func(p *process) { p.cancel() })
}

// BenchmarkPlannedStop measures the same for a leader that transfers its leadership first.
func BenchmarkPlannedStop(b *testing.B) {
	benchmarkStop(b, func(p *process) {
		if err := p.node.TransferLeadership(context.Background()); err != nil {
			b.Fatal(err)
		}
		p.cancel()
	})
}

func benchmarkStop(b *testing.B, stop func(*process)) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			n := newBenchCluster(b, size, 0)
			defer n.stopAll()
			histogram := hdrhistogram.New(1, 60_000_000, 3)
			for range b.N {
				old := n.awaitCaughtUpLeader()
				start := time.Now()
				stop(n.processes[old])
				next := n.leader(old)
				if _, err := n.processes[next].node.Propose(context.Background(), []byte("x")); err != nil {
					b.Fatal(err)
				}
				_ = histogram.RecordValue(time.Since(start).Microseconds())
				n.processes[old].done.Wait()
				listener, err := net.Listen("tcp", n.servers[old].Address)
				if err != nil {
					b.Fatal(err)
				}
				n.start(old, listener)
			}
			reportLatency(b, histogram)
		})
	}
}

// BenchmarkUnreachableLeader measures, in simulated time, from when the other nodes can no longer
// reach the leader, while its own requests still arrive, to the first commit of its successor.
func BenchmarkUnreachableLeader(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			histogram := hdrhistogram.New(1, 60_000_000, 3)
			for i := range b.N {
				s := newSimulation(uint64(i), size, 0)
				old := s.awaitLeader()
				s.advance(time.Second + time.Duration(i%100)*5*time.Millisecond)
				s.loseRequestsTo(old.id, s.otherThan(old.id)...)
				start := s.now
				for l := old; l == nil || l == old || l.core.log.commitIndex < l.core.termStartIndex; l = s.leader() {
					s.advance(5 * time.Millisecond)
				}
				_ = histogram.RecordValue((s.now - start).Microseconds())
			}
			reportLatency(b, histogram)
		})
	}
}

// BenchmarkRead measures a read while the leader's lease is valid.
func BenchmarkRead(b *testing.B) {
	n := newBenchCluster(b, 3, 0)
	defer n.stopAll()
	node := n.processes[n.leader(-1)].node
	for b.Loop() {
		if err := node.Read(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
