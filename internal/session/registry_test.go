package session

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed so that every run gives the same verdict.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// Guards against an entry whose member list differs from the leader's after it applied the changes it
// was sent: whenever it asks, however far it lags, and across leaders. The other side of the
// comparison is the whole list.
func TestMemberChangesEqualWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		term := uint64(1)
		registry := NewRegistry()
		registry.Lead(term, now)
		keepers := []*Keeper{NewKeeper(KeeperConfig{}), NewKeeper(KeeperConfig{})}
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
				for i := range rapid.IntRange(1, 2*maxChanges).Draw(t, "count") {
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
				registry.Lead(term, now)
			},
			"heartbeat": func(t *rapid.T) {
				keeper := rapid.SampledFrom(keepers).Draw(t, "keeper")
				reply := HeartbeatReply{Term: term, Lease: LeaseLength}
				registry.Fill(keeper.request().MembershipVersion, &reply)
				keeper.accept(reply, now)
				members, _ := registry.Members()
				if view, _ := keeper.View(); !slices.Equal(view.Members, members) {
					t.Fatalf("the entry has %v, the leader %v", view.Members, members)
				}
			},
		})
	})
}
