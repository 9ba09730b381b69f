package consensus

import (
	"context"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// proposal waits for the result of a command or a membership change.
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

// Propose commits command and returns the state machine's result. After NotLeader, Busy, TooLarge and
// Stopped the command was not proposed; after Lost it may have been committed or may still be.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	const op = "propose"
	if len(command) > MaxCommandBytes {
		return nil, fault.New(op, TooLarge, "command of %d bytes exceeds %d", len(command), MaxCommandBytes)
	}
	if n.view.Load().role != Leader {
		return nil, n.refusal(op)
	}
	size := int64(len(command))
	pending, bytes := n.pending.Add(1), n.bytes.Add(size)
	defer n.pending.Add(-1)
	defer n.bytes.Add(-size)
	if pending > int64(n.config.MaxPending) || bytes > maxPendingBytes {
		return nil, fault.New(op, Busy, "too many proposals are pending")
	}
	p := newProposal(command)
	if err := n.do(ctx, op, func() { n.batch = append(n.batch, p) }); err != nil {
		return nil, err
	}
	return n.await(ctx, op, p)
}

// refusal is the error of a node that does not lead.
func (n *Node) refusal(op string) error {
	select {
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	default:
		return n.notLeader(op)
	}
}

func (n *Node) await(ctx context.Context, op string, p *proposal) (any, error) {
	select {
	case o := <-p.done:
		return o.value, o.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), op, Lost, "wait for the commit")
	case <-n.stopped:
	}
	select {
	case o := <-p.done:
		return o.value, o.err
	default:
		return nil, fault.New(op, Lost, "the node stopped before the commit")
	}
}

// proposeBatch appends the commands that queued, on the event loop.
func (n *Node) proposeBatch() {
	if len(n.batch) == 0 {
		return
	}
	batch := n.batch
	n.batch = nil
	if n.core.role != Leader || n.core.handingOver() {
		n.publish()
		for _, p := range batch {
			p.done <- outcome{err: n.notLeader("propose")}
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
		n.applier.expect(first+uint64(i), p)
	}
}

// Read returns when the state machine holds every command that was committed before the call. It
// takes no message while the leader's lease holds. After an error nothing is known.
func (n *Node) Read(ctx context.Context) error {
	const op = "read"
	if v := n.view.Load(); v.role != Leader {
		return n.refusal(op)
	}
	result := make(chan readOutcome, 1)
	err := n.do(ctx, op, func() {
		n.token++
		token := n.token
		n.reads[token] = result
		if !n.core.read(n.config.Now(), token) {
			n.publish()
			if _, open := n.reads[token]; open {
				delete(n.reads, token)
				result <- readOutcome{err: n.notLeader(op)}
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
		return n.applier.wait(ctx, r.index)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), op, Lost, "wait for a quorum")
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	}
}

// AddLearner adds a member without a vote and returns when the change is committed. One change is
// made at a time; Refused means that it is not safe now.
func (n *Node) AddLearner(ctx context.Context, server Server) error {
	return n.changeMembership(ctx, "add learner", func() (uint64, error) { return n.core.addLearner(server) })
}

// Promote makes a learner that has caught up a voter.
func (n *Node) Promote(ctx context.Context, id string) error {
	return n.changeMembership(ctx, "promote learner", func() (uint64, error) { return n.core.promote(id, "") })
}

// Remove removes a member.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.changeMembership(ctx, "remove member", func() (uint64, error) { return n.core.remove(id) })
}

func (n *Node) changeMembership(ctx context.Context, op string, change func() (uint64, error)) error {
	p := newProposal(nil)
	err := n.do(ctx, op, func() {
		n.core.tick(n.config.Now())
		index, err := change()
		if err != nil {
			p.done <- outcome{err: err}
			return
		}
		p.term = n.core.state.Term
		n.applier.expect(index, p)
	})
	if err != nil {
		return err
	}
	_, err = n.await(ctx, op, p)
	return err
}
