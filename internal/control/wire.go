// Package control is the replicated state machine of the control instances and its net/rpc service.
package control

import (
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// SubmitRequest is one transaction of an operator.
type SubmitRequest struct {
	// CommandID makes a resend idempotent.
	CommandID string `cbor:"1,keyasint" json:"command-id"`
	Author    string `cbor:"2,keyasint" json:"author"`
	// Expected is the revision that the transaction was written against.
	Expected uint64                 `cbor:"3,keyasint" json:"expected-revision"`
	Changes  []configuration.Change `cbor:"4,keyasint" json:"changes"`
	// Check says what would change without doing it.
	Check bool `cbor:"5,keyasint" json:"check"`
	// Digest identifies what the operator sent. A resend has the same, even where its changes came out
	// otherwise because the configuration has moved on; empty means that the changes identify it.
	Digest []byte `cbor:"6,keyasint,omitempty" json:"digest,omitempty"`
}

// SubmitStatus is the result of a transaction.
type SubmitStatus string

const (
	// Accepted means that the transaction is durable; it never reverts.
	Accepted SubmitStatus = "accepted"
	// Conflict means that another revision came first; Since lists what changed.
	Conflict SubmitStatus = "conflict"
	// Rejected means that the changes are not valid.
	Rejected SubmitStatus = "rejected"
	// Valid answers a check of changes that would be accepted.
	Valid SubmitStatus = "valid"
	// Unavailable means that no quorum answered; resend with the same command id.
	Unavailable SubmitStatus = "unavailable"
)

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	NotLeader bool                     `cbor:"-" json:"-"`
	Leader    string                   `cbor:"-" json:"leader,omitempty"`
	Status    SubmitStatus             `cbor:"1,keyasint" json:"status"`
	Revision  uint64                   `cbor:"2,keyasint" json:"revision"`
	Message   string                   `cbor:"3,keyasint" json:"message,omitempty"`
	Since     []configuration.Revision `cbor:"4,keyasint" json:"since,omitempty"`
	// InForce says that each session has applied the revision or lost its lease.
	InForce bool `cbor:"-" json:"in-force"`
}

// QueryRequest asks for the state of the control quorum.
type QueryRequest struct {
	// Configuration, History, Members, Spending and Quorum select what is answered.
	Configuration bool `json:"configuration"`
	History       int  `json:"history"`
	Members       bool `json:"members"`
	Spending      bool `json:"spending"`
	Quorum        bool `json:"quorum"`
	// Months bounds Spending; without it the current month is answered.
	Months ledger.Months `json:"months"`
	// Workspace bounds Spending to one workspace, if it is not empty.
	Workspace string `json:"workspace"`
	// TotalsOnly leaves the details out of Spending; at 6,500 workspaces they are 24 MB a month.
	TotalsOnly bool `json:"totals-only"`
}

// Voter is one control instance in the quorum's view.
type Voter struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader"`
	Match    uint64 `json:"match"`
	Reached  bool   `json:"reached"`
	LastSeen int64  `json:"last-seen-ms"`
}

// Account is the spending of one workspace in one period, in micro-cents.
type Account struct {
	Workspace string         `json:"workspace"`
	Period    string         `json:"period"`
	Limit     int64          `json:"limit"`
	Leased    int64          `json:"leased"`
	Spent     int64          `json:"spent"`
	Detail    []ledger.Spend `json:"detail"`
}

// QueryReply answers a QueryRequest.
type QueryReply struct {
	NotLeader     bool                         `json:"-"`
	Leader        string                       `json:"leader,omitempty"`
	Revision      uint64                       `json:"revision"`
	Term          uint64                       `json:"term"`
	Configuration *configuration.Configuration `json:"configuration,omitempty"`
	History       []configuration.Revision     `json:"history,omitempty"`
	Members       []session.Member             `json:"members,omitempty"`
	Accounts      []Account                    `json:"accounts,omitempty"`
	// Kept says from which months on Accounts can be had.
	Kept   ledger.Retention `json:"kept"`
	Voters []Voter          `json:"voters,omitempty"`
}

// QuarantineRequest names a request that crashes endpoints.
type QuarantineRequest struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
}

// QuarantineReply answers a QuarantineRequest.
type QuarantineReply struct {
	NotLeader bool
	Leader    string
}
