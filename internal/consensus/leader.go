package consensus

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// leaseFraction is the duration of a lease as a fraction of the shortest election timeout, counted
// from when the heartbeat was sent. The remaining 10 % allow for clocks that run at different
// rates.
const leaseFraction = 0.9

func (c *core) becomeLeader() {
	c.role = Leader
	c.leaderID, c.leaderAddress = c.id, c.address
	c.votes = nil
	c.partialSnapshot = nil
	c.peers = make(map[string]*progress)
	c.syncPeers()
	c.termStartIndex = c.log.lastIndex() + 1
	c.appendEntry(noopEntry, nil)
	c.heartbeatDue = c.now
	c.tickLeader()
	c.replicate()
}

// syncPeers adds and removes peers according to the current membership.
func (c *core) syncPeers() {
	m := c.membership()
	for id := range c.peers {
		if _, ok := m.find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, o := range m.Members {
		if o.ID == c.id {
			continue
		}
		if c.peers[o.ID] == nil {
			// The last entry is sent even if the member may hold it, because the reply shows where
			// the member's log ends.
			c.peers[o.ID] = &progress{nextIndex: max(1, c.log.lastIndex()), lastReplyAt: c.now, incarnation: o.Incarnation}
		}
		c.peers[o.ID].member = o
	}
}

func (c *core) appendEntry(entryType uint8, data []byte) uint64 {
	index := c.log.lastIndex() + 1
	c.log.append(journal.Entry{Index: index, Term: c.state.Term, Type: entryType, Data: data})
	return index
}

// propose appends commands to the log and returns the index of the first one.
func (c *core) propose(commands [][]byte) uint64 {
	first := c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendEntry(commandEntry, command)
	}
	c.replicate()
	return first
}

func (c *core) tickLeader() {
	// Check-quorum: without replies from a quorum for one election timeout another leader may
	// exist.
	lastQuorumReply := c.quorumTime(c.now, func(p *progress) time.Duration { return p.lastReplyAt })
	if c.now > lastQuorumReply+c.timing.ElectionMin {
		c.becomeFollower(c.state.Term)
		return
	}
	if c.transferringLeadership() && c.now >= c.transferDeadline {
		c.becomeFollower(c.state.Term)
		return
	}
	if c.now < c.heartbeatDue {
		return
	}
	c.heartbeatDue = c.now + c.timing.Heartbeat
	c.heartbeat()
	c.replaceLostVoters()
}

// heartbeat sends each member an AppendEntries request without entries, at the last entry known to
// match. It also resends a data request whose reply is overdue.
func (c *core) heartbeat() {
	for _, m := range c.membership().Members {
		p := c.peers[m.ID]
		if p == nil {
			continue
		}
		if p.inflightSequence != 0 && c.now > p.sentAt+c.timing.ElectionMax {
			p.inflightSequence = 0
		}
		previous := min(p.matchIndex, c.log.lastIndex())
		term, ok := c.log.term(previous)
		if !ok {
			// The log no longer holds that entry. The reply to a later one still shows that the
			// member is reachable.
			previous, term = c.log.lastIndex(), c.log.lastTerm()
		}
		c.sendBeforeStore(p, &AppendRequest{
			Envelope: c.requestEnvelope(p.member), PreviousIndex: previous, PreviousTerm: term, Commit: min(c.log.commitIndex, previous),
		})
		c.sendData(p)
	}
}

// sendBeforeStore sends an AppendEntries request without waiting for the local sync, unless the
// current term itself is not stored yet.
func (c *core) sendBeforeStore(p *progress, request *AppendRequest) {
	m := message{to: p.member.ID, address: p.member.Address, body: request}
	if c.stateChanged {
		c.out.messagesAfterStore = append(c.out.messagesAfterStore, m)
		return
	}
	c.out.messagesBeforeStore = append(c.out.messagesBeforeStore, m)
}

func (c *core) replicate() {
	for _, m := range c.membership().Members {
		if p := c.peers[m.ID]; p != nil {
			c.sendData(p)
		}
	}
}

