// Package cell is the client of the dispatchers: it reserves endpoints, reports the progress of grants,
// forwards announcements, and selects an endpoint itself while a dispatcher is unreachable. A cell is the
// set of replicas of one model or service that one dispatcher schedules.
package cell

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

const (
	// acknowledgeTimeout is how long a dispatcher has for its first reply (design section 11).
	acknowledgeTimeout = 50 * time.Millisecond
	// longPollWait is the length of one long poll; longPollGrace is added to the timeout of the call, for the
	// transfer of the reply.
	longPollWait  = time.Second
	longPollGrace = 250 * time.Millisecond
	// maxReserveTries bounds the reservations for one attempt: one at the unreachable dispatcher and one at
	// each of two successors.
	maxReserveTries = 3
)

// Dispatcher is the dispatcher in this process; its methods have the signatures that net/rpc requires.
type Dispatcher interface {
	Reserve(request dispatch.ReserveRequest, reply *dispatch.ReserveReply) error
	Estimate(request dispatch.ReserveRequest, reply *dispatch.Estimate) error
	Await(request dispatch.AwaitRequest, reply *dispatch.ReserveReply) error
	Report(request dispatch.ReportRequest, reply *dispatch.ReportReply) error
	Announce(request dispatch.AnnounceRequest, reply *dispatch.AnnounceReply) error
	Endpoints(request dispatch.EndpointsRequest, reply *dispatch.EndpointsReply) error
}

// Caller makes net/rpc calls, as peer.Pool does.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config configures a Client.
type Config struct {
	// Instance is the name of this instance; Incarnation changes at each start of the process.
	Instance    string
	Incarnation string
	// View returns the session's view of the deployment. The client uses the view also when the error is set.
	View   func() (session.View, error)
	Local  Dispatcher
	Caller Caller
	// Settings are the dispatchers' settings. They give the priority of requests that are placed without a
	// dispatcher. Zero means the defaults.
	Settings dispatch.Settings
	Logger   *zap.Logger
}

// Client calls the dispatchers of all cells. It is safe for concurrent use.
type Client struct {
	config        Config
	endpointCache *endpointCache
	reporter      *reporter
	forwarder     *forwarder
	breaker       dispatcherBreaker
	crashes       *crashTracker
}

// New returns a client. It sends reports and announcements only while Run is running.
func New(config Config) *Client {
	if config.Settings.PrefillRate == 0 {
		config.Settings = dispatch.DefaultSettings()
	}
	c := &Client{config: config, endpointCache: newEndpointCache(), crashes: newCrashTracker()}
	c.reporter = newReporter(c)
	c.forwarder = newForwarder(c)
	return c
}

// Run sends reports and announcements and polls the endpoints of the cells in use until ctx ends. It sends
// the pending reports before it returns.
func (c *Client) Run(ctx context.Context) error {
	done := make(chan struct{}, 3)
	for _, loop := range []func(context.Context){c.reporter.run, c.forwarder.run, c.pollLoop} {
		go func() {
			loop(ctx)
			done <- struct{}{}
		}()
	}
	for range cap(done) {
		<-done
	}
	return nil
}

// Reserve obtains a grant for the request, waiting in the dispatcher's queue where needed. newAttemptID
// returns the attempt ID of each reservation. Errors are of type refusal.Error with outcome did-not-run. While no
// dispatcher replies, a request whose connection to an endpoint broke waits for the next dispatcher.
func (c *Client) Reserve(ctx context.Context, request dispatch.ReserveRequest, newAttemptID func() string) (dispatch.Grant, error) {
	waitUntil := time.Now().Add(suspectMaxWait)
	for {
		grant, err := c.tryReserve(ctx, request, newAttemptID)
		switch {
		case !errors.Is(err, errSuspect):
			return grant, err
		case !time.Now().Before(waitUntil):
			return dispatch.Grant{}, noSafeEndpointError()
		}
		task.Pause(ctx, suspectRetryInterval)
	}
}

