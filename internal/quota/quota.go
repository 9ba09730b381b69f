// Package quota holds workspaces to their request rates over all entries. Each workspace has a home, the
// live entry that rendezvous hashing ranks first for it. The home owns the workspace's token bucket and
// hands out slices of it to the entries that serve the workspace, ahead of need.
//
// With rate r, burst b (one second's worth) and k entries that serve the workspace, at most r·t + b + k
// requests are admitted in any time t while the home answers. docs/quota.md gives the bound under failures.
package quota

import (
	"math"
	"time"
)

// ServiceName is the name of the net/rpc service of a Home.
const ServiceName = "Quota"

const takeMethod = ServiceName + ".Take"

const (
	// spareTime is how long an entry keeps what it holds beyond one request without an answer of the home.
	spareTime = 2 * time.Second
	// holdTime is how long it keeps the last one. Callers that send a request every few seconds then find
	// one ready, at the price of one request of excess for each entry.
	holdTime = 30 * time.Second
	// shareTime is how long an entry relies on the share that the home named; the next home is known
	// within a session lease.
	shareTime = 10 * time.Second
	// skewFactor is what a home adds to the times above: its clock may run 10 % slower than the entry's.
	skewFactor = 1.1

	// aheadTime is the use that a slice should cover, useTime the time over which the use is averaged.
	aheadTime = time.Second
	useTime   = 2 * time.Second

	// answerTimeout is how long a request waits for a slice, the time that a dispatcher has for its first
	// answer, maxPatience how long it waits for a home whose answers are known to take longer. callTimeout
	// bounds the call itself: the answer of a home in another region may take longer and is used by the
	// following requests.
	answerTimeout = 50 * time.Millisecond
	maxPatience   = 250 * time.Millisecond
	callTimeout   = 500 * time.Millisecond
	// probeInterval is the time between two calls to a home that does not answer.
	probeInterval = 250 * time.Millisecond
	// minWait and maxWait bound the time for which an entry does not ask an exhausted home again.
	minWait = 10 * time.Millisecond
	maxWait = time.Second
	// sweepInterval is the time between two searches for state that is no longer needed.
	sweepInterval = 10 * time.Second
)

// TakeRequest asks the home of a workspace for a slice.
type TakeRequest struct {
	Entry     string
	Workspace string
	// Held is what the entry holds of earlier slices, Want what it asks for, in requests.
	Held int
	Want int
}

// TakeReply answers a TakeRequest.
type TakeReply struct {
	// Elsewhere says that the asked entry is not the home of the workspace or has lost its lease.
	Elsewhere bool
	// Granted is in requests.
	Granted int
	// Share is the rate, in requests a second, that the entry may use while the home does not answer.
	// The shares of all entries together do not exceed the workspace's rate.
	Share float64
	// Wait is the time after which to ask again, set when nothing is granted.
	Wait time.Duration
}

// burst is one second's worth of requests, at least one.
func burst(rate float64) int {
	return max(1, int(math.Ceil(rate)))
}
