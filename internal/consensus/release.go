package consensus

import (
	"context"
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// releaseMember makes the next change towards a membership without a member that is about to stop.
// A voter leaves an even number of voters directly, and otherwise after a learner has been promoted
// in its place. The kind of an error is NotLeader, NotMember once the change is complete,
// NoSuccessor, or Refused if the next change is not possible yet.
func (c *core) releaseMember(id string) (uint64, error) {
	const op = "release member"
	if err := c.checkMembershipCommitted(op); err != nil {
		return 0, err
	}
	m := c.membership()
	member, ok := m.find(id)
	replacing := m.Replaced != "" && m.voter(m.Replaced)
	switch {
	case !ok:
		return 0, fault.New(op, NotMember, "%q is not a member", id)
	case !member.Voter || id == m.Replaced:
		return c.removeMember(id)
	case replacing:
		return 0, fault.New(op, Refused, "the replacement of %q is not complete yet", m.Replaced)
	case m.voters() > minVoters && m.voters()%2 == 0:
		return c.removeMember(id)
	}
	for standby := range c.standbys(m) {
		return c.promoteLearner(standby, id)
	}
	if c.learnerCatchesUp(m) {
		return 0, fault.New(op, Refused, "no learner has caught up yet")
	}
	return 0, fault.New(op, NoSuccessor, "no learner can take the place of %q", id)
}

// learnerCatchesUp reports whether a learner may be promoted soon: it has replied a moment ago, or it
// has not had the time to reply to this leader.
func (c *core) learnerCatchesUp(m Membership) bool {
	return slices.ContainsFunc(m.Members, func(o Member) bool {
		p := c.peers[o.ID]
		return !o.Voter && !o.Observer && p != nil && c.now <= p.lastReplyAt+c.timing.ElectionMin
	})
}

// Release removes a member that is about to stop, without a loss of tolerance: a learner is promoted
// first where the number of voters is odd. It returns nil once the membership without the member is
// committed. The kind of an error is NotLeader, NoSuccessor (the voter keeps its place), Stopped, or
// OutcomeUnknown if ctx ends first.
func (n *Node) Release(ctx context.Context, id string) error {
	return n.changeUntil(ctx, "release member", NotMember, func() (uint64, error) { return n.core.releaseMember(id) })
}