// sendData sends the next entries or the next chunk of a snapshot, unless a data request is in
// flight.
func (c *core) sendData(p *progress) {
	if p.inflightSequence != 0 {
		return
	}
	if p.snapshot == nil {
		if p.nextIndex > c.log.lastIndex() {
			return
		}
		term, ok := c.log.term(p.nextIndex - 1)
		if ok {
			entries := c.log.entriesWithinSize(p.nextIndex, maxAppendBytes)
			request := &AppendRequest{
				Envelope: c.requestEnvelope(p.member), PreviousIndex: p.nextIndex - 1, PreviousTerm: term, Entries: entries, Commit: c.log.commitIndex,
			}
			c.sendBeforeStore(p, request)
			p.inflightSequence, p.sentAt = request.Sequence, c.now
			return
		}
		meta := c.log.snapshot
		p.snapshot, p.snapshotOffset = &meta, 0
	}
	request := &SnapshotRequest{Envelope: c.requestEnvelope(p.member), Meta: *p.snapshot, Offset: p.snapshotOffset}
	c.send(p.member, request)
	p.inflightSequence, p.sentAt = request.Sequence, c.now
}

// acceptReply handles what all replies to a leader have in common. It returns the member's
// progress, or nil if the reply must be ignored.
func (c *core) acceptReply(e *Envelope, foreign bool) *progress {
	if e.Term > c.state.Term && !foreign && !c.senderIncarnationDiffers(e) {
		c.becomeFollower(e.Term)
		return nil
	}
	// A reply to a request of an earlier term says nothing about the current term.
	if c.role != Leader || e.Term != c.state.Term || e.Asked != c.state.Term {
		return nil
	}
	p := c.peers[e.From]
	if p == nil {
		return nil
	}
	if foreign || p.incarnation != e.FromIncarnation {
		if p.member.Voter {
			return nil
		}
		// A learner may have restarted with empty files.
		p.reset(e.FromIncarnation)
		if foreign {
			return nil
		}
	}
	p.lastReplyAt, p.repliedThisTerm = c.now, true
	p.confirmedSentAt = max(p.confirmedSentAt, time.Duration(e.Sent))
	if p.inflightSequence == e.Sequence {
		p.inflightSequence = 0
	}
	return p
}

func (c *core) onAppendReply(reply *AppendReply) {
	isDataReply := false
	if p := c.peers[reply.From]; p != nil {
		isDataReply = p.inflightSequence == reply.Sequence
	}
	p := c.acceptReply(&reply.Envelope, reply.Foreign)
	if p == nil {
		return
	}
	p.cannotReachLeader = reply.Unreached
	switch {
	case reply.Success:
		p.matchIndex = max(p.matchIndex, min(reply.Match, c.log.lastIndex()))
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		if p.snapshot != nil && p.matchIndex >= p.snapshot.Index {
			p.snapshot = nil
		}
	case isDataReply:
		p.nextIndex = max(p.matchIndex+1, min(p.nextIndex-1, reply.Match+1))
	}
	c.advanceCommit()
	c.resolveReads()
	c.transferIfUnreachable()
	c.sendTimeoutNow()
	if c.role == Leader {
		c.sendData(p)
	}
}

func (c *core) onSnapshotReply(reply *SnapshotReply) {
	p := c.acceptReply(&reply.Envelope, reply.Foreign)
	if p == nil || p.snapshot == nil || p.snapshot.Index != reply.Index {
		return
	}
	p.snapshotOffset = reply.Offset
	if reply.Installed {
		p.matchIndex = max(p.matchIndex, reply.Index)
		p.nextIndex = p.matchIndex + 1
		p.snapshot = nil
		c.advanceCommit()
	}
	c.resolveReads()
	if c.role == Leader {
		c.sendData(p)
	}
}

