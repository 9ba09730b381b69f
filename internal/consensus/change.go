package consensus

import (
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// caughtUpEntries is how far a learner may be behind when it is promoted. The rest arrives within a
// message or two, so the commit does not wait for it noticeably.
const caughtUpEntries = 64

// minVoters stay when voters are removed, so that the loss of one never costs the quorum.
const minVoters = 3

// change proposes a membership and returns its index. One change is made at a time.
func (c *core) change(next Membership) (uint64, error) {
	const op = "change membership"
	switch {
	case c.role != Leader || c.handingOver():
		return 0, &Error{Op: op, Kind: NotLeader, Err: &LeaderHint{ID: c.leaderID, Address: c.leaderAddress}}
	case c.log.commit < c.termStart:
		// Ongaro's correction of 2015: without an entry of its own term a leader may not know the
		// latest committed membership.
		return 0, fault.New(op, Refused, "the leader has not committed an entry of its term yet")
	case c.membershipIndex() > c.log.commit:
		return 0, fault.New(op, Refused, "the change at entry %d is not committed yet", c.membershipIndex())
	}
	if err := c.safe(next); err != nil {
		return 0, err
	}
	index := c.appendEntry(membershipEntry, next.encode())
	c.memberships = append(c.memberships, membershipAt{index: index, Membership: next})
	c.syncPeers()
	c.replicate()
	return index, nil
}

// safe refuses a membership whose quorum could not commit now, and any change but the removal of a
// fresh voter that has not caught up.
func (c *core) safe(next Membership) error {
	const op = "change membership"
	fresh := c.membership().Fresh
	if p := c.peers[fresh]; p != nil && p.match < c.membershipIndex() {
		if _, stays := next.find(fresh); stays {
			return fault.New(op, Refused, "voter %q has not caught up yet", fresh)
		}
	}
	live := 0
	for _, m := range next.Members {
		if m.Voter && c.live(m.ID) {
			live++
		}
	}
	if voters := next.voters(); voters == 0 || live < quorum(voters) {
		return fault.New(op, Refused, "only %d of %d voters would be reachable and caught up", live, voters)
	}
	return nil
}

// live reports whether a member answers and its log is near the end of the leader's.
func (c *core) live(id string) bool {
	if id == c.id {
		return true
	}
	p := c.peers[id]
	return p != nil && p.contacted && c.now <= p.answered+c.timing.ElectionMin &&
		p.match+caughtUpEntries >= c.log.commit && p.match > 0
}

func (c *core) addLearner(s Server) (uint64, error) {
	if _, ok := c.membership().find(s.ID); ok && c.role == Leader {
		return 0, fault.New("add learner", Refused, "%q is a member already", s.ID)
	}
	return c.change(c.membership().with(Member{ID: s.ID, Address: s.Address, Observer: s.Observer}))
}

func (c *core) promote(id, replaced string) (uint64, error) {
	const op = "promote learner"
	if c.role == Leader {
		m, ok := c.membership().find(id)
		switch {
		case !ok || m.Voter:
			return 0, fault.New(op, Refused, "%q is not a learner", id)
		case !c.live(id):
			return 0, fault.New(op, Refused, "%q is not reachable or has not caught up", id)
		}
		m.Voter = true
		m.Incarnation = c.peers[id].incarnation
		next := c.membership().with(m)
		next.Fresh = id
		if replaced != "" {
			next.Replaced = replaced
		}
		return c.change(next)
	}
	return c.change(Membership{})
}

func (c *core) remove(id string) (uint64, error) {
	if _, ok := c.membership().find(id); !ok && c.role == Leader {
		return 0, fault.New("remove member", Refused, "%q is not a member", id)
	}
	m := c.membership()
	if m.voter(id) && m.voters() <= minVoters {
		return 0, fault.New("remove member", Refused, "%d voters are the minimum; add and promote another one first", minVoters)
	}
	return c.change(m.without(id))
}

// replace promotes a standby when a voter has been unreachable for long, and removes the lost voter
// once the standby has caught up. A refused step is tried again at the next heartbeat.
func (c *core) replace() {
	if c.timing.ReplaceAfter < 0 || c.log.commit < c.termStart || c.membershipIndex() > c.log.commit {
		return
	}
	m := c.membership()
	if m.Replaced != "" && m.voter(m.Replaced) {
		if c.lost(m.Fresh) && c.peers[m.Fresh].match < c.membershipIndex() {
			_, _ = c.remove(m.Fresh)
			return
		}
		_, _ = c.remove(m.Replaced)
		return
	}
	lost := c.lostVoter()
	if lost == "" {
		c.grow(m)
		return
	}
	for _, o := range m.Members {
		if !o.Voter && !o.Observer && c.live(o.ID) {
			_, _ = c.promote(o.ID, lost)
			return
		}
	}
}

// grow promotes a standby while there are fewer voters than wanted, so that more of them may be lost at once. It
// waits while a voter is not reachable, because one more voter raises the majority. A learner at the address of a voter
// is the successor of that voter and takes no other place.
func (c *core) grow(m Membership) {
	if m.voters() >= c.wanted {
		return
	}
	taken := make(map[string]bool)
	for _, o := range m.Members {
		if !o.Voter {
			continue
		}
		if !c.live(o.ID) {
			return
		}
		taken[o.Address] = true
	}
	for _, o := range m.Members {
		if !o.Voter && !o.Observer && !taken[o.Address] && c.live(o.ID) {
			_, _ = c.promote(o.ID, "")
			return
		}
	}
}

// lost reports whether a member has been unreachable for the replacement time.
func (c *core) lost(id string) bool {
	p := c.peers[id]
	return p != nil && c.now > p.answered+c.timing.ReplaceAfter
}

func (c *core) lostVoter() string {
	for _, m := range c.membership().Members {
		if m.Voter && c.lost(m.ID) {
			return m.ID
		}
	}
	return ""
}
