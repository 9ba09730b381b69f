package cell_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// remoteDispatcher is the only other entry; it dispatches for all cells.
type remoteDispatcher struct {
	mu             sync.Mutex
	reserve        func(ctx context.Context, reply *dispatch.ReserveReply) error
	await          func(ctx context.Context, reply *dispatch.ReserveReply) error
	events         []dispatch.Event
	reportCalls    int
	reportFailures int
	pollReply      []dispatch.EndpointView
	pollRequests   []dispatch.EndpointsRequest
	reserveCalls   int
}

func (r *remoteDispatcher) Call(ctx context.Context, _, _ string, args, reply any) error {
	switch request := args.(type) {
	case dispatch.ReserveRequest:
		r.reserveCalls++
		return r.reserve(ctx, reply.(*dispatch.ReserveReply))
	case dispatch.AwaitRequest:
		return r.await(ctx, reply.(*dispatch.ReserveReply))
	case dispatch.ReportRequest:
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.reportFailures > 0 {
			r.reportFailures--
			return errors.New("connection lost")
		}
		r.events = append(r.events, request.Events...)
		r.reportCalls++
	case dispatch.EndpointsRequest:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pollRequests = append(r.pollRequests, request)
		reply.(*dispatch.EndpointsReply).Endpoints = r.pollReply
	}
	return nil
}

func noReply(ctx context.Context, _ *dispatch.ReserveReply) error {
	<-ctx.Done()
	return ctx.Err()
}

func newClient(r *remoteDispatcher) *cell.Client {
	return cell.New(cell.Config{
		Instance: "entry-1", Incarnation: "1", Caller: r, Logger: zap.NewNop(),
		View: func() (session.View, error) {
			return session.View{Members: []session.Member{
				{Instance: "entry-1", Region: "norte", Draining: true}, {Instance: "entry-2", Region: "norte", Peer: "peer"},
			}}, nil
		},
	})
}

func attemptIDs() func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprint("r-", n)
	}
}

func announcement(name string, running int) endpoint.Announcement {
	return endpoint.Announcement{
		Name: name, Address: name, Region: "norte", Type: endpoint.Engine, Models: []string{"oak"}, Memory: 100,
		State: endpoint.Ready, Load: endpoint.Load{Running: running},
	}
}

var request = dispatch.ReserveRequest{RequestID: "r", Cell: "oak/norte", PromptTokens: 10, MaxTokens: 10}

// Guards against requests that each wait for an unreachable dispatcher, or wait for more than 50 ms, against
// a dispatcher that is not used again when it replies, and against a choice of endpoints that are dead,
// draining, too small, ejected or tried before.
func TestReserveWithoutDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &remoteDispatcher{reserve: noReply}
		client := newClient(r)
		client.Announce(announcement("dead", 0))
		time.Sleep(endpoint.DeadAfter + time.Millisecond)
		for name, change := range map[string]func(a *endpoint.Announcement){
			"good":     func(*endpoint.Announcement) {},
			"draining": func(a *endpoint.Announcement) { a.State = endpoint.Draining },
			"leaving":  func(a *endpoint.Announcement) { a.State = endpoint.Leaving },
			"small":    func(a *endpoint.Announcement) { a.Memory = 19 },
			"tried":    func(*endpoint.Announcement) {},
			"other":    func(a *endpoint.Announcement) { a.Models = []string{"pine"} },
		} {
			a := announcement(name, 0)
			change(&a)
			client.Announce(a)
		}
		tried := request
		tried.Exclude = []string{"tried"}
		// Three reservations in a row wait for the dispatcher; then one does every 250 ms.
		for _, wait := range []time.Duration{50, 50, 50, 0, 0, 0} {
			began := time.Now()
			grant, err := client.Reserve(t.Context(), tried, attemptIDs())
			is.NoErr(err)
			is.Equal(grant.Members[0].Endpoint, "good")
			is.Equal(grant.ID, "r-2")
			is.Equal(time.Since(began), wait*time.Millisecond)
		}
		time.Sleep(250 * time.Millisecond)
		r.reserve = func(_ context.Context, reply *dispatch.ReserveReply) error {
			*reply = dispatch.ReserveReply{Status: dispatch.Granted, Grant: dispatch.Grant{ID: "g"}}
			return nil
		}
		for range 2 {
			grant, err := client.Reserve(t.Context(), tried, attemptIDs())
			is.NoErr(err)
			is.Equal(grant.ID, "g")
		}
	})
}

