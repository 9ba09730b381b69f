package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// core is the protocol of one node as a deterministic state machine: time and messages in, messages
// and state to be stored out. Its owner calls take after each input, stores what it returns, calls
// stored, and then sends the messages.
type core struct {
	id          string
	incarnation string
	address     string
	timing      Timing
	// wanted is the number of voters up to which learners are promoted.
	wanted int
	random *rand.Rand

	now   time.Duration
	state journal.HardState
	log   entryLog
	// memberships holds the memberships in the log, oldest first; the last one is in force. It is
	// never empty.
	memberships []membershipAt
	bootstrap   *bootstrap

	role          Role
	leaderID      string
	leaderAddress string
	// leaderContact is the last time a leader was heard, or the start.
	leaderContact    time.Duration
	electionDeadline time.Duration
	votes            map[string]bool
	incoming         *incomingSnapshot
	// probes counts the probes of the leader since its last answer.
	probes   int
	probeDue time.Duration
	// abstains keeps this node from asking for votes: it led, and a quorum could not reach it.
	abstains bool
	// inherited is the term that the leader of the term before has handed over to this node.
	inherited uint64

	// The fields below are the leader's.
	peers        map[string]*progress
	heartbeatDue time.Duration
	// termStart is the index of the first entry of the term.
	termStart uint64
	reads     []pendingRead
	sequence  uint64
	// handOverEnd is set while the leader hands over, passed once it has told its successor.
	handOverEnd time.Duration
	passed      bool

	out output
	// stateChanged is set while the hard state differs from the stored one.
	stateChanged bool
}

type membershipAt struct {
	index uint64
	Membership
}

// pendingRead waits until a quorum has answered a message sent at or after since.
type pendingRead struct {
	token uint64
	since time.Duration
	index uint64
}

// readResult tells that a read may be served once index is applied.
type readResult struct {
	token uint64
	index uint64
}

// output is what the owner of a core must do.
type output struct {
	// early holds the leader's Append messages, which may be sent before the entries are stored here.
	early []message
	// snapshot, state and entries are to be stored, in this order, before messages are sent.
	snapshot *installedSnapshot
	store    bool
	state    journal.HardState
	entries  []journal.Entry
	messages []message
	reads    []readResult
	// lostIdentity is set when the members know this id with another incarnation.
	lostIdentity bool
	// removed is set when the members have removed this node.
	removed bool
}

type installedSnapshot struct {
	meta journal.Meta
	data []byte
}

func newCore(config Config, contents *journal.Contents, random *rand.Rand, now time.Duration) (*core, error) {
	base, err := decodeMembership(contents.Meta.Membership)
	if err != nil {
		return nil, err
	}
	c := &core{
		id:          config.ID,
		incarnation: contents.Identity.Incarnation,
		address:     config.Address,
		timing:      config.Timing.withDefaults(),
		wanted:      config.Voters,
		random:      random,
		now:         now,
		state:       contents.State,
		role:        Follower,
		memberships: []membershipAt{{index: contents.Meta.Index, Membership: base}},
		// A restarted node may have answered a leader just before it stopped, so it grants no vote for
		// one election timeout. The leader's lease depends on it.
		leaderContact: now,
	}
	c.log.install(contents.Meta)
	c.log.append(contents.Entries...)
	c.log.unstored = c.log.last() + 1
	for i := range contents.Entries {
		if err := c.noteMembership(&contents.Entries[i]); err != nil {
			return nil, err
		}
	}
	c.resetElection()
	c.startBootstrap(config.Bootstrap)
	return c, nil
}

func (c *core) membership() Membership {
	return c.memberships[len(c.memberships)-1].Membership
}

func (c *core) membershipIndex() uint64 {
	return c.memberships[len(c.memberships)-1].index
}

func (c *core) noteMembership(e *journal.Entry) error {
	if e.Type != membershipEntry {
		return nil
	}
	m, err := decodeMembership(e.Data)
	if err != nil {
		return err
	}
	c.memberships = append(c.memberships, membershipAt{index: e.Index, Membership: m})
	return nil
}

