package consensus

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// leaseShare is the part of the shortest election timeout that a lease lasts after the heartbeat was
// sent: 90 %, because clocks may differ by 10 %.
const leaseShare = 0.9

func (c *core) becomeLeader() {
	c.role = Leader
	c.leaderID, c.leaderAddress = c.id, c.address
	c.votes = nil
	c.incoming = nil
	c.peers = make(map[string]*progress)
	c.syncPeers()
	c.termStart = c.log.last() + 1
	c.appendEntry(noopEntry, nil)
	c.heartbeatDue = c.now
	c.tickLeader()
	c.replicate()
}

// syncPeers makes peers match the membership.
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
			// The last entry is sent even if the member may hold it, so that its answer shows where its
			// log ends.
			c.peers[o.ID] = &progress{next: max(1, c.log.last()), answered: c.now, incarnation: o.Incarnation}
		}
		c.peers[o.ID].member = o
	}
}

func (c *core) appendEntry(kind uint8, data []byte) uint64 {
	index := c.log.last() + 1
	c.log.append(journal.Entry{Index: index, Term: c.state.Term, Type: kind, Data: data})
	return index
}

// propose appends commands and returns the index of the first one.
func (c *core) propose(commands [][]byte) uint64 {
	first := c.log.last() + 1
	for _, command := range commands {
		c.appendEntry(commandEntry, command)
	}
	c.replicate()
	return first
}

func (c *core) tickLeader() {
	// Check-quorum: without answers from a quorum for one election timeout another leader may exist.
	answered := c.quorumTime(c.now, func(p *progress) time.Duration { return p.answered })
	if c.now > answered+c.timing.ElectionMin {
		c.becomeFollower(c.state.Term)
		return
	}
	if c.handingOver() && c.now >= c.handOverEnd {
		c.becomeFollower(c.state.Term)
		return
	}
	if c.now < c.heartbeatDue {
		return
	}
	c.heartbeatDue = c.now + c.timing.Heartbeat
	c.heartbeat()
	c.replace()
}

// heartbeat sends each member an Append without entries at the last entry known to agree, and sends
// a data message again when its answer is overdue.
func (c *core) heartbeat() {
	for _, m := range c.membership().Members {
		p := c.peers[m.ID]
		if p == nil {
			continue
		}
		if p.inflight != 0 && c.now > p.sentAt+c.timing.ElectionMax {
			p.inflight = 0
		}
		previous := min(p.match, c.log.last())
		term, ok := c.log.term(previous)
		if !ok {
			// The member is behind the log held here; the answer still counts as contact.
			previous, term = c.log.last(), c.log.lastTerm()
		}
		c.sendEarly(p, &AppendRequest{
			Envelope: c.envelope(p.member), PreviousIndex: previous, PreviousTerm: term, Commit: min(c.log.commit, previous),
		})
		c.sendData(p)
	}
}

// sendEarly sends an Append without waiting for the local sync, unless the term itself is not stored.
func (c *core) sendEarly(p *progress, request *AppendRequest) {
	m := message{to: p.member.ID, address: p.member.Address, body: request}
	if c.stateChanged {
		c.out.messages = append(c.out.messages, m)
		return
	}
	c.out.early = append(c.out.early, m)
}

func (c *core) replicate() {
	for _, m := range c.membership().Members {
		if p := c.peers[m.ID]; p != nil {
			c.sendData(p)
		}
	}
}

// sendData sends the next entries or the next part of a snapshot, if none is under way.
func (c *core) sendData(p *progress) {
	if p.inflight != 0 {
		return
	}
	if p.snapshot == nil {
		if p.next > c.log.last() {
			return
		}
		term, ok := c.log.term(p.next - 1)
		if ok {
			entries := c.log.limited(p.next, maxAppendBytes)
			request := &AppendRequest{
				Envelope: c.envelope(p.member), PreviousIndex: p.next - 1, PreviousTerm: term, Entries: entries, Commit: c.log.commit,
			}
			c.sendEarly(p, request)
			p.inflight, p.sentAt = request.Sequence, c.now
			return
		}
		meta := c.log.snapshot
		p.snapshot, p.offset = &meta, 0
	}
	request := &SnapshotRequest{Envelope: c.envelope(p.member), Meta: *p.snapshot, Offset: p.offset}
	c.send(p.member, request)
	p.inflight, p.sentAt = request.Sequence, c.now
}

// heard processes the common part of an answer; it reports whether the answer counts.
func (c *core) heard(e *Envelope, foreign bool) *progress {
	if e.Term > c.state.Term && !foreign && !c.foreign(e) {
		c.becomeFollower(e.Term)
		return nil
	}
	// An answer to a request of an earlier term says nothing about this one.
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
		// A learner may have started again with empty files.
		p.reset(e.FromIncarnation)
		if foreign {
			return nil
		}
	}
	p.answered, p.contacted = c.now, true
	p.confirmed = max(p.confirmed, time.Duration(e.Sent))
	if p.inflight == e.Sequence {
		p.inflight = 0
	}
	return p
}

