package consensus

import (
	"context"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// proposal is a command or a membership change that waits for its result.
type proposal struct {
	command []byte
	term    uint64
	done    chan outcome
}

type outcome struct {
	value any
	err   error
}

func newProposal(command []byte) *proposal {
	return &proposal{command: command, done: make(chan outcome, 1)}
}

// Propose commits command and returns the state machine's result. After NotLeader, Busy, TooLarge
// and Stopped the command was not proposed. After OutcomeUnknown it may have been committed or may
// still be committed later.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	const op = "propose"
	if len(command) > MaxCommandBytes {
		return nil, fault.New(op, TooLarge, "command of %d bytes exceeds %d", len(command), MaxCommandBytes)
	}
	if n.published.Load().role != Leader {
		return nil, n.notLeaderOrStoppedError(op)
	}
	size := int64(len(command))
	pending, bytes := n.pendingProposals.Add(1), n.pendingBytes.Add(size)
	defer n.pendingProposals.Add(-1)
	defer n.pendingBytes.Add(-size)
	if pending > int64(n.config.MaxPending) || bytes > maxPendingBytes {
		return nil, fault.New(op, Busy, "too many proposals are pending")
	}
	p := newProposal(command)
	if err := n.runOnLoop(ctx, op, func() { n.proposalBatch = append(n.proposalBatch, p) }); err != nil {
		return nil, err
	}
	return n.awaitOutcome(ctx, op, p)
}

// notLeaderOrStoppedError returns a Stopped error if the node has stopped, and otherwise a NotLeader error with the
// leader that this node knows, if any.
func (n *Node) notLeaderOrStoppedError(op string) error {
	select {
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	default:
		return n.notLeaderError(op)
	}
}

func (n *Node) awaitOutcome(ctx context.Context, op string, p *proposal) (any, error) {
	select {
	case o := <-p.done:
		return o.value, o.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), op, OutcomeUnknown, "wait for the commit")
	case <-n.stopped:
	}
	select {
	case o := <-p.done:
		return o.value, o.err
	default:
		return nil, fault.New(op, OutcomeUnknown, "the node stopped before the commit")
	}
}

// proposeBatch appends the queued commands to the log. It is called on the event loop.
func (n *Node) proposeBatch() {
	if len(n.proposalBatch) == 0 {
		return
	}
	batch := n.proposalBatch
	n.proposalBatch = nil
	if n.core.role != Leader || n.core.transferringLeadership() {
		n.publish()
		for _, p := range batch {
			p.done <- outcome{err: n.notLeaderError("propose")}
		}
		return
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	first := n.core.propose(commands)
	for i, p := range batch {
		p.term = n.core.state.Term
		n.applier.registerProposal(first+uint64(i), p)
	}
}

// Read is a linearizable read barrier: it returns when the state machine has applied every command
// that was committed before the call. While the leader's lease is valid it needs no messages. After
// an error the state machine may be out of date.
func (n *Node) Read(ctx context.Context) error {
	const op = "read"
	if v := n.published.Load(); v.role != Leader {
		return n.notLeaderOrStoppedError(op)
	}
	result := make(chan readOutcome, 1)
	err := n.runOnLoop(ctx, op, func() {
		n.lastToken++
		token := n.lastToken
		n.waitingReads[token] = result
		if !n.core.registerRead(n.config.Now(), token) {
			n.publish()
			if _, open := n.waitingReads[token]; open {
				delete(n.waitingReads, token)
				result <- readOutcome{err: n.notLeaderError(op)}
			}
		}
	})
	if err != nil {
		return err
	}
	select {
	case r := <-result:
		if r.err != nil {
			return r.err
		}
		return n.applier.waitApplied(ctx, r.index)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), op, OutcomeUnknown, "wait for a quorum")
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	}
}

// AddLearner adds a member without a vote and returns when the change is committed. Only one change
// may be in progress at a time; Refused means that the change is not safe now.
func (n *Node) AddLearner(ctx context.Context, server Server) error {
	return n.changeMembership(ctx, "add learner", func() (uint64, error) { return n.core.addLearner(server) })
}

// Promote turns a learner that has caught up into a voter.
func (n *Node) Promote(ctx context.Context, id string) error {
	return n.changeMembership(ctx, "promote learner", func() (uint64, error) { return n.core.promoteLearner(id, "") })
}

// Remove removes a member.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.changeMembership(ctx, "remove member", func() (uint64, error) { return n.core.removeMember(id) })
}

func (n *Node) changeMembership(ctx context.Context, op string, change func() (uint64, error)) error {
	p := newProposal(nil)
	err := n.runOnLoop(ctx, op, func() {
		n.core.tick(n.config.Now())
		index, err := change()
		if err != nil {
			p.done <- outcome{err: err}
			return
		}
		p.term = n.core.state.Term
		n.applier.registerProposal(index, p)
	})
	if err != nil {
		return err
	}
	_, err = n.awaitOutcome(ctx, op, p)
	return err
}
