// Package session implements the heartbeats between entries and the control leader. A heartbeat renews the
// entry's lease and carries configuration revisions, membership changes and the fencing token.
package session

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

const (
	// HeartbeatInterval is the time between two heartbeats of an entry.
	HeartbeatInterval = time.Second
	// LeaseDuration is the duration of a lease from when the entry sent the heartbeat.
	LeaseDuration = 3 * time.Second
	// SkewAllowance is how much longer the leader waits before it treats a lease as expired, since the
	// clock of an entry may run slower than its own: 10 % of a lease.
	SkewAllowance = LeaseDuration / 10
)

// Kind classifies an Error.
type Kind string

const (
	// NotLeader means that the control instance is not the leader.
	NotLeader Kind = "not-leader"
	// Expired means that the lease has run out.
	Expired Kind = "expired"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Member describes an entry to the other entries. Addresses are host:port.
type Member struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// Caller, Platform and Peer are the addresses for callers, endpoints and other processes.
	Caller   string `json:"caller"`
	Platform string `json:"platform"`
	Peer     string `json:"peer"`
	Draining bool   `json:"draining"`
	// Capacity is the processor time of the instance in thousandths of a core; 0 when unknown.
	Capacity int `json:"capacity,omitempty"`
	// Incarnation changes at each start of the process.
	Incarnation string `json:"incarnation"`
}

// digest returns a hash of the member.
func (m Member) digest() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, text := range []string{
		m.Instance, m.DataCentre, m.Region, m.Caller, m.Platform, m.Peer, strconv.FormatBool(m.Draining), strconv.Itoa(m.Capacity), m.Incarnation,
	} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// membersVersion returns the version of a member list: the sum of the digests.
func membersVersion(members []Member) uint64 {
	var version uint64
	for _, m := range members {
		version += m.digest()
	}
	return version
}

// MemberChange adds, replaces or removes one member.
type MemberChange struct {
	Member  Member
	Removed bool
}

// HeartbeatRequest is sent by an entry once a second.
type HeartbeatRequest struct {
	Member Member
	// Revision is the configuration revision that the entry has applied; 0 for none.
	Revision uint64
	// MembershipVersion is the version of the member list that the entry knows.
	MembershipVersion uint64
	// QuarantineVersion is the sum of the quarantined fingerprints that the entry knows.
	QuarantineVersion uint64
	// Known has the versions of the other replicated data that the entry holds.
	Known KnownVersions
	// TracksBlames means that the entry asks for the blamed parts of prompts, of which it knows BlameVersion. Entries of
	// earlier builds do not.
	TracksBlames bool
	BlameVersion uint64
	// Leave ends the session.
	Leave bool
}

// BlameUpdate has the parts of prompts that are blamed for crashes. Their times relate to AsOf, the leader's clock in
// Unix milliseconds when it replied.
type BlameUpdate struct {
	Blames []crash.Blame
	AsOf   int64
}

// KnownVersions has the versions of replicated data that an entry holds.
type KnownVersions struct {
	// Declaration is the version of the declared document, 0 for none.
	Declaration uint64
	// Endpoints is the version of the list of registered endpoints.
	Endpoints uint64
	// Control is the version of the addresses of the control instances.
	Control uint64
}

// Update has the replicated data that is newer at the leader than at an entry.
type Update struct {
	// Version has the versions after this update.
	Version KnownVersions
	// Declaration is set when it is newer.
	Declaration *declaration.Document
	// EndpointChanges update the list to Version.Endpoints. When AllEndpoints is set, Endpoints replaces
	// the list instead.
	EndpointChanges []registration.Change
	AllEndpoints    bool
	Endpoints       []registration.Record
	// Control are the peer addresses of the control instances, set when they differ.
	Control []string
}

// MaxChunkBytes limits the data in a SnapshotReply. net/rpc keeps a buffer of the largest reply for each
// connection, so a whole configuration of 6,500 workspaces in one reply would cost the leader
// 2 MB of memory per session.
const MaxChunkBytes = 32 << 10

// SnapshotRequest asks for a chunk of the encoded configuration.
type SnapshotRequest struct {
	// Revision is the revision of the chunks fetched so far; 0 for the first request.
	Revision uint64
	Offset   int
}

// SnapshotReply is a chunk of the encoded configuration. If Revision differs from the requested one, the
// configuration has changed meanwhile and the entry starts again.
type SnapshotReply struct {
	NotLeader bool
	Leader    string
	Revision  uint64
	Total     int
	Data      []byte
}

// WatchTimeout is how long the leader holds a watch open when nothing changes.
const WatchTimeout = 10 * time.Second

// WatchRequest is a long poll that ends when something differs from the versions in the request.
type WatchRequest struct {
	Revision          uint64
	MembershipVersion uint64
	QuarantineVersion uint64
	TracksBlames      bool
	BlameVersion      uint64
	Known             KnownVersions
}

// WatchReply is the reply to a WatchRequest. It does not renew the lease.
type WatchReply struct {
	// NotLeader means that the instance is not the leader; Leader then is the peer address to try, if known.
	NotLeader bool
	Leader    string
	Changed   bool
}

// HeartbeatReply is the reply to a HeartbeatRequest.
type HeartbeatReply struct {
	// NotLeader means that the instance is not the leader; Leader then is the peer address to try, if known.
	NotLeader bool
	Leader    string
	// Term is the leader's term; it also serves as the fencing token of orders to endpoints.
	Term uint64
	// Lease is the duration of the lease from when the heartbeat was sent.
	Lease time.Duration
	// Revision is the newest accepted revision. The entry's lease is valid only once it has applied it.
	Revision uint64
	// Revisions are those after the entry's revision. FetchSnapshot means that the leader no longer keeps
	// them: the entry fetches the whole configuration and sends another heartbeat.
	Revisions     []configuration.Revision
	FetchSnapshot bool
	// MembershipVersion is the version of the member list after this reply. If the entry's list is older,
	// MemberChanges has the changes since, or Members the whole list when AllMembers is set.
	MembershipVersion uint64
	MemberChanges     []MemberChange
	AllMembers        bool
	Members           []Member
	// Quarantined are the fingerprints of requests that crash endpoints, set when QuarantineChanged.
	Quarantined       []uint64
	QuarantineChanged bool
	// Blames is nil when the blamed parts are those that the entry knows.
	Blames *BlameUpdate
	// News is nil when the versions in Known are the newest.
	News *Update
}