// dropMemberships forgets the memberships after index.
func (c *core) dropMemberships(index uint64) {
	for len(c.memberships) > 1 && c.membershipIndex() > index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// take returns what is to be done and resets the output.
func (c *core) take() output {
	out := c.out
	c.out = output{}
	out.entries = c.log.slice(c.log.unstored, c.log.last())
	out.state = c.state
	out.store = c.stateChanged || len(out.entries) > 0
	c.stateChanged = false
	c.log.unstored = c.log.last() + 1
	return out
}

// idle reports whether take would return nothing.
func (c *core) idle() bool {
	o := &c.out
	return !c.stateChanged && c.log.unstored > c.log.last() && o.snapshot == nil && !o.lostIdentity && !o.removed &&
		len(o.early)+len(o.messages)+len(o.reads) == 0
}

// stored tells the core that everything that take returned is stored.
func (c *core) stored() {
	if c.role == Leader {
		c.advanceCommit()
	}
}

// tick moves the clock.
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
	c.probe()
	if c.now < c.electionDeadline {
		return
	}
	if c.abstains {
		c.resetElection()
		return
	}
	if c.mayCampaign() {
		c.campaign(true)
		return
	}
	c.out.removed = c.out.removed || c.leftOut()
}

// leftOut reports whether this node was a member before the latest committed membership. A node that
// catches up passes through such memberships too, but it hears a leader meanwhile.
func (c *core) leftOut() bool {
	n := len(c.memberships)
	if n < 2 || c.membershipIndex() > c.log.commit {
		return false
	}
	_, member := c.membership().find(c.id)
	_, before := c.memberships[n-2].find(c.id)
	return before && !member
}

// mayCampaign reports whether this node is a voter. A leader whose own removal is not known to be
// committed may campaign too: if the others lack that entry, no one else can win (section 4.2.2 of
// Ongaro's dissertation).
func (c *core) mayCampaign() bool {
	n := len(c.memberships)
	return c.membership().voter(c.id) ||
		n > 1 && c.membershipIndex() > c.log.commit && c.memberships[n-2].voter(c.id)
}

// deadline returns the next time at which tick has work.
func (c *core) deadline() time.Duration {
	switch {
	case c.role == Leader:
		return c.heartbeatDue
	case c.bootstrapping():
		return c.bootstrap.due
	case !c.mayCampaign():
		return c.now + c.timing.ElectionMax
	case c.probing():
		return min(c.probeDue, c.electionDeadline)
	}
	return c.electionDeadline
}

func (c *core) resetElection() {
	spread := int64(c.timing.ElectionMax - c.timing.ElectionMin)
	c.electionDeadline = c.now + c.timing.ElectionMin
	if spread > 0 {
		c.electionDeadline += time.Duration(c.random.Int64N(spread))
	}
}

// step processes a message. The clock moves first, so that a node that was frozen notices the end of
// its own term of office before it acts on queued messages.
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
	case *failure:
		c.onFailure(body)
	}
}

func (c *core) envelope(to Member) Envelope {
	c.sequence++
	return Envelope{
		From: c.id, FromIncarnation: c.incarnation, FromAddress: c.address,
		To: to.ID, ToIncarnation: to.Incarnation,
		Term: c.state.Term, Sent: int64(c.now), Sequence: c.sequence,
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
	c.out.messages = append(c.out.messages, message{to: to.ID, address: to.Address, body: body})
}

func (c *core) reply(token uint64, request *Envelope, body any) {
	c.out.messages = append(c.out.messages, message{to: request.From, token: token, body: body})
}

// addressed reports whether a request is meant for this node and its files.
func (c *core) addressed(e *Envelope) bool {
	return e.To == c.id && (e.ToIncarnation == "" || e.ToIncarnation == c.incarnation)
}

// foreign reports whether the sender is known with another incarnation.
func (c *core) foreign(e *Envelope) bool {
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
	c.reads = nil
	c.handOverEnd, c.passed = 0, false
	c.resetElection()
}

// quorumTime returns the latest time for which a quorum of voters has at least that value; this node
// counts with own if it is a voter.
func (c *core) quorumTime(own time.Duration, of func(*progress) time.Duration) time.Duration {
	var times []time.Duration
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			times = append(times, own)
		case c.peers[m.ID] != nil:
			times = append(times, of(c.peers[m.ID]))
		}
	}
	if len(times) == 0 {
		return own
	}
	slices.Sort(times)
	return times[len(times)-quorum(len(times))]
}
