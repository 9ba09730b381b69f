package consensus

import "github.com/dandelionpier/dandelionpier/internal/journal"

// Envelope is common to all messages.
type Envelope struct {
	// From and To are member ids. The incarnations tell a node that lost its files from the one that
	// wrote them.
	From            string
	FromIncarnation string
	FromAddress     string
	To              string
	ToIncarnation   string
	Term            uint64
	// Asked is, in a reply, the term of the request.
	Asked uint64
	// Sent is the sender's clock when it sent the request, repeated in the reply.
	Sent int64
	// Sequence numbers the sender's requests, repeated in the reply.
	Sequence uint64
}

// VoteRequest asks for a vote, or in the pre-vote phase whether a vote would be granted.
type VoteRequest struct {
	Envelope
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// MembershipIndex is the index of the sender's membership.
	MembershipIndex uint64
	// TakeOver reports that the leader of the term before handed over to the sender.
	TakeOver bool
	// Probe asks for nothing but an answer: it shows that the leader can be reached.
	Probe bool
	// Identities is set during the bootstrap only: the members that the sender has recorded. No vote
	// is asked for then.
	Bootstrap  bool
	Identities []Member
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Envelope
	Pre     bool
	Granted bool
	// Removed reports that a committed membership newer than the asker's does not hold it.
	Removed bool
	// Probe answers a probe.
	Probe bool
	// Bootstrap and Identities answer a request of the bootstrap.
	Bootstrap  bool
	Identities []Member
}

// AppendRequest replicates entries; without entries it is a heartbeat.
type AppendRequest struct {
	Envelope
	PreviousIndex uint64
	PreviousTerm  uint64
	Entries       []journal.Entry
	Commit        uint64
	// TakeOver tells the receiver to ask for votes at once: the leader hands over to it.
	TakeOver bool
}

// AppendReply answers an AppendRequest.
type AppendReply struct {
	Envelope
	Success bool
	// Match is the last entry known to agree with the leader's log when Success is true, otherwise
	// the last entry that can agree.
	Match uint64
	// Foreign reports that the request was addressed to another incarnation and was not processed.
	Foreign bool
	// Unreached reports that the member's probes of the leader get no answers.
	Unreached bool
}

// SnapshotRequest carries one chunk of a snapshot.
type SnapshotRequest struct {
	Envelope
	Meta   journal.Meta
	Offset uint64
	Data   []byte
	// Checksum is the xxHash64 of Data.
	Checksum uint64
}

// SnapshotReply answers a SnapshotRequest.
type SnapshotReply struct {
	Envelope
	// Offset is the next byte that the receiver wants.
	Offset uint64
	// Installed reports that the receiver holds everything up to the snapshot's index.
	Installed bool
	Index     uint64
	Foreign   bool
}

// message is a request or reply between cores. Body is a pointer to one of the types above, or
// *failure.
type message struct {
	to      string
	address string
	// token connects a reply to the request that it answers.
	token uint64
	body  any
}

// failure reports to the sender that its request got no reply.
type failure struct {
	peer     string
	sequence uint64
}
