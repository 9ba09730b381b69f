package claim

import "time"

const (
	// Retention is how long a key is remembered after its claim was opened.
	Retention = 24 * time.Hour
	// MaxRequestDuration is the largest time limit of a request. The holder of an older open claim has ended
	// without settling it, so the outcome is unknown.
	MaxRequestDuration = 15 * time.Minute
	// MaxClaims limits the number of claims. When it is reached, new claims are refused: removing a key
	// early would let its request run twice. A workspace is refused once it has as many claims as are
	// still free, so the first workspace can get at most half of them and the next one half of the rest.
	MaxClaims = 200_000
	// MaxBodyBytes limits the total size of the stored outcome bodies. Above it the oldest bodies are
	// dropped; their status is kept.
	MaxBodyBytes = 32 << 20
)

// Record is one claim.
type Record struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	RequestID   string `cbor:"3,keyasint"`
	Entry       string `cbor:"4,keyasint"`
	// Opened is in Unix milliseconds.
	Opened  int64   `cbor:"5,keyasint"`
	Status  Status  `cbor:"6,keyasint"`
	Outcome Outcome `cbor:"7,keyasint"`

	// removed means that the claim was removed, although byOpening may still contain the record.
	removed bool
}

// Store holds all claims. It is part of the replicated state machine and so must be deterministic: the
// current time comes from the replicated log. It is not safe for concurrent use.
type Store struct {
	records map[Key]*Record
	// byOpening has the records by time of opening, including removed ones until compact drops them.
	byOpening []*Record
	// workspaceCounts has the number of claims of each workspace.
	workspaceCounts map[string]int
	// withBody has the records with a body, oldest first.
	withBody  []*Record
	bodyBytes int
}

// NewStore returns a Store with the given records, which are in order of opening.
func NewStore(records []Record) *Store {
	s := &Store{records: make(map[Key]*Record, len(records)), workspaceCounts: make(map[string]int)}
	for i := range records {
		r := records[i]
		s.add(&r)
		s.storeBody(&r)
	}
	return s
}

// Records returns all claims in order of opening.
func (s *Store) Records() []Record {
	records := make([]Record, 0, len(s.records))
	for _, r := range s.byOpening {
		if !r.removed {
			records = append(records, *r)
		}
	}
	return records
}

// Len returns the number of claims.
func (s *Store) Len() int {
	return len(s.records)
}

// Open claims the key for the request or replies why it cannot. It is idempotent: the same request may
// call it again when the reply was lost. now is in Unix milliseconds.
func (s *Store) Open(request OpenRequest, now int64) OpenReply {
	s.expire(now)
	r := s.records[request.Key]
	switch {
	case r == nil && s.workspaceCounts[request.Key.Workspace] >= MaxClaims-len(s.records):
		return OpenReply{Status: Full}
	case r == nil:
		s.add(&Record{
			Key:         request.Key,
			Fingerprint: request.Fingerprint,
			RequestID:   request.RequestID,
			Entry:       request.Entry,
			Opened:      now,
			Status:      InProgress,
		})
		return OpenReply{Status: Granted}
	case r.Fingerprint != request.Fingerprint:
		return OpenReply{Status: Mismatch}
	case r.Status != InProgress:
		return OpenReply{Status: r.Status, Outcome: r.Outcome}
	case r.RequestID == request.RequestID && r.Entry == request.Entry:
		return OpenReply{Status: Granted}
	case now-r.Opened > MaxRequestDuration.Milliseconds():
		return OpenReply{Status: Unknown, Holder: r.Entry}
	default:
		return OpenReply{Status: InProgress, Holder: r.Entry}
	}
}

func (s *Store) add(r *Record) {
	s.records[r.Key] = r
	s.byOpening = append(s.byOpening, r)
	s.workspaceCounts[r.Key.Workspace]++
}

func (s *Store) remove(r *Record) {
	r.removed = true
	delete(s.records, r.Key)
	s.workspaceCounts[r.Key.Workspace]--
	if s.workspaceCounts[r.Key.Workspace] == 0 {
		delete(s.workspaceCounts, r.Key.Workspace)
	}
}

// compactSlack is how many removed records byOpening may have beyond the number of claims before compact
// copies it, so that a small list is not copied at each release.
const compactSlack = 1024

// compact drops removed records from byOpening once they are the majority.
func (s *Store) compact() {
	if len(s.byOpening) < 2*len(s.records)+compactSlack {
		return
	}
	live := make([]*Record, 0, len(s.records))
	for _, r := range s.byOpening {
		if !r.removed {
			live = append(live, r)
		}
	}
	s.byOpening = live
}

// Settle completes the claim of the request that holds it. A repeated call is accepted again.
func (s *Store) Settle(request SettleRequest, now int64) SettleReply {
	s.expire(now)
	r := s.records[request.Key]
	if r == nil {
		return SettleReply{Accepted: request.Release}
	}
	if r.RequestID != request.RequestID {
		return SettleReply{}
	}
	switch {
	case r.Status == Done:
		return SettleReply{Accepted: request.Outcome != nil}
	case request.Release:
		// The request of a claim with an unknown outcome may have run, so the claim stays.
		if r.Status != InProgress {
			return SettleReply{}
		}
		s.remove(r)
		s.compact()
	case request.Outcome != nil:
		r.Status = Done
		r.Outcome = *request.Outcome
		s.storeBody(r)
	default:
		r.Status = Unknown
	}
	return SettleReply{Accepted: true}
}

func (s *Store) storeBody(r *Record) {
	if len(r.Outcome.Body) > MaxOutcomeBytes {
		r.Outcome.Body = nil
		r.Outcome.Truncated = true
	}
	if len(r.Outcome.Body) == 0 {
		return
	}
	s.withBody = append(s.withBody, r)
	s.bodyBytes += len(r.Outcome.Body)
	for s.bodyBytes > MaxBodyBytes {
		oldest := s.withBody[0]
		s.withBody = s.withBody[1:]
		s.bodyBytes -= len(oldest.Outcome.Body)
		oldest.Outcome.Body = nil
		oldest.Outcome.Truncated = true
	}
}

func (s *Store) expire(now int64) {
	cutoff := now - Retention.Milliseconds()
	for len(s.byOpening) > 0 && s.byOpening[0].Opened < cutoff {
		r := s.byOpening[0]
		s.byOpening = s.byOpening[1:]
		if !r.removed {
			s.remove(r)
		}
	}
	for len(s.withBody) > 0 && s.withBody[0].Opened < cutoff {
		s.bodyBytes -= len(s.withBody[0].Outcome.Body)
		s.withBody = s.withBody[1:]
	}
}
