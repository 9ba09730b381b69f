package consensus

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// progress is what the leader knows of a member.
type progress struct {
	member Member
	// match is the last entry known to be stored at the member, next the first one to send.
	match uint64
	next  uint64
	// inflight is the sequence of the data message under way, or 0. One is under way at a time; what
	// arrives meanwhile goes into the next one.
	inflight uint64
	sentAt   time.Duration
	// answered is when the last answer arrived, confirmed when the latest answered message was sent.
	answered  time.Duration
	confirmed time.Duration
	// incarnation is that of the member's answers.
	incarnation string
	// contacted reports an answer in this term.
	contacted bool
	// unreached reports that the member cannot reach this node.
	unreached bool
	// snapshot is the one being sent, or nil.
	snapshot *journal.Meta
	offset   uint64
}

// reset forgets what was learnt of another incarnation.
func (p *progress) reset(incarnation string) {
	*p = progress{member: p.member, next: 1, answered: p.answered, incarnation: incarnation}
}
