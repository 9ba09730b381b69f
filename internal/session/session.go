// Package session is the one periodic exchange between entries and the control leader: lease,
// configuration revision, membership and fencing token.
package session

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

const (
	// HeartbeatInterval is the time between two heartbeats of an entry.
	HeartbeatInterval = time.Second
	// LeaseLength counts from the moment at which the entry sent the heartbeat.
	LeaseLength = 3 * time.Second
	// SkewAllowance is added by the leader before it relies on the end of a lease: 10 % of a lease.
	SkewAllowance = LeaseLength / 10
)

// Kind classifies an Error.
type Kind string

const (
	// NotLeader means that the control instance does not lead.
	NotLeader Kind = "not-leader"
	// Expired means that the lease has run out.
	Expired Kind = "expired"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Member is an entry instance as the others see it. Addresses are host:port.
type Member struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// Caller, Platform and Peer are the addresses for callers, endpoints and other processes.
	Caller   string `json:"caller"`
	Platform string `json:"platform"`
	Peer     string `json:"peer"`
	Draining bool   `json:"draining"`
	// Capacity is the processor time of the instance in thousandths of a core; 0 when it is not told.
	Capacity int `json:"capacity,omitempty"`
	// Incarnation changes at each start of the process.
	Incarnation string `json:"incarnation"`
}

// MemberChange adds, replaces or removes one member.
type MemberChange struct {
	Member  Member
	Removed bool
}

// HeartbeatRequest is sent by an entry once a second.
type HeartbeatRequest struct {
	Member Member
	// Revision is the configuration revision in force at the entry; 0 for none.
	Revision uint64
	// MembershipVersion is the version of the member list that the entry knows.
	MembershipVersion uint64
	// QuarantineVersion is the sum of the quarantined fingerprints that the entry knows.
	QuarantineVersion uint64
	// Known is what the entry holds of the lists that are replicated beside the configuration.
	Known Known
	// Leave ends the session.
	Leave bool
}

// Known names the versions of what an entry holds.
type Known struct {
	// Declaration is the version of the declared document, 0 for none.
	Declaration uint64
	// Endpoints is the version of the list of registered endpoints.
	Endpoints uint64
	// Control is the version of the addresses of the control instances.
	Control uint64
}

// News is what the leader has beyond what an entry holds.
type News struct {
	// Version is what the entry holds after it has taken over the rest.
	Version Known
	// Declaration is set when it is newer.
	Declaration *declaration.Document
	// EndpointChanges lead to Version.Endpoints, or Endpoints replace the list when AllEndpoints is set.
	EndpointChanges []registration.Change
	AllEndpoints    bool
	Endpoints       []registration.Record
	// Control are the peer addresses of the control instances, set when they differ.
	Control []string
}

// MaxChunkBytes bounds a SnapshotReply. net/rpc keeps a buffer of the largest reply for each
// connection, so a whole configuration of 6,500 workspaces in one reply would cost the leader
// 2 MB for each session.
const MaxChunkBytes = 32 << 10

// SnapshotRequest asks for a part of the encoded configuration.
type SnapshotRequest struct {
	// Revision is that of the parts fetched before; 0 for the first.
	Revision uint64
	Offset   int
}

// SnapshotReply is a part of the encoded configuration. Another Revision than the one asked for means
// that the configuration has moved on and the entry starts again.
type SnapshotReply struct {
	NotLeader bool
	Leader    string
	Revision  uint64
	Total     int
	Data      []byte
}

// WatchTime is how long the leader holds a watch without a change.
const WatchTime = 10 * time.Second

// WatchRequest waits until something differs from what the entry knows.
type WatchRequest struct {
	Revision          uint64
	MembershipVersion uint64
	QuarantineVersion uint64
	Known             Known
}

// WatchReply answers a WatchRequest. It grants no lease.
type WatchReply struct {
	// NotLeader says that the instance does not lead; Leader then is the peer address to try, if known.
	NotLeader bool
	Leader    string
	Changed   bool
}

// HeartbeatReply is the leader's answer.
type HeartbeatReply struct {
	// NotLeader says that the instance does not lead; Leader then is the peer address to try, if known.
	NotLeader bool
	Leader    string
	// Term is the leader's term and the fencing token of orders.
	Term uint64
	// Lease counts from the moment at which the heartbeat was sent.
	Lease time.Duration
	// Revision is the newest accepted revision. The entry's lease is valid only once it has applied it.
	Revision uint64
	// Revisions follow the entry's revision. FetchSnapshot says that they are no longer kept: the entry
	// fetches the whole configuration and asks again.
	Revisions     []configuration.Revision
	FetchSnapshot bool
	// MembershipVersion is that of the member list after this reply. Where the entry's list is older,
	// MemberChanges lead to it, or Members replace it when AllMembers is set.
	MembershipVersion uint64
	MemberChanges     []MemberChange
	AllMembers        bool
	Members           []Member
	// Quarantined are the fingerprints of requests that crash endpoints, set when QuarantineChanged.
	Quarantined       []uint64
	QuarantineChanged bool
	// News is nil when the entry holds the newest of everything that Known names.
	News *News
}
