// Package ledger enforces the monthly spending limits of workspaces. The replicated ledger on the control
// instances leases parts of a workspace's budget to the entries. An entry reserves the worst-case price of
// each request from its lease and reports what was spent. Amounts are in micro-cents (a millionth of a cent).
package ledger

// LeaseRequest asks for a lease of a part of a workspace's budget.
type LeaseRequest struct {
	Entry string `cbor:"1,keyasint"`
	// Incarnation is the entry's; a lease belongs to one incarnation of the process.
	Incarnation string `cbor:"2,keyasint"`
	Workspace   string `cbor:"3,keyasint"`
	// Need is the smallest amount that is of use, Want the amount asked for.
	Need int64 `cbor:"4,keyasint"`
	Want int64 `cbor:"5,keyasint"`
	// Sequence makes a resent request idempotent; it increases with each new request of an incarnation for
	// a workspace.
	Sequence uint64 `cbor:"6,keyasint"`
}

// LeaseReply is the reply to a LeaseRequest.
type LeaseReply struct {
	NotLeader bool
	Leader    string
	// Granted is 0 when less than Need remains.
	Granted int64
	// Period is the calendar month (UTC) whose budget is leased, as 2006-01.
	Period string
	// Remaining is what is left of the limit after the grant, -1 without a limit.
	Remaining int64
}

// Spend is an amount spent or returned, by workspace, model, length class and month.
type Spend struct {
	Workspace   string `cbor:"1,keyasint"`
	Model       string `cbor:"2,keyasint"`
	LengthClass string `cbor:"3,keyasint"`
	Period      string `cbor:"4,keyasint"`
	Amount      int64  `cbor:"5,keyasint"`
	Requests    int64  `cbor:"6,keyasint"`
	Tokens      int64  `cbor:"7,keyasint"`
}

// SettleRequest reports what an entry has spent of its leases since the last report, and what it returns.
type SettleRequest struct {
	Entry       string  `cbor:"1,keyasint"`
	Incarnation string  `cbor:"2,keyasint"`
	Spent       []Spend `cbor:"3,keyasint"`
	// Returned are the amounts given back, by workspace and period of the lease.
	Returned []Spend `cbor:"4,keyasint"`
	Sequence uint64  `cbor:"5,keyasint"`
}

// SettleReply is the reply to a SettleRequest.
type SettleReply struct {
	NotLeader bool
	Leader    string
}
