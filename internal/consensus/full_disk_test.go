package consensus_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

const (
	// restartDelay is the time after which an ended process is started again.
	restartDelay = 500 * time.Millisecond
	// ackTimeout is the time within which a change must be acknowledged while one disk is full.
	ackTimeout = 4 * time.Second
)

// fullDiskCluster is a cluster of which one disk may be full. A write to a full disk stores a part of its data.
type fullDiskCluster struct {
	*cluster
	// full is the id of the node whose disk is full, or empty.
	full atomic.Value
	// acknowledged and unknown count the commands with these outcomes.
	acknowledged, unknown uint64
}

func newFullDiskCluster(t *testing.T, size int, seed uint64) *fullDiskCluster {
	d := &fullDiskCluster{cluster: newCluster(t, size)}
	d.full.Store("")
	d.adjustConfig = func(config *consensus.Config) {
		id := config.ID
		// Snapshots and compactions follow each other quickly, so that the disk is full during them as well.
		config.SnapshotEvery = 10
		random := rand.New(rand.NewPCG(seed, uint64(id[0])))
		config.Write = func(f *os.File, data []byte) (int, error) {
			if d.full.Load() != id {
				return f.Write(data)
			}
			n, _ := f.Write(data[:random.IntN(len(data))])
			return n, syscall.ENOSPC
		}
	}
	return d
}

// run restarts ended nodes for a time, as their platform does. It ends early if a node fails otherwise than by its disk.
func (d *fullDiskCluster) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(restartDelay) {
		for _, s := range d.servers {
			if d.cancel[s.ID] != nil {
				d.collect(s.ID)
				continue
			}
			if err := d.tryStart(s.ID); err != nil && !fault.Is(err, consensus.Disk) {
				d.t.Fatalf("start %s: %v", s.ID, err)
			}
		}
	}
}

// collect removes a node that has ended.
func (d *fullDiskCluster) collect(id string) {
	select {
	case err := <-d.runResults[id]:
		if !fault.Is(err, consensus.Disk) {
			d.t.Fatalf("%s ended: %v", id, err)
		}
		d.network.mu.Lock()
		defer d.network.mu.Unlock()
		delete(d.network.nodes, id)
		delete(d.cancel, id)
	default:
	}
}

// proposeAll proposes a command every 100 ms until ctx ends. It returns an error if one is not acknowledged in time.
func (d *fullDiskCluster) proposeAll(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		for !d.proposeOnce() {
			if waited := time.Since(started); waited > ackTimeout {
				return fmt.Errorf("a command was not acknowledged within %v; the disk of %q is full", waited, d.full.Load())
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// proposeOnce proposes a command at each node and reports whether one acknowledged it.
func (d *fullDiskCluster) proposeOnce() bool {
	for _, s := range d.servers {
		node := d.node(s.ID)
		if node == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := node.Propose(ctx, addCommand(1))
		cancel()
		if err == nil {
			d.acknowledged++
			return true
		}
		if !fault.Is(err, consensus.NotLeader) && !fault.Is(err, consensus.Stopped) {
			d.unknown++
		}
	}
	return false
}

// Guards against a group that refuses changes for good, or loses acknowledged ones, after the disks of its members were full
// for some seconds each, never two at once: a member that does not return, or that stops working without ending.
func TestFullDisksOneAfterAnother(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		seed uint64
	}{
		"3 nodes": {3, 1}, "3 nodes, other times": {3, 2}, "5 nodes": {5, 3}, "5 nodes, other times": {5, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newFullDiskCluster(t, test.size, test.seed)
				d.startAll()
				defer d.stopAll()
				d.leader()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				proposing := make(chan error, 1)
				go func() { proposing <- d.proposeAll(ctx) }()
				d.fillInTurn(rand.New(rand.NewPCG(test.seed, 0)))
				cancel()
				is.NoErr(<-proposing)
				for _, s := range d.servers {
					is.True(d.node(s.ID) != nil) // all work again
				}
				d.checkCommands()
				// What was acknowledged is on the disks.
				d.stopAll()
				d.startAll()
				d.checkCommands()
			})
		})
	}
}

// fillInTurn fills each disk twice, for up to 6 s. After each, its node gets the time in which one must catch up.
func (d *fullDiskCluster) fillInTurn(random *rand.Rand) {
	const catchUpTime = 4 * time.Second
	for round := range 2 * len(d.servers) {
		d.full.Store(d.servers[round%len(d.servers)].ID)
		d.run(time.Duration(500+random.IntN(5500)) * time.Millisecond)
		d.full.Store("")
		d.run(catchUpTime)
	}
}

// checkCommands proposes one more command and checks that all nodes hold it, and every acknowledged one exactly once.
func (d *fullDiskCluster) checkCommands() {
	d.t.Helper()
	is := is.New(d.t)
	d.mustPropose(d.leader(), 1)
	d.acknowledged++
	time.Sleep(time.Second)
	got := d.machines[d.servers[0].ID].get()
	is.True(got >= d.acknowledged)
	is.True(got <= d.acknowledged+d.unknown)
	for _, s := range d.servers {
		d.checkValue(got, s.ID)
	}
}
