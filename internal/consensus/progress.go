package consensus

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// progress is the replication state of a member, as known to the leader.
type progress struct {
	member Member
	// matchIndex is the index of the last entry known to be stored on the member. nextIndex is the
	// index of the next entry to send.
	matchIndex uint64
	nextIndex  uint64
	// inflightSequence is the sequence number of the data request in flight, or 0. Only one is in
	// flight at a time; entries appended meanwhile are sent with the next one.
	inflightSequence uint64
	sentAt           time.Duration
	// lastReplyAt is when the last reply arrived. confirmedSentAt is when the latest request that
	// the member replied to was sent.
	lastReplyAt     time.Duration
	confirmedSentAt time.Duration
	// incarnation is the incarnation in the member's replies.
	incarnation string
	// repliedThisTerm reports whether the member has replied in the current term.
	repliedThisTerm bool
	// cannotReachLeader reports that the member cannot reach this node.
	cannotReachLeader bool
	// snapshot is the snapshot being sent, or nil. snapshotOffset is the offset of the next chunk.
	snapshot       *journal.SnapshotMeta
	snapshotOffset uint64
}

// reset clears what is known about the previous incarnation of the member.
func (p *progress) reset(incarnation string) {
	*p = progress{member: p.member, nextIndex: 1, lastReplyAt: p.lastReplyAt, incarnation: incarnation}
}
