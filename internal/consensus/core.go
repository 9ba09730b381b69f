package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// core implements the protocol of one node as a deterministic state machine. Its inputs are the
// time and messages; its outputs are messages and state to store. After each input the caller takes
// the output with takeOutput, stores its state, calls outputStored, and then sends the remaining
// messages.
type core struct {
	id          string
	incarnation string
	address     string
	timing      Timing
	// targetVoters is the number of voters up to which learners are promoted automatically.
	targetVoters int
	random       *rand.Rand

	now   time.Duration
	state journal.HardState
	log   entryLog
	// memberships holds the memberships in the log, oldest first, and is never empty. The last one
	// is in effect, even before it is committed.
	memberships []indexedMembership
	bootstrap   *bootstrap

	role          Role
	leaderID      string
	leaderAddress string
	// lastLeaderContact is when this node last received a request from a leader, or its start time.
	lastLeaderContact time.Duration
	electionDeadline  time.Duration
	votes             map[string]bool
	partialSnapshot   *incomingSnapshot
	// probesWithoutReply counts the probes sent to the leader since its last reply to one.
	probesWithoutReply int
	probeDue           time.Duration
	// campaignDisabled keeps this node from starting elections after a quorum reported that it
	// could not reach this node as the leader.
	campaignDisabled bool
	// transferredTerm is the term in which this node may campaign at once, because the leader of
	// the previous term transferred its leadership to it.
	transferredTerm uint64

	// The fields below are used by the leader only.
	peers        map[string]*progress
	heartbeatDue time.Duration
	// termStartIndex is the index of the first entry of the current term.
	termStartIndex uint64
	pendingReads   []pendingRead
	lastSequence   uint64
	// transferDeadline is set during a leadership transfer. timeoutNowSent is set once the
	// successor has been told to campaign.
	transferDeadline time.Duration
	timeoutNowSent   bool

	out output
	// stateChanged is set while the hard state differs from the one on disk.
	stateChanged bool
}

type indexedMembership struct {
	index uint64
	Membership
}

// pendingRead is a read that waits until a quorum has replied to requests sent at registeredAt or
// later.
type pendingRead struct {
	token        uint64
	registeredAt time.Duration
	index        uint64
}

// readResult permits a read to be served once the entry at index is applied.
type readResult struct {
	token uint64
	index uint64
}

// output lists what the caller of a core must do.
type output struct {
	// messagesBeforeStore holds AppendEntries requests of the leader, which may be sent before the
	// entries are stored locally.
	messagesBeforeStore []message
	// snapshot, state and entries must be stored, in this order, before messagesAfterStore are
	// sent.
	snapshot           *installedSnapshot
	mustStore          bool
	state              journal.HardState
	entries            []journal.Entry
	messagesAfterStore []message
	reads              []readResult
	// identityLost is set when the members know this id with another incarnation.
	identityLost bool
	// removed is set when this node has been removed from the membership.
	removed bool
	// failedCampaign is set when an election ended without a leader.
	failedCampaign *failedCampaign
}

type installedSnapshot struct {
	meta journal.SnapshotMeta
	data []byte
}

func newCore(config Config, contents *journal.Contents, random *rand.Rand, now time.Duration) (*core, error) {
	base, err := decodeMembership(contents.Meta.Membership)
	if err != nil {
		return nil, err
	}
	c := &core{
		id:           config.ID,
		incarnation:  contents.Identity.Incarnation,
		address:      config.Address,
		timing:       config.Timing.withDefaults(),
		targetVoters: config.TargetVoters,
		random:       random,
		now:          now,
		state:        contents.State,
		role:         Follower,
		memberships:  []indexedMembership{{index: contents.Meta.Index, Membership: base}},
		// Before a restart this node may have replied to a leader and thereby extended its lease,
		// so it grants no vote for one election timeout after the start.
		lastLeaderContact: now,
	}
	c.log.install(contents.Meta)
	c.log.append(contents.Entries...)
	c.log.firstUnstored = c.log.lastIndex() + 1
	for i := range contents.Entries {
		if err := c.recordMembership(&contents.Entries[i]); err != nil {
			return nil, err
		}
	}
	c.resetElectionDeadline()
	c.startBootstrap(config.Bootstrap)
	return c, nil
}

func (c *core) membership() Membership {
	return c.memberships[len(c.memberships)-1].Membership
}

func (c *core) membershipIndex() uint64 {
	return c.memberships[len(c.memberships)-1].index
}

func (c *core) recordMembership(e *journal.Entry) error {
	if e.Type != membershipEntry {
		return nil
	}
	m, err := decodeMembership(e.Data)
	if err != nil {
		return err
	}
	c.memberships = append(c.memberships, indexedMembership{index: e.Index, Membership: m})
	return nil
}

// truncateMemberships removes the memberships of entries after index.
func (c *core) truncateMemberships(index uint64) {
	for len(c.memberships) > 1 && c.membershipIndex() > index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// takeOutput returns the pending output and resets it.
func (c *core) takeOutput() output {
	out := c.out
	c.out = output{}
	out.entries = c.log.slice(c.log.firstUnstored, c.log.lastIndex())
	out.state = c.state
	out.mustStore = c.stateChanged || len(out.entries) > 0
	c.stateChanged = false
	c.log.firstUnstored = c.log.lastIndex() + 1
	return out
}

// idle reports whether there is no pending output.
func (c *core) idle() bool {
	o := &c.out
	return !c.stateChanged && c.log.firstUnstored > c.log.lastIndex() && o.snapshot == nil && !o.identityLost && !o.removed &&
		len(o.messagesBeforeStore)+len(o.messagesAfterStore)+len(o.reads) == 0
}

// outputStored tells the core that the state in the output last taken is stored.
func (c *core) outputStored() {
	if c.role == Leader {
		c.advanceCommit()
	}
}

// tick advances the clock to now and handles the timeouts that have passed.
func (c *core) tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.bootstrapping() {
		c.tickBootstrap()
		return
	}
	c.sendProbe()
	if c.now < c.electionDeadline {
		return
	}
	if c.campaignDisabled {
		c.resetElectionDeadline()
		return
	}
	if c.mayCampaign() {
		c.campaign(true)
		return
	}
	c.out.removed = c.out.removed || c.removedByCommittedChange()
}

