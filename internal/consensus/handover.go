package consensus

import (
	"context"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Leadership transfer, section 3.10 of Ongaro's dissertation. A leader that hands over takes no
// proposals and has no lease any more in its term, whatever becomes of the transfer: the message to
// the successor may arrive late, and the successor's votes do not wait for the end of a lease.

// handOver starts the hand-over to a voter that holds the whole log. The term of office ends with the
// longest election timeout at the latest.
func (c *core) handOver() error {
	const op = "hand over"
	switch {
	case c.role != Leader:
		return &Error{Op: op, Kind: NotLeader, Err: &LeaderHint{ID: c.leaderID, Address: c.leaderAddress}}
	case c.membership().voters() == 1 && c.membership().voter(c.id):
		return fault.New(op, Refused, "there is no other voter")
	case !c.handingOver():
		c.handOverEnd = c.now + c.timing.ElectionMax
		c.leaderID, c.leaderAddress = "", ""
		c.passOn()
	}
	return nil
}

func (c *core) handingOver() bool {
	return c.handOverEnd != 0
}

// passOn tells the first voter that holds the whole log, which must be committed, to ask for votes.
func (c *core) passOn() {
	if c.role != Leader || !c.handingOver() || c.passed || c.log.commit < c.log.last() {
		return
	}
	for _, m := range c.membership().Members {
		p := c.peers[m.ID]
		if !m.Voter || p == nil || p.match < c.log.last() || c.now > p.answered+c.timing.ElectionMin {
			continue
		}
		c.passed = true
		c.sendEarly(p, &AppendRequest{
			Envelope: c.envelope(m), PreviousIndex: c.log.last(), PreviousTerm: c.log.lastTerm(),
			Commit: c.log.commit, TakeOver: true,
		})
		return
	}
}

// takeOver asks for votes without waiting for an election timeout. The votes are asked for in the next
// term only, because the leader gave up no later lease than that of its own term.
func (c *core) takeOver() {
	if c.abstains || !c.membership().voter(c.id) {
		return
	}
	c.inherited = c.state.Term + 1
	c.campaign(false)
}

// HandOver lets a leader pass its office to a voter that holds the whole log, and returns when this
// node has heard the next leader. The kind of an error is NotLeader, Refused (there is no other
// voter), Stopped or Lost: when ctx ends first, the outcome is unknown. From the call on this node
// takes no proposals in its term.
func (n *Node) HandOver(ctx context.Context) error {
	const op = "hand over"
	result := make(chan error, 1)
	err := n.do(ctx, op, func() {
		n.core.tick(n.config.Now())
		if err := n.core.handOver(); err != nil {
			result <- err
			return
		}
		n.config.Logger.Info("Handing over the leadership", zap.Uint64("term", n.core.state.Term))
		n.handOvers = append(n.handOvers, result)
	})
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), op, Lost, "wait for the next leader")
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	}
}

// endHandOvers answers the callers of HandOver once another node leads.
func (n *Node) endHandOvers(v *view) {
	if v.role == Leader || v.leaderID == "" {
		return
	}
	for _, result := range n.handOvers {
		result <- nil
	}
	n.handOvers = nil
}