// tryReserve asks the dispatchers, with at most maxReserveTries reservations, and selects an endpoint itself
// when none of them grants or finally refuses the request. Its error is errSuspect or of type refusal.Error.
func (c *Client) tryReserve(ctx context.Context, request dispatch.ReserveRequest, newAttemptID func() string) (dispatch.Grant, error) {
	c.endpointCache.markUsed(request.Cell)
	request.Entry = c.entryID()
	request.AttemptID = newAttemptID()
	// avoidCells did not reply or cannot run the request; those of them in small replied that it is too large.
	var avoidCells []string
	var small smallCells
	var largerCellUntil time.Time
	cellRequest, available := c.selectCell(ctx, request, avoidCells)
	for try := 0; available && (try < maxReserveTries || time.Now().Before(largerCellUntil)); try++ {
		reply, err := c.reserveInCell(ctx, cellRequest)
		if ctx.Err() != nil {
			c.reporter.cancelReservation(cellRequest)
			return dispatch.Grant{}, contextError(ctx)
		}
		if err != nil {
			c.config.Logger.Debug("The dispatcher did not reply", zap.String("cell", cellRequest.Cell),
				zap.String(logging.RequestID, cellRequest.RequestID), zap.Error(err))
			if isQueueLost(err) {
				// With the same attempt ID the request keeps its place in the queue where the dispatcher still has it.
				continue
			}
			avoidCells = append(avoidCells, cellRequest.Cell)
			next, ok := c.selectOtherCell(ctx, request, avoidCells, newAttemptID)
			if !ok && len(small.names) > 0 {
				next, err = c.awaitLargerCell(ctx, request, small.names, largerCellUntil, newAttemptID)
				ok = err == nil
			}
			if !ok {
				break
			}
			c.reporter.cancelReservation(cellRequest)
			cellRequest = next
			continue
		}
		switch reply.Status {
		case dispatch.Granted:
			return reply.Grant, nil
		case dispatch.Refused:
			avoidCells = append(avoidCells, cellRequest.Cell)
			switch reply.Reason {
			case dispatch.NoEndpoint:
			case dispatch.TooLarge:
				if small.add(cellRequest.Cell, c.cellCount(request.Cell)) {
					return dispatch.Grant{}, refusedError(reply)
				}
				if largerCellUntil.IsZero() {
					largerCellUntil = time.Now().Add(largerCellWait)
				}
				next, err := c.awaitLargerCell(ctx, request, small.names, largerCellUntil, newAttemptID)
				if err != nil {
					return dispatch.Grant{}, err
				}
				cellRequest = next
				continue
			default:
				return dispatch.Grant{}, refusedError(reply)
			}
			if next, ok := c.selectOtherCell(ctx, request, avoidCells, newAttemptID); ok {
				cellRequest = next
				continue
			}
			// A dispatcher that has just taken over knows no endpoints until they announce themselves again.
			grant, err := c.selectEndpoint(request, newAttemptID, refusedError(reply))
			if errors.Is(err, errSuspect) {
				// The dispatcher replied, and it queues requests that it may still be able to place, so its refusal
				// is final.
				return grant, refusedError(reply)
			}
			return grant, err
		case dispatch.Elsewhere:
			// The number of cells may have changed, so the cell is selected again.
			attemptID := cellRequest.AttemptID
			cellRequest, available = c.selectCell(ctx, request, avoidCells)
			cellRequest.AttemptID = attemptID
		}
	}
	c.reporter.cancelReservation(cellRequest)
	return c.selectEndpoint(request, newAttemptID, unreachableError(request.Cell))
}

func (c *Client) entryID() string {
	return c.config.Instance + "/" + c.config.Incarnation
}

