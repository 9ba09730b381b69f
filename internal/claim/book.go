package claim

import "time"

const (
	// Retention is how long a key is remembered after its claim was opened.
	Retention = 24 * time.Hour
	// LongestRequest is the largest time limit of a request; an open claim that is older has lost its
	// holder, so its outcome is unknown.
	LongestRequest = 15 * time.Minute
	// MaxClaims bounds the keys remembered. A full book refuses new claims: forgetting a key early
	// would let its request run twice. A workspace is refused once it has as many as are still free, so
	// that one alone gets half of them and the next one half of the rest.
	MaxClaims = 200_000
	// MaxBodyBytes bounds the outcome bodies kept. Past it the oldest bodies are dropped; their status
	// is kept.
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

	// removed says that the book no longer has the record, although its order may.
	removed bool
}

// Book holds all claims. It is deterministic: time comes from the replicated log. It is not safe for
// concurrent use.
type Book struct {
	records map[Key]*Record
	// order holds the records by time of opening, among them released ones, which compact drops.
	order []*Record
	// held counts the records of each workspace.
	held map[string]int
	// bodies holds the records with a body, oldest first.
	bodies    []*Record
	bodyBytes int
}

// NewBook returns a book with the given records, in order of opening.
func NewBook(records []Record) *Book {
	b := &Book{records: make(map[Key]*Record, len(records)), held: make(map[string]int)}
	for i := range records {
		r := records[i]
		b.add(&r)
		b.keepBody(&r)
	}
	return b
}

// Records returns all claims in order of opening.
func (b *Book) Records() []Record {
	records := make([]Record, 0, len(b.records))
	for _, r := range b.order {
		if !r.removed {
			records = append(records, *r)
		}
	}
	return records
}

// Len returns the number of claims.
func (b *Book) Len() int {
	return len(b.records)
}

// Open claims the key for the request, or says why not. The same request may ask again when the
// answer was lost. now is in Unix milliseconds.
func (b *Book) Open(request OpenRequest, now int64) OpenReply {
	b.expire(now)
	r := b.records[request.Key]
	switch {
	case r == nil && b.held[request.Key.Workspace] >= MaxClaims-len(b.records):
		return OpenReply{Status: Full}
	case r == nil:
		b.add(&Record{
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
	case now-r.Opened > LongestRequest.Milliseconds():
		return OpenReply{Status: Unknown, Holder: r.Entry}
	default:
		return OpenReply{Status: InProgress, Holder: r.Entry}
	}
}

func (b *Book) add(r *Record) {
	b.records[r.Key] = r
	b.order = append(b.order, r)
	b.held[r.Key.Workspace]++
}

func (b *Book) remove(r *Record) {
	r.removed = true
	delete(b.records, r.Key)
	b.held[r.Key.Workspace]--
	if b.held[r.Key.Workspace] == 0 {
		delete(b.held, r.Key.Workspace)
	}
}

// compactSlack is the number of released records from which compact drops them, so that a small book is
// not copied at each release.
const compactSlack = 1024

// compact drops released records from the order once they are the larger part of it.
func (b *Book) compact() {
	if len(b.order) < 2*len(b.records)+compactSlack {
		return
	}
	order := make([]*Record, 0, len(b.records))
	for _, r := range b.order {
		if !r.removed {
			order = append(order, r)
		}
	}
	b.order = order
}

// Settle ends the claim of the request that holds it. A repeated settlement is accepted again.
func (b *Book) Settle(request SettleRequest, now int64) SettleReply {
	b.expire(now)
	r := b.records[request.Key]
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
		// A claim whose outcome is unknown may have run and stays.
		if r.Status != InProgress {
			return SettleReply{}
		}
		b.remove(r)
		b.compact()
	case request.Outcome != nil:
		r.Status = Done
		r.Outcome = *request.Outcome
		b.keepBody(r)
	default:
		r.Status = Unknown
	}
	return SettleReply{Accepted: true}
}

func (b *Book) keepBody(r *Record) {
	if len(r.Outcome.Body) > MaxOutcomeBytes {
		r.Outcome.Body = nil
		r.Outcome.Truncated = true
	}
	if len(r.Outcome.Body) == 0 {
		return
	}
	b.bodies = append(b.bodies, r)
	b.bodyBytes += len(r.Outcome.Body)
	for b.bodyBytes > MaxBodyBytes {
		oldest := b.bodies[0]
		b.bodies = b.bodies[1:]
		b.bodyBytes -= len(oldest.Outcome.Body)
		oldest.Outcome.Body = nil
		oldest.Outcome.Truncated = true
	}
}

func (b *Book) expire(now int64) {
	limit := now - Retention.Milliseconds()
	for len(b.order) > 0 && b.order[0].Opened < limit {
		r := b.order[0]
		b.order = b.order[1:]
		if !r.removed {
			b.remove(r)
		}
	}
	for len(b.bodies) > 0 && b.bodies[0].Opened < limit {
		b.bodyBytes -= len(b.bodies[0].Outcome.Body)
		b.bodies = b.bodies[1:]
	}
}