// Guards against a selection that ignores the load or sends all requests to one endpoint.
func TestTwoChoices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := newClient(&remoteDispatcher{reserve: noReply})
		client.Announce(announcement("idle-1", 0))
		client.Announce(announcement("idle-2", 0))
		client.Announce(announcement("busy", 1000))
		counts := make(map[string]int)
		for range 30 {
			grant, err := client.Reserve(t.Context(), request, attemptIDs())
			is.NoErr(err)
			counts[grant.Members[0].Endpoint]++
		}
		// Both random choices are the busy endpoint in one of nine cases.
		is.True(counts["busy"] < 12)
		is.True(counts["idle-1"] > 0 && counts["idle-2"] > 0)
	})
}

// checkReservation requires the grant "g", or a refusal with the given code.
func checkReservation(t *testing.T, grant dispatch.Grant, err error, code string) {
	t.Helper()
	is := is.New(t)
	if code == "" {
		is.NoErr(err)
		is.Equal(grant.ID, "g")
		return
	}
	var refused refusal.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, code)
	is.Equal(refused.Outcome, refusal.DidNotRun)
}

// Guards against a queued reservation that is lost, granted twice, or waits past the time limit.
func TestQueue(t *testing.T) {
	granted := dispatch.ReserveReply{Status: dispatch.Granted, Grant: dispatch.Grant{ID: "g"}}
	queued := dispatch.ReserveReply{Status: dispatch.Queued, Ticket: "t"}
	reply := func(replies ...dispatch.ReserveReply) func(context.Context, *dispatch.ReserveReply) error {
		return func(_ context.Context, out *dispatch.ReserveReply) error {
			*out, replies = replies[0], replies[1:]
			return nil
		}
	}
	for name, test := range map[string]struct {
		remote *remoteDispatcher
		calls  int
		code   string
	}{
		"granted at once":   {&remoteDispatcher{reserve: reply(granted)}, 1, ""},
		"granted later":     {&remoteDispatcher{reserve: reply(queued), await: reply(queued, queued, granted)}, 1, ""},
		"queue lost":        {&remoteDispatcher{reserve: reply(queued, granted), await: noReply}, 2, ""},
		"ticket unknown":    {&remoteDispatcher{reserve: reply(queued, granted), await: reply(dispatch.ReserveReply{Status: dispatch.Elsewhere})}, 2, ""},
		"refused in queue":  {&remoteDispatcher{reserve: reply(queued), await: reply(dispatch.ReserveReply{Status: dispatch.Refused, Reason: dispatch.TooLate})}, 1, "too-late"},
		"nobody dispatches": {&remoteDispatcher{reserve: reply(dispatch.ReserveReply{Status: dispatch.Elsewhere}, dispatch.ReserveReply{Status: dispatch.Elsewhere}, dispatch.ReserveReply{Status: dispatch.Elsewhere})}, 3, "no-endpoint"},
		"time limit": {&remoteDispatcher{reserve: reply(queued), await: func(ctx context.Context, out *dispatch.ReserveReply) error {
			time.Sleep(time.Second)
			*out = queued
			return nil
		}}, 1, "time-limit"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				grant, err := newClient(test.remote).Reserve(ctx, request, attemptIDs())
				is.Equal(test.remote.reserveCalls, test.calls)
				checkReservation(t, grant, err, test.code)
			})
		})
	}
}

