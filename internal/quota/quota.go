// Package quota enforces the request rate limits of workspaces across all entries. Each workspace has an
// owner, the live entry that rendezvous hashing ranks first for it. The owner keeps the workspace's token
// bucket and grants permits from it to the entries that serve the workspace. Entries prefetch permits, in
// batches; one permit admits one request. Metric names call a batch of permits a slice, and log keys call
// the owner the home.
//
// With rate r, burst b (one second's worth) and k entries that serve the workspace, at most r·t + b + k
// requests are admitted in any interval of length t while the owner is reachable. docs/quota.md gives the
// bound under failures.
package quota

import (
	"math"
	"time"
)

// ServiceName is the net/rpc service name under which an Owner is registered.
const ServiceName = "Quota"

const takeMethod = ServiceName + ".Take"

const (
	// sparePermitTTL is how long an entry keeps all permits but the last without a reply from the owner.
	sparePermitTTL = 2 * time.Second
	// lastPermitTTL is how long it keeps the last permit. Callers that send a request every few seconds
	// then don't wait for the owner, at the cost of one request above the limit for each entry.
	lastPermitTTL = 30 * time.Second
	// shareTTL is how long an entry uses the share that the owner granted; a new owner is known within a
	// session lease.
	shareTTL = 10 * time.Second
	// clockSkewFactor lengthens the periods above at the owner: its clock may run 10 % slower than the entry's.
	clockSkewFactor = 1.1

	// prefetchPeriod is the time whose demand a batch of permits should cover, demandWindow the time constant
	// of the average demand.
	prefetchPeriod = time.Second
	demandWindow   = 2 * time.Second

	// minReplyWait is how long a request waits for permits, the same time that a dispatcher has for its
	// first reply. maxReplyWait bounds the wait for an owner whose replies are known to take longer.
	// callTimeout bounds the call itself: a reply from an owner in another region may arrive after the wait
	// and then serves the following requests.
	minReplyWait = 50 * time.Millisecond
	maxReplyWait = 250 * time.Millisecond
	callTimeout  = 500 * time.Millisecond
	// probeInterval is the time between two calls to an owner that does not reply.
	probeInterval = 250 * time.Millisecond
	// minBackOff and maxBackOff bound the time until an entry asks an owner with an empty bucket again.
	minBackOff = 10 * time.Millisecond
	maxBackOff = time.Second
	// cleanupInterval is the time between two removals of unused pools or buckets.
	cleanupInterval = 10 * time.Second
)

// TakeRequest asks the owner of a workspace's rate limit for permits.
type TakeRequest struct {
	Entry     string
	Workspace string
	// Held is the number of permits that the entry still holds, Want the number that it asks for.
	Held int
	Want int
}

// TakeReply is the reply to a TakeRequest.
type TakeReply struct {
	// Elsewhere means that the called entry does not own the workspace's rate limit or has lost its lease.
	Elsewhere bool
	// Granted is the number of permits granted.
	Granted int
	// Share is the rate, in requests per second, that the entry may use while the owner does not reply.
	// The shares of all entries together do not exceed the workspace's rate.
	Share float64
	// Wait is the back-off before the next request, set when nothing is granted.
	Wait time.Duration
}

// burst returns the capacity of a bucket: one second's worth of requests, at least one.
func burst(rate float64) int {
	return max(1, int(math.Ceil(rate)))
}
