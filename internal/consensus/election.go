package consensus

// campaign starts an election: with pre it asks whether the votes would be granted, which disturbs
// nobody, and only then takes a new term.
func (c *core) campaign(pre bool) {
	c.leaderID, c.leaderAddress = "", ""
	c.role = PreCandidate
	asked := c.state.Term + 1
	if !pre {
		c.role = Candidate
		c.state.Term = asked
		c.state.Vote = c.id
		c.stateChanged = true
	}
	c.votes = map[string]bool{c.id: true} // counted only if this node is a voter
	c.resetElection()
	if c.won() {
		return
	}
	for _, m := range c.membership().Members {
		if !m.Voter || m.ID == c.id {
			continue
		}
		request := &VoteRequest{
			Envelope: c.envelope(m), Pre: pre,
			LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), MembershipIndex: c.membershipIndex(),
			TakeOver: asked == c.inherited,
		}
		request.Term = asked
		c.send(m, request)
	}
}

// won moves a candidate with a quorum of votes on.
func (c *core) won() bool {
	m := c.membership()
	n := 0
	for _, o := range m.Members {
		if o.Voter && c.votes[o.ID] {
			n++
		}
	}
	if n < quorum(m.voters()) {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(false)
	} else {
		c.becomeLeader()
	}
	return true
}

func (c *core) onVoteRequest(token uint64, request *VoteRequest) {
	if request.Bootstrap {
		c.onBootstrapRequest(token, request)
		return
	}
	if request.Probe {
		c.onProbe(token, request)
		return
	}
	// Evaluated before the term changes: a vote for a term must not be spent on a wrong candidate.
	grant := c.grants(request)
	if grant && !request.Pre {
		if request.Term > c.state.Term {
			c.becomeFollower(request.Term)
		}
		c.state.Vote = request.From
		c.stateChanged = true
		c.resetElection()
	} else if !request.Pre && request.Term > c.state.Term && c.hears(request) {
		c.becomeFollower(request.Term)
	}
	reply := &VoteReply{
		Envelope: c.replyEnvelope(&request.Envelope), Pre: request.Pre, Granted: grant, Removed: c.removedBefore(request),
	}
	c.reply(token, &request.Envelope, reply)
}

// hears reports whether a vote request may influence this node. Only requests that name this
// incarnation as a voter count: a learner never votes unless the candidate's log promotes it, and a
// node that lost its files never votes. Within the shortest election timeout after a leader was heard
// no request counts, which keeps the leader's lease valid, unless the leader has given it up by handing
// over to the candidate.
func (c *core) hears(request *VoteRequest) bool {
	if request.To != c.id || request.ToIncarnation != c.incarnation || c.foreign(&request.Envelope) {
		return false
	}
	c.confirmBootstrap()
	c.abstains = false
	if c.role == Leader && !c.handingOver() {
		return false
	}
	return request.TakeOver || c.now >= c.leaderContact+c.timing.ElectionMin
}

// removedBefore reports whether the sender is missing from a committed membership that it does not
// have yet. It would ask for votes for ever otherwise.
func (c *core) removedBefore(request *VoteRequest) bool {
	_, member := c.membership().find(request.From)
	return !member && c.recorded() && c.membershipIndex() <= c.log.commit && request.MembershipIndex < c.membershipIndex()
}

func (c *core) grants(request *VoteRequest) bool {
	if !c.hears(request) || c.bootstrapping() {
		return false
	}
	last, lastTerm := c.log.last(), c.log.lastTerm()
	if request.LastTerm < lastTerm || request.LastTerm == lastTerm && request.LastIndex < last {
		return false
	}
	if request.Pre {
		return request.Term > c.state.Term
	}
	return request.Term > c.state.Term ||
		request.Term == c.state.Term && (c.state.Vote == "" || c.state.Vote == request.From)
}

func (c *core) onVoteReply(reply *VoteReply) {
	if reply.Bootstrap {
		c.onBootstrapReply(reply)
		return
	}
	if reply.Probe {
		c.onProbeReply(reply)
		return
	}
	member, ok := c.membership().find(reply.From)
	if !ok || !member.Voter || member.Incarnation != reply.FromIncarnation {
		return
	}
	if reply.Removed {
		c.out.removed = true
		return
	}
	if reply.Term > c.state.Term {
		c.becomeFollower(reply.Term)
		return
	}
	if !reply.Granted {
		return
	}
	pre := c.role == PreCandidate && reply.Pre && reply.Asked == c.state.Term+1
	real := c.role == Candidate && !reply.Pre && reply.Asked == c.state.Term
	if pre || real {
		c.votes[reply.From] = true
		c.won()
	}
}
