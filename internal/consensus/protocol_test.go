package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// newTestCore returns node a one second after its start. The voters are a, b and c and the learner
// is d. The term is 3, and the log holds entries of the terms 1, 2 and 2.
func newTestCore() *core {
	var m Membership
	for _, id := range []string{"a", "b", "c", "d"} {
		m = m.with(Member{ID: id, Address: id, Voter: id != "d", Incarnation: id + "-0"})
	}
	contents := &journal.Contents{
		Identity: journal.Identity{ID: "a", Incarnation: "a-0"},
		State:    journal.HardState{Term: 3},
		Entries:  []journal.Entry{{Index: 1, Term: 1, Type: membershipEntry, Data: m.encode()}, {Index: 2, Term: 2}, {Index: 3, Term: 2}},
	}
	c, err := newCore(Config{ID: "a"}, contents, rand.New(rand.NewPCG(1, 1)), time.Hour)
	if err != nil {
		panic(err)
	}
	c.now += time.Second
	return c
}

// envelopeFrom returns the envelope of a message to node a.
func envelopeFrom(id string, term uint64) Envelope {
	return Envelope{From: id, FromIncarnation: id + "-0", To: "a", ToIncarnation: "a-0", Term: term, Asked: term}
}

// newTestLeader returns the core of newTestCore as the leader of term 4. The first entry of that
// term is stored locally and not committed.
func newTestLeader() *core {
	c := newTestCore()
	c.campaign(false)
	c.onVoteReply(&VoteReply{Envelope: envelopeFrom("b", 4), Granted: true})
	c.takeOutput()
	c.outputStored()
	return c
}

// Guards against a vote for a candidate that lacks entries, a second vote in a term, a vote that
// breaks a lease, a vote under a lost identity, and a vote that is not stored.
func TestVoteRequest(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*core, *VoteRequest)
		want   bool
	}{
		"same log":                      {func(*core, *VoteRequest) {}, true},
		"longer log":                    {func(_ *core, r *VoteRequest) { r.LastIndex = 9 }, true},
		"later term, shorter log":       {func(_ *core, r *VoteRequest) { r.LastTerm, r.LastIndex = 3, 1 }, true},
		"shorter log":                   {func(_ *core, r *VoteRequest) { r.LastIndex = 2 }, false},
		"earlier term, longer log":      {func(_ *core, r *VoteRequest) { r.LastTerm, r.LastIndex = 1, 9 }, false},
		"another incarnation asked":     {func(_ *core, r *VoteRequest) { r.ToIncarnation = "a-1" }, false},
		"not a voter for the candidate": {func(_ *core, r *VoteRequest) { r.ToIncarnation = "" }, false},
		"another incarnation asks":      {func(_ *core, r *VoteRequest) { r.FromIncarnation = "b-1" }, false},
		"leader heard":                  {func(c *core, _ *VoteRequest) { c.lastLeaderContact = c.now - 299*time.Millisecond }, false},
		"just started":                  {func(c *core, _ *VoteRequest) { c.now = time.Hour + 299*time.Millisecond }, false},
		"voted for another":             {func(c *core, _ *VoteRequest) { c.state = journal.HardState{Term: 4, Vote: "c"} }, false},
		"voted for it":                  {func(c *core, _ *VoteRequest) { c.state = journal.HardState{Term: 4, Vote: "b"} }, true},
		"not voted":                     {func(c *core, _ *VoteRequest) { c.state = journal.HardState{Term: 4} }, true},
		"earlier term":                  {func(_ *core, r *VoteRequest) { r.Term = 2 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			request := &VoteRequest{Envelope: envelopeFrom("b", 4), LastIndex: 3, LastTerm: 2}
			test.change(c, request)
			c.onVoteRequest(1, request)
			out := c.takeOutput()
			is.Equal(out.messagesAfterStore[0].body.(*VoteReply).Granted, test.want)
			is.True(!test.want || out.mustStore && out.state.Vote == "b")
		})
	}
}

// Guards against counting votes that were granted in another term, by a learner or by a node that
// lost its files.
func TestVoteReply(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*VoteReply)
		want   Role
	}{
		"granted":             {func(*VoteReply) {}, Leader},
		"refused":             {func(r *VoteReply) { r.Granted = false }, Candidate},
		"another incarnation": {func(r *VoteReply) { r.FromIncarnation = "b-1" }, Candidate},
		"learner":             {func(r *VoteReply) { r.From, r.FromIncarnation = "d", "d-0" }, Candidate},
		"asked in term 3":     {func(r *VoteReply) { r.Asked = 3 }, Candidate},
		"pre-vote":            {func(r *VoteReply) { r.Pre = true }, Candidate},
		"later term":          {func(r *VoteReply) { r.Term, r.Granted = 5, false }, Follower},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore()
			c.campaign(false)
			reply := &VoteReply{Envelope: envelopeFrom("b", 4), Granted: true}
			test.change(reply)
			c.onVoteReply(reply)
			is.New(t).Equal(c.role, test.want)
		})
	}
}

