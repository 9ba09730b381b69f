package consensus

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// incomingSnapshot holds the chunks of a snapshot received so far.
type incomingSnapshot struct {
	meta journal.SnapshotMeta
	data []byte
}

// acceptLeader handles what all requests from a leader have in common. It reports whether the
// sender is accepted as the leader of the current term.
func (c *core) acceptLeader(e *Envelope) bool {
	if c.senderIncarnationDiffers(e) || e.Term < c.state.Term {
		return false
	}
	if e.Term > c.state.Term || c.role != Follower {
		c.becomeFollower(e.Term)
	}
	c.endBootstrap()
	c.recordLeader(e)
	c.resetElectionDeadline()
	return true
}

func (c *core) onAppend(token uint64, request *AppendRequest) {
	if !c.isAddressee(&request.Envelope) {
		c.detectLostIdentity(&request.Envelope)
		c.reply(token, &request.Envelope, &AppendReply{Envelope: c.replyEnvelope(&request.Envelope), Foreign: true})
		return
	}
	reply := &AppendReply{}
	if c.acceptLeader(&request.Envelope) {
		reply.Success, reply.Match = c.appendLeaderEntries(request)
		reply.Unreached = c.cannotReachLeader()
	}
	reply.Envelope = c.replyEnvelope(&request.Envelope)
	c.reply(token, &request.Envelope, reply)
	if request.TakeOver && reply.Success && reply.Match == c.log.lastIndex() {
		c.campaignAfterTransfer()
	}
}

// detectLostIdentity notices that a request names another incarnation of this node, which means
// that this node has lost its files.
func (c *core) detectLostIdentity(e *Envelope) {
	if e.To == c.id && e.ToIncarnation != c.incarnation {
		c.out.identityLost = true
	}
}

// appendLeaderEntries appends the entries of the leader. On success it returns the index of the
// last entry that matches the leader's log. If the log does not hold the previous entry, it returns
// the highest index that can still match.
func (c *core) appendLeaderEntries(request *AppendRequest) (bool, uint64) {
	previous, entries := request.PreviousIndex, request.Entries
	if previous < c.log.commitIndex {
		// Committed entries are the same in the log of every later leader.
		skip := min(c.log.commitIndex-previous, uint64(len(entries)))
		if skip == uint64(len(entries)) {
			return true, previous + skip
		}
		previous, entries = previous+skip, entries[skip:]
	} else if term, ok := c.log.term(previous); !ok || term != request.PreviousTerm {
		return false, c.skipConflictingTerm(previous, term, ok)
	}
	for i := range entries {
		e := entries[i]
		if term, ok := c.log.term(e.Index); ok {
			if term == e.Term {
				continue
			}
			c.log.truncate(e.Index - 1)
			c.truncateMemberships(e.Index - 1)
		}
		c.log.append(entries[i:]...)
		for k := range entries[i:] {
			if err := c.recordMembership(&entries[i+k]); err != nil {
				panic(err) // The leader encoded it from the same type.
			}
		}
		break
	}
	match := previous + uint64(len(entries))
	c.log.commitIndex = max(c.log.commitIndex, min(request.Commit, match))
	return true, match
}

// skipConflictingTerm returns the highest index that can match the leader's log. It skips all
// entries of the conflicting term at once; held is false if this node does not hold the previous
// entry.
func (c *core) skipConflictingTerm(previous, conflictingTerm uint64, held bool) uint64 {
	if !held {
		return c.log.lastIndex()
	}
	index := previous
	for index > c.log.commitIndex {
		if term, ok := c.log.term(index); !ok || term != conflictingTerm {
			break
		}
		index--
	}
	return index
}

func (c *core) onSnapshot(token uint64, request *SnapshotRequest) {
	reply := &SnapshotReply{Index: request.Meta.Index}
	switch {
	case !c.isAddressee(&request.Envelope):
		c.detectLostIdentity(&request.Envelope)
		reply.Foreign = true
	case c.acceptLeader(&request.Envelope):
		reply.Offset, reply.Installed = c.receiveChunk(request)
	}
	reply.Envelope = c.replyEnvelope(&request.Envelope)
	c.reply(token, &request.Envelope, reply)
}

// receiveChunk appends a chunk of a snapshot. It returns the offset of the next chunk and whether
// this node holds everything up to the snapshot's index.
func (c *core) receiveChunk(request *SnapshotRequest) (uint64, bool) {
	meta := request.Meta
	if meta.Index <= c.log.commitIndex {
		c.partialSnapshot = nil
		return 0, true
	}
	if c.partialSnapshot == nil || c.partialSnapshot.meta.Index != meta.Index || c.partialSnapshot.meta.Checksum != meta.Checksum {
		c.partialSnapshot = &incomingSnapshot{meta: meta}
	}
	partial := c.partialSnapshot
	received := uint64(len(partial.data))
	if request.Offset != received || xxhash.Sum64(request.Data) != request.Checksum || received+uint64(len(request.Data)) > meta.Size {
		return received, false
	}
	partial.data = append(partial.data, request.Data...)
	if uint64(len(partial.data)) < meta.Size {
		return uint64(len(partial.data)), false
	}
	c.partialSnapshot = nil
	membership, err := decodeMembership(meta.Membership)
	if err != nil || xxhash.Sum64(partial.data) != meta.Checksum {
		return 0, false
	}
	c.log.install(meta)
	previousMemberships := c.memberships
	c.memberships = []indexedMembership{{index: meta.Index, Membership: membership}}
	for _, m := range previousMemberships {
		if m.index > meta.Index && m.index <= c.log.lastIndex() {
			c.memberships = append(c.memberships, m)
		}
	}
	c.out.snapshot = &installedSnapshot{meta: meta, data: partial.data}
	return meta.Size, true
}

// snapshotStored compacts the log after a local snapshot was stored. It reports whether that is the
// latest snapshot.
func (c *core) snapshotStored(meta journal.SnapshotMeta) bool {
	if meta.Index <= c.log.snapshot.Index {
		return false
	}
	c.log.compact(meta, c.lowestNeededIndex())
	for len(c.memberships) > 1 && c.memberships[1].index <= c.log.baseIndex {
		c.memberships = c.memberships[1:]
	}
	return true
}
