// Package consensus replicates a log of commands with the Raft protocol (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014). Pre-vote, check-quorum, leader leases
// and single-server membership changes follow Ongaro's dissertation. docs/consensus.md explains the
// design choices.
//
// The type core implements the protocol; it does no I/O and reads no clock. Node runs a core,
// stores its state and exchanges its messages with the other members.
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
	// NotLeader means that this node is not the leader; nothing was proposed. The error wraps a
	// LeaderHint.
	NotLeader Kind = "not leader"
	// OutcomeUnknown means that the command may or may not have been committed.
	OutcomeUnknown Kind = "lost"
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
	// Corrupt means that the stored state is damaged. The node must rejoin as a learner with a new
	// ID and an empty directory.
	Corrupt Kind = "corrupt"
	// IdentityLost means that the members know this ID with another incarnation, because the node
	// has lost its files. It must rejoin as a learner with a new ID.
	IdentityLost Kind = "identity lost"
	// Removed means that the node was removed from the membership. It may rejoin as a learner with
	// a new ID and an empty directory.
	Removed Kind = "removed"
	// AlreadyMember means that the committed membership holds the member.
	AlreadyMember Kind = "already a member"
	// NotMember means that the committed membership does not hold the member.
	NotMember Kind = "not a member"
	// NoSuccessor means that a voter must keep its place, because no learner can take it.
	NoSuccessor Kind = "no successor"
	// Unreachable means that a request got no reply.
	Unreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// LeaderHint is wrapped by a NotLeader error. ID and Address are empty when no leader is known.
type LeaderHint struct {
	ID      string
	Address string
}

// Error returns a message that names the leader.
func (h *LeaderHint) Error() string {
	if h.ID == "" {
		return "no leader is known"
	}
	return "the leader is " + h.ID + " at " + h.Address
}

// StateMachine is the application state that the log replicates. Its methods are not called
// concurrently.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic. The result is returned to the
	// proposer if the command was proposed on this node.
	Apply(index uint64, command []byte) any
	// Snapshot captures the current state and returns a function that encodes it. That function is
	// called from another goroutine while Apply continues.
	Snapshot() func() ([]byte, error)
	Restore(snapshot []byte) error
}

// Server identifies a member.
type Server struct {
	ID      string
	Address string
	// Observer marks a learner that must not be promoted automatically, for example because it runs
	// on an instance that must not vote.
	Observer bool
}

const (
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes = 1 << 20
	// defaultSnapshotEvery is the number of applied entries between snapshots.
	defaultSnapshotEvery = 10_000
	// snapshotBytes is the size of applied entries that also triggers a snapshot, so that the log
	// stays bounded in memory and on disk.
	snapshotBytes = 16 << 20
	// defaultMaxPending and maxPendingBytes bound the proposals that wait to be committed.
	defaultMaxPending = 4096
	maxPendingBytes   = 16 << 20
	// maxAppendBytes bounds the entries of one AppendEntries request; a single larger entry is
	// still sent.
	maxAppendBytes = 2 << 20
	// snapshotChunkBytes is the size of the data in one InstallSnapshot request.
	snapshotChunkBytes = 512 << 10
)

// Timing holds the time limits of the protocol. Zero fields get default values.
type Timing struct {
	// ElectionMin and ElectionMax bound the randomized election timeout; the defaults are 300 ms
	// and 600 ms.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Heartbeat is the interval between the leader's heartbeats; the default is 50 ms.
	Heartbeat time.Duration
	// ReplaceAfter is how long a voter must be unreachable before a learner replaces it; the
	// default is 10 s. A negative value disables replacement.
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

// Config is the configuration of a Node.
type Config struct {
	// ID and Address identify this node. A directory belongs to one ID permanently.
	ID      string
	Address string
	// Directory holds the log and the snapshots. It is created if it does not exist.
	Directory string
	// Bootstrap lists the initial voters. It is used only when the directory is new and must then
	// be the same on all of them. Elections start once all of them have recorded each other's
	// incarnation. A new node that is not listed waits to be added as a learner.
	Bootstrap    []Server
	StateMachine StateMachine
	Transport    Transport
	Logger       *zap.Logger
	Timing       Timing
	// TargetVoters is the number of voters up to which a leader promotes learners automatically; 0
	// disables this. It promotes only while all voters are reachable and only up to an odd number,
	// and it removes an unreachable voter of an even number. Members that have been unreachable for
	// 20 times ReplaceAfter are removed as well, down to three voters.
	TargetVoters int
	// SnapshotEvery is the number of applied entries between snapshots; 0 means 10,000.
	SnapshotEvery int
	// MaxPending bounds the proposals that wait to be committed; 0 means 4,096.
	MaxPending int

	// Now replaces the monotonic clock in tests. Sync and Write replace the file operations.
	Now   func() time.Duration
	Sync  func(*os.File) error
	Write func(*os.File, []byte) (int, error)
	// Random replaces the random source of election timeouts in tests.
	Random *rand.Rand

	// maxBatch bounds the proposals that share one sync; 0 means the default of maxEventBatch.
	// Benchmarks set it to 1 to measure commits without batching.
	maxBatch int
}

// Role is the role of a node in its current term.
type Role string

// The roles of Raft, and PreCandidate for the pre-vote phase.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// MemberStatus describes a member as seen by the node that reports it. Only the leader knows
// MatchIndex and SinceLastReply.
type MemberStatus struct {
	Server
	Voter bool
	// MatchIndex is the index of the last entry known to be stored on the member.
	MatchIndex uint64
	// SinceLastReply is the time since the member's last reply.
	SinceLastReply time.Duration
}

// Status describes the state of a node.
type Status struct {
	ID            string
	Role          Role
	Voter         bool
	Term          uint64
	LeaderID      string
	CommitIndex   uint64
	AppliedIndex  uint64
	LastIndex     uint64
	SnapshotIndex uint64
	// SinceLeader is the time since the last request of a leader, or 0 on the leader.
	SinceLeader time.Duration
	Members     []MemberStatus
}
