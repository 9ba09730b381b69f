// Package consensus replicates a log of commands with the Raft protocol (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014; pre-vote, check-quorum, leader lease and
// one-at-a-time membership change as in Ongaro's dissertation). docs/consensus.md gives the choices.
//
// The protocol is in core, which does no I/O and reads no clock. Node runs a core, stores its state
// and carries its messages.
package consensus

import (
	"math/rand/v2"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// NotLeader means that this node does not lead; nothing was proposed. LeaderHint is in the chain.
	NotLeader Kind = "not leader"
	// Lost means that the outcome is unknown: the command may have been committed.
	Lost Kind = "lost"
	// Stopped means that the node has stopped; nothing was proposed.
	Stopped Kind = "stopped"
	// Busy means that too many proposals are pending; nothing was proposed.
	Busy Kind = "busy"
	// TooLarge means that the command exceeds MaxCommandBytes.
	TooLarge Kind = "too large"
	// Refused means that a membership change is not safe or not possible now.
	Refused Kind = "refused"
	// Invalid means that the configuration is invalid.
	Invalid Kind = "invalid"
	// Disk means that a file could not be written or synced. The node has stopped.
	Disk Kind = "disk"
	// Corrupt means that stored state is damaged. The node must return as a learner with a new id and
	// an empty directory.
	Corrupt Kind = "corrupt"
	// IdentityLost means that the members know this id with another incarnation: the node lost its
	// files. It must return as a learner with a new id.
	IdentityLost Kind = "identity lost"
	// Removed means that the members have removed this node. It may return as a learner with a new id.
	Removed Kind = "removed"
	// Unreachable means that a message got no answer.
	Unreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// LeaderHint is the cause of a NotLeader error. ID and Address are empty when no leader is known.
type LeaderHint struct {
	ID      string
	Address string
}

// Error names the leader.
func (h *LeaderHint) Error() string {
	if h.ID == "" {
		return "no leader is known"
	}
	return "the leader is " + h.ID + " at " + h.Address
}

// StateMachine is replicated. Its methods are called from one goroutine.
type StateMachine interface {
	// Apply must be deterministic. The result goes to the local proposer, if any.
	Apply(index uint64, command []byte) any
	// Snapshot captures the state at once and returns a function that encodes it. That function is called
	// from another goroutine, while Apply goes on.
	Snapshot() func() ([]byte, error)
	Restore(snapshot []byte) error
}

// Server names a member.
type Server struct {
	ID      string
	Address string
	// Observer marks a learner that must not replace a lost voter, for example because it runs
	// on an instance that must not vote.
	Observer bool
}

const (
	// MaxCommandBytes is the largest command.
	MaxCommandBytes = 1 << 20
	// defaultSnapshotEvery is the number of applied entries between snapshots.
	defaultSnapshotEvery = 10_000
	// snapshotBytes also starts a snapshot, so that the log in memory and on disk stays bounded.
	snapshotBytes = 16 << 20
	// defaultMaxPending and maxPendingBytes bound the proposals that wait for their commit.
	defaultMaxPending = 4096
	maxPendingBytes   = 16 << 20
	// maxAppendBytes bounds the entries of one Append message; one larger entry still fits.
	maxAppendBytes = 2 << 20
	// snapshotChunkBytes is the data in one InstallSnapshot message.
	snapshotChunkBytes = 512 << 10
)

// Timing holds the protocol's time limits. Zero fields get the defaults of the design.
type Timing struct {
	// ElectionMin and ElectionMax bound the random election timeout; 300 ms and 600 ms.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Heartbeat is the leader's interval; 50 ms.
	Heartbeat time.Duration
	// ReplaceAfter is how long a voter is unreachable before a standby replaces it; 10 s. Negative
	// means never.
	ReplaceAfter time.Duration
}

func (t Timing) withDefaults() Timing {
	if t.ElectionMin == 0 {
		t.ElectionMin = 300 * time.Millisecond
	}
	if t.ElectionMax == 0 {
		t.ElectionMax = 2 * t.ElectionMin
	}
	if t.Heartbeat == 0 {
		t.Heartbeat = t.ElectionMin / 6
	}
	if t.ReplaceAfter == 0 {
		t.ReplaceAfter = 10 * time.Second
	}
	return t
}

// Config sets up a Node.
type Config struct {
	// ID and Address name this node. A directory belongs to one id for ever.
	ID      string
	Address string
	// Directory holds the journal. It is created if needed.
	Directory string
	// Bootstrap lists the first voters. It is used only when the directory is new and must then be the
	// same on all of them. Voting starts when all of them have recorded each other's incarnation. A
	// new node that is not listed waits to be added as a learner.
	Bootstrap    []Server
	StateMachine StateMachine
	Transport    Transport
	Logger       *zap.Logger
	Timing       Timing
	// Voters is the number of voters up to which a leader promotes learners by itself; 0 means never. It
	// does so while all voters are reachable.
	Voters int
	// SnapshotEvery is the number of applied entries between snapshots; 0 means 10,000.
	SnapshotEvery int
	// MaxPending bounds the proposals that wait for their commit; 0 means 4,096.
	MaxPending int

	// Now replaces the monotonic clock, and Sync and Write those of the files, in tests.
	Now   func() time.Duration
	Sync  func(*os.File) error
	Write func(*os.File, []byte) (int, error)
	// Random replaces the source of election timeouts in tests.
	Random *rand.Rand

	// maxBatch bounds the proposals that share a sync; 0 means no bound. Benchmarks compare with 1.
	maxBatch int
}

// Role is what a node does in its term.
type Role string

// Roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// MemberStatus describes a member as the answering node sees it. Match and Contact are known to the
// leader only.
type MemberStatus struct {
	Server
	Voter bool
	// Match is the last entry known to be stored at the member.
	Match uint64
	// Contact is the time since the member's last answer.
	Contact time.Duration
}

// Status describes a node.
type Status struct {
	ID       string
	Role     Role
	Voter    bool
	Term     uint64
	LeaderID string
	Commit   uint64
	Applied  uint64
	Last     uint64
	Snapshot uint64
	Members  []MemberStatus
}
