// Package dispatch assigns requests to endpoints. Endpoints are grouped into cells: a cell has up to
// about 32 replicas of one model or service in one region, and a model with more replicas has several
// cells. Each cell is owned by one entry, a process that accepts requests from callers. The dispatcher of
// that entry alone grants work to the replicas of the cell.
package dispatch

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Status is the state of a reservation.
type Status string

const (
	// Granted means that the grant in the reply may be used.
	Granted Status = "granted"
	// Queued means that the reservation waits; call Await with the ticket for the result.
	Queued Status = "queued"
	// Refused means that nothing was reserved; the reply has the reason.
	Refused Status = "refused"
	// Elsewhere means that this entry does not dispatch for the cell, or does not know the ticket:
	// reserve again.
	Elsewhere Status = "elsewhere"
)

// Reason is why a reservation was refused.
type Reason string

const (
	// NoEndpoint means that the cell has no ready endpoint.
	NoEndpoint Reason = "no-endpoint"
	// TooLarge means that all engines of the cell together have too little memory for the prompt and its
	// completion.
	TooLarge Reason = "too-large"
	// TooLate means that the request is not expected to finish before its deadline.
	TooLate Reason = "too-late"
	// Overloaded means that the queue of the cell or of the workspace is full.
	Overloaded Reason = "overloaded"
	// Quarantined means that the request is quarantined because it has crashed endpoints.
	Quarantined Reason = "quarantined"
	// NoSafeEndpoint means that a request suspected of crashing endpoints found no endpoint without
	// another suspect.
	NoSafeEndpoint Reason = "no-safe-endpoint"
)

// ReserveRequest asks for one endpoint, or for a group of engines if the prompt does not fit into the
// memory of one.
type ReserveRequest struct {
	RequestID string
	// AttemptID is new for each attempt of a request.
	AttemptID string
	Entry     string
	Cell      string
	Workspace string
	// Adapter must be loaded at the endpoint; empty for none.
	Adapter string
	// Weight is the workspace's weight in fair queueing, Priority its class (0 is served first).
	Weight   int
	Priority int
	// PromptTokens is the estimated length of the prompt, MaxTokens the limit of the completion.
	PromptTokens int
	MaxTokens    int
	// Blocks are the chained hashes of the prompt's prefix blocks.
	Blocks []uint64
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Fingerprint is the hash of workspace, path and body.
	Fingerprint uint64
	// Exclude has the endpoints that this request has already tried.
	Exclude []string
}

// Grant is the right to use the endpoints of a reservation.
type Grant struct {
	// ID is the attempt ID.
	ID string
	// Members has one endpoint, or the members of a group. The first one is the head, which receives the
	// request.
	Members []GrantMember
	// Priority is the request's priority at the engine; lower values run first.
	Priority int64
	// Estimate is the expected time to first token.
	Estimate time.Duration
	// CachedTokens is the number of prompt tokens expected in the engine's prefix cache.
	CachedTokens int
}

// GrantMember is one endpoint of a grant.
type GrantMember struct {
	Endpoint string
	Address  string
	// Holding is the ID of the memory reservation at the engine. It is set for groups only: a single
	// engine reserves memory under the attempt ID when the request arrives.
	Holding string
	Tokens  int
}

// ReserveReply is the reply to Reserve and Await.
type ReserveReply struct {
	Status Status
	Grant  Grant
	// Ticket identifies a queued reservation.
	Ticket string
	Reason Reason
	// Message explains a refusal to the caller, with the numbers behind it.
	Message string
	// Estimate is the expected time to first token of a queued reservation. RetryAfter is how long a
	// refused caller should wait before it tries again.
	Estimate   time.Duration
	RetryAfter time.Duration
}

// AwaitRequest waits for the result of a queued reservation for at most Wait.
type AwaitRequest struct {
	Ticket string
	Wait   time.Duration
}

// EventType is what happened to a grant.
type EventType string

const (
	// FirstToken means that the prefill is done.
	FirstToken EventType = "first-token"
	// Finished means that the endpoint has sent its complete response.
	Finished EventType = "finished"
	// Cancelled means that the caller disconnected or the time limit passed.
	Cancelled EventType = "cancelled"
	// Failed means that the attempt failed but the endpoint is still alive.
	Failed EventType = "failed"
	// ConnectionLost means that the connection to the endpoint was lost while the request ran. It does not show
	// whether the endpoint crashed.
	ConnectionLost EventType = "died"
	// KeepAlive renews the grant of a request that still runs; a grant without an event for GrantTTL is
	// released.
	KeepAlive EventType = "alive"
)

// GrantTTL is how long a grant stays valid without an event from its entry.
const GrantTTL = 5 * time.Second

// Event reports a change in the state of a grant, or that it is still in use.
type Event struct {
	Cell  string
	Grant string
	Type  EventType
	// PromptTokens, CachedTokens and OutputTokens are the engine's token counts, if known.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Elapsed is the time since the entry began to use the grant.
	Elapsed time.Duration
	// Members, Workspace and Priority let a new dispatcher adopt a grant of another dispatcher, or one
	// that an entry gave itself while it could not reach a dispatcher.
	Members   []GrantMember
	Workspace string
	Priority  int
	// Fingerprint is the hash of workspace, path and body.
	Fingerprint uint64
	// Prefilled is true once the first token has arrived.
	Prefilled bool
}

// ReportRequest carries the events of one entry.
type ReportRequest struct {
	Entry  string
	Events []Event
}

// ReportReply is the empty reply to a ReportRequest.
type ReportReply struct{}

// AnnounceRequest forwards announcements that an entry received from endpoints.
type AnnounceRequest struct {
	Entry         string
	Announcements []endpoint.Announcement
}

// AnnounceReply is the empty reply to an AnnounceRequest.
type AnnounceReply struct{}

// EndpointsRequest asks for the endpoints of a cell. An entry keeps the reply, to choose an endpoint
// itself when it cannot reach the cell's dispatcher.
type EndpointsRequest struct {
	Cell string
	// Changes asks for the changes since Version, without the queue, the counts, the ages, and the load of
	// endpoints without a role. Life is the incarnation of the dispatcher's change log, from which Version
	// comes.
	Changes bool
	Life    uint64
	Version uint64
	// Sample, if greater than 0, asks for that many randomly chosen endpoints that accept work, without the
	// queue.
	Sample int
}

// EndpointView is the dispatcher's view of one endpoint.
type EndpointView struct {
	Announcement endpoint.Announcement
	// Grants and GrantedTokens count the dispatcher's live grants at the endpoint and the memory of them.
	Grants        int
	GrantedTokens int
	// Age is the time since the last announcement.
	Age time.Duration
	// Open means that the endpoint is ejected and gets no work: its circuit breaker is open, or a
	// connection to it was lost.
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

// EndpointsReply is the reply to an EndpointsRequest.
type EndpointsReply struct {
	Status    Status
	Endpoints []EndpointView
	Waiting   []WaitingView
	// Life and Version go into the next request for changes. Whole means that Endpoints has all endpoints
	// instead of only the changed ones. Gone has the names of endpoints that left the cell.
	Life    uint64
	Version uint64
	Whole   bool
	Gone    []string
}
