package consensus

import (
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// Envelope holds the fields that all messages have in common.
type Envelope struct {
	// From and To are member ids. The incarnations distinguish a node that lost its files from the
	// one that wrote them.
	From            string
	FromIncarnation string
	FromAddress     string
	To              string
	ToIncarnation   string
	Term            uint64
	// Asked is the term of the request; it is set in replies only.
	Asked uint64
	// Sent is the time on the requester's clock when it sent the request; the reply repeats it.
	Sent int64
	// Sequence is the number of the request; the reply repeats it.
	Sequence uint64
}

// VoteRequest asks for a vote, or in the pre-vote phase whether a vote would be granted. It also
// serves as a reachability probe and for the exchange of identities during the bootstrap.
type VoteRequest struct {
	Envelope
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// MembershipIndex is the log index of the sender's latest membership.
	MembershipIndex uint64
	// TakeOver reports that the leader of the previous term transferred its leadership to the
	// sender.
	TakeOver bool
	// Probe marks a request that only tests whether the leader is reachable.
	Probe bool
	// Bootstrap marks a request of the bootstrap, which does not ask for a vote. Identities holds
	// the members that the sender has stored.
	Bootstrap  bool
	Identities []Member
}

// VoteReply is the reply to a VoteRequest.
type VoteReply struct {
	Envelope
	Pre     bool
	Granted bool
	// Removed reports that a committed membership that the candidate does not know yet excludes it.
	Removed bool
	// Probe marks the reply to a probe.
	Probe bool
	// Bootstrap marks a reply of the bootstrap. Identities holds the members that the sender has
	// stored.
	Bootstrap  bool
	Identities []Member
}

// AppendRequest is Raft's AppendEntries request. Without entries it is a heartbeat.
type AppendRequest struct {
	Envelope
	PreviousIndex uint64
	PreviousTerm  uint64
	Entries       []journal.Entry
	Commit        uint64
	// TakeOver is Raft's TimeoutNow: the receiver starts an election at once, because the leader
	// transfers its leadership to it.
	TakeOver bool
}

// check returns an error of kind Invalid for a request that no leader sends: one whose entries do not follow each other
// in index and term, or hold a membership that cannot be decoded.
func (r *AppendRequest) check() error {
	const op = "check entries"
	index, term := r.PreviousIndex, r.PreviousTerm
	for _, e := range r.Entries {
		index++
		if e.Index != index || e.Term < term || e.Term > r.Term {
			return fault.New(op, Invalid, "entry %d of term %d does not follow entry %d of term %d", e.Index, e.Term, index-1, term)
		}
		term = e.Term
		if e.Type != membershipEntry {
			continue
		}
		if _, err := decodeMembership(e.Data); err != nil {
			return fault.Wrap(err, op, Invalid, "membership")
		}
	}
	return nil
}

// AppendReply is the reply to an AppendRequest.
type AppendReply struct {
	Envelope
	Success bool
	// Match is the index of the last entry known to match the leader's log if Success is true,
	// otherwise the highest index that can still match.
	Match uint64
	// Foreign reports that the request was addressed to another incarnation and was not processed.
	Foreign bool
	// Unreached reports that the leader does not reply to the member's probes.
	Unreached bool
}

// SnapshotRequest is Raft's InstallSnapshot request. It carries one chunk of a snapshot.
type SnapshotRequest struct {
	Envelope
	Meta   journal.SnapshotMeta
	Offset uint64
	Data   []byte
	// Checksum is the xxHash64 of Data.
	Checksum uint64
}

// SnapshotReply is the reply to a SnapshotRequest.
type SnapshotReply struct {
	Envelope
	// Offset is the offset of the next chunk that the receiver expects.
	Offset uint64
	// Installed reports that the receiver holds everything up to the snapshot's index.
	Installed bool
	Index     uint64
	Foreign   bool
}

// message is a request or reply between cores. The body is a pointer to one of the types above, or
// a *callFailure.
type message struct {
	to      string
	address string
	// token links a reply to the received request.
	token uint64
	body  any
}

// callFailure tells the core that its request got no reply.
type callFailure struct {
	peer     string
	sequence uint64
}
