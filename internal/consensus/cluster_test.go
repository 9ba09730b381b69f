package consensus_test

import (
	"context"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// registerMachine holds one number. A command of 8 bytes adds to it and returns the sum. A command
// of 16 bytes contains the expected and the new value and returns whether the value was set; an
// expected value of 0 always matches.
type registerMachine struct {
	mu    sync.Mutex
	value uint64
}

func (m *registerMachine) Apply(_ uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := binary.BigEndian.Uint64(command)
	if len(command) == 8 {
		m.value += first
		return m.value
	}
	if first != 0 && first != m.value {
		return false
	}
	m.value = binary.BigEndian.Uint64(command[8:])
	return true
}

func (m *registerMachine) Snapshot() func() ([]byte, error) {
	data := binary.BigEndian.AppendUint64(nil, m.get())
	return func() ([]byte, error) { return data, nil }
}

func (m *registerMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value = binary.BigEndian.Uint64(data)
	return nil
}

func (m *registerMachine) get() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.value
}

func addCommand(n uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, n)
}

// network connects the nodes within the test process. A link in cutLinks carries no messages, in
// its direction only.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*consensus.Node
	cutLinks map[[2]string]bool
}

// link is the transport of one node.
type link struct {
	*network
	from string
}

var errCut = errors.New("the link is cut")

func deliver[Reply any](ctx context.Context, l link, to string, request any) (*Reply, error) {
	l.mu.Lock()
	node, requestCut, replyCut := l.nodes[to], l.cutLinks[[2]string{l.from, to}], l.cutLinks[[2]string{to, l.from}]
	l.mu.Unlock()
	if node == nil || requestCut {
		return nil, errCut
	}
	reply, err := node.Handle(ctx, request)
	if err != nil {
		return nil, err
	}
	if replyCut {
		return nil, errCut
	}
	return reply.(*Reply), nil
}

func (l link) PreVote(ctx context.Context, to string, r *consensus.VoteRequest) (*consensus.VoteReply, error) {
	return deliver[consensus.VoteReply](ctx, l, to, r)
}

func (l link) Vote(ctx context.Context, to string, r *consensus.VoteRequest) (*consensus.VoteReply, error) {
	return deliver[consensus.VoteReply](ctx, l, to, r)
}

func (l link) Append(ctx context.Context, to string, r *consensus.AppendRequest) (*consensus.AppendReply, error) {
	return deliver[consensus.AppendReply](ctx, l, to, r)
}

func (l link) InstallSnapshot(ctx context.Context, to string, r *consensus.SnapshotRequest) (*consensus.SnapshotReply, error) {
	return deliver[consensus.SnapshotReply](ctx, l, to, r)
}

// cluster runs nodes with files in temporary directories, inside a synctest bubble.
type cluster struct {
	t            *testing.T
	network      *network
	servers      []consensus.Server
	machines     map[string]*registerMachine
	cancel       map[string]context.CancelFunc
	runResults   map[string]chan error
	directories  map[string]string
	adjustConfig func(*consensus.Config)
}

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{
		t: t, network: &network{nodes: make(map[string]*consensus.Node), cutLinks: make(map[[2]string]bool)},
		machines: make(map[string]*registerMachine), cancel: make(map[string]context.CancelFunc),
		runResults: make(map[string]chan error), directories: make(map[string]string), adjustConfig: func(*consensus.Config) {},
	}
	for i := range size {
		id := string(rune('a' + i))
		c.servers = append(c.servers, consensus.Server{ID: id, Address: id})
	}
	return c
}

func (c *cluster) startAll() {
	for _, s := range c.servers {
		c.start(s.ID)
	}
}

func (c *cluster) start(id string) {
	c.t.Helper()
	if err := c.tryStart(id); err != nil {
		c.t.Fatalf("start %s: %v", id, err)
	}
}

