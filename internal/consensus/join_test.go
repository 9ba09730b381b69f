package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// newCommittedTestLeader returns the core of newTestLeader with a valid lease and everything committed.
func newCommittedTestLeader() *core {
	c := newTestLeader()
	reply := envelopeFrom("b", 4)
	reply.Sent = int64(c.now)
	c.onAppendReply(&AppendReply{Envelope: reply, Success: true, Match: c.log.lastIndex()})
	return c
}

// Guards against adding an instance twice, several learners with one address, removing a voter before another one
// has replaced it, and adding an id again whose earlier votes or log entries may still arrive. Guards also against
// an instance that discards its files because a leader that no longer leads does not know it.
func TestJoinMember(t *testing.T) {
	const committed = 4
	for name, test := range map[string]struct {
		server  Server
		hasLog  bool
		change  func(*core)
		kind    Kind
		members []string
	}{
		"new":                             {server: Server{ID: "e", Address: "e"}, members: []string{"a", "b", "c", "d", "e"}},
		"new at the address of a voter":   {server: Server{ID: "e", Address: "c"}, members: []string{"a", "b", "c", "d", "e"}},
		"new at the address of a learner": {server: Server{ID: "e", Address: "d"}, members: []string{"a", "b", "c"}},
		"a voter":                         {server: Server{ID: "b", Address: "b"}, hasLog: true, kind: AlreadyMember},
		"a learner":                       {server: Server{ID: "d", Address: "d"}, kind: AlreadyMember},
		"removed":                         {server: Server{ID: "e", Address: "e"}, hasLog: true, kind: Removed},
		"removed, no lease": {
			server: Server{ID: "e", Address: "e"}, hasLog: true, kind: Refused,
			change: func(c *core) { c.now += 290 * time.Millisecond },
		},
		"removed, change not committed": {
			server: Server{ID: "e", Address: "e"}, hasLog: true, kind: Refused,
			change: func(c *core) { _, _ = c.removeMember("d") },
		},
		"not the leader": {server: Server{ID: "e"}, kind: NotLeader, change: func(c *core) { c.becomeFollower(5) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCommittedTestLeader()
			is.Equal(c.log.commitIndex, uint64(committed))
			if test.change != nil {
				test.change(c)
			}
			index, err := c.joinMember(test.server, test.hasLog)
			if test.kind != "" {
				is.True(fault.Is(err, test.kind))
				return
			}
			is.NoErr(err)
			is.Equal(index, uint64(committed+1))
			var members []string
			for _, o := range c.membership().Members {
				members = append(members, o.ID)
			}
			is.Equal(members, test.members)
		})
	}
}

// Guards against a removed voter that campaigns for ever: it holds the membership without itself, but does not know
// that it is committed.
func TestRemovedVoterCampaignsForEver(t *testing.T) {
	for name, test := range map[string]struct {
		known   uint64
		removed bool
	}{
		"knows an earlier membership": {1, true}, "knows the same membership": {5, true}, "knows a later one": {6, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCommittedTestLeader()
			naiveChange(c, c.membership().without("c"))
			c.log.commitIndex = c.membershipIndex()
			is.Equal(c.membershipIndex(), uint64(5))
			request := &VoteRequest{Envelope: envelopeFrom("c", 4), Pre: true, MembershipIndex: test.known}
			c.takeOutput()
			c.onVoteRequest(1, request)
			out := c.takeOutput()
			is.Equal(out.messagesAfterStore[0].body.(*VoteReply).Removed, test.removed)
		})
	}
}
