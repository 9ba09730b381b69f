// Package control implements the replicated state machine of the control instances, its net/rpc service and a
// client for it.
package control

import (
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// SubmitRequest is one transaction of an operator.
type SubmitRequest struct {
	// CommandID makes retries idempotent.
	CommandID string `cbor:"1,keyasint" json:"command-id"`
	Author    string `cbor:"2,keyasint" json:"author"`
	// Expected is the revision that the transaction was written against.
	Expected uint64                 `cbor:"3,keyasint" json:"expected-revision"`
	Changes  []configuration.Change `cbor:"4,keyasint" json:"changes"`
	// Check asks only for the result that the transaction would have; nothing is committed.
	Check bool `cbor:"5,keyasint" json:"check"`
	// Digest identifies what the operator sent. A retry has the same digest even if it yields other changes,
	// because the configuration has changed since; empty means that the request is identified by its content.
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
	// Valid is the result of a check of changes that would be accepted.
	Valid SubmitStatus = "valid"
	// Unavailable means that no quorum replied; retry with the same command id.
	Unavailable SubmitStatus = "unavailable"
)

// SubmitReply is the reply to a SubmitRequest.
type SubmitReply struct {
	NotLeader bool                     `cbor:"-" json:"-"`
	Leader    string                   `cbor:"-" json:"leader,omitempty"`
	Status    SubmitStatus             `cbor:"1,keyasint" json:"status"`
	Revision  uint64                   `cbor:"2,keyasint" json:"revision"`
	Message   string                   `cbor:"3,keyasint" json:"message,omitempty"`
	Since     []configuration.Revision `cbor:"4,keyasint" json:"since,omitempty"`
	// InForce reports that each session has applied the revision or lost its lease.
	InForce bool `cbor:"-" json:"in-force"`
}

// QueryRequest asks for the state of the control quorum.
type QueryRequest struct {
	// Configuration, History, Members, Spending and Quorum select the parts of the reply. History is the
	// number of revisions.
	Configuration bool `json:"configuration"`
	History       int  `json:"history"`
	Members       bool `json:"members"`
	Spending      bool `json:"spending"`
	Quorum        bool `json:"quorum"`
	// Months limits Spending to a range of months; zero means the current month.
	Months ledger.Months `json:"months"`
	// Workspace limits Spending to one workspace; empty means all.
	Workspace string `json:"workspace"`
	// TotalsOnly leaves the details out of Spending; at 6,500 workspaces they are 24 MB a month.
	TotalsOnly bool `json:"totals-only"`
}

// Voter describes one control instance as the quorum sees it.
type Voter struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	// Match is the index of the last log entry known to be stored at the instance.
	Match uint64 `json:"match"`
	// Reached reports whether the instance has replied within the last second.
	Reached bool `json:"reached"`
	// LastSeen is the time since the last reply of the instance, in milliseconds.
	LastSeen int64 `json:"last-seen-ms"`
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

// QueryReply is the reply to a QueryRequest.
type QueryReply struct {
	NotLeader     bool                         `json:"-"`
	Leader        string                       `json:"leader,omitempty"`
	Revision      uint64                       `json:"revision"`
	Term          uint64                       `json:"term"`
	Configuration *configuration.Configuration `json:"configuration,omitempty"`
	History       []configuration.Revision     `json:"history,omitempty"`
	Members       []session.Member             `json:"members,omitempty"`
	Accounts      []Account                    `json:"accounts,omitempty"`
	// Kept names the oldest months for which Accounts are available.
	Kept   ledger.Retention `json:"kept"`
	Voters []Voter          `json:"voters,omitempty"`
}

// QuarantineRequest names a request that crashes endpoints.
type QuarantineRequest struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
}

// QuarantineReply is the reply to a QuarantineRequest.
type QuarantineReply struct {
	NotLeader bool
	Leader    string
}