// tryStart starts a node, or returns the error with which it could not be opened.
func (c *cluster) tryStart(id string) error {
	if c.directories[id] == "" {
		c.directories[id] = c.t.TempDir()
	}
	state := &registerMachine{}
	config := consensus.Config{
		ID: id, Address: id, Directory: c.directories[id], Bootstrap: c.servers,
		StateMachine: state, Transport: link{c.network, id},
	}
	c.adjustConfig(&config)
	node, err := consensus.New(config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	c.cancel[id], c.runResults[id] = cancel, ended
	c.network.mu.Lock()
	c.network.nodes[id] = node
	c.machines[id] = state
	c.network.mu.Unlock()
	go func() { ended <- node.Run(ctx) }()
	return nil
}

func (c *cluster) stop(id string) error {
	c.network.mu.Lock()
	delete(c.network.nodes, id)
	c.network.mu.Unlock()
	c.cancel[id]()
	err := <-c.runResults[id]
	delete(c.cancel, id)
	return err
}

func (c *cluster) stopAll() {
	for id := range c.cancel {
		if err := c.stop(id); err != nil {
			c.t.Errorf("stop %s: %v", id, err)
		}
	}
}

func (c *cluster) node(id string) *consensus.Node {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.network.nodes[id]
}

// isolate cuts or restores the links from id (out) and to id (in).
func (c *cluster) isolate(id string, out, in bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for other := range c.network.nodes {
		c.network.cutLinks[[2]string{id, other}] = out
		c.network.cutLinks[[2]string{other, id}] = in
	}
}

// leader waits, on the fake clock of synctest, for a leader that is not among the excepted ones.
func (c *cluster) leader(except ...string) string {
	c.t.Helper()
	for range 400 {
		time.Sleep(50 * time.Millisecond)
	nodes:
		for id := range c.cancel {
			for _, e := range except {
				if e == id {
					continue nodes
				}
			}
			if lease, _ := c.node(id).LeaderLease(); lease > 0 {
				return id
			}
		}
	}
	c.t.Fatal("no leader within 20 s")
	return ""
}

func (c *cluster) propose(id string, n uint64) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.node(id).Propose(ctx, addCommand(n))
}

func (c *cluster) mustPropose(id string, n uint64) {
	c.t.Helper()
	if _, err := c.propose(id, n); err != nil {
		c.t.Fatalf("propose at %s: %v", id, err)
	}
}

func (c *cluster) checkValue(want uint64, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		if got := c.machines[id].get(); got != want {
			c.t.Errorf("%s holds %d, want %d", id, got, want)
		}
	}
}

// Guards against a log that does not reach every node or that is lost when all nodes restart, with
// the log alone and with snapshots after hundreds of commands. Guards also against a follower that
// accepts a command or does not name the leader's address.
func TestReplicateAndRestart(t *testing.T) {
	for name, test := range map[string]struct{ size, changes, snapshotEvery int }{
		"1 node": {1, 100, 0}, "3 nodes": {3, 100, 0}, "5 nodes": {5, 100, 0}, "3 nodes, snapshots": {3, 750, 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, test.size)
				c.adjustConfig = func(config *consensus.Config) { config.SnapshotEvery = test.snapshotEvery }
				c.startAll()
				leader := c.leader()
				for range test.changes {
					c.mustPropose(leader, 1)
				}
				for _, s := range c.servers {
					var hint *consensus.LeaderHint
					_, err := c.propose(s.ID, 0)
					is.Equal(fault.Is(err, consensus.NotLeader), s.ID != leader)
					is.True(s.ID == leader || errors.As(err, &hint) && hint.Address == leader)
				}
				c.stopAll()
				c.startAll()
				defer c.stopAll()
				leader = c.leader()
				is.NoErr(c.node(leader).Read(t.Context()))
				c.checkValue(uint64(test.changes), leader)
				is.True(test.snapshotEvery == 0 || c.node(leader).Status().SnapshotIndex >= 600)
				c.mustPropose(leader, 1)
				time.Sleep(time.Second)
				for id := range c.machines {
					c.checkValue(uint64(test.changes)+1, id)
				}
			})
		})
	}
}

