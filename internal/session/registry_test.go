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

// checkKeptList returns an error unless an entry has kept its list of the term before, without the members that have left
// in this term and with those that drain marked.
func checkKeptList(before, after []Member, registry *Registry) error {
	var want []Member
	for _, m := range before {
		s := registry.sessions[m.Instance]
		hasLeft := slices.ContainsFunc(registry.left, func(l Member) bool { return l.Instance == m.Instance })
		switch {
		case s == nil && hasLeft:
			continue
		case s != nil && s.member.Draining:
			m = s.member
		}
		want = append(want, m)
	}
	for _, s := range registry.sessions {
		if s.member.Draining && !slices.ContainsFunc(want, func(m Member) bool { return m.Instance == s.member.Instance }) {
			want = append(want, s.member)
		}
	}
	sortMembers(want)
	if !slices.Equal(want, after) {
		return fmt.Errorf("the entry has %v, not %v", after, want)
	}
	return nil
}

// Guards against an entry whose member list differs from the leader's whole list after it has applied the
// changes in a heartbeat reply, however far it lags behind and across changes of the leader. Only while the leader's
// list may lack members may an entry keep the list of the term before.
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
				before, _ := client.View()
				version := client.heartbeatRequest().MembershipVersion
				hadNews := registry.HasNews(version, now)
				registry.FillMembers(version, now, &reply)
				client.applyReply(reply, now)
				view, _ := client.View()
				members, current := registry.Members()
				if view.MembershipVersion == before.MembershipVersion && !slices.Equal(view.Members, before.Members) {
					t.Fatalf("the list changed without its version")
				}
				if reply.MembershipVersion == current {
					if !slices.Equal(view.Members, members) {
						t.Fatalf("the entry has %v, the leader %v", view.Members, members)
					}
					return
				}
				if !now.Before(registry.authoritativeFrom) || version == 0 || hadNews {
					t.Fatalf("the entry was not told the list of the leader")
				}
				if err := checkKeptList(before.Members, view.Members, registry); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// Guards against entries that forget the others at each change of the leader, because the new one has not heard of all of
// them yet: dispatchers and address answers would change for a moment on every instance, and each heartbeat of 300 instances
// would be news to the 299 others.
func TestNewLeaderDoesNotShrinkTheMemberList(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	all := []Member{{Instance: "a", Incarnation: "1"}, {Instance: "b", Incarnation: "1"}, {Instance: "c", Incarnation: "1"}}
	first, second := NewRegistry(), NewRegistry()
	first.StartTerm(1, now)
	for _, m := range all {
		first.Renew(HeartbeatRequest{Member: m}, now)
	}
	entry := NewClient(ClientConfig{})
	heartbeat := func(registry *Registry, term uint64) (reply HeartbeatReply) {
		reply = HeartbeatReply{Term: term, Lease: LeaseDuration}
		registry.FillMembers(entry.heartbeatRequest().MembershipVersion, now, &reply)
		entry.applyReply(reply, now)
		return reply
	}
	members := func() []Member {
		view, _ := entry.View()
		return view.Members
	}
	heartbeat(first, 1)
	is.Equal(members(), all)

	second.StartTerm(2, now)
	second.Renew(HeartbeatRequest{Member: all[1]}, now)
	is.True(!second.HasNews(entry.heartbeatRequest().MembershipVersion, now))
	heartbeat(second, 2)
	is.Equal(members(), all)
	second.Renew(HeartbeatRequest{Member: all[0]}, now)
	second.Renew(HeartbeatRequest{Member: all[2]}, now)
	reply := heartbeat(second, 2) // the same members: nothing is sent
	is.True(!reply.AllMembers)
	is.Equal(len(reply.MemberChanges), 0)

	third := NewRegistry()
	third.StartTerm(3, now)
	third.Renew(HeartbeatRequest{Member: all[1]}, now)
	third.Renew(HeartbeatRequest{Member: all[0], Leave: true}, now)
	heartbeat(third, 3)
	is.Equal(members(), all[1:]) // a planned stop is told at once
	now = now.Add(LeaseDuration + SkewAllowance)
	is.True(third.HasNews(entry.heartbeatRequest().MembershipVersion, now))
	heartbeat(third, 3)
	is.Equal(members(), all[1:2])
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
