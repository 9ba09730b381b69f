package formation_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/controld/internal/formation"
	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

var seeds = []string{"10.0.0.1:8229", "10.0.0.2:8229", "10.0.0.3:8229"}

// Guards against the formation of two quorums, and against an instance that votes under its old id after
// its disk was wiped.
func TestIdentify(t *testing.T) {
	tests := map[string]struct {
		address string
		first   bool
		stored  string
		id      string
		voters  int
	}{
		"initial voter":               {address: "10.0.0.1:7340", first: true, id: "10.0.0.1:7340", voters: 3},
		"first start, not a seed":     {address: "10.0.0.9:7340", first: true},
		"wiped":                       {address: "10.0.0.1:7340"},
		"restart of an initial voter": {address: "10.0.0.1:7340", stored: "10.0.0.1:7340", id: "10.0.0.1:7340", voters: 3},
		"restart of a joined one":     {address: "10.0.0.1:7340", first: true, stored: "10.0.0.1:7340/ab", id: "10.0.0.1:7340/ab"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory := t.TempDir()
			if test.stored != "" {
				j, _, err := journal.Open(journal.Config{Directory: directory, ID: test.stored})
				is.NoErr(err)
				is.NoErr(j.Close())
			}
			identity, err := formation.Identify(formation.Config{
				Address: test.address, Directory: directory, Seeds: seeds, FirstStart: test.first,
			})
			is.NoErr(err)
			is.Equal(len(identity.Bootstrap), test.voters)
			if test.id != "" {
				is.Equal(identity.ID, test.id)
				return
			}
			is.True(strings.HasPrefix(identity.ID, test.address+"/"))
		})
	}
}

// fakeQuorum answers with fixed results and records the servers that join.
type fakeQuorum struct {
	status     consensus.Status
	joinErr    error
	releaseErr error
	joined     []consensus.Server
}

func (q *fakeQuorum) Join(_ context.Context, s consensus.Server, _ bool) error {
	q.joined = append(q.joined, s)
	return q.joinErr
}

func (q *fakeQuorum) Release(context.Context, string) error { return q.releaseErr }
func (q *fakeQuorum) Status() consensus.Status              { return q.status }
func (q *fakeQuorum) Leader() (string, string, uint64)      { return "leader", "10.0.0.2:7340", 1 }

// Guards against an instance that counts as a member although the change may not be committed, and against one that
// is not told that it was removed.
func TestJoinReply(t *testing.T) {
	request := formation.JoinRequest{ID: "10.0.0.1:7340/new", Address: "10.0.0.1:7340"}
	for name, test := range map[string]struct {
		joinErr error
		reply   formation.JoinReply
	}{
		"added":         {nil, formation.JoinReply{Member: true}},
		"removed":       {fault.New("join", consensus.Removed, "gone"), formation.JoinReply{Removed: true}},
		"not leader":    {fault.New("join", consensus.NotLeader, "another leads"), formation.JoinReply{Leader: "10.0.0.2:7340"}},
		"not committed": {fault.New("join", consensus.OutcomeUnknown, "timeout"), formation.JoinReply{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			quorum := &fakeQuorum{joinErr: test.joinErr}
			var reply formation.JoinReply
			is.NoErr(formation.NewJoinService(quorum, zap.NewNop()).Join(request, &reply))
			is.Equal(reply, test.reply)
			is.Equal(quorum.joined, []consensus.Server{{ID: request.ID, Address: request.Address}})
		})
	}
}

// Guards against an instance that trusts its own list of members although no leader speaks to it, and against one
// that asks although a leader does.
func TestJoin(t *testing.T) {
	const id, other = "10.0.0.1:7340", "10.0.0.2:7340"
	member := []consensus.MemberStatus{{Server: consensus.Server{ID: id, Address: id}}}
	for name, test := range map[string]struct {
		status consensus.Status
		asks   bool
	}{
		"hears from a leader":           {consensus.Status{LeaderID: other, LastIndex: 9, Members: member}, false},
		"not a member":                  {consensus.Status{LeaderID: other}, true},
		"knows no leader":               {consensus.Status{LastIndex: 9, Members: member}, true},
		"has not heard from its leader": {consensus.Status{LeaderID: other, SinceLeader: time.Minute, LastIndex: 9, Members: member}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				peers := &fakePeers{joins: map[string]formation.JoinReply{other: {Removed: true}}}
				err := formation.Join(ctx, formation.JoinConfig{
					ID: id, Address: id, Peers: func() []string { return []string{other} },
					Quorum: &fakeQuorum{status: test.status}, Caller: peers, Logger: zap.NewNop(),
				})
				is.Equal(len(peers.called) > 0, test.asks)
				is.Equal(formation.NeedsNewIdentity(err), test.asks)
			})
		})
	}
}