// lowestNeededIndex returns the lowest index after which a reachable member still needs entries. If
// these were dropped, a member could never catch up while snapshots are taken faster than it
// installs them.
func (c *core) lowestNeededIndex() uint64 {
	needed := c.log.lastIndex()
	for _, p := range c.peers {
		if c.now > p.lastReplyAt+c.timing.ElectionMax {
			continue
		}
		heldIndex := p.matchIndex
		if p.snapshot != nil {
			heldIndex = max(heldIndex, p.snapshot.Index)
		}
		needed = min(needed, heldIndex)
	}
	return needed
}

// neededSnapshotIndexes returns the indexes of the latest snapshot and of all snapshots that are
// being sent.
func (c *core) neededSnapshotIndexes() []uint64 {
	needed := []uint64{c.log.snapshot.Index}
	for _, p := range c.peers {
		if p.snapshot != nil {
			needed = append(needed, p.snapshot.Index)
		}
	}
	return needed
}

// onCallFailure handles a request that got no reply; the next heartbeat sends the data again. A
// snapshot that is no longer the latest may have been deleted, so the latest one is sent from the
// start.
func (c *core) onCallFailure(f *callFailure) {
	p := c.peers[f.peer]
	if c.role != Leader || p == nil || p.inflightSequence != f.sequence {
		return
	}
	p.inflightSequence = 0
	if p.snapshot != nil && p.snapshot.Index != c.log.snapshot.Index {
		p.snapshot = nil
	}
}

// advanceCommit advances the commit index to the last entry that a quorum has stored, if that entry
// is of the current term. Entries of earlier terms are committed only together with it (section
// 5.4.2 of the Raft paper).
func (c *core) advanceCommit() {
	if c.role != Leader {
		return
	}
	var matches []uint64
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			matches = append(matches, c.log.firstUnstored-1)
		default:
			matches = append(matches, c.peers[m.ID].matchIndex)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-quorum(len(matches))]
	if index <= c.log.commitIndex || index < c.termStartIndex {
		return
	}
	c.log.commitIndex = index
	if index >= c.membershipIndex() && !c.membership().voter(c.id) {
		c.becomeFollower(c.state.Term)
	}
}

// leaseEnd returns when the leader's lease ends, or 0 if it has none. The lease starts when the
// heartbeats to which a quorum replied were sent. No member of that quorum votes for another node
// before the lease ends.
func (c *core) leaseEnd() time.Duration {
	if c.role != Leader || c.log.commitIndex < c.termStartIndex || c.transferringLeadership() {
		return 0
	}
	quorumSentAt := c.quorumTime(c.now, func(p *progress) time.Duration { return p.confirmedSentAt })
	if quorumSentAt == 0 {
		return 0
	}
	return quorumSentAt + time.Duration(leaseFraction*float64(c.timing.ElectionMin))
}

// registerRead registers a linearizable read. The read is released at once while the lease is
// valid, otherwise after a round of heartbeats. It returns false if this node is not the leader.
func (c *core) registerRead(now time.Duration, token uint64) bool {
	c.tick(now)
	if c.role != Leader {
		return false
	}
	c.pendingReads = append(c.pendingReads, pendingRead{token: token, registeredAt: c.now, index: c.log.commitIndex})
	if !c.resolveReads() {
		c.heartbeatDue = c.now
		c.tickLeader()
	}
	return true
}

// resolveReads releases the reads that are known to be linearizable. It reports whether none is
// left pending.
func (c *core) resolveReads() bool {
	if c.role != Leader || c.log.commitIndex < c.termStartIndex {
		return len(c.pendingReads) == 0
	}
	leaseValid := c.leaseEnd() > c.now
	quorumSentAt := c.quorumTime(c.now, func(p *progress) time.Duration { return p.confirmedSentAt })
	c.pendingReads = slices.DeleteFunc(c.pendingReads, func(r pendingRead) bool {
		if !leaseValid && quorumSentAt < r.registeredAt {
			return false
		}
		// A read registered before the first commit of the term must wait for that commit.
		c.out.reads = append(c.out.reads, readResult{token: r.token, index: max(r.index, c.termStartIndex)})
		return true
	})
	return len(c.pendingReads) == 0
}