// selectEndpoint selects an endpoint without a dispatcher, or returns noEndpoint when none can run the
// request. Of the rules for requests that crash endpoints it applies those that need no view of the whole
// cell.
func (c *Client) selectEndpoint(request dispatch.ReserveRequest, newAttemptID func() string, noEndpoint refusal.Error) (dispatch.Grant, error) {
	view, _ := c.config.View()
	switch {
	case view.Quarantined[request.Fingerprint]:
		return dispatch.Grant{}, quarantinedError()
	case c.crashes.isSuspect(request.Fingerprint):
		return dispatch.Grant{}, errSuspect
	}
	request.Exclude = slices.Concat(request.Exclude, c.crashes.failedEndpoints())
	member, ok := c.endpointCache.choose(request, view.Configuration.Drained)
	if !ok {
		return dispatch.Grant{}, noEndpoint
	}
	return dispatch.Grant{
		ID:       newAttemptID(),
		Members:  []dispatch.GrantMember{member},
		Priority: c.config.Settings.Priority(time.Now(), request, c.config.Settings.PrefillRate),
	}, nil
}

// lostQueue is the error kind for a dispatcher that stopped replying while it had the reservation queued.
const lostQueue peer.Kind = "lost-queue"

func isQueueLost(err error) bool {
	return fault.Is(err, lostQueue)
}

func (c *Client) reserveInCell(ctx context.Context, request dispatch.ReserveRequest) (dispatch.ReserveReply, error) {
	var reply dispatch.ReserveReply
	target, ok := c.dispatcher(request.Cell)
	if !ok {
		return reply, fault.New("reserve", peer.Unreachable, "no live entry dispatches for cell %q", request.Cell)
	}
	request.TimeLeft = timeLeft(ctx, request)
	if c.breaker.skip(target.Instance) {
		return reply, fault.New("reserve", peer.Lost, "dispatcher %q has not replied to the last calls", target.Instance)
	}
	err := c.call(ctx, target, acknowledgeTimeout, "Dispatch.Reserve", request, &reply)
	c.breaker.record(target.Instance, err == nil || ctx.Err() != nil)
	for err == nil && reply.Status == dispatch.Queued && ctx.Err() == nil {
		awaitRequest := dispatch.AwaitRequest{Ticket: reply.Ticket, Wait: longPollWait}
		var awaitReply dispatch.ReserveReply
		err = c.call(ctx, target, longPollWait+longPollGrace, "Dispatch.Await", awaitRequest, &awaitReply)
		if err != nil {
			return reply, fault.Wrap(err, "await grant", lostQueue, request.Cell)
		}
		awaitReply.Ticket = reply.Ticket
		reply = awaitReply
	}
	return reply, err
}

func timeLeft(ctx context.Context, request dispatch.ReserveRequest) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return request.TimeLeft
}

func (c *Client) dispatcher(cell string) (session.Member, bool) {
	view, _ := c.config.View()
	return view.Dispatcher(cell)
}

// call calls a method of the target's dispatcher, directly when the target is this instance.
func (c *Client) call(ctx context.Context, target session.Member, timeout time.Duration, method string, args, reply any) error {
	if target.Instance == c.config.Instance {
		return c.callLocal(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.config.Caller.Call(ctx, target.Peer, method, args, reply)
}

func (c *Client) callLocal(args, reply any) error {
	switch request := args.(type) {
	case dispatch.ReserveRequest:
		if estimate, ok := reply.(*dispatch.Estimate); ok {
			return c.config.Local.Estimate(request, estimate)
		}
		return c.config.Local.Reserve(request, reply.(*dispatch.ReserveReply))
	case dispatch.AwaitRequest:
		return c.config.Local.Await(request, reply.(*dispatch.ReserveReply))
	case dispatch.ReportRequest:
		return c.config.Local.Report(request, reply.(*dispatch.ReportReply))
	case dispatch.AnnounceRequest:
		return c.config.Local.Announce(request, reply.(*dispatch.AnnounceReply))
	case dispatch.EndpointsRequest:
		return c.config.Local.Endpoints(request, reply.(*dispatch.EndpointsReply))
	default:
		return fault.New("call dispatcher", peer.Remote, "unknown request type %T", args)
	}
}