// removedByCommittedChange reports whether the latest membership is committed and removed this
// node. A node that catches up also passes through such memberships, but meanwhile it hears from a
// leader.
func (c *core) removedByCommittedChange() bool {
	n := len(c.memberships)
	if n < 2 || c.membershipIndex() > c.log.commitIndex {
		return false
	}
	_, member := c.membership().find(c.id)
	_, before := c.memberships[n-2].find(c.id)
	return before && !member
}

// mayCampaign reports whether this node may start an election. A voter may, and so may a former
// leader whose own removal is not known to be committed: if the other members lack that entry,
// nobody else can win (section 4.2.2 of Ongaro's dissertation).
func (c *core) mayCampaign() bool {
	n := len(c.memberships)
	return c.membership().voter(c.id) ||
		n > 1 && c.membershipIndex() > c.log.commitIndex && c.memberships[n-2].voter(c.id)
}

// nextDeadline returns the next time at which tick must be called.
func (c *core) nextDeadline() time.Duration {
	switch {
	case c.role == Leader:
		return c.heartbeatDue
	case c.bootstrapping():
		return c.bootstrap.nextRequestAt
	case !c.mayCampaign():
		return c.now + c.timing.ElectionMax
	case c.probing():
		return min(c.probeDue, c.electionDeadline)
	}
	return c.electionDeadline
}

func (c *core) resetElectionDeadline() {
	spread := int64(c.timing.ElectionMax - c.timing.ElectionMin)
	c.electionDeadline = c.now + c.timing.ElectionMin
	if spread > 0 {
		c.electionDeadline += time.Duration(c.random.Int64N(spread))
	}
}

// step processes a message. It advances the clock first, so that a leader that was frozen notices
// that it has lost its leadership before it acts on queued messages.
func (c *core) step(now time.Duration, m message) {
	c.tick(now)
	switch body := m.body.(type) {
	case *VoteRequest:
		c.onVoteRequest(m.token, body)
	case *VoteReply:
		c.onVoteReply(body)
	case *AppendRequest:
		c.onAppend(m.token, body)
	case *AppendReply:
		c.onAppendReply(body)
	case *SnapshotRequest:
		c.onSnapshot(m.token, body)
	case *SnapshotReply:
		c.onSnapshotReply(body)
	case *callFailure:
		c.onCallFailure(body)
	}
}

func (c *core) requestEnvelope(to Member) Envelope {
	c.lastSequence++
	return Envelope{
		From: c.id, FromIncarnation: c.incarnation, FromAddress: c.address,
		To: to.ID, ToIncarnation: to.Incarnation,
		Term: c.state.Term, Sent: int64(c.now), Sequence: c.lastSequence,
	}
}

func (c *core) replyEnvelope(request *Envelope) Envelope {
	return Envelope{
		From: c.id, FromIncarnation: c.incarnation, FromAddress: c.address,
		To: request.From, ToIncarnation: request.FromIncarnation,
		Term: c.state.Term, Asked: request.Term, Sent: request.Sent, Sequence: request.Sequence,
	}
}

func (c *core) send(to Member, body any) {
	c.out.messagesAfterStore = append(c.out.messagesAfterStore, message{to: to.ID, address: to.Address, body: body})
}

func (c *core) reply(token uint64, request *Envelope, body any) {
	c.out.messagesAfterStore = append(c.out.messagesAfterStore, message{to: request.From, token: token, body: body})
}

// isAddressee reports whether a request is addressed to this node and its incarnation.
func (c *core) isAddressee(e *Envelope) bool {
	return e.To == c.id && (e.ToIncarnation == "" || e.ToIncarnation == c.incarnation)
}

// senderIncarnationDiffers reports whether the membership records another incarnation for the sender.
func (c *core) senderIncarnationDiffers(e *Envelope) bool {
	o, ok := c.membership().find(e.From)
	return ok && o.Incarnation != "" && o.Incarnation != e.FromIncarnation
}

func (c *core) becomeFollower(term uint64) {
	if term > c.state.Term {
		c.state = journal.HardState{Term: term}
		c.stateChanged = true
		c.leaderID, c.leaderAddress = "", ""
	}
	if c.role == Leader {
		c.leaderID, c.leaderAddress = "", ""
	}
	c.role = Follower
	c.votes = nil
	c.peers = nil
	c.pendingReads = nil
	c.transferDeadline, c.timeoutNowSent = 0, false
	c.resetElectionDeadline()
}

// quorumTime returns the latest time that a quorum of voters has reached. peerTime returns the time
// of another voter; ownTime is that of this node if it is a voter.
func (c *core) quorumTime(ownTime time.Duration, peerTime func(*progress) time.Duration) time.Duration {
	var times []time.Duration
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			times = append(times, ownTime)
		case c.peers[m.ID] != nil:
			times = append(times, peerTime(c.peers[m.ID]))
		}
	}
	if len(times) == 0 {
		return ownTime
	}
	slices.Sort(times)
	return times[len(times)-quorum(len(times))]
}
