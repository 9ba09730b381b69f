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

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are the peer addresses of the control instances.
	Addresses []string
	Caller    Caller
}

// Client finds the control leader and calls it. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	mu     sync.Mutex
	// leader is empty while the leader is unknown.
	leader string
	// nextIndex counts the addresses tried while the leader was unknown.
	nextIndex int
	// learned are the addresses received from a leader. They are tried in addition to those of the configuration.
	learned []string
}

// NewClient returns a client that does not know the leader yet.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config}
}

const (
	// attemptTimeout bounds one attempt, so that time is left to try another instance when the leader hangs.
	attemptTimeout = 700 * time.Millisecond
	// retryBackOff keeps the clients from flooding the instances during an election.
	retryBackOff = 50 * time.Millisecond
)

// redirector is a reply that names the leader if the called instance is not the leader.
type redirector interface {
	redirect() (notLeader bool, leader string)
}

// call sends a request to the leader, or to one instance after another while the leader is unknown, until
// the leader replies or ctx ends. All calls can be retried: the requests carry what makes them idempotent.
func call[Reply redirector](ctx context.Context, c *Client, method string, request any, timeout time.Duration) (Reply, error) {
	var zero Reply
	var lastErr error
	for ctx.Err() == nil {
		address, ok := c.targetAddress()
		if !ok {
			lastErr = fault.New("find control leader", NoLeader, "no address of a control instance is known")
			task.Pause(ctx, retryBackOff)
			continue
		}
		var reply Reply
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err := c.config.Caller.Call(attempt, address, method, request, &reply)
		cancel()
		if err == nil {
			notLeader, leader := reply.redirect()
			if !notLeader {
				return reply, nil
			}
			c.replaceLeader(address, leader)
		} else {
			lastErr = err
			c.replaceLeader(address, "")
		}
		task.Pause(ctx, retryBackOff)
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return zero, fault.Wrap(lastErr, "call control leader", NoLeader, method)
}

// targetAddress returns the address of the leader, or that of the next instance to try if the leader is unknown. It
// returns false if no address is known.
func (c *Client) targetAddress() (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		addresses := slices.Concat(c.learned, c.config.Addresses)
		if len(addresses) == 0 {
			return "", false
		}
		c.leader = addresses[c.nextIndex%len(addresses)]
		c.nextIndex++
	}
	return c.leader, true
}

// SetLearnedAddresses stores the addresses of the control instances that a leader has sent. They replace those
// of earlier calls.
func (c *Client) SetLearnedAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = slices.Clone(addresses)
}

// SetAddresses replaces the addresses of the configuration.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Addresses = slices.Clone(addresses)
}

// replaceLeader replaces the leader from, which did not reply as leader, by the one that it named; an empty
// leader means that it is unknown. It does nothing if another call has already replaced the leader.
func (c *Client) replaceLeader(from, leader string) {
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

// Watch waits until the leader has state that the entry lacks.
func (c *Client) Watch(ctx context.Context, request session.WatchRequest) (session.WatchReply, error) {
	reply, err := call[watchReply](ctx, c, "Session.Watch", request, session.WatchTimeout+attemptTimeout)
	return session.WatchReply(reply), err
}

// Snapshot fetches one chunk of the encoded configuration.
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

// LeaseBudget asks for a lease on part of a workspace's budget.
func (c *Client) LeaseBudget(ctx context.Context, request ledger.LeaseRequest) (ledger.LeaseReply, error) {
	reply, err := call[leaseReply](ctx, c, "Ledger.Lease", request, proposeTimeout)
	return ledger.LeaseReply(reply), err
}

// SettleBudget reports spending.
func (c *Client) SettleBudget(ctx context.Context, request ledger.SettleRequest) (ledger.SettleReply, error) {
	reply, err := call[settleBudgetReply](ctx, c, "Ledger.Settle", request, proposeTimeout)
	return ledger.SettleReply(reply), err
}

// Quarantine makes all entries refuse a request for QuarantineTime.
func (c *Client) Quarantine(ctx context.Context, request QuarantineRequest) error {
	_, err := call[QuarantineReply](ctx, c, "Commands.Quarantine", request, proposeTimeout)
	return err
}

// Submit commits an operator's transaction.
func (c *Client) Submit(ctx context.Context, request SubmitRequest) (SubmitReply, error) {
	return call[SubmitReply](ctx, c, "Commands.Submit", request, proposeTimeout+inForceTimeout)
}

// Query runs an operator's query.
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
