package consensus

// campaign starts an election. With preVote it only asks whether the votes would be granted, which
// does not disturb the cluster; the term is incremented once a quorum agrees.
func (c *core) campaign(preVote bool) {
	c.recordFailedCampaign()
	c.leaderID, c.leaderAddress = "", ""
	c.role = PreCandidate
	term := c.state.Term + 1
	if !preVote {
		c.role = Candidate
		c.state.Term = term
		c.state.Vote = c.id
		c.stateChanged = true
	}
	c.votes = map[string]bool{c.id: true} // Counted only if this node is a voter.
	c.resetElectionDeadline()
	if c.advanceIfElected() {
		return
	}
	for _, m := range c.membership().Members {
		if !m.Voter || m.ID == c.id {
			continue
		}
		request := &VoteRequest{
			Envelope: c.requestEnvelope(m), Pre: preVote,
			LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm(), MembershipIndex: c.membershipIndex(),
			TakeOver: term == c.transferredTerm,
		}
		request.Term = term
		c.send(m, request)
	}
}

// advanceIfElected starts the election after a successful pre-vote, or becomes leader after a
// successful election. It reports whether a quorum has granted its votes.
func (c *core) advanceIfElected() bool {
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
	// This must be evaluated before the term changes, so that the vote of the new term is not given
	// to an ineligible candidate.
	grant := c.grantsVote(request)
	if grant && !request.Pre {
		if request.Term > c.state.Term {
			c.becomeFollower(request.Term)
		}
		c.state.Vote = request.From
		c.stateChanged = true
		c.resetElectionDeadline()
	} else if !request.Pre && request.Term > c.state.Term && c.acceptsVoteRequest(request) {
		c.becomeFollower(request.Term)
	}
	reply := &VoteReply{
		Envelope: c.replyEnvelope(&request.Envelope), Pre: request.Pre, Granted: grant, Removed: c.senderRemoved(request),
	}
	c.reply(token, &request.Envelope, reply)
}

// acceptsVoteRequest reports whether a vote request may have any effect on this node. Only requests
// that name this node's incarnation as a voter count: a learner never votes unless the candidate's
// log promotes it, and a node that lost its files never votes. Such a request also ends the
// bootstrap and lets this node campaign again. A leader rejects all requests unless it is
// transferring its leadership. For the shortest election timeout after the last contact with a
// leader all requests are rejected, which keeps the leader's lease valid. The exception is a
// candidate to which the leader transferred its leadership and thus gave up the lease.
func (c *core) acceptsVoteRequest(request *VoteRequest) bool {
	if request.To != c.id || request.ToIncarnation != c.incarnation || c.senderIncarnationDiffers(&request.Envelope) {
		return false
	}
	c.endBootstrap()
	c.campaignDisabled = false
	if c.role == Leader && !c.transferringLeadership() {
		return false
	}
	return request.TakeOver || c.now >= c.lastLeaderContact+c.timing.ElectionMin
}

// senderRemoved reports whether a committed membership excludes the sender and the sender knows no
// later one. If it is not told, the sender campaigns forever. It may hold the membership itself
// without knowing that it is committed.
func (c *core) senderRemoved(request *VoteRequest) bool {
	_, member := c.membership().find(request.From)
	return !member && c.membershipRecorded() && c.membershipIndex() <= c.log.commitIndex && request.MembershipIndex <= c.membershipIndex()
}

func (c *core) grantsVote(request *VoteRequest) bool {
	if !c.acceptsVoteRequest(request) || c.bootstrapping() {
		return false
	}
	last, lastTerm := c.log.lastIndex(), c.log.lastTerm()
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
	preVoteReply := c.role == PreCandidate && reply.Pre && reply.Asked == c.state.Term+1
	voteReply := c.role == Candidate && !reply.Pre && reply.Asked == c.state.Term
	if !preVoteReply && !voteReply {
		return
	}
	// A late refusal of an earlier pre-vote does not cancel a vote.
	c.votes[reply.From] = c.votes[reply.From] || reply.Granted
	if reply.Granted {
		c.advanceIfElected()
	}
}

// failedCampaign describes an election that ended without a leader. The lists hold the ids of the
// voters that granted their vote, refused it, or did not reply.
type failedCampaign struct {
	term                     uint64
	quorum                   int
	granted, refused, silent []string
}

// recordFailedCampaign records the result of an election that is still pending when the next one
// starts. A successful pre-vote is not a failure.
func (c *core) recordFailedCampaign() {
	m := c.membership()
	if c.role != PreCandidate && c.role != Candidate {
		return
	}
	result := &failedCampaign{term: c.state.Term, quorum: quorum(m.voters())}
	for _, o := range m.Members {
		granted, replied := c.votes[o.ID]
		switch {
		case !o.Voter:
		case granted:
			result.granted = append(result.granted, o.ID)
		case replied:
			result.refused = append(result.refused, o.ID)
		default:
			result.silent = append(result.silent, o.ID)
		}
	}
	if len(result.granted) < result.quorum {
		c.out.failedCampaign = result
	}
}
