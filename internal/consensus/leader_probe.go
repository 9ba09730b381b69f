package consensus

import "time"

// A leader that can call its followers but cannot be called by anybody still gets their replies, so
// check-quorum does not notice the fault. Therefore the followers probe the leader, and their
// replies to its AppendEntries requests report when the probes fail.

// maxProbesWithoutReply is the number of consecutive probes without a reply after which a follower
// reports its leader as unreachable. With the default timing this takes 0.9 to 1.2 s. A single lost
// probe is normal whenever a connection is re-established.
const maxProbesWithoutReply = 3

// probeInterval is the time between two probes.
func (t Timing) probeInterval() time.Duration {
	return t.ElectionMin
}

// recordLeader records the sender of a request as the leader.
func (c *core) recordLeader(e *Envelope) {
	if c.leaderID != e.From {
		c.probesWithoutReply, c.probeDue = 0, c.now+c.timing.probeInterval()
	}
	c.leaderID, c.leaderAddress = e.From, e.FromAddress
	c.lastLeaderContact = c.now
	c.campaignDisabled = false
}

// probing reports whether this node probes its leader.
func (c *core) probing() bool {
	return c.role == Follower && c.leaderID != "" && c.membership().voter(c.id)
}

// sendProbe sends the leader a request that changes nothing there, if one is due. Failures are
// counted rather than timed, so that a node that was frozen does not report its leader as
// unreachable.
func (c *core) sendProbe() {
	if !c.probing() || c.now < c.probeDue {
		return
	}
	leader, ok := c.membership().find(c.leaderID)
	if !ok {
		return
	}
	c.probeDue = c.now + c.timing.probeInterval()
	c.probesWithoutReply++
	c.send(leader, &VoteRequest{Envelope: c.requestEnvelope(leader), Pre: true, Probe: true})
}

func (c *core) onProbe(token uint64, request *VoteRequest) {
	c.reply(token, &request.Envelope, &VoteReply{Envelope: c.replyEnvelope(&request.Envelope), Pre: true, Probe: true})
}

func (c *core) onProbeReply(reply *VoteReply) {
	if reply.From == c.leaderID {
		c.probesWithoutReply = 0
	}
}

// cannotReachLeader reports whether this node cannot reach its leader.
func (c *core) cannotReachLeader() bool {
	return c.probing() && c.probesWithoutReply > maxProbesWithoutReply
}

// transferIfUnreachable transfers the leadership when a quorum of voters cannot reach this leader.
// A quorum can elect another leader without this node's vote; with fewer voters the transfer could
// leave the cluster without a leader. This node would also win the next election, because its own
// requests arrive, so it does not campaign again until it receives a request.
func (c *core) transferIfUnreachable() {
	if c.role != Leader || c.transferringLeadership() {
		return
	}
	unreachableFrom := 0
	for _, m := range c.membership().Members {
		p := c.peers[m.ID]
		if m.Voter && p != nil && p.cannotReachLeader && c.now <= p.lastReplyAt+c.timing.ElectionMin {
			unreachableFrom++
		}
	}
	if unreachableFrom < quorum(c.membership().voters()) {
		return
	}
	c.campaignDisabled = true
	_ = c.transferLeadership() // It cannot fail: this node leads and there are other voters.
}
