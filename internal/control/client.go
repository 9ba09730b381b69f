package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/session"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Caller makes net/rpc calls, as peer.Pool does.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Addresses are the peer addresses of the control instances.
	Addresses []string
	Caller    Caller
}

// Client finds the control leader and calls it. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	mu     sync.Mutex
	leader string
	next   int
	// learned are addresses that a leader has named. They are tried beside those of the configuration.
	learned []string
}

// NewClient returns a client that does not know the leader yet.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config}
}

const (
	// attemptTimeout bounds one call, so that a frozen leader leaves time for another.
	attemptTimeout = 700 * time.Millisecond
	// retryPause keeps the clients from flooding the instances during an election.
	retryPause = 50 * time.Millisecond
)

// redirected is a reply that may say that the instance does not lead.
type redirected interface {
	redirect() (notLeader bool, leader string)
}

// call tries the leader and then the other instances until one answers as leader or ctx ends. All
// calls may be repeated: the requests carry what makes them idempotent.
func call[Reply redirected](ctx context.Context, c *Client, method string, request any, timeout time.Duration) (Reply, error) {
	var none Reply
	var last error
	for ctx.Err() == nil {
		address := c.target()
		var reply Reply
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err := c.config.Caller.Call(attempt, address, method, request, &reply)
		cancel()
		if err == nil {
			notLeader, leader := reply.redirect()
			if !notLeader {
				return reply, nil
			}
			c.follow(address, leader)
		} else {
			last = err
			c.follow(address, "")
		}
		task.Pause(ctx, retryPause)
	}
	if last == nil {
		last = ctx.Err()
	}
	return none, fault.Wrap(last, "call control leader", NoLeader, method)
}

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		known := slices.Concat(c.learned, c.config.Addresses)
		c.leader = known[c.next%len(known)]
		c.next++
	}
	return c.leader
}

// Learn takes the addresses of the control instances that a leader has named.
func (c *Client) Learn(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = slices.Clone(addresses)
}

// Use replaces the addresses of the configuration.
func (c *Client) Use(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Addresses = slices.Clone(addresses)
}

// follow forgets an address that does not lead and takes up the one that it named.
func (c *Client) follow(from, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != from {
		return
	}
	if leader == from {
		leader = ""
	}
	c.leader = leader
}

// Heartbeat renews the session of an entry.
func (c *Client) Heartbeat(ctx context.Context, request session.HeartbeatRequest) (session.HeartbeatReply, error) {
	reply, err := call[heartbeatReply](ctx, c, "Session.Heartbeat", request, attemptTimeout)
	return session.HeartbeatReply(reply), err
}

// Watch waits for a change at the leader.
func (c *Client) Watch(ctx context.Context, request session.WatchRequest) (session.WatchReply, error) {
	reply, err := call[watchReply](ctx, c, "Session.Watch", request, session.WatchTimeout+attemptTimeout)
	return session.WatchReply(reply), err
}

// Snapshot fetches a part of the whole configuration.
func (c *Client) Snapshot(ctx context.Context, request session.SnapshotRequest) (session.SnapshotReply, error) {
	reply, err := call[snapshotReply](ctx, c, "Session.Snapshot", request, attemptTimeout)
	return session.SnapshotReply(reply), err
}

// OpenClaim claims an idempotency key.
func (c *Client) OpenClaim(ctx context.Context, request claim.OpenRequest) (claim.OpenReply, error) {
	reply, err := call[openReply](ctx, c, "Claims.Open", request, proposeTimeout)
	return claim.OpenReply(reply), err
}

// SettleClaim ends a claim.
func (c *Client) SettleClaim(ctx context.Context, request claim.SettleRequest) (claim.SettleReply, error) {
	reply, err := call[settleReply](ctx, c, "Claims.Settle", request, proposeTimeout)
	return claim.SettleReply(reply), err
}

// LeaseBudget asks for a slice of a workspace's budget.
func (c *Client) LeaseBudget(ctx context.Context, request ledger.LeaseRequest) (ledger.LeaseReply, error) {
	reply, err := call[leaseReply](ctx, c, "Ledger.Lease", request, proposeTimeout)
	return ledger.LeaseReply(reply), err
}

// SettleBudget reports spending.
func (c *Client) SettleBudget(ctx context.Context, request ledger.SettleRequest) (ledger.SettleReply, error) {
	reply, err := call[settleBudgetReply](ctx, c, "Ledger.Settle", request, proposeTimeout)
	return ledger.SettleReply(reply), err
}

// Quarantine refuses a request everywhere for QuarantineTime.
func (c *Client) Quarantine(ctx context.Context, request QuarantineRequest) error {
	_, err := call[QuarantineReply](ctx, c, "Commands.Quarantine", request, proposeTimeout)
	return err
}

// Submit commits an operator's transaction.
func (c *Client) Submit(ctx context.Context, request SubmitRequest) (SubmitReply, error) {
	return call[SubmitReply](ctx, c, "Commands.Submit", request, proposeTimeout+inForceTimeout)
}

// Query answers an operator's query.
func (c *Client) Query(ctx context.Context, request QueryRequest) (QueryReply, error) {
	return call[QueryReply](ctx, c, "Commands.Query", request, readTimeout+attemptTimeout)
}

type (
	heartbeatReply    session.HeartbeatReply
	watchReply        session.WatchReply
	snapshotReply     session.SnapshotReply
	openReply         claim.OpenReply
	settleReply       claim.SettleReply
	leaseReply        ledger.LeaseReply
	settleBudgetReply ledger.SettleReply
)

func (r heartbeatReply) redirect() (bool, string)    { return r.NotLeader, r.Leader }
func (r watchReply) redirect() (bool, string)        { return r.NotLeader, r.Leader }
func (r snapshotReply) redirect() (bool, string)     { return r.NotLeader, r.Leader }
func (r openReply) redirect() (bool, string)         { return r.NotLeader, r.Leader }
func (r settleReply) redirect() (bool, string)       { return r.NotLeader, r.Leader }
func (r leaseReply) redirect() (bool, string)        { return r.NotLeader, r.Leader }
func (r settleBudgetReply) redirect() (bool, string) { return r.NotLeader, r.Leader }
func (r QuarantineReply) redirect() (bool, string)   { return r.NotLeader, r.Leader }
func (r SubmitReply) redirect() (bool, string)       { return r.NotLeader, r.Leader }
func (r QueryReply) redirect() (bool, string)        { return r.NotLeader, r.Leader }