// Guards against a command that is acknowledged and then lost when the leader is stopped at once,
// and against one that is applied twice. A command with an unknown outcome may be applied or not.
func TestLeaderKilledDuringCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		acknowledged, unknown := uint64(0), uint64(0)
		for round := range uint64(6) {
			leader := c.leader()
			node := c.node(leader)
			const writers = 20
			outcomes := make(chan error, writers)
			for range writers {
				go func() {
					_, err := node.Propose(context.Background(), addCommand(1))
					outcomes <- err
				}()
			}
			time.Sleep(time.Duration(round) * time.Millisecond)
			if err := c.stop(leader); err != nil {
				t.Fatal(err)
			}
			for range writers {
				switch err := <-outcomes; {
				case err == nil:
					acknowledged++
				case fault.Is(err, consensus.OutcomeUnknown):
					unknown++
				case !fault.Is(err, consensus.Stopped) && !fault.Is(err, consensus.NotLeader):
					t.Fatal(err)
				}
			}
			c.leader()
			c.start(leader)
		}
		time.Sleep(2 * time.Second)
		got := c.machines["a"].get()
		if got < acknowledged || got > acknowledged+unknown {
			t.Errorf("%d commands were applied, %d were acknowledged and %d have an unknown outcome", got, acknowledged, unknown)
		}
		c.checkValue(got, "b", "c")
	})
}

// Guards against a member that cannot catch up once the entries that it lacks are compacted, and
// against a snapshot that does not fit into one message.
func TestInstallSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.adjustConfig = func(config *consensus.Config) {
			config.SnapshotEvery = 500
			config.StateMachine = paddedMachine{config.StateMachine.(*registerMachine)}
		}
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		lagging := c.servers[0].ID
		if lagging == leader {
			lagging = c.servers[1].ID
		}
		is.NoErr(c.stop(lagging))
		for range 2500 {
			c.mustPropose(leader, 1)
		}
		c.start(lagging)
		time.Sleep(2 * time.Second)
		c.checkValue(2500, lagging)
		is.True(c.node(lagging).Status().SnapshotIndex >= 2000)
	})
}

// paddedMachine has a snapshot of more than one chunk.
type paddedMachine struct{ *registerMachine }

func (p paddedMachine) Snapshot() func() ([]byte, error) {
	encode := p.registerMachine.Snapshot()
	return func() ([]byte, error) {
		data, err := encode()
		return append(data, make([]byte, 3<<19)...), err
	}
}

func (p paddedMachine) Restore(data []byte) error {
	return p.registerMachine.Restore(data)
}

// Guards against a node that continues after its disk failed: Run must return at once, and the
// other nodes elect a leader.
func TestFailedSyncStopsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		var failingNode atomic.Value
		failingNode.Store("")
		c.adjustConfig = func(config *consensus.Config) {
			id := config.ID
			config.Sync = func(f *os.File) error {
				if failingNode.CompareAndSwap(id, "") {
					return errors.New("input/output error")
				}
				return f.Sync()
			}
		}
		c.startAll()
		leader := c.leader()
		failingNode.Store(leader)
		node := c.node(leader)
		_, err := node.Propose(t.Context(), addCommand(1))
		is.True(fault.Is(err, consensus.OutcomeUnknown))
		is.True(fault.Is(<-c.runResults[leader], consensus.Disk))
		_, err = node.Propose(t.Context(), addCommand(1))
		is.True(fault.Is(err, consensus.Stopped))
		c.network.mu.Lock()
		delete(c.network.nodes, leader)
		c.network.mu.Unlock()
		delete(c.cancel, leader)
		c.mustPropose(c.leader(), 1)
		c.stopAll()
	})
}

