package consensus

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// Node runs one member. Its methods are safe for concurrent use; they wait until Run is called and
// fail with Stopped after it has returned.
type Node struct {
	config  Config
	core    *core
	journal *journal.Journal
	applier *applier
	sender  *sender

	events  chan func()
	stopped chan struct{}
	pending atomic.Int64
	bytes   atomic.Int64
	view    atomic.Pointer[view]

	// The fields below belong to the goroutine of Run.
	token   uint64
	replies map[uint64]chan any
	reads   map[uint64]chan readOutcome
	batch   []*proposal
	// handOvers holds the callers of HandOver.
	handOvers []chan error
	fatal     error
}

// view is what other goroutines see of the core.
type view struct {
	role          Role
	term          uint64
	leaderID      string
	leaderAddress string
	leaseEnd      time.Duration
	termStart     uint64
	abstains      bool
}

type readOutcome struct {
	index uint64
	err   error
}

const (
	// eventQueue is the number of inputs that wait for the event loop.
	eventQueue = 4096
	// eventBatch bounds the inputs that share a sync.
	eventBatch = 8192
)

// New opens the directory. Errors are Invalid, Disk, Corrupt or Busy (the directory is in use).
func New(config Config) (*Node, error) {
	const op = "open node"
	if config.ID == "" || config.StateMachine == nil || config.Transport == nil {
		return nil, fault.New(op, Invalid, "ID, StateMachine and Transport are required")
	}
	config = config.withDefaults()
	j, contents, err := journal.Open(journal.Config{
		Directory: config.Directory, ID: config.ID, Sync: config.Sync, Write: config.Write,
	})
	if err != nil {
		return nil, wrapJournal(err, op)
	}
	n, err := newNode(config, j, contents)
	if err != nil {
		_ = j.Close()
		return nil, err
	}
	return n, nil
}

func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.MaxPending == 0 {
		c.MaxPending = defaultMaxPending
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.maxBatch == 0 {
		c.maxBatch = eventBatch
	}
	return c
}

func wrapJournal(err error, op string) error {
	kind := Disk
	switch {
	case fault.Is(err, journal.Corrupt):
		kind = Corrupt
	case fault.Is(err, journal.InUse):
		kind = Busy
	}
	return fault.Wrap(err, op, kind, "journal")
}

func newNode(config Config, j *journal.Journal, contents *journal.Contents) (*Node, error) {
	const op = "open node"
	if contents.Identity.ID != config.ID {
		return nil, fault.New(op, Invalid, "directory %s belongs to %q, not to %q", config.Directory, contents.Identity.ID, config.ID)
	}
	c, err := newCore(config, contents, config.Random, config.Now())
	if err != nil {
		return nil, fault.Wrap(err, op, Corrupt, "membership")
	}
	n := &Node{
		config: config, core: c, journal: j,
		events: make(chan func(), eventQueue), stopped: make(chan struct{}),
		replies: make(map[uint64]chan any), reads: make(map[uint64]chan readOutcome),
	}
	n.applier, err = newApplier(n, contents)
	if err != nil {
		return nil, err
	}
	n.sender = newSender(n)
	n.publish()
	if contents.TornBytes > 0 {
		config.Logger.Warn("Dropped a torn write from the end of the log", zap.Int("bytes", contents.TornBytes))
	}
	return n, nil
}

// Run takes part in the protocol until ctx ends (nil) or the node cannot go on: Disk, Corrupt,
// IdentityLost or Removed. The caller must not retry after an error; a new Node on the same directory
// may be opened in a new process after Disk.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	applied := make(chan error, 1)
	go func() { applied <- n.applier.run(ctx) }()
	err := n.loop(ctx, applied)
	cancel()
	n.view.Store(&view{role: Follower})
	close(n.stopped)
	if applyErr := <-applied; err == nil {
		err = applyErr
	}
	n.sender.wait()
	n.applier.lose(fault.New("propose", Lost, "the node stopped before the commit"), 0)
	if closeErr := n.journal.Close(); err == nil && closeErr != nil {
		err = wrapJournal(closeErr, "close node")
	}
	if err != nil {
		n.config.Logger.Error("The node has stopped", zap.Error(err))
	}
	return err
}

func (n *Node) loop(ctx context.Context, applied chan error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-applied:
			applied <- err
			return err
		case event := <-n.events:
			event()
			n.drain()
		case <-timer.C:
		}
		if err := n.settle(ctx); err != nil {
			return err
		}
		timer.Reset(max(n.core.deadline()-n.config.Now(), time.Millisecond))
	}
}

// drain processes the inputs that queued meanwhile, so that they share one sync.
func (n *Node) drain() {
	for i := 0; i < eventBatch && len(n.batch) < n.config.maxBatch; i++ {
		select {
		case event := <-n.events:
			event()
		default:
			return
		}
	}
}

// settle moves the clock, then stores and sends until the core has nothing more to do.
func (n *Node) settle(ctx context.Context) error {
	n.core.tick(n.config.Now())
	n.proposeBatch()
	for {
		out := n.core.take()
		if out.lostIdentity {
			return fault.New("run node", IdentityLost, "the members know %q with other files; start with an empty directory and a new id", n.config.ID)
		}
		if out.removed {
			return fault.New("run node", Removed, "the members have removed %q; start with an empty directory and a new id", n.config.ID)
		}
		// The view must not show a lease any more when a vote for another node leaves.
		n.publish()
		n.send(ctx, out.early)
		if err := n.store(&out); err != nil {
			return err
		}
		n.core.stored()
		n.publish()
		n.send(ctx, out.messages)
		n.applier.commit(&n.core.log, out.snapshot)
		n.answerReads(out.reads)
		if n.fatal != nil {
			return n.fatal
		}
		if n.core.idle() {
			return nil
		}
	}
}

