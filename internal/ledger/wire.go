// Package ledger keeps spending within the limits that operators set. Amounts are in micro-cents
// (a millionth of a cent).
package ledger

// LeaseRequest asks for a slice of a workspace's budget.
type LeaseRequest struct {
	Entry string `cbor:"1,keyasint"`
	// Incarnation is the entry's; a slice belongs to one life of the process.
	Incarnation string `cbor:"2,keyasint"`
	Workspace   string `cbor:"3,keyasint"`
	// Need is the least amount that is of use, Want the amount asked for.
	Need int64 `cbor:"4,keyasint"`
	Want int64 `cbor:"5,keyasint"`
	// Sequence makes a resent request idempotent; it grows with each new request of an incarnation.
	Sequence uint64 `cbor:"6,keyasint"`
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	NotLeader bool
	Leader    string
	// Granted is 0 when less than Need remains.
	Granted int64
	// Period is the calendar month (UTC) that the slice belongs to, as 2006-01.
	Period string
	// Remaining is what is left of the limit after the grant.
	Remaining int64
}

// Spend is one settled use, by workspace, model and length class.
type Spend struct {
	Workspace   string `cbor:"1,keyasint"`
	Model       string `cbor:"2,keyasint"`
	LengthClass string `cbor:"3,keyasint"`
	Period      string `cbor:"4,keyasint"`
	Amount      int64  `cbor:"5,keyasint"`
	Requests    int64  `cbor:"6,keyasint"`
	Tokens      int64  `cbor:"7,keyasint"`
}

// SettleRequest reports what an entry spent of its slices since the last report, and what it returns.
type SettleRequest struct {
	Entry       string  `cbor:"1,keyasint"`
	Incarnation string  `cbor:"2,keyasint"`
	Spent       []Spend `cbor:"3,keyasint"`
	// Returned are amounts of slices given back, by workspace; the period is the slice's.
	Returned []Spend `cbor:"4,keyasint"`
	Sequence uint64  `cbor:"5,keyasint"`
}

// SettleReply answers a SettleRequest.
type SettleReply struct {
	NotLeader bool
	Leader    string
}
