package consensus

import (
	"context"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// joinMember makes the next change towards a membership that holds a server at its address. An
// earlier learner at the address is removed first; an earlier voter stays until a learner replaces
// it. An id that was
// removed is not added again, so that no vote or log entry of its earlier time counts: a server with
// a log that is not a member gets an error of kind Removed. The kind of any other error is NotLeader,
// AlreadyMember once the change is complete, or Refused if the next change is not possible yet.
func (c *core) joinMember(s Server, hasLog bool) (uint64, error) {
	const op = "join"
	if err := c.checkMembershipCommitted(op); err != nil {
		return 0, err
	}
	m := c.membership()
	member, ok := m.find(s.ID)
	switch {
	case ok && member.Address == s.Address:
		return 0, fault.New(op, AlreadyMember, "%q is a member", s.ID)
	case ok:
		member.Address = s.Address
		return c.changeMembership(m.with(member))
	}
	if hasLog {
		// Only while its lease is valid does this leader know the latest membership.
		if c.leaseEnd() <= c.now {
			return 0, fault.New(op, Refused, "the leader's lease is not confirmed")
		}
		return 0, fault.New(op, Removed, "the members have removed %q", s.ID)
	}
	for _, o := range m.Members {
		if o.Address == s.Address && !o.Voter {
			return c.removeMember(o.ID)
		}
	}
	return c.addLearner(s)
}

// changeRetryInterval is the time between two attempts at a membership change that is not possible
// yet.
const changeRetryInterval = 20 * time.Millisecond

// Join adds a server as a learner, unless it is a member, and records its address if that has
// changed. hasLog tells whether the server holds a
// log from an earlier membership. Join returns nil once a committed membership holds the server. The
// kind of an error is Removed (the server must start with an empty directory and a new id),
// NotLeader, Stopped, or OutcomeUnknown if ctx ends first.
func (n *Node) Join(ctx context.Context, server Server, hasLog bool) error {
	return n.changeUntil(ctx, "join", AlreadyMember, func() (uint64, error) { return n.core.joinMember(server, hasLog) })
}

// changeUntil makes membership changes until change returns an error of kind done. Changes that are
// refused are tried again.
func (n *Node) changeUntil(ctx context.Context, op string, done Kind, change func() (uint64, error)) error {
	for {
		err := n.changeMembership(ctx, op, change)
		switch {
		case fault.Is(err, done):
			return nil
		case err != nil && !fault.Is(err, Refused):
			return err
		}
		if task.Pause(ctx, changeRetryInterval); ctx.Err() != nil {
			return fault.Wrap(ctx.Err(), op, OutcomeUnknown, "wait for the next change")
		}
	}
}
