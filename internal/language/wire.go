package language

import (
	"encoding/json"

	"github.com/dandelionpier/dandelionpier/internal/burn"
)

// CommandRequest is the body of POST /v1/commands.
type CommandRequest struct {
	// Text is a transaction. It contains hashes of keys, never the keys.
	Text string `json:"text"`
	// CommandID makes retries idempotent: a retry with the same ID gets the first result again.
	CommandID string `json:"command-id"`
	// Expected is the revision that the transaction was written against; nil means the revision in force
	// when the request arrives.
	Expected *uint64 `json:"expected-revision,omitempty"`
}

// CommandReply is the reply to a CommandRequest.
type CommandReply struct {
	// Status is a control.SubmitStatus.
	Status   string `json:"status"`
	Revision uint64 `json:"revision"`
	Message  string `json:"message,omitempty"`
	InForce  bool   `json:"in-force"`
	// Changes is a diff in the language: removed lines start with -, added lines with +.
	Changes []string `json:"changes,omitempty"`
	// Since lists the revisions after the expected one, if the status is conflict.
	Since []RevisionReply `json:"since,omitempty"`
}

// RevisionReply is an accepted revision, with its changes as lines of the language.
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

// QueryReply is the reply to a QueryRequest.
type QueryReply struct {
	Columns []Column          `json:"columns"`
	Rows    []json.RawMessage `json:"rows"`
	// Total is the number of rows before the limit.
	Total    int    `json:"total"`
	Revision uint64 `json:"revision"`
	// Missing lists the sources whose rows are missing; the result is partial if it is not empty.
	Missing []MissingPart `json:"missing,omitempty"`
	// Kept describes how much history is retained, for a subject whose older data is deleted.
	Kept string `json:"kept,omitempty"`
}

// MissingPart is a source whose data is missing from a reply, such as an instance or a cell, with the reason.
type MissingPart struct {
	Part  string `json:"part"`
	Error string `json:"error"`
}

// MemberRequest is the body of POST /v1/quorum, which adds a control instance as a learner. The reply to
// it and to DELETE /v1/quorum/{id} is a CommandReply without a revision.
type MemberRequest struct {
	ID string `json:"id"`
	// Address is the instance's peer address, host:port.
	Address string `json:"address"`
}

// BurnReply is the reply to GET /v1/reports/burn, with the merged reports of the entries.
type BurnReply struct {
	Report  burn.Report   `json:"report"`
	Missing []MissingPart `json:"missing,omitempty"`
}

// ErrorReply is the body of a response with an error status.
type ErrorReply struct {
	Error string `json:"error"`
	// Leader is the operator address of the leader, if the instance is not the leader and could not forward
	// the request.
	Leader string `json:"leader,omitempty"`
}
