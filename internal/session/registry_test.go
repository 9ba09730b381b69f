package session

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// Guards against an entry whose member list differs from the leader's whole list after it has applied the
// changes in a heartbeat reply, however far it lags behind and across changes of the leader.
func TestMemberChangesEqualWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		term := uint64(1)
		registry := NewRegistry()
		registry.StartTerm(term, now)
		clients := []*Client{NewClient(ClientConfig{}), NewClient(ClientConfig{})}
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(t *rapid.T) {
				member := Member{
					Instance:    fmt.Sprint("entry-", rapid.IntRange(0, 5).Draw(t, "entry")),
					Incarnation: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "incarnation")),
					Draining:    rapid.Bool().Draw(t, "draining"),
				}
				leave := rapid.IntRange(0, 4).Draw(t, "leave") == 0
				registry.Renew(HeartbeatRequest{Member: member, Leave: leave}, now)
			},
			"many changes": func(t *rapid.T) {
				for i := range rapid.IntRange(1, 2*maxRecentChanges).Draw(t, "count") {
					registry.Renew(HeartbeatRequest{Member: Member{Instance: "entry-9", Draining: i%2 == 0}}, now)
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				registry.Expire(now)
			},
			"new leader": func(*rapid.T) {
				term++
				now = now.Add(time.Millisecond)
				registry.StartTerm(term, now)
			},
			"heartbeat": func(t *rapid.T) {
				client := rapid.SampledFrom(clients).Draw(t, "keeper")
				reply := HeartbeatReply{Term: term, Lease: LeaseDuration}
				registry.FillMembers(client.heartbeatRequest().MembershipVersion, &reply)
				client.applyReply(reply, now)
				members, _ := registry.Members()
				if view, _ := client.View(); !slices.Equal(view.Members, members) {
					t.Fatalf("the entry has %v, the leader %v", view.Members, members)
				}
			},
		})
	})
}

// leaveObserver is a leader that checks the client's lease while the client's last heartbeat is in progress.
type leaveObserver struct {
	Leader
	client        *Client
	leaveRequests int
	admitsAtLeave bool
}

func (o *leaveObserver) Heartbeat(_ context.Context, request HeartbeatRequest) (HeartbeatReply, error) {
	if request.Leave {
		_, err := o.client.View()
		o.leaveRequests++
		o.admitsAtLeave = err == nil
		return HeartbeatReply{}, nil
	}
	return HeartbeatReply{Term: 1, Lease: LeaseDuration}, nil
}

func (o *leaveObserver) Watch(ctx context.Context, _ WatchRequest) (WatchReply, error) {
	<-ctx.Done()
	return WatchReply{}, ctx.Err()
}

// Guards against an entry that still admits requests after the leader has ended its session and reports a
// later change as in force.
func TestLeaveEndsTheLeaseFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leader := &leaveObserver{}
		leader.client = NewClient(ClientConfig{Leader: leader, Logger: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- leader.client.Run(ctx) }()
		synctest.Wait()
		_, err := leader.client.View()
		is.NoErr(err)
		cancel()
		is.NoErr(<-end)
		is.Equal(leader.leaveRequests, 1)
		is.True(!leader.admitsAtLeave)
	})
}