// Guards against an instance that discards its files although the quorum still relies on them.
func TestNeedsNewIdentity(t *testing.T) {
	is := is.New(t)
	is.True(formation.NeedsNewIdentity(fault.New("run", consensus.Removed, "gone")))
	is.True(formation.NeedsNewIdentity(fault.New("run", consensus.IdentityLost, "wiped")))
	is.True(!formation.NeedsNewIdentity(fault.New("run", consensus.Disk, "full")))
	is.True(!formation.NeedsNewIdentity(nil))
}

// Guards against an instance that waits at its stop although nobody can take its place, and against one that
// counts as removed although the change may not be committed.
func TestLeaveReply(t *testing.T) {
	for name, test := range map[string]struct {
		releaseErr error
		reply      formation.LeaveReply
	}{
		"removed":       {nil, formation.LeaveReply{Left: true}},
		"no successor":  {fault.New("release", consensus.NoSuccessor, "none"), formation.LeaveReply{Stays: true}},
		"not leader":    {fault.New("release", consensus.NotLeader, "another leads"), formation.LeaveReply{Leader: "10.0.0.2:7340"}},
		"not committed": {fault.New("release", consensus.OutcomeUnknown, "timeout"), formation.LeaveReply{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reply formation.LeaveReply
			service := formation.NewJoinService(&fakeQuorum{releaseErr: test.releaseErr}, zap.NewNop())
			is.NoErr(service.Leave(formation.LeaveRequest{ID: "10.0.0.1:7340"}, &reply))
			is.Equal(reply, test.reply)
		})
	}
}

// fakePeers answers calls by address and records the addresses called.
type fakePeers struct {
	joins  map[string]formation.JoinReply
	leaves map[string]formation.LeaveReply
	called []string
}

func (p *fakePeers) Call(_ context.Context, address, _ string, _, reply any) error {
	p.called = append(p.called, address)
	known := false
	switch reply := reply.(type) {
	case *formation.JoinReply:
		*reply, known = p.joins[address]
	case *formation.LeaveReply:
		*reply, known = p.leaves[address]
	}
	if !known {
		return fault.New("call", consensus.Unreachable, "no reply from %s", address)
	}
	return nil
}

// Guards against a stop that does not reach the leader, or that waits without end when nobody leads.
func TestLeave(t *testing.T) {
	const known, other, next = "10.0.0.2:7340", "10.0.0.3:7340", "10.0.0.4:7340"
	for name, test := range map[string]struct {
		replies map[string]formation.LeaveReply
		calls   []string
	}{
		"the leader removes it":      {map[string]formation.LeaveReply{known: {Left: true}}, []string{known}},
		"the leader keeps it":        {map[string]formation.LeaveReply{known: {Stays: true}}, []string{known}},
		"another instance leads now": {map[string]formation.LeaveReply{known: {Leader: next}, next: {Left: true}}, []string{known, next}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peers := &fakePeers{leaves: test.replies}
			formation.Leave(context.Background(), formation.JoinConfig{
				ID: "10.0.0.1:7340", Peers: func() []string { return []string{other} },
				Quorum: &fakeQuorum{}, Caller: peers, Logger: zap.NewNop(),
			})
			is.Equal(peers.called, test.calls)
		})
	}
	t.Run("nobody leads", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			formation.Leave(context.Background(), formation.JoinConfig{
				Peers: func() []string { return []string{other} }, Quorum: &fakeQuorum{}, Caller: &fakePeers{}, Logger: zap.NewNop(),
			})
			is.New(t).Equal(time.Since(start), 2*time.Second)
		})
	})
}
