// Package placement chooses the engines of a request: which one answers it, and which help to read a long
// prompt. One dispatcher for each service sees all requests of the deployment; while none answers, an entry
// chooses by what it knows itself. Scheduler holds the decisions and does no I/O.
package placement

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// NoDispatcher means that no dispatcher answered.
	NoDispatcher Kind = "no-dispatcher"
	// Refused means that no engine can serve the request in its time.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Job is a request to be placed.
type Job struct {
	// ID is new for each attempt of a request.
	ID      string
	Service string
	// Prompt is the length of the prompt and Output the expected length of the answer, in tokens. Bound is
	// the largest length of the answer.
	Prompt int
	Output int
	Bound  int
	// Objective is the time to the first event that the service-level objective asks for, counted from the
	// arrival of the request; MaxPause is the longest pause between two events.
	Objective time.Duration
	MaxPause  time.Duration
	// Waited is the time since the arrival of the request, Left what remains of its time limit.
	Waited time.Duration
	Left   time.Duration
	// Priority is the rank of the request; 0 is served first.
	Priority   int
	DataCentre string
	// Exclude are the ids of endpoints that have failed the request.
	Exclude []string
}

// Member is an engine that takes part in a request.
type Member struct {
	Endpoint string
	Address  string
	// Hold is the memory in tokens that is reserved for the request beforehand; 0 for none.
	Hold int
}

// Grant is the right to use engines.
type Grant struct {
	// Members has the engine that answers first, then those that read parts of the prompt for it.
	Members []Member
	// Urgency is the rank of the request at its engines, from 0 (first) to 9.
	Urgency int
	// First is the expected time to the first event, Pass the expected pause between two events.
	First time.Duration
	Pass  time.Duration
}

// endpoints are the ids of the engines.
func (g Grant) endpoints() []string {
	ids := make([]string, len(g.Members))
	for i, m := range g.Members {
		ids[i] = m.Endpoint
	}
	return ids
}

// Status says how a reservation stands.
type Status string

const (
	// Granted means that the grant may be used.
	Granted Status = "granted"
	// Wait means that the job keeps its place and is asked for again after a pause.
	Wait Status = "wait"
	// Rejected means that no engine can serve the job in its time.
	Rejected Status = "rejected"
)

// ReserveRequest asks for engines.
type ReserveRequest struct {
	// Entry names the process that asks.
	Entry string
	Job   Job
}

// ReserveReply answers a ReserveRequest.
type ReserveReply struct {
	// Life changes when the dispatcher has forgotten what runs.
	Life   uint64
	Status Status
	Grant  Grant
	// After is the pause before the next question, or before the caller should return.
	After time.Duration
	// Reason explains a rejection or why the job waits.
	Reason string
	// Full says of a rejection that all slots or all memory are taken.
	Full bool
}

// EventType says what happened to a job.
type EventType string

const (
	// Adopted tells a dispatcher of a job that it has not placed.
	Adopted EventType = "adopted"
	// FirstEvent means that the prompt is read.
	FirstEvent EventType = "first-event"
	// Finished means that the answer is complete.
	Finished EventType = "finished"
	// Left means that the caller left or its time is over.
	Left EventType = "left"
	// Declined means that the engine said that it did not run the request.
	Declined EventType = "declined"
	// Failed means that the engine answered wrongly or broke off.
	Failed EventType = "failed"
	// Unreached means that no connection could be made, or that the engine was silent.
	Unreached EventType = "unreached"
)

// Event reports on a job.
type Event struct {
	Type EventType
	Job  Job
	// Grant is set for Adopted.
	Grant Grant
	// Reading says of an adopted job that its prompt is not read yet.
	Reading bool
	// Endpoint is the engine that an ending concerns.
	Endpoint string
	// Elapsed is the time since the request was sent to the engine.
	Elapsed time.Duration
	// Pause is the pause between two events of an ended stream while its engine read no prompts; 0 when it is
	// not known.
	Pause time.Duration
}

// ReportRequest carries events of one entry.
type ReportRequest struct {
	Entry  string
	Events []Event
	// Running, if Whole is set, are the ids of all jobs of the entry that run. Others of the entry have ended.
	Whole   bool
	Running []string
}

// ReportReply answers a ReportRequest.
type ReportReply struct {
	Life uint64
}
