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

// Node runs one member of the cluster. Its methods are safe for concurrent use. They wait until Run
// is called and fail with Stopped after it has returned.
type Node struct {
	config  Config
	core    *core
	journal *journal.Journal
	applier *applier
	sender  *sender

	events           chan func()
	stopped          chan struct{}
	pendingProposals atomic.Int64
	pendingBytes     atomic.Int64
	published        atomic.Pointer[publishedState]

	// The fields below are used by the goroutine of Run only.
	lastToken      uint64
	waitingReplies map[uint64]chan any
	waitingReads   map[uint64]chan readOutcome
	proposalBatch  []*proposal
	// transferWaiters holds the result channels of the pending calls of TransferLeadership.
	transferWaiters []chan error
	fatalErr        error
	report          report
}

// publishedState is the part of the core's state that other goroutines may read.
type publishedState struct {
	role             Role
	term             uint64
	leaderID         string
	leaderAddress    string
	leaseEnd         time.Duration
	termStartIndex   uint64
	campaignDisabled bool
}

type readOutcome struct {
	index uint64
	err   error
}

const (
	// eventQueueLength is the maximum number of inputs that wait for the event loop.
	eventQueueLength = 4096
	// maxEventBatch bounds the inputs that share one sync.
	maxEventBatch = 8192
)

// New opens the directory and creates a node. The kind of an error is Invalid, Disk, Corrupt or
// Busy (the directory is in use).
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
		return nil, wrapJournalError(err, op)
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
		c.maxBatch = maxEventBatch
	}
	return c
}

func wrapJournalError(err error, op string) error {
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
		events: make(chan func(), eventQueueLength), stopped: make(chan struct{}),
		waitingReplies: make(map[uint64]chan any), waitingReads: make(map[uint64]chan readOutcome),
	}
	n.applier, err = newApplier(n, contents)
	if err != nil {
		return nil, err
	}
	n.sender = newSender(n)
	n.publish()
	n.reportStart()
	if contents.TornBytes > 0 {
		config.Logger.Warn("Dropped a torn write from the end of the log", zap.Int("bytes", contents.TornBytes))
	}
	return n, nil
}

// Run takes part in the protocol until ctx ends, when it returns nil, or until the node cannot
// continue: Disk, Corrupt, IdentityLost or Removed. The caller must not retry after an error. After
// Disk a new process may open a new Node on the same directory.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	applierResult := make(chan error, 1)
	go func() { applierResult <- n.applier.run(ctx) }()
	err := n.loop(ctx, applierResult)
	cancel()
	n.published.Store(&publishedState{role: Follower})
	close(n.stopped)
	if applyErr := <-applierResult; err == nil {
		err = applyErr
	}
	n.sender.wait()
	n.applier.failProposals(fault.New("propose", OutcomeUnknown, "the node stopped before the commit"), 0)
	if closeErr := n.journal.Close(); err == nil && closeErr != nil {
		err = wrapJournalError(closeErr, "close node")
	}
	if err != nil {
		n.config.Logger.Error("The node has stopped", zap.Error(err))
	}
	return err
}

func (n *Node) loop(ctx context.Context, applierResult chan error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-applierResult:
			applierResult <- err
			return err
		case event := <-n.events:
			event()
			n.drainEvents()
		case <-timer.C:
		}
		if err := n.processOutput(ctx); err != nil {
			return err
		}
		timer.Reset(max(n.core.nextDeadline()-n.config.Now(), time.Millisecond))
	}
}

// drainEvents processes the inputs that have queued up meanwhile, so that they share one sync.
func (n *Node) drainEvents() {
	for i := 0; i < maxEventBatch && len(n.proposalBatch) < n.config.maxBatch; i++ {
		select {
		case event := <-n.events:
			event()
		default:
			return
		}
	}
}

// processOutput advances the clock, then stores state and sends messages until the core has no more
// output.
func (n *Node) processOutput(ctx context.Context) error {
	n.core.tick(n.config.Now())
	n.proposeBatch()
	for {
		out := n.core.takeOutput()
		if out.identityLost {
			return fault.New("run node", IdentityLost, "the members know %q with another incarnation; start with an empty directory and a new id", n.config.ID)
		}
		if out.removed {
			return fault.New("run node", Removed, "the members have removed %q; start with an empty directory and a new id", n.config.ID)
		}
		// The published lease must have ended before a vote for another node is sent.
		n.publish()
		n.send(ctx, out.messagesBeforeStore)
		if err := n.store(&out); err != nil {
			return err
		}
		n.core.outputStored()
		n.publish()
		n.reportChanges(&out)
		n.send(ctx, out.messagesAfterStore)
		n.applier.enqueueCommitted(&n.core.log, out.snapshot)
		n.completeReads(out.reads)
		if n.fatalErr != nil {
			return n.fatalErr
		}
		if n.core.idle() {
			return nil
		}
	}
}

// slowAppend is the time from which a write to the log is reported: the longest election timeout. While it lasts, this
// instance acknowledges nothing.
const slowAppend = 600 * time.Millisecond

