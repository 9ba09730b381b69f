package consensus

import (
	"iter"
	"slices"
	"time"
)

// abandonFactor times ReplaceAfter is how long a member must be unreachable before it is removed
// although no learner takes its place.
const abandonFactor = 20

// An odd number of voters bears as many lost voters as the next even number, with a smaller quorum.
// The leader of a cluster with a target therefore keeps the number of voters odd: it promotes
// learners in pairs, and it removes an absent voter at once when the number is even. With an odd
// number it promotes a learner first.

// replaceLostVoters removes absent voters, or promotes learners that take their place, and records
// the leader's own address. It makes at most one membership change; a refused one is retried at the
// next heartbeat.
func (c *core) replaceLostVoters() {
	if c.timing.ReplaceAfter < 0 || c.log.commitIndex < c.termStartIndex || c.membershipIndex() > c.log.commitIndex {
		return
	}
	m := c.membership()
	if own, ok := m.find(c.id); ok && own.Address != c.address {
		own.Address = c.address
		_, _ = c.changeMembership(m.with(own))
		return
	}
	if m.Replaced != "" && m.voter(m.Replaced) {
		c.completeReplacement(m)
		return
	}
	if absent := c.absentVoter(m); absent != "" {
		c.replaceVoter(m, absent)
		return
	}
	c.growQuorum(m)
	c.dropLearners(m)
}

// completeReplacement removes the voter that the most recently promoted one replaces. If that one
// is lost before it has caught up and the other one still replies, the replacement is cancelled.
func (c *core) completeReplacement(m Membership) {
	id := m.Replaced
	if c.absent(m, m.Fresh) && !c.absent(m, m.Replaced) && c.peers[m.Fresh].matchIndex < c.membershipIndex() {
		id = m.Fresh
	}
	_, _ = c.removeMember(id)
}

// replaceVoter removes an absent voter, or promotes a learner to take its place. Without a learner
// an odd number of voters stays as it is until the voter is unlikely to return with its files. A
// voter without its files is removed before its successor is promoted, so that one instance never
// counts twice; the quorum grows again afterwards.
func (c *core) replaceVoter(m Membership, absent string) {
	if c.targetVoters >= m.voters() && c.superseded(m, absent) {
		_, _ = c.changeMembership(m.without(absent))
		return
	}
	mayRemove := c.targetVoters > 0 && m.voters() > minVoters
	if mayRemove && m.voters()%2 == 0 {
		_, _ = c.removeMember(absent)
		return
	}
	for standby := range c.standbys(m) {
		_, _ = c.promoteLearner(standby, absent)
		return
	}
	if mayRemove && c.unreachableFor(absent, abandonFactor*c.timing.ReplaceAfter) {
		_, _ = c.removeMember(absent)
	}
}

// growQuorum promotes a learner while there are fewer voters than targetVoters, so that more voters
// may be lost at the same time. It waits until there are enough learners to reach an odd number of
// voters, and while a voter is unreachable, because another voter would raise the size of a quorum.
// A learner at the address of a voter is the successor of that voter and is not promoted as an
// additional one.
func (c *core) growQuorum(m Membership) {
	voters := m.voters()
	missing := 1 + voters%2
	if voters+missing > c.targetVoters {
		return
	}
	voterAddresses := make(map[string]bool)
	for _, o := range m.Members {
		if !o.Voter {
			continue
		}
		if !c.reachableAndCaughtUp(o.ID) {
			return
		}
		voterAddresses[o.Address] = true
	}
	var learners []string
	for id := range c.standbys(m) {
		if o, _ := m.find(id); !voterAddresses[o.Address] {
			learners = append(learners, id)
		}
	}
	if len(learners) >= missing {
		_, _ = c.promoteLearner(learners[0], "")
	}
}

// dropLearners removes a learner that is unlikely to return. It can join again.
func (c *core) dropLearners(m Membership) {
	for _, o := range m.Members {
		if c.targetVoters > 0 && !o.Voter && !o.Observer && c.unreachableFor(o.ID, abandonFactor*c.timing.ReplaceAfter) {
			_, _ = c.removeMember(o.ID)
			return
		}
	}
}

// standbys yields the learners that may be promoted now.
func (c *core) standbys(m Membership) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, o := range m.Members {
			if !o.Voter && !o.Observer && c.reachableAndCaughtUp(o.ID) && !yield(o.ID) {
				return
			}
		}
	}
}

// unreachableTooLong reports whether a member has been unreachable for longer than ReplaceAfter.
func (c *core) unreachableTooLong(id string) bool {
	return c.unreachableFor(id, c.timing.ReplaceAfter)
}

func (c *core) unreachableFor(id string, d time.Duration) bool {
	p := c.peers[id]
	return p != nil && c.now > p.lastReplyAt+d
}

// absentVoter returns the voter whose place a learner should take, or an empty string: one whose
// files are known to be lost, otherwise the one that has been unreachable for the longest time.
func (c *core) absentVoter(m Membership) string {
	for _, o := range m.Members {
		if o.Voter && c.superseded(m, o.ID) {
			return o.ID
		}
	}
	longest := ""
	for id := range c.lostVoters() {
		if longest == "" || c.peers[id].lastReplyAt < c.peers[longest].lastReplyAt {
			longest = id
		}
	}
	return longest
}

func (c *core) absent(m Membership, id string) bool {
	return c.unreachableTooLong(id) || c.superseded(m, id)
}

// superseded reports whether another member replies from the address of a member. That member has
// lost its files then, because its instance has started without them.
func (c *core) superseded(m Membership, id string) bool {
	member, ok := m.find(id)
	p := c.peers[id]
	if !ok || p == nil {
		return false
	}
	return slices.ContainsFunc(m.Members, func(o Member) bool {
		if o.ID == id || o.Address != member.Address {
			return false
		}
		q := c.peers[o.ID]
		return o.ID == c.id || q != nil && q.repliedThisTerm && q.lastReplyAt > p.lastReplyAt
	})
}

// lostVoters yields the voters that have been unreachable for too long.
func (c *core) lostVoters() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, m := range c.membership().Members {
			if m.Voter && c.unreachableTooLong(m.ID) && !yield(m.ID) {
				return
			}
		}
	}
}
