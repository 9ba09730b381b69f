// Package cell is the entry's side of the dispatchers: it reserves endpoints, reports what becomes
// of grants, forwards announcements, and selects an endpoint itself while a dispatcher is lost.
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
	// acknowledgeTimeout is how long a dispatcher has for its first answer (design section 11).
	acknowledgeTimeout = 50 * time.Millisecond
	// awaitWait is the length of one long poll; awaitGrace covers the way back.
	awaitWait  = time.Second
	awaitGrace = 250 * time.Millisecond
	// maxRounds bounds the reservations of one attempt: the lost dispatcher and two successors.
	maxRounds = 3
)

// Dispatcher is the dispatcher in this process; the methods have the form of net/rpc.
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

// Config sets up a Client.
type Config struct {
	// Instance is the name of this instance, Incarnation changes at each start of the process.
	Instance    string
	Incarnation string
	// View returns the session's view.
	View   func() (session.View, error)
	Local  Dispatcher
	Caller Caller
	// Settings are those of the dispatchers, for the priority of requests that are placed without one; zero
	// means the defaults.
	Settings dispatch.Settings
	Logger   *zap.Logger
}

// Client reaches the dispatchers of all cells. It is safe for concurrent use.
type Client struct {
	config    Config
	roster    *roster
	reporter  *reporter
	forwarder *forwarder
	silence   silence
	crashes   *crashes
}

// New returns a client; Run must run for reports and announcements to be sent.
func New(config Config) *Client {
	if config.Settings.PrefillRate == 0 {
		config.Settings = dispatch.DefaultSettings()
	}
	c := &Client{config: config, roster: newRoster(), crashes: newCrashes()}
	c.reporter = newReporter(c)
	c.forwarder = newForwarder(c)
	return c
}

// Run sends reports and announcements and polls the endpoints of the cells in use until ctx ends.
// What is still to be reported then is sent before it returns.
func (c *Client) Run(ctx context.Context) error {
	ends := make(chan struct{}, 3)
	for _, loop := range []func(context.Context){c.reporter.run, c.forwarder.run, c.poll} {
		go func() {
			loop(ctx)
			ends <- struct{}{}
		}()
	}
	for range cap(ends) {
		<-ends
	}
	return nil
}

// Reserve obtains a grant for the request, waiting in the dispatcher's queue where needed. newAttempt
// gives the id of each reservation. Errors are of type refusal.Error with outcome did-not-run. While no
// dispatcher answers, a request whose connection to an endpoint broke waits for the next one.
func (c *Client) Reserve(ctx context.Context, request dispatch.ReserveRequest, newAttempt func() string) (dispatch.Grant, error) {
	end := time.Now().Add(suspectWait)
	for {
		grant, err := c.obtain(ctx, request, newAttempt)
		switch {
		case !errors.Is(err, errSuspect):
			return grant, err
		case !time.Now().Before(end):
			return dispatch.Grant{}, noSafeEndpoint()
		}
		task.Pause(ctx, suspectPause)
	}
}