func (n *Node) store(out *output) error {
	const op = "store log"
	if out.snapshot != nil {
		if err := n.journal.SaveSnapshot(out.snapshot.meta, out.snapshot.data); err != nil {
			return wrapJournalError(err, op)
		}
		return n.compact()
	}
	if !out.mustStore {
		return nil
	}
	started := time.Now()
	err := n.journal.Append(out.state, out.entries)
	if took := time.Since(started); took > slowAppend {
		n.config.Logger.Warn("Writing to the log took long", zap.Duration("took", took), zap.Int("entries", len(out.entries)), zap.Error(err))
	}
	if err != nil {
		return wrapJournalError(err, op)
	}
	return nil
}

// compact rewrites the log file with the entries after the latest snapshot.
func (n *Node) compact() error {
	l := &n.core.log
	if err := n.journal.Compact(n.core.state, l.slice(l.snapshot.Index+1, l.lastIndex()), n.core.neededSnapshotIndexes()); err != nil {
		return wrapJournalError(err, "compact log")
	}
	return nil
}

// publish makes the core's state visible to other goroutines. When this node stops being the
// leader, it fails the pending proposals and reads.
func (n *Node) publish() {
	c := n.core
	old := n.published.Load()
	v := publishedState{
		role: c.role, term: c.state.Term, leaderID: c.leaderID, leaderAddress: c.leaderAddress,
		leaseEnd: c.leaseEnd(), termStartIndex: c.termStartIndex, campaignDisabled: c.campaignDisabled,
	}
	if old != nil && *old == v {
		return
	}
	n.published.Store(&v)
	n.completeTransfers(&v)
	if old == nil {
		return
	}
	if old.role == Leader && (v.role != Leader || v.term != old.term) {
		n.applier.failProposals(fault.New("propose", OutcomeUnknown, "this node stopped leading before the commit"), c.log.commitIndex)
		for token, outcome := range n.waitingReads {
			outcome <- readOutcome{err: n.notLeaderError("read")}
			delete(n.waitingReads, token)
		}
	}
	if v.campaignDisabled && !old.campaignDisabled {
		n.config.Logger.Warn("Gave up the leadership, because a quorum of voters cannot reach this node", zap.Uint64("term", v.term))
	}
	if old.role != v.role && v.role != PreCandidate || old.leaderID != v.leaderID {
		n.config.Logger.Info("Role changed", zap.String("role", string(v.role)),
			zap.Uint64("term", v.term), zap.String("leader", v.leaderID))
	}
}

func (n *Node) notLeaderError(op string) error {
	v := n.published.Load()
	return &Error{Op: op, Kind: NotLeader, Err: &LeaderHint{ID: v.leaderID, Address: v.leaderAddress}}
}

func (n *Node) completeReads(results []readResult) {
	for _, r := range results {
		n.waitingReads[r.token] <- readOutcome{index: r.index}
		delete(n.waitingReads, r.token)
	}
}

// runOnLoop runs f on the event loop. It does not wait for f.
func (n *Node) runOnLoop(ctx context.Context, op string, f func()) error {
	select {
	case n.events <- f:
		return nil
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), op, Busy, "wait for the event loop")
	}
}

// Handle processes a request from another member. It returns the reply once the state on which the
// reply depends is stored.
func (n *Node) Handle(ctx context.Context, request any) (any, error) {
	const op = "answer member"
	result := make(chan any, 1)
	err := n.runOnLoop(ctx, op, func() {
		n.lastToken++
		n.waitingReplies[n.lastToken] = result
		n.core.step(n.config.Now(), message{token: n.lastToken, body: request})
	})
	if err != nil {
		return nil, err
	}
	select {
	case reply := <-result:
		return reply, nil
	case <-n.stopped:
		return nil, fault.New(op, Stopped, "the node has stopped")
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), op, OutcomeUnknown, "wait for the reply")
	}
}

// Leader returns the current term and the leader known to this node. The strings are empty if no
// leader is known.
func (n *Node) Leader() (id, address string, term uint64) {
	v := n.published.Load()
	return v.leaderID, v.leaderAddress, v.term
}

// LeaderLease returns the current term and for how much longer no other node can be the leader. The
// duration is 0 when this node is not the leader, when its lease has ended, or when it has not yet
// applied everything that earlier leaders committed.
func (n *Node) LeaderLease() (remaining time.Duration, term uint64) {
	v := n.published.Load()
	if v.role != Leader || n.applier.appliedIndex() < v.termStartIndex {
		return 0, v.term
	}
	return max(v.leaseEnd-n.config.Now(), 0), v.term
}

// Status returns the status of the node. Only ID is set when the node is not running.
func (n *Node) Status() Status {
	result := make(chan Status, 1)
	if n.runOnLoop(context.Background(), "status", func() { result <- n.status() }) != nil {
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
		CommitIndex: c.log.commitIndex, AppliedIndex: n.applier.appliedIndex(), LastIndex: c.log.lastIndex(), SnapshotIndex: c.log.snapshot.Index,
	}
	if c.role != Leader {
		s.SinceLeader = n.config.Now() - c.lastLeaderContact
	}
	for _, o := range m.Members {
		member := MemberStatus{Server: Server{ID: o.ID, Address: o.Address, Observer: o.Observer}, Voter: o.Voter}
		if p := c.peers[o.ID]; p != nil {
			member.MatchIndex, member.SinceLastReply = p.matchIndex, n.config.Now()-p.lastReplyAt
		}
		if o.ID == c.id {
			member.MatchIndex = c.log.lastIndex()
		}
		s.Members = append(s.Members, member)
	}
	return s
}