func (c *core) onAppendReply(reply *AppendReply) {
	data := false
	if p := c.peers[reply.From]; p != nil {
		data = p.inflight == reply.Sequence
	}
	p := c.heard(&reply.Envelope, reply.Foreign)
	if p == nil {
		return
	}
	p.unreached = reply.Unreached
	switch {
	case reply.Success:
		p.match = max(p.match, min(reply.Match, c.log.last()))
		p.next = max(p.next, p.match+1)
		if p.snapshot != nil && p.match >= p.snapshot.Index {
			p.snapshot = nil
		}
	case data:
		p.next = max(p.match+1, min(p.next-1, reply.Match+1))
	}
	c.advanceCommit()
	c.resolveReads()
	c.checkReach()
	c.passOn()
	if c.role == Leader {
		c.sendData(p)
	}
}

func (c *core) onSnapshotReply(reply *SnapshotReply) {
	p := c.heard(&reply.Envelope, reply.Foreign)
	if p == nil || p.snapshot == nil || p.snapshot.Index != reply.Index {
		return
	}
	p.offset = reply.Offset
	if reply.Installed {
		p.match = max(p.match, reply.Index)
		p.next = p.match + 1
		p.snapshot = nil
		c.advanceCommit()
	}
	c.resolveReads()
	if c.role == Leader {
		c.sendData(p)
	}
}

// neededEntries returns the lowest index whose later entries a reachable member still needs. Without
// it, a member could never catch up while snapshots are taken faster than it installs them.
func (c *core) neededEntries() uint64 {
	needed := c.log.last()
	for _, p := range c.peers {
		if c.now > p.answered+c.timing.ElectionMax {
			continue
		}
		has := p.match
		if p.snapshot != nil {
			has = max(has, p.snapshot.Index)
		}
		needed = min(needed, has)
	}
	return needed
}

// neededSnapshots returns the indexes of the latest snapshot and of those that are being sent.
func (c *core) neededSnapshots() []uint64 {
	needed := []uint64{c.log.snapshot.Index}
	for _, p := range c.peers {
		if p.snapshot != nil {
			needed = append(needed, p.snapshot.Index)
		}
	}
	return needed
}

// onFailure makes the next heartbeat send the data again. The snapshot may be gone, so the latest one
// is sent from the start.
func (c *core) onFailure(f *failure) {
	p := c.peers[f.peer]
	if c.role != Leader || p == nil || p.inflight != f.sequence {
		return
	}
	p.inflight = 0
	if p.snapshot != nil && p.snapshot.Index != c.log.snapshot.Index {
		p.snapshot = nil
	}
}

// advanceCommit commits the last entry of this term that a quorum has stored. Entries of earlier
// terms are committed by it only (section 5.4.2 of the Raft paper).
func (c *core) advanceCommit() {
	if c.role != Leader {
		return
	}
	var matches []uint64
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			matches = append(matches, c.log.unstored-1)
		default:
			matches = append(matches, c.peers[m.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-quorum(len(matches))]
	if index <= c.log.commit || index < c.termStart {
		return
	}
	c.log.commit = index
	if index >= c.membershipIndex() && !c.membership().voter(c.id) {
		c.becomeFollower(c.state.Term)
	}
}

// lease returns the end of the leader's lease, or 0. The lease starts when the heartbeats that a
// quorum answered were sent, and no member of that quorum votes for another node before it ends.
func (c *core) lease() time.Duration {
	if c.role != Leader || c.log.commit < c.termStart || c.handingOver() {
		return 0
	}
	sent := c.quorumTime(c.now, func(p *progress) time.Duration { return p.confirmed })
	if sent == 0 {
		return 0
	}
	return sent + time.Duration(leaseShare*float64(c.timing.ElectionMin))
}

// read registers a read barrier. Its result follows at once while the lease holds, otherwise after a
// round of heartbeats.
func (c *core) read(now time.Duration, token uint64) bool {
	c.tick(now)
	if c.role != Leader {
		return false
	}
	c.reads = append(c.reads, pendingRead{token: token, since: c.now, index: c.log.commit})
	if !c.resolveReads() {
		c.heartbeatDue = c.now
		c.tickLeader()
	}
	return true
}

// resolveReads reports whether no read waits.
func (c *core) resolveReads() bool {
	if c.role != Leader || c.log.commit < c.termStart {
		return len(c.reads) == 0
	}
	leased := c.lease() > c.now
	sent := c.quorumTime(c.now, func(p *progress) time.Duration { return p.confirmed })
	c.reads = slices.DeleteFunc(c.reads, func(r pendingRead) bool {
		if !leased && sent < r.since {
			return false
		}
		// A read that came before the first commit of the term must see that commit.
		c.out.reads = append(c.out.reads, readResult{token: r.token, index: max(r.index, c.termStart)})
		return true
	})
	return len(c.reads) == 0
}
