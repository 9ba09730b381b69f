// Package dispatch is the dispatcher of a cell: up to about 32 replicas of one model or service in
// one region. It alone grants work to the replicas of its cell. A model with more has several cells.
package dispatch

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Status says how a reservation stands.
type Status string

const (
	// Granted means that the grant in the reply may be used.
	Granted Status = "granted"
	// Queued means that the reservation waits; ask with Await and the ticket.
	Queued Status = "queued"
	// Refused means that nothing was reserved; the reply gives the reason.
	Refused Status = "refused"
	// Elsewhere means that the entry does not dispatch for the cell.
	Elsewhere Status = "elsewhere"
)

// Reason says why a reservation was refused.
type Reason string

const (
	// NoEndpoint means that the cell has no ready endpoint.
	NoEndpoint Reason = "no-endpoint"
	// TooLarge means that no group of the cell can hold the prompt.
	TooLarge Reason = "too-large"
	// TooLate means that the estimate exceeds the deadline.
	TooLate Reason = "too-late"
	// Overloaded means that the queue of the cell or of the workspace is full.
	Overloaded Reason = "overloaded"
	// Quarantine means that the request crashed endpoints before.
	Quarantine Reason = "quarantined"
	// NoSafeEndpoint means that a suspect has no endpoint that is free of other suspects.
	NoSafeEndpoint Reason = "no-safe-endpoint"
)

// ReserveRequest asks for an endpoint, or a group of them.
type ReserveRequest struct {
	RequestID string
	// AttemptID is new for each attempt of a request.
	AttemptID string
	Entry     string
	Cell      string
	Workspace string
	// Adapter must be loaded at the endpoint; empty for none.
	Adapter string
	// Weight is the workspace's share in fair queueing, Priority its class (0 is served first).
	Weight   int
	Priority int
	// PromptTokens and MaxTokens are the estimate of the prompt and the bound of the completion.
	PromptTokens int
	MaxTokens    int
	// Blocks are the chained hashes of the prompt's prefix blocks.
	Blocks []uint64
	// TimeLeft is what remains of the request's time limit.
	TimeLeft time.Duration
	// Fingerprint is the hash of workspace, path and body.
	Fingerprint uint64
	// Exclude are endpoints that this request has already tried.
	Exclude []string
}

// Grant is the right to use the endpoints of a reservation.
type Grant struct {
	// ID is the attempt's id.
	ID string
	// Members has one endpoint, or the group with its head first.
	Members []GrantMember
	// Priority is for the engine: lower runs first.
	Priority int64
	// Estimate is the expected time to first token.
	Estimate time.Duration
	// CachedTokens is the expected hit in the prefix cache.
	CachedTokens int
}

// GrantMember is one endpoint of a grant.
type GrantMember struct {
	Endpoint string
	Address  string
	// Holding is the id of the memory reservation at the engine. It is set for groups only: a single
	// engine reserves under the attempt's id when the request arrives.
	Holding string
	Tokens  int
}

// ReserveReply answers Reserve and Await.
type ReserveReply struct {
	Status Status
	Grant  Grant
	// Ticket names a queued reservation.
	Ticket string
	Reason Reason
	// Message explains a refusal with its figures.
	Message string
	// Estimate is the expected time to first token of a queued reservation; RetryAfter the wait after
	// a refusal.
	Estimate   time.Duration
	RetryAfter time.Duration
}

// AwaitRequest waits for a queued reservation, at most Wait.
type AwaitRequest struct {
	Ticket string
	Wait   time.Duration
}

// EventType says what happened to a grant.
type EventType string

const (
	// FirstToken means that the prefill is done.
	FirstToken EventType = "first-token"
	// Finished means that the endpoint answered to the end.
	Finished EventType = "finished"
	// Cancelled means that the caller left or the time limit passed.
	Cancelled EventType = "cancelled"
	// Failed means that the attempt failed and the endpoint lives.
	Failed EventType = "failed"
	// Died means that the connection to the endpoint broke while the request ran.
	Died EventType = "died"
	// Alive renews a grant that still runs; grants without it for GrantTTL are released.
	Alive EventType = "alive"
)

// GrantTTL is how long a grant lives without an event from its entry.
const GrantTTL = 5 * time.Second

// Event reports on a grant.
type Event struct {
	Cell  string
	Grant string
	Type  EventType
	// PromptTokens, CachedTokens and OutputTokens are the engine's figures, where known.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Elapsed is the time since the grant was used.
	Elapsed time.Duration
	// Members, Workspace and Priority let a new dispatcher adopt a grant that another one gave, or
	// that an entry gave itself while no dispatcher answered.
	Members   []GrantMember
	Workspace string
	Priority  int
	// Fingerprint is the hash of workspace, path and body.
	Fingerprint uint64
	// Prefilled says that the first token has arrived.
	Prefilled bool
}

// ReportRequest carries the events of one entry.
type ReportRequest struct {
	Entry  string
	Events []Event
}

// ReportReply answers a ReportRequest.
type ReportReply struct{}

// AnnounceRequest carries announcements that an entry received.
type AnnounceRequest struct {
	Entry         string
	Announcements []endpoint.Announcement
}

// AnnounceReply answers an AnnounceRequest.
type AnnounceReply struct{}

// EndpointsRequest asks for the endpoints of a cell, for use when its dispatcher is lost.
type EndpointsRequest struct {
	Cell string
	// Changes asks for what has changed since Version of the dispatcher's life Life, without the queue,
	// the counts, the age, and the load of endpoints without a role.
	Changes bool
	Life    uint64
	Version uint64
	// Sample, if it is more than 0, asks for so many endpoints that take work, at random, without the queue.
	Sample int
}

// EndpointView is one endpoint as its dispatcher sees it.
type EndpointView struct {
	Announcement endpoint.Announcement
	// Grants and GrantedTokens are the dispatcher's own count.
	Grants        int
	GrantedTokens int
	// Age is the time since the last announcement.
	Age time.Duration
	// Open says that the circuit breaker keeps work away.
	Open bool
}

// WaitingView is one queued reservation, for operators.
type WaitingView struct {
	RequestID string
	Workspace string
	Tokens    int
	Waited    time.Duration
	Estimate  time.Duration
}

// EndpointsReply answers an EndpointsRequest.
type EndpointsReply struct {
	Status    Status
	Endpoints []EndpointView
	Waiting   []WaitingView
	// Life and Version are what to ask with next for changes. Whole says that Endpoints has all endpoints
	// and not only changed ones; Gone names those that the cell no longer has.
	Life    uint64
	Version uint64
	Whole   bool
	Gone    []string
}
