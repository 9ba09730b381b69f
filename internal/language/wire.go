package language

import (
	"encoding/json"

	"github.com/dandelionpier/dandelionpier/internal/burn"
)

// CommandRequest is the body of POST /v1/commands.
type CommandRequest struct {
	// Text is a transaction. Keys in it are sums, never keys.
	Text string `json:"text"`
	// CommandID makes a resend idempotent: the first result is given again.
	CommandID string `json:"command-id"`
	// Expected is the revision that the transaction was written against; without it, the revision
	// in force when the request arrives.
	Expected *uint64 `json:"expected-revision,omitempty"`
}

// CommandReply answers a CommandRequest.
type CommandReply struct {
	// Status is a control.SubmitStatus.
	Status   string `json:"status"`
	Revision uint64 `json:"revision"`
	Message  string `json:"message,omitempty"`
	InForce  bool   `json:"in-force"`
	// Changes are the lines that the transaction changes, old ones after -, new ones after +.
	Changes []string `json:"changes,omitempty"`
	// Since lists who changed what after the expected revision, in a conflict.
	Since []RevisionReply `json:"since,omitempty"`
}

// RevisionReply is an accepted revision with its changes in the language.
type RevisionReply struct {
	Revision uint64   `json:"revision"`
	Author   string   `json:"author"`
	Time     string   `json:"time"`
	Changes  []string `json:"changes"`
}

// QueryRequest is the body of POST /v1/queries.
type QueryRequest struct {
	Text string `json:"text"`
}

// QueryReply answers a QueryRequest.
type QueryReply struct {
	Columns []Column          `json:"columns"`
	Rows    []json.RawMessage `json:"rows"`
	// Total is the number of rows before the limit.
	Total    int    `json:"total"`
	Revision uint64 `json:"revision"`
	// Missing names the parts that the rows lack; the answer is partial when it is not empty.
	Missing []Missing `json:"missing,omitempty"`
	// Kept says what the state keeps of a subject with a bounded past.
	Kept string `json:"kept,omitempty"`
}

// Missing is a part of the fleet that did not answer.
type Missing struct {
	Part  string `json:"part"`
	Error string `json:"error"`
}

// MemberRequest is the body of POST /v1/quorum, which adds a control instance as a learner. It and
// DELETE /v1/quorum/{id} answer with a CommandReply without a revision.
type MemberRequest struct {
	ID string `json:"id"`
	// Address is the instance's peer address, host:port.
	Address string `json:"address"`
}

// BurnReply answers GET /v1/reports/burn with the merged reports of the entries.
type BurnReply struct {
	Report  burn.Report `json:"report"`
	Missing []Missing   `json:"missing,omitempty"`
}

// ErrorReply is the body of a response with an error status.
type ErrorReply struct {
	Error string `json:"error"`
	// Leader is the operator address of the leader, if the instance does not lead and could not forward.
	Leader string `json:"leader,omitempty"`
}
