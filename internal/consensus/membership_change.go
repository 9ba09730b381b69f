package consensus

import (
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// maxPromotionLag is the maximum number of entries that a learner may lack when it is promoted.
// These arrive within one or two messages, so commits are not noticeably delayed.
const maxPromotionLag = 64

// minVoters is the number of voters below which none is removed, so that the loss of one voter
// never costs the quorum.
const minVoters = 3

// changeMembership proposes a membership and returns the index of its entry. Only one change may be
// in progress at a time.
func (c *core) changeMembership(next Membership) (uint64, error) {
	if err := c.checkMembershipCommitted("change membership"); err != nil {
		return 0, err
	}
	if err := c.checkChange(next); err != nil {
		return 0, err
	}
	index := c.appendEntry(membershipEntry, next.encode())
	c.memberships = append(c.memberships, indexedMembership{index: index, Membership: next})
	c.syncPeers()
	c.replicate()
	return index, nil
}

// checkMembershipCommitted returns an error unless this node leads and knows that the latest
// membership is committed.
func (c *core) checkMembershipCommitted(op string) error {
	switch {
	case c.role != Leader || c.transferringLeadership():
		return &Error{Op: op, Kind: NotLeader, Err: &LeaderHint{ID: c.leaderID, Address: c.leaderAddress}}
	case c.log.commitIndex < c.termStartIndex:
		// Ongaro's correction of 2015: a leader that has not committed an entry of its own term may
		// not know the latest committed membership.
		return fault.New(op, Refused, "the leader has not committed an entry of its term yet")
	case c.membershipIndex() > c.log.commitIndex:
		return fault.New(op, Refused, "the change at entry %d is not committed yet", c.membershipIndex())
	}
	return nil
}

// checkChange refuses a membership whose quorum could not commit entries now. While the most
// recently promoted voter is catching up, it also refuses every change except the removal of that
// voter or of an absent one.
func (c *core) checkChange(next Membership) error {
	const op = "change membership"
	promotedVoter := c.membership().Fresh
	if c.catchingUp(promotedVoter) && next.voter(promotedVoter) && !c.removesAbsentVoter(next) {
		return fault.New(op, Refused, "voter %q has not caught up yet", promotedVoter)
	}
	reachable := 0
	for _, m := range next.Members {
		if m.Voter && c.reachableAndCaughtUp(m.ID) {
			reachable++
		}
	}
	if voters := next.voters(); voters == 0 || reachable < quorum(voters) {
		return fault.New(op, Refused, "only %d of %d voters would be reachable and caught up", reachable, voters)
	}
	return nil
}

// catchingUp reports whether a promoted voter may not hold its own promotion yet and may still
// reply.
func (c *core) catchingUp(id string) bool {
	p := c.peers[id]
	return p != nil && p.matchIndex < c.membershipIndex() && !c.unreachableTooLong(id)
}

func (c *core) removesAbsentVoter(next Membership) bool {
	m := c.membership()
	return slices.ContainsFunc(m.Members, func(o Member) bool {
		_, stays := next.find(o.ID)
		return o.Voter && !stays && c.absent(m, o.ID)
	})
}

// reachableAndCaughtUp reports whether a member replies and its log is close to the end of the
// leader's.
func (c *core) reachableAndCaughtUp(id string) bool {
	if id == c.id {
		return true
	}
	p := c.peers[id]
	return p != nil && p.repliedThisTerm && c.now <= p.lastReplyAt+c.timing.ElectionMin &&
		p.matchIndex+maxPromotionLag >= c.log.commitIndex && p.matchIndex > 0
}

func (c *core) addLearner(s Server) (uint64, error) {
	if _, ok := c.membership().find(s.ID); ok && c.role == Leader {
		return 0, fault.New("add learner", Refused, "%q is a member already", s.ID)
	}
	return c.changeMembership(c.membership().with(Member{ID: s.ID, Address: s.Address, Observer: s.Observer}))
}

func (c *core) promoteLearner(id, replaced string) (uint64, error) {
	const op = "promote learner"
	if c.role == Leader {
		m, ok := c.membership().find(id)
		switch {
		case !ok || m.Voter:
			return 0, fault.New(op, Refused, "%q is not a learner", id)
		case !c.reachableAndCaughtUp(id):
			return 0, fault.New(op, Refused, "%q is not reachable or has not caught up", id)
		}
		m.Voter = true
		m.Incarnation = c.peers[id].incarnation
		next := c.membership().with(m)
		next.Fresh = id
		if replaced != "" {
			next.Replaced = replaced
		}
		return c.changeMembership(next)
	}
	return c.changeMembership(Membership{})
}

func (c *core) removeMember(id string) (uint64, error) {
	if _, ok := c.membership().find(id); !ok && c.role == Leader {
		return 0, fault.New("remove member", Refused, "%q is not a member", id)
	}
	m := c.membership()
	if m.voter(id) && m.voters() <= minVoters && id != m.Replaced {
		return 0, fault.New("remove member", Refused, "%d voters are the minimum; add and promote another one first", minVoters)
	}
	return c.changeMembership(m.without(id))
}
