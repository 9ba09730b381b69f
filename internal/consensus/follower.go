package consensus

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	meta journal.Meta
	data []byte
}

// accept processes the common part of a request from a leader; it reports whether the request counts.
func (c *core) accept(e *Envelope) bool {
	if c.foreign(e) || e.Term < c.state.Term {
		return false
	}
	if e.Term > c.state.Term || c.role != Follower {
		c.becomeFollower(e.Term)
	}
	c.confirmBootstrap()
	c.followLeader(e)
	c.resetElection()
	return true
}

func (c *core) onAppend(token uint64, request *AppendRequest) {
	if !c.addressed(&request.Envelope) {
		c.refuseForeign(&request.Envelope)
		c.reply(token, &request.Envelope, &AppendReply{Envelope: c.replyEnvelope(&request.Envelope), Foreign: true})
		return
	}
	reply := &AppendReply{}
	if c.accept(&request.Envelope) {
		reply.Success, reply.Match = c.appendFrom(request)
		reply.Unreached = c.unreached()
	}
	reply.Envelope = c.replyEnvelope(&request.Envelope)
	c.reply(token, &request.Envelope, reply)
	if request.TakeOver && reply.Success && reply.Match == c.log.last() {
		c.takeOver()
	}
}

// refuseForeign notices that the members know this id with another incarnation.
func (c *core) refuseForeign(e *Envelope) {
	if e.To == c.id && e.ToIncarnation != c.incarnation {
		c.out.lostIdentity = true
	}
}

// appendFrom adds the leader's entries. It returns the last entry that agrees, or, when the log does
// not hold the previous entry, the last one that can agree.
func (c *core) appendFrom(request *AppendRequest) (bool, uint64) {
	previous, entries := request.PreviousIndex, request.Entries
	if previous < c.log.commit {
		// Committed entries agree with those of every later leader.
		skip := min(c.log.commit-previous, uint64(len(entries)))
		if skip == uint64(len(entries)) {
			return true, previous + skip
		}
		previous, entries = previous+skip, entries[skip:]
	} else if term, ok := c.log.term(previous); !ok || term != request.PreviousTerm {
		return false, c.lastPossible(previous, term, ok)
	}
	for i := range entries {
		e := entries[i]
		if term, ok := c.log.term(e.Index); ok {
			if term == e.Term {
				continue
			}
			c.log.truncate(e.Index - 1)
			c.dropMemberships(e.Index - 1)
		}
		c.log.append(entries[i:]...)
		for k := range entries[i:] {
			if err := c.noteMembership(&entries[i+k]); err != nil {
				panic(err) // The leader encoded it with the same type.
			}
		}
		break
	}
	match := previous + uint64(len(entries))
	c.log.commit = max(c.log.commit, min(request.Commit, match))
	return true, match
}

// lastPossible skips the entries of a conflicting term at once.
func (c *core) lastPossible(previous, conflicting uint64, ok bool) uint64 {
	if !ok {
		return c.log.last()
	}
	index := previous
	for index > c.log.commit {
		if term, ok := c.log.term(index); !ok || term != conflicting {
			break
		}
		index--
	}
	return index
}

func (c *core) onSnapshot(token uint64, request *SnapshotRequest) {
	reply := &SnapshotReply{Index: request.Meta.Index}
	switch {
	case !c.addressed(&request.Envelope):
		c.refuseForeign(&request.Envelope)
		reply.Foreign = true
	case c.accept(&request.Envelope):
		reply.Offset, reply.Installed = c.chunk(request)
	}
	reply.Envelope = c.replyEnvelope(&request.Envelope)
	c.reply(token, &request.Envelope, reply)
}

// chunk adds a chunk and returns the next byte wanted.
func (c *core) chunk(request *SnapshotRequest) (uint64, bool) {
	meta := request.Meta
	if meta.Index <= c.log.commit {
		c.incoming = nil
		return 0, true
	}
	if c.incoming == nil || c.incoming.meta.Index != meta.Index || c.incoming.meta.Checksum != meta.Checksum {
		c.incoming = &incomingSnapshot{meta: meta}
	}
	in := c.incoming
	have := uint64(len(in.data))
	if request.Offset != have || xxhash.Sum64(request.Data) != request.Checksum || have+uint64(len(request.Data)) > meta.Size {
		return have, false
	}
	in.data = append(in.data, request.Data...)
	if uint64(len(in.data)) < meta.Size {
		return uint64(len(in.data)), false
	}
	c.incoming = nil
	membership, err := decodeMembership(meta.Membership)
	if err != nil || xxhash.Sum64(in.data) != meta.Checksum {
		return 0, false
	}
	c.log.install(meta)
	later := c.memberships
	c.memberships = []membershipAt{{index: meta.Index, Membership: membership}}
	for _, m := range later {
		if m.index > meta.Index && m.index <= c.log.last() {
			c.memberships = append(c.memberships, m)
		}
	}
	c.out.snapshot = &installedSnapshot{meta: meta, data: in.data}
	return meta.Size, true
}

// snapshotStored tells the core that a snapshot of applied entries is stored.
func (c *core) snapshotStored(meta journal.Meta) bool {
	if meta.Index <= c.log.snapshot.Index {
		return false
	}
	c.log.compact(meta, c.neededEntries())
	for len(c.memberships) > 1 && c.memberships[1].index <= c.log.base {
		c.memberships = c.memberships[1:]
	}
	return true
}