// Guards against events that are lost with a failed report, out of order, or sent one by one, and
// against grants that expire while their requests run.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &remoteDispatcher{reportFailures: 1}
		client := newClient(r)
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan struct{})
		go func() {
			defer close(end)
			_ = client.Run(ctx)
		}()
		first := client.TrackGrant(request, dispatch.Grant{ID: "a"})
		second := client.TrackGrant(request, dispatch.Grant{ID: "b"})
		first.FirstToken()
		time.Sleep(2500 * time.Millisecond)
		first.End(dispatch.Finished, stream.Usage{Known: true, CachedTokens: 3})
		second.End(dispatch.ConnectionLost, stream.Usage{})
		cancel()
		<-end
		var got []string
		for _, event := range r.events {
			if event.Grant == "a" {
				got = append(got, string(event.Type))
			}
		}
		is.Equal(got, []string{"first-token", "alive", "alive", "finished"})
		is.Equal(r.events[len(r.events)-1].Type, dispatch.ConnectionLost)
		is.True(r.reportCalls <= 4)
	})
}

// Guards against an empty list of endpoints when the dispatcher of a cell in use becomes unreachable.
func TestPolledEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		open := dispatch.EndpointView{Announcement: announcement("open", 0), Open: true}
		r := &remoteDispatcher{reserve: noReply, pollReply: []dispatch.EndpointView{{Announcement: announcement("polled", 0)}, open}}
		client := newClient(r)
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan struct{})
		go func() {
			defer close(end)
			_ = client.Run(ctx)
		}()
		_, err := client.Reserve(ctx, request, attemptIDs())
		is.True(err != nil)
		time.Sleep(1100 * time.Millisecond)
		grant, err := client.Reserve(ctx, request, attemptIDs())
		is.NoErr(err)
		is.Equal(grant.Members[0].Endpoint, "polled")
		cancel()
		<-end
	})
}

// Guards against polls that ask for more endpoints the more models the entry serves, and against models
// that are never polled.
func TestPollsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &remoteDispatcher{reserve: func(_ context.Context, reply *dispatch.ReserveReply) error {
			reply.Status = dispatch.Granted
			return nil
		}}
		client := newClient(r)
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- client.Run(ctx) }()
		const models, seconds, perSecond = 24, 200, 12 // a model is missed with probability 24 * (20/24)^200
		for i := range models {
			use := request
			use.Cell = fmt.Sprintf("model-%d/norte", i)
			_, err := client.Reserve(ctx, use, attemptIDs())
			is.NoErr(err)
		}
		time.Sleep(seconds * time.Second)
		cancel()
		is.NoErr(<-end)
		asked, endpoints := make(map[string]bool), 0
		for _, poll := range r.pollRequests {
			asked[poll.Cell] = true
			endpoints += poll.Sample
			is.True(poll.Sample > 0)
		}
		is.True(endpoints <= seconds*perSecond)
		is.Equal(len(asked), models)
	})
}

// Guards against requests that are placed without a dispatcher and run before all others at their engine, and
// long ones among them before short ones: their priority must compare with that of a dispatcher's grants.
func TestPriorityWithoutDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := newClient(&remoteDispatcher{reserve: noReply})
		a := announcement("engine-1", 0)
		a.Memory = 1_000_000
		client.Announce(a)
		long := request
		long.PromptTokens = 200_000
		first, err := client.Reserve(t.Context(), long, attemptIDs())
		is.NoErr(err)
		second, err := client.Reserve(t.Context(), request, attemptIDs())
		is.NoErr(err)
		is.True(second.Priority >= time.Now().UnixMilli())
		is.True(second.Priority < first.Priority)
		low := request
		low.Priority = 1
		third, err := client.Reserve(t.Context(), low, attemptIDs())
		is.NoErr(err)
		is.True(third.Priority > second.Priority)
	})
}

// Guards against requests that are refused while the dispatcher is unreachable, because the list of a model
// that is rarely polled is older than the time after which endpoints count as dead.
func TestStaleEndpointsServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := newClient(&remoteDispatcher{reserve: noReply})
		client.Announce(announcement("engine-1", 0))
		time.Sleep(8 * time.Second)
		grant, err := client.Reserve(t.Context(), request, attemptIDs())
		is.NoErr(err)
		is.Equal(grant.Members[0].Endpoint, "engine-1")
		time.Sleep(time.Minute)
		_, err = client.Reserve(t.Context(), request, attemptIDs())
		is.True(err != nil)
	})
}
