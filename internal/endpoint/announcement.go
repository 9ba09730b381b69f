// Package endpoint defines the announcements of endpoints, the orders and reservations that the system sends to
// them, and a client for the latter.
package endpoint

import "time"

// Type distinguishes engines from plain services.
type Type string

const (
	// Engine is a model engine.
	Engine Type = "engine"
	// Service is a plain service.
	Service Type = "service"
)

// State is the lifecycle state of an endpoint.
type State string

const (
	// Ready means that the endpoint accepts new work.
	Ready State = "ready"
	// Draining means that the endpoint finishes its work and accepts no more.
	Draining State = "draining"
	// Leaving means that the endpoint is about to stop; it is removed at once.
	Leaving State = "leaving"
)

const (
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval = time.Second
	// DeadAfter is the time without an announcement after which an endpoint is considered dead: three missed
	// announcements.
	DeadAfter = 3 * AnnounceInterval
)

// Announcement is the status report that an endpoint sends once per AnnounceInterval.
type Announcement struct {
	Name string `json:"name"`
	// Incarnation changes at each start of the endpoint.
	Incarnation string `json:"incarnation"`
	// Address is host:port of its HTTP server.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	Type       Type   `json:"type"`
	// Models are the models (engine) or services (plain service) that it serves.
	Models   []string `json:"models"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Memory is the KV-cache capacity in tokens; 0 for a plain service.
	Memory int    `json:"memory"`
	Role   string `json:"role,omitempty"`
	// ChecksFencing reports that the endpoint refuses orders with an old fencing token.
	ChecksFencing bool  `json:"checks-fencing"`
	State         State `json:"state"`
	Load          Load  `json:"load"`
	// CacheEvents arrive late and with gaps in their sequence numbers.
	CacheEvents []CacheEvent `json:"cache-events,omitempty"`
}

// Load is the load of an engine, delayed by the engine's reporting lag.
type Load struct {
	// QueuedPrefill is the number of prompt tokens still to be prefilled. Used and Cached are KV memory
	// in tokens.
	QueuedPrefill int `json:"queued-prefill"`
	Running       int `json:"running"`
	Queued        int `json:"queued"`
	Used          int `json:"used"`
	Cached        int `json:"cached"`
	// PrefillRate and DecodeRate are in tokens per second, as measured by the engine.
	PrefillRate float64 `json:"prefill-rate"`
	DecodeRate  float64 `json:"decode-rate"`
}

// CacheEvent reports that a block was stored in or evicted from the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// AnnounceReply tells an endpoint where to announce itself next.
type AnnounceReply struct {
	// Addresses are platform addresses (host:port) of entries, to be tried in order.
	Addresses []string `json:"addresses"`
}

// Holding is a reservation of KV memory at an engine.
type Holding struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	Tokens int    `json:"tokens"`
	// TTL is in milliseconds; the engine frees the holding if it is not renewed within this time.
	TTL int64 `json:"ttl-ms"`
}

// Order sets the desired state of an engine.
type Order struct {
	ID string `json:"order-id"`
	// FencingToken is the term of the control leader that gave the order.
	FencingToken uint64 `json:"fencing-token"`
	// Deadline is in Unix milliseconds; the engine refuses an order that arrives later.
	Deadline int64    `json:"deadline"`
	Models   []string `json:"models"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// PlatformState is the response to GET /platform/state: the state that the engine observes of itself.
type PlatformState struct {
	Incarnation  string   `json:"incarnation"`
	FencingToken uint64   `json:"fencing-token"`
	LastOrder    string   `json:"last-order"`
	Models       []string `json:"models"`
	Version      string   `json:"version"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
	Loading      bool     `json:"loading"`
	Used         int      `json:"used"`
	Memory       int      `json:"memory"`
}

// Headers of requests from an entry to an engine.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttemptID  = "X-Attempt-Id"
	HeaderPriority   = "X-Priority"
	HeaderDeadline   = "X-Deadline"
	HeaderHolding    = "X-Holding"
	HeaderGroup      = "X-Group"
	HeaderResumeFrom = "X-Resume-From"
	// HeaderCacheSeed carries the seed of the block hashes with which the engine reports its cache.
	HeaderCacheSeed = "X-Cache-Seed"
)

// BytesPerToken is the estimated number of prompt bytes per token.
const BytesPerToken = 4

// Tokens estimates the number of tokens of a prompt of the given number of bytes; it is at least 1.
func Tokens(bytes int) int {
	return max(1, (bytes+BytesPerToken-1)/BytesPerToken)
}