// Guards against a node that starts with damaged files, and against a cluster that cannot take it
// back: it rejoins as a learner with a new id, replaces the lost voter and counts towards the
// quorum.
func TestDamagedNodeReturnsAsLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		c.mustPropose(leader, 1)
		lost := c.servers[0].ID
		if lost == leader {
			lost = c.servers[1].ID
		}
		is.NoErr(c.stop(lost))
		logs, err := filepath.Glob(filepath.Join(c.directories[lost], "log-*"))
		is.NoErr(err)
		data, err := os.ReadFile(logs[0])
		is.NoErr(err)
		data[20] ^= 1
		is.NoErr(os.WriteFile(logs[0], data, 0o600))
		_, err = consensus.New(consensus.Config{
			ID: lost, Directory: c.directories[lost], StateMachine: &registerMachine{}, Transport: link{c.network, lost},
		})
		is.True(fault.Is(err, consensus.Corrupt))
		// The same id with an empty directory is told that it must not vote.
		c.directories[lost] = t.TempDir()
		c.start(lost)
		is.True(fault.Is(<-c.runResults[lost], consensus.IdentityLost))
		c.network.mu.Lock()
		delete(c.network.nodes, lost)
		c.network.mu.Unlock()
		delete(c.cancel, lost)
		c.start("z")
		is.NoErr(c.node(leader).AddLearner(t.Context(), consensus.Server{ID: "z", Address: "z"}))
		time.Sleep(15 * time.Second)
		var voters []string
		for _, m := range c.node(leader).Status().Members {
			if m.Voter {
				voters = append(voters, m.ID)
			}
		}
		is.Equal(len(voters), 3)
		is.True(slices.Contains(voters, "z"))
		is.True(!slices.Contains(voters, lost))
		is.NoErr(c.stop(leader))
		c.mustPropose(c.leader(), 1)
		time.Sleep(time.Second)
		c.checkValue(2, "z")
	})
}

// Guards against a removed voter that campaigns forever.
func TestRemovedVoterStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4)
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		is.NoErr(c.node(leader).Remove(t.Context(), leader))
		next := c.leader(leader)
		is.True(fault.Is(<-c.runResults[leader], consensus.Removed))
		delete(c.cancel, leader)
		c.mustPropose(next, 1)
		err := c.node(next).Remove(t.Context(), next)
		is.True(fault.Is(err, consensus.Refused)) // three voters are the minimum
	})
}

// Guards against a planned stop that costs an election timeout or leaves the outcome of a command
// unknown, also when the vote of the old leader is needed. Guards also against a leadership
// transfer by a node that cannot perform one.
func TestLeadershipTransfer(t *testing.T) {
	for name, down := range map[string]int{"all voters": 0, "one voter is down": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3)
				c.startAll()
				defer c.stopAll()
				old := c.leader()
				others := slices.DeleteFunc(slices.Clone(c.servers), func(s consensus.Server) bool { return s.ID == old })
				for _, s := range others[:down] {
					is.NoErr(c.stop(s.ID))
				}
				follower := others[down].ID
				is.True(fault.Is(c.node(follower).TransferLeadership(t.Context()), consensus.NotLeader))
				time.Sleep(time.Second)
				const writers = 20
				outcomes := make(chan error, writers)
				for range writers {
					go func() {
						_, err := c.node(old).Propose(context.Background(), addCommand(1))
						outcomes <- err
					}()
				}
				started := time.Now()
				is.NoErr(c.node(old).TransferLeadership(t.Context()))
				is.True(time.Since(started) < 100*time.Millisecond) // on the fake clock of synctest
				committed := uint64(0)
				for range writers {
					err := <-outcomes
					is.True(err == nil || fault.Is(err, consensus.NotLeader)) // no outcome is unknown
					if err == nil {
						committed++
					}
				}
				next, _, _ := c.node(old).Leader()
				is.True(next != old)
				c.mustPropose(next, 1)
				time.Sleep(time.Second)
				c.checkValue(committed+1, old, next)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.startAll()
		defer c.stopAll()
		err := c.node(c.leader()).TransferLeadership(t.Context())
		is.New(t).True(fault.Is(err, consensus.Refused))
	})
}

// Guards against a lease that outlives a jump of the leader's clock, as after a freeze: nothing may
// be read or proposed in a term whose lease has ended.
func TestClockJump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		jumps := make(map[string]*atomic.Int64)
		c.adjustConfig = func(config *consensus.Config) {
			start, jump := time.Now(), &atomic.Int64{}
			jumps[config.ID] = jump
			config.Now = func() time.Duration { return time.Since(start) + time.Duration(jump.Load()) }
		}
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		jumps[leader].Store(int64(10 * time.Second))
		lease, _ := c.node(leader).LeaderLease()
		is.Equal(lease, time.Duration(0))
		is.True(fault.Is(c.node(leader).Read(t.Context()), consensus.NotLeader))
		_, err := c.propose(leader, 1)
		is.True(fault.Is(err, consensus.NotLeader))
	})
}