// Guards against an election without a leader that leaves no trace of which votes were missing.
func TestFailedCampaignNamesTheMissingVotes(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	fromB := envelopeFrom("b", 3)
	fromB.Asked = 4
	c.campaign(true)
	c.onVoteReply(&VoteReply{Envelope: fromB, Pre: true})
	is.True(c.takeOutput().failedCampaign == nil) // the election is still pending
	c.campaign(true)
	is.Equal(c.takeOutput().failedCampaign, &failedCampaign{
		term: 3, quorum: 2, granted: []string{"a"}, refused: []string{"b"}, silent: []string{"c"},
	})
	c.onVoteReply(&VoteReply{Envelope: fromB, Pre: true, Granted: true})
	is.Equal(c.role, Candidate)
	is.True(c.takeOutput().failedCampaign == nil) // a successful pre-vote is not a failure
}

// Guards against committing an entry of an earlier term by counting replicas (figure 8 of the Raft
// paper), and against changes, reads and leases before the leader has committed an entry of its
// term.
func TestNewLeader(t *testing.T) {
	is := is.New(t)
	c := newTestLeader()
	c.log.commitIndex = 1
	c.onAppendReply(&AppendReply{Envelope: envelopeFrom("b", 4), Success: true, Match: 3})
	is.Equal(c.log.commitIndex, uint64(1))
	_, err := c.addLearner(Server{ID: "e"})
	is.True(fault.Is(err, Refused))
	c.registerRead(c.now, 7)
	is.Equal(len(c.takeOutput().reads), 0)
	is.Equal(c.leaseEnd(), time.Duration(0))
	stale := envelopeFrom("b", 4)
	stale.Asked, stale.Sent = 3, int64(c.now)
	c.onAppendReply(&AppendReply{Envelope: stale})
	is.Equal(c.peers["b"].confirmedSentAt, time.Duration(0)) // the reply is to a request of term 3
	current := envelopeFrom("b", 4)
	current.Sent = int64(c.now)
	c.onAppendReply(&AppendReply{Envelope: current, Success: true, Match: 3})
	is.Equal(len(c.takeOutput().reads), 0) // a quorum replied, but the commit index is not known yet
	c.onAppendReply(&AppendReply{Envelope: current, Success: true, Match: 4})
	is.Equal(c.log.commitIndex, uint64(4))
	is.Equal(c.takeOutput().reads, []readResult{{token: 7, index: 4}})
	is.Equal(c.leaseEnd(), c.now+270*time.Millisecond)
	_, err = c.addLearner(Server{ID: "e"})
	is.NoErr(err)
}

// Guards against a follower that commits entries the leader did not send, keeps conflicting entries
// or accepts a gap.
func TestFollowerAppends(t *testing.T) {
	for name, test := range map[string]struct {
		request             AppendRequest
		success             bool
		match, commit, last uint64
	}{
		"heartbeat at a prefix": {AppendRequest{PreviousIndex: 1, PreviousTerm: 1, Commit: 3}, true, 1, 1, 3},
		"known entry":           {AppendRequest{PreviousIndex: 1, PreviousTerm: 1, Entries: []journal.Entry{{Index: 2, Term: 2}}, Commit: 9}, true, 2, 2, 3},
		"conflict":              {AppendRequest{PreviousIndex: 1, PreviousTerm: 1, Entries: []journal.Entry{{Index: 2, Term: 3}}, Commit: 9}, true, 2, 2, 2},
		"gap":                   {AppendRequest{PreviousIndex: 5, PreviousTerm: 3}, false, 3, 0, 3},
		"previous disagrees":    {AppendRequest{PreviousIndex: 3, PreviousTerm: 3}, false, 1, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			test.request.Envelope = envelopeFrom("b", 4)
			c.onAppend(1, &test.request)
			reply := c.takeOutput().messagesAfterStore[0].body.(*AppendReply)
			is.Equal(reply.Success, test.success)
			is.Equal([]uint64{reply.Match, c.log.commitIndex, c.log.lastIndex()}, []uint64{test.match, test.commit, test.last})
		})
	}
}

// Guards against a snapshot with missing or damaged chunks, and against keeping later entries that
// do not follow the snapshot's last entry.
func TestSnapshotChunks(t *testing.T) {
	for name, test := range map[string]struct {
		change    func(meta *journal.SnapshotMeta, second *SnapshotRequest)
		installed bool
		last      uint64
	}{
		"agrees":        {func(*journal.SnapshotMeta, *SnapshotRequest) {}, true, 3},
		"disagrees":     {func(m *journal.SnapshotMeta, _ *SnapshotRequest) { m.Term = 3 }, true, 2},
		"wrong offset":  {func(_ *journal.SnapshotMeta, r *SnapshotRequest) { r.Offset = 1 }, false, 3},
		"damaged chunk": {func(_ *journal.SnapshotMeta, r *SnapshotRequest) { r.Data = []byte("ce") }, false, 3},
		"damaged whole": {func(m *journal.SnapshotMeta, _ *SnapshotRequest) { m.Checksum++ }, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			meta := journal.SnapshotMeta{Index: 2, Term: 2, Size: 4, Checksum: xxhash.Sum64String("abcd")}
			second := &SnapshotRequest{Envelope: envelopeFrom("b", 4), Offset: 2, Data: []byte("cd"), Checksum: xxhash.Sum64String("cd")}
			test.change(&meta, second)
			second.Meta = meta
			c.onSnapshot(1, &SnapshotRequest{Envelope: envelopeFrom("b", 4), Meta: meta, Data: []byte("ab"), Checksum: xxhash.Sum64String("ab")})
			c.onSnapshot(2, second)
			is.Equal(c.takeOutput().messagesAfterStore[1].body.(*SnapshotReply).Installed, test.installed)
			is.Equal(c.log.lastIndex(), test.last)
		})
	}
}