// obtain asks the dispatchers once; its error is errSuspect or of type refusal.Error.
func (c *Client) obtain(ctx context.Context, request dispatch.ReserveRequest, newAttempt func() string) (dispatch.Grant, error) {
	c.roster.use(request.Cell)
	request.Entry = c.holder()
	request.AttemptID = newAttempt()
	var avoid []string
	at, answered := c.aim(ctx, request, avoid)
	for round := 0; answered && round < maxRounds; round++ {
		reply, err := c.reserve(ctx, at)
		if ctx.Err() != nil {
			c.reporter.abandon(at)
			return dispatch.Grant{}, timeLimit(ctx)
		}
		if err != nil {
			c.config.Logger.Debug("The dispatcher did not answer", zap.String("cell", at.Cell),
				zap.String(logging.RequestID, at.RequestID), zap.Error(err))
			if queueLost(err) {
				// The same attempt id keeps the place in the queue where the dispatcher still has it.
				continue
			}
			avoid = append(avoid, at.Cell)
			next, ok := c.another(ctx, request, avoid, newAttempt)
			if !ok {
				break
			}
			c.reporter.abandon(at)
			at = next
			continue
		}
		switch reply.Status {
		case dispatch.Granted:
			return reply.Grant, nil
		case dispatch.Refused:
			if reply.Reason != dispatch.NoEndpoint {
				return dispatch.Grant{}, refused(reply)
			}
			avoid = append(avoid, at.Cell)
			if next, ok := c.another(ctx, request, avoid, newAttempt); ok {
				at = next
				continue
			}
			// A dispatcher that has just taken over knows no endpoint before the next announcements.
			grant, err := c.choose(request, newAttempt, refused(reply))
			if errors.Is(err, errSuspect) {
				// This dispatcher queues what it may yet place, so it is not waited for.
				return grant, refused(reply)
			}
			return grant, err
		case dispatch.Elsewhere:
			// The number of cells may have changed.
			attempt := at.AttemptID
			at, answered = c.aim(ctx, request, avoid)
			at.AttemptID = attempt
		}
	}
	c.reporter.abandon(at)
	return c.choose(request, newAttempt, unreachable(request.Cell))
}

func (c *Client) holder() string {
	return c.config.Instance + "/" + c.config.Incarnation
}

// choose selects an endpoint without a dispatcher, or returns the given refusal when none can run the
// request. It keeps those rules for crashing requests that need no view of the whole cell.
func (c *Client) choose(request dispatch.ReserveRequest, newAttempt func() string, none refusal.Error) (dispatch.Grant, error) {
	view, _ := c.config.View()
	switch {
	case view.Quarantined[request.Fingerprint]:
		return dispatch.Grant{}, quarantined()
	case c.crashes.suspect(request.Fingerprint):
		return dispatch.Grant{}, errSuspect
	}
	request.Exclude = slices.Concat(request.Exclude, c.crashes.lost())
	member, ok := c.roster.choose(request, view.Configuration.Endpoints)
	if !ok {
		return dispatch.Grant{}, none
	}
	return dispatch.Grant{
		ID:       newAttempt(),
		Members:  []dispatch.GrantMember{member},
		Priority: c.config.Settings.Priority(time.Now(), request, c.config.Settings.PrefillRate),
	}, nil
}

// lostQueue marks the loss of a dispatcher at which a reservation was queued.
const lostQueue peer.Kind = "lost-queue"

func queueLost(err error) bool {
	return fault.Is(err, lostQueue)
}

func (c *Client) reserve(ctx context.Context, request dispatch.ReserveRequest) (dispatch.ReserveReply, error) {
	var reply dispatch.ReserveReply
	target, ok := c.dispatcher(request.Cell)
	if !ok {
		return reply, fault.New("reserve", peer.Unreachable, "no live entry dispatches for cell %q", request.Cell)
	}
	request.TimeLeft = timeLeft(ctx, request)
	if c.silence.skip(target.Instance) {
		return reply, fault.New("reserve", peer.Lost, "dispatcher %q has not answered the last reservations", target.Instance)
	}
	err := c.call(ctx, target, acknowledgeTimeout, "Dispatch.Reserve", request, &reply)
	c.silence.note(target.Instance, err == nil || ctx.Err() != nil)
	for err == nil && reply.Status == dispatch.Queued && ctx.Err() == nil {
		wait := dispatch.AwaitRequest{Ticket: reply.Ticket, Wait: awaitWait}
		var next dispatch.ReserveReply
		err = c.call(ctx, target, awaitWait+awaitGrace, "Dispatch.Await", wait, &next)
		if err != nil {
			return reply, fault.Wrap(err, "await grant", lostQueue, request.Cell)
		}
		next.Ticket = reply.Ticket
		reply = next
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

// call runs a method at a dispatcher, in this process where it is this instance.
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
