package consensus

import "time"

// A leader whose calls pass while nobody can call it keeps the answers of its followers, so
// check-quorum does not notice. Its followers therefore probe it, and their answers to its Append
// messages say when the probes fail.

// maxProbes is the number of probes in a row without an answer after which a follower reports its
// leader as unreachable: 0.9 to 1.2 s with the default times. A single lost probe happens whenever a
// connection is made again.
const maxProbes = 3

// probeInterval is the time between two probes.
func (t Timing) probeInterval() time.Duration {
	return t.ElectionMin
}

// followLeader notes the leader that sent a request.
func (c *core) followLeader(e *Envelope) {
	if c.leaderID != e.From {
		c.probes, c.probeDue = 0, c.now+c.timing.probeInterval()
	}
	c.leaderID, c.leaderAddress = e.From, e.FromAddress
	c.leaderContact = c.now
	c.abstains = false
}

// probing reports whether this node probes its leader.
func (c *core) probing() bool {
	return c.role == Follower && c.leaderID != "" && c.membership().voter(c.id)
}

// probe sends the leader a request that changes nothing there. Probes are counted and not timed, so
// that a node that was frozen does not blame its leader.
func (c *core) probe() {
	if !c.probing() || c.now < c.probeDue {
		return
	}
	leader, ok := c.membership().find(c.leaderID)
	if !ok {
		return
	}
	c.probeDue = c.now + c.timing.probeInterval()
	c.probes++
	c.send(leader, &VoteRequest{Envelope: c.envelope(leader), Pre: true, Probe: true})
}

func (c *core) onProbe(token uint64, request *VoteRequest) {
	c.reply(token, &request.Envelope, &VoteReply{Envelope: c.replyEnvelope(&request.Envelope), Pre: true, Probe: true})
}

func (c *core) onProbeReply(reply *VoteReply) {
	if reply.From == c.leaderID {
		c.probes = 0
	}
}

// unreached reports whether this node cannot reach its leader.
func (c *core) unreached() bool {
	return c.probing() && c.probes > maxProbes
}

// checkReach hands over the office of a leader that a quorum of voters cannot reach. They can elect
// another one without this node's vote; fewer could not, and the group would lose its only leader.
// This node would win the next election as well, because its requests pass, so it abstains until it
// hears a request again.
func (c *core) checkReach() {
	if c.role != Leader || c.handingOver() {
		return
	}
	failed := 0
	for _, m := range c.membership().Members {
		p := c.peers[m.ID]
		if m.Voter && p != nil && p.unreached && c.now <= p.answered+c.timing.ElectionMin {
			failed++
		}
	}
	if failed < quorum(c.membership().voters()) {
		return
	}
	c.abstains = true
	_ = c.handOver() // It leads, and a quorum of others exists.
}
