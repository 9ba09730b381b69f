// Package placement chooses the engines of a request: the primary, which decodes the response, and the helpers, which
// prefill parts of a long prompt. The engines of a large service are divided into
// cells; one dispatcher for each cell sees all requests to its engines. While none
// replies, an entry, which is a process that serves callers, decides with what it knows itself. Scheduler makes the
// decisions and does no I/O.
package placement

import (
	"fmt"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Kind classifies an Error.
type Kind string

const (
	// NoDispatcher means that no dispatcher replied.
	NoDispatcher Kind = "no-dispatcher"
	// Refused means that no engine can serve the request within its time limit.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Job is a request to be placed.
type Job struct {
	// ID is new for each attempt of a request.
	ID      string
	Service string
	// Cell has the engines that may serve the job.
	Cell Cell
	// Prompt is the length of the prompt and Output the expected length of the response, in tokens. Bound is the maximum
	// length of the response.
	Prompt int
	Output int
	Bound  int
	// Objective is the time to the first event that the service-level objective asks for, counted from the arrival of the
	// request; MaxPause is the longest permitted pause between two events.
	Objective time.Duration
	MaxPause  time.Duration
	// Waited is the time since the arrival of the request, Left the remainder of its time limit.
	Waited time.Duration
	Left   time.Duration
	// Priority is the declared priority of the request; 0 is served first. Rank is its place among the requests to the
	// service by priority.
	Priority   int
	Rank       routing.Rank
	DataCentre string
	// Exclude has the IDs of endpoints that have already failed the request.
	Exclude []string
}

// Member is an engine that takes part in a request.
type Member struct {
	Endpoint string
	// Started identifies the incarnation of the engine by its start in Unix milliseconds.
	Started int64
	Address string
	// Hold is the memory in tokens that the engine reserves before the request arrives; 0 for none.
	Hold int
}

// Grant permits a request to use engines.
type Grant struct {
	// Members has the primary engine first, then its helpers.
	Members []Member
	// Urgency is the rank of the request at its engines, from 0 (first) to 9.
	Urgency int
	// First is the expected time to the first event, Pass the expected pause between two events.
	First time.Duration
	Pass  time.Duration
}

// endpoints returns the IDs of the engines.
func (g Grant) endpoints() []string {
	ids := make([]string, len(g.Members))
	for i, m := range g.Members {
		ids[i] = m.Endpoint
	}
	return ids
}

// Status is the result of a reservation.
type Status string

const (
	// Granted means that the grant may be used.
	Granted Status = "granted"
	// Wait means that the job keeps its place in the queue and must ask again after a pause.
	Wait Status = "wait"
	// Rejected means that no engine can serve the job within its time limit.
	Rejected Status = "rejected"
)

// ReserveRequest asks for engines for a job.
type ReserveRequest struct {
	// Entry is the name of the process that asks.
	Entry string
	Job   Job
}

// ReserveReply is the reply to a ReserveRequest.
type ReserveReply struct {
	// Life is the incarnation of the dispatcher. It changes on a restart, which loses the list of running jobs.
	Life   uint64
	Status Status
	Grant  Grant
	// After is the pause before a waiting job asks again, or before the caller of a rejected one should retry.
	After time.Duration
	// Reason explains why the job was rejected or has to wait.
	Reason string
	// Full says that the job was rejected because all slots or all memory are taken.
	Full bool
	// Engines says what the decision on a long prompt was based on.
	Engines EngineCounts
}

// EngineCounts counts the engines of a cell for a long prompt.
type EngineCounts struct {
	// Usable engines take work. Of these, those without tight streams decode no stream that a long prefill would pause for
	// longer than it permits, and idle ones have no prefill backlog.
	Usable              int
	WithoutTightStreams int
	Idle                int
	// Parts is the number of parts into which the prompt could be divided, for the expected time.
	Parts int
}

// String returns the counts for logs.
func (c EngineCounts) String() string {
	return fmt.Sprintf("usable %d, without tight streams %d, idle %d, parts %d", c.Usable, c.WithoutTightStreams, c.Idle, c.Parts)
}

// EventType says what happened to a job.
type EventType string

const (
	// Adopted tells a dispatcher of a running job that it did not place itself.
	Adopted EventType = "adopted"
	// FirstEvent means that the prompt is prefilled and the first event has arrived.
	FirstEvent EventType = "first-event"
	// Finished means that the response is complete.
	Finished EventType = "finished"
	// Left means that the caller disconnected or its time limit passed.
	Left EventType = "left"
	// Declined means that the engine reported that it did not run the request.
	Declined EventType = "declined"
	// Failed means that the engine returned an invalid response or broke it off.
	Failed EventType = "failed"
	// Unreached means that no connection could be made, or that the engine did not respond.
	Unreached EventType = "unreached"
)

// Event reports on a job.
type Event struct {
	Type EventType
	Job  Job
	// Grant is set for Adopted.
	Grant Grant
	// Reading says that the prompt of an adopted job is not prefilled yet.
	Reading bool
	// Endpoint is the engine that ran the job.
	Endpoint string
	// Started identifies the incarnation of that engine by its start in Unix milliseconds.
	Started int64
	// Leaving says that the engine has announced in a response that it takes no more requests.
	Leaving bool
	// Elapsed is the time since the request was sent to the engine.
	Elapsed time.Duration
	// Pause is the pause between two events of an ended stream while its engine prefilled no prompts; 0 if it is unknown.
	Pause time.Duration
}

// ReportRequest carries events of one entry.
type ReportRequest struct {
	Entry  string
	Events []Event
	// Running, if Whole is set, has the IDs of all running jobs of the entry. All its other jobs have ended.
	Whole   bool
	Running []string
}

// ReportReply is the reply to a ReportRequest. Life is the incarnation of the dispatcher.
type ReportReply struct {
	Life uint64
}
