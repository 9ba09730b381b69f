package consensus

import (
	"context"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Leadership transfer, section 3.10 of Ongaro's dissertation. Once a transfer has started, the
// leader accepts no proposals and has no lease for the rest of its term, even if the transfer
// fails: the message to the successor may arrive late, and voters for the successor do not wait
// until a lease has ended.

// transferLeadership starts the transfer to a voter that holds the whole log. After the longest
// election timeout this node steps down in any case.
func (c *core) transferLeadership() error {
	const op = "transfer leadership"
	switch {
	case c.role != Leader:
		return &Error{Op: op, Kind: NotLeader, Err: &LeaderHint{ID: c.leaderID, Address: c.leaderAddress}}
	case c.membership().voters() == 1 && c.membership().voter(c.id):
		return fault.New(op, Refused, "there is no other voter")
	case !c.transferringLeadership():
		c.transferDeadline = c.now + c.timing.ElectionMax
		c.leaderID, c.leaderAddress = "", ""
		c.sendTimeoutNow()
	}
	return nil
}

func (c *core) transferringLeadership() bool {
	return c.transferDeadline != 0
}

// sendTimeoutNow tells the first voter that holds the whole log to start an election at once. It
// does nothing until the whole log is committed.
func (c *core) sendTimeoutNow() {
	if c.role != Leader || !c.transferringLeadership() || c.timeoutNowSent || c.log.commitIndex < c.log.lastIndex() {
		return
	}
	for _, m := range c.membership().Members {
		p := c.peers[m.ID]
		if !m.Voter || p == nil || p.matchIndex < c.log.lastIndex() || c.now > p.lastReplyAt+c.timing.ElectionMin {
			continue
		}
		c.timeoutNowSent = true
		c.sendBeforeStore(p, &AppendRequest{
			Envelope: c.requestEnvelope(m), PreviousIndex: c.log.lastIndex(), PreviousTerm: c.log.lastTerm(),
			Commit: c.log.commitIndex, TakeOver: true,
		})
		return
	}
}

// campaignAfterTransfer starts an election without waiting for the election timeout. It may do so
// in the next term only, because the leader gave up the lease of its own term and of no later one.
func (c *core) campaignAfterTransfer() {
	if c.campaignDisabled || !c.membership().voter(c.id) {
		return
	}
	c.transferredTerm = c.state.Term + 1
	c.campaign(false)
}

// TransferLeadership transfers the leadership to a voter that holds the whole log. It returns when
// this node has heard from the next leader. The kind of an error is NotLeader, Refused (there is no
// other voter), Stopped, or OutcomeUnknown if ctx ends first. After the call this node accepts no
// proposals for the rest of its term.
func (n *Node) TransferLeadership(ctx context.Context) error {
	const op = "transfer leadership"
	result := make(chan error, 1)
	err := n.runOnLoop(ctx, op, func() {
		n.core.tick(n.config.Now())
		if err := n.core.transferLeadership(); err != nil {
			result <- err
			return
		}
		n.config.Logger.Info("Transferring the leadership", zap.Uint64("term", n.core.state.Term))
		n.transferWaiters = append(n.transferWaiters, result)
	})
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), op, OutcomeUnknown, "wait for the next leader")
	case <-n.stopped:
		return fault.New(op, Stopped, "the node has stopped")
	}
}

// completeTransfers returns from the pending calls of TransferLeadership once another node leads.
func (n *Node) completeTransfers(v *publishedState) {
	if v.role == Leader || v.leaderID == "" {
		return
	}
	for _, result := range n.transferWaiters {
		result <- nil
	}
	n.transferWaiters = nil
}