func (n *Node) store(out *output) error {
	const op = "store log"
	if out.snapshot != nil {
		if err := n.journal.SaveSnapshot(out.snapshot.meta, out.snapshot.data); err != nil {
			return wrapJournal(err, op)
		}
		return n.compact()
	}
	if !out.store {
		return nil
	}
	if err := n.journal.Append(out.state, out.entries); err != nil {
		return wrapJournal(err, op)
	}
	return nil
}

// compact rewrites the log file with the entries after the latest snapshot.
func (n *Node) compact() error {
	l := &n.core.log
	if err := n.journal.Compact(n.core.state, l.slice(l.snapshot.Index+1, l.last()), n.core.neededSnapshots()); err != nil {
		return wrapJournal(err, "compact log")
	}
	return nil
}

// publish makes the core's state visible and fails what a lost leadership leaves open.
func (n *Node) publish() {
	c := n.core
	old := n.view.Load()
	v := view{
		role: c.role, term: c.state.Term, leaderID: c.leaderID, leaderAddress: c.leaderAddress,
		leaseEnd: c.lease(), termStart: c.termStart, abstains: c.abstains,
	}
	if old != nil && *old == v {
		return
	}
	n.view.Store(&v)
	n.endHandOvers(&v)
	if old == nil {
		return
	}
	if old.role == Leader && (v.role != Leader || v.term != old.term) {
		n.applier.lose(fault.New("propose", Lost, "this node stopped leading before the commit"), c.log.commit)
		for token, outcome := range n.reads {
			outcome <- readOutcome{err: n.notLeader("read")}
			delete(n.reads, token)
		}
	}
	if v.abstains && !old.abstains {
		n.config.Logger.Warn("Gave up the leadership, because a quorum of voters cannot reach this node", zap.Uint64("term", v.term))
	}
	if old.role != v.role && v.role != PreCandidate || old.leaderID != v.leaderID {
		n.config.Logger.Info("Role changed", zap.String("role", string(v.role)),
			zap.Uint64("term", v.term), zap.String("leader", v.leaderID))
	}
}

func (n *Node) notLeader(op string) error {
	v := n.view.Load()
	return &Error{Op: op, Kind: NotLeader, Err: &LeaderHint{ID: v.leaderID, Address: v.leaderAddress}}
}

func (n *Node) answerReads(results []readResult) {
	for _, r := range results {
		n.reads[r.token] <- readOutcome{index: r.index}
		delete(n.reads, r.token)
	}
}

// do runs f on the event loop.
func (n *Node) do(ctx context.Context, op string, f func()) error {
	select {
	case n.events <- f:
		return nil
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), op, Busy, "wait for the event loop")
	}
}

// Handle processes a request of another member and returns the reply after the state that it depends
// on is stored.
func (n *Node) Handle(ctx context.Context, request any) (any, error) {
	const op = "answer member"
	answer := make(chan any, 1)
	err := n.do(ctx, op, func() {
		n.token++
		n.replies[n.token] = answer
		n.core.step(n.config.Now(), message{token: n.token, body: request})
	})
	if err != nil {
		return nil, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-n.stopped:
		return nil, fault.New(op, Stopped, "the node has stopped")
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), op, Lost, "wait for the reply")
	}
}

// Leader returns the leader that this node knows, with empty strings if none, and the term.
func (n *Node) Leader() (id, address string, term uint64) {
	v := n.view.Load()
	return v.leaderID, v.leaderAddress, v.term
}

// LeaderLease returns how long no other node can lead, and the term. It is 0 when this node does not
// lead, its lease has ended, or it has not applied everything that earlier leaders committed.
func (n *Node) LeaderLease() (remaining time.Duration, term uint64) {
	v := n.view.Load()
	if v.role != Leader || n.applier.index() < v.termStart {
		return 0, v.term
	}
	return max(v.leaseEnd-n.config.Now(), 0), v.term
}

// Status describes the node. It is zero but for the id when the node is not running.
func (n *Node) Status() Status {
	result := make(chan Status, 1)
	if n.do(context.Background(), "status", func() { result <- n.status() }) != nil {
		return Status{ID: n.config.ID}
	}
	select {
	case s := <-result:
		return s
	case <-n.stopped:
		return Status{ID: n.config.ID}
	}
}

func (n *Node) status() Status {
	c := n.core
	m := c.membership()
	s := Status{
		ID: c.id, Role: c.role, Voter: m.voter(c.id), Term: c.state.Term, LeaderID: c.leaderID,
		Commit: c.log.commit, Applied: n.applier.index(), Last: c.log.last(), Snapshot: c.log.snapshot.Index,
	}
	for _, o := range m.Members {
		member := MemberStatus{Server: Server{ID: o.ID, Address: o.Address, Observer: o.Observer}, Voter: o.Voter}
		if p := c.peers[o.ID]; p != nil {
			member.Match, member.Contact = p.match, n.config.Now()-p.answered
		}
		if o.ID == c.id {
			member.Match = c.log.last()
		}
		s.Members = append(s.Members, member)
	}
	return s
}
