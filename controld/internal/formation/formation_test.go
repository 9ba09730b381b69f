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
		joins   bool
	}{
		"initial voter":               {address: "10.0.0.1:7340", first: true, id: "10.0.0.1:7340", voters: 3},
		"first start, not a seed":     {address: "10.0.0.9:7340", first: true, joins: true},
		"wiped":                       {address: "10.0.0.1:7340", joins: true},
		"restart of an initial voter": {address: "10.0.0.1:7340", stored: "10.0.0.1:7340", id: "10.0.0.1:7340", voters: 3},
		"restart of a joined one":     {address: "10.0.0.1:7340", first: true, stored: "10.0.0.1:7340/ab", id: "10.0.0.1:7340/ab", joins: true},
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
			is.Equal(identity.Joins, test.joins)
			is.Equal(len(identity.Bootstrap), test.voters)
			if test.id != "" {
				is.Equal(identity.ID, test.id)
				return
			}
			is.True(strings.HasPrefix(identity.ID, test.address+"/"))
		})
	}
}

// fakeQuorum records the membership changes that are asked of it.
type fakeQuorum struct {
	status  consensus.Status
	added   []consensus.Server
	removed []string
	// releaseErr is the result of Release.
	releaseErr error
}

func (q *fakeQuorum) AddLearner(_ context.Context, s consensus.Server) error {
	q.added = append(q.added, s)
	return nil
}

func (q *fakeQuorum) Remove(_ context.Context, id string) error {
	q.removed = append(q.removed, id)
	return nil
}

func (q *fakeQuorum) Release(context.Context, string) error { return q.releaseErr }

func (q *fakeQuorum) Status() consensus.Status         { return q.status }
func (q *fakeQuorum) Leader() (string, string, uint64) { return "leader", "10.0.0.2:7340", 1 }

// Guards against adding an instance twice, against several learners with one address, and against removing
// a voter before another one has replaced it.
func TestJoin(t *testing.T) {
	voter := consensus.MemberStatus{Server: consensus.Server{ID: "10.0.0.1:7340", Address: "10.0.0.1:7340"}, Voter: true}
	learner := consensus.MemberStatus{Server: consensus.Server{ID: "10.0.0.1:7340/old", Address: "10.0.0.1:7340"}}
	request := formation.JoinRequest{ID: "10.0.0.1:7340/new", Address: "10.0.0.1:7340"}
	itself := consensus.MemberStatus{Server: consensus.Server{ID: request.ID, Address: request.Address}}
	tests := map[string]struct {
		role    consensus.Role
		members []consensus.MemberStatus
		reply   formation.JoinReply
		added   int
		removed []string
	}{
		"new":            {consensus.Leader, nil, formation.JoinReply{Member: true}, 1, nil},
		"wiped voter":    {consensus.Leader, []consensus.MemberStatus{voter}, formation.JoinReply{Member: true}, 1, nil},
		"wiped learner":  {consensus.Leader, []consensus.MemberStatus{learner}, formation.JoinReply{Member: true}, 1, []string{learner.ID}},
		"a member":       {consensus.Leader, []consensus.MemberStatus{itself}, formation.JoinReply{Member: true}, 0, nil},
		"not the leader": {consensus.Follower, nil, formation.JoinReply{Leader: "10.0.0.2:7340"}, 0, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			quorum := &fakeQuorum{status: consensus.Status{Role: test.role, Members: test.members}}
			var reply formation.JoinReply
			is.NoErr(formation.NewJoinService(quorum, zap.NewNop()).Join(request, &reply))
			is.Equal(reply, test.reply)
			is.Equal(len(quorum.added), test.added)
			is.Equal(quorum.removed, test.removed)
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

// fakePeers answers calls of Leave by address and records the addresses called.
type fakePeers struct {
	replies map[string]formation.LeaveReply
	called  []string
}

func (p *fakePeers) Call(_ context.Context, address, _ string, _, reply any) error {
	p.called = append(p.called, address)
	answer, ok := p.replies[address]
	if !ok {
		return fault.New("call", consensus.Unreachable, "no reply from %s", address)
	}
	*reply.(*formation.LeaveReply) = answer
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
			peers := &fakePeers{replies: test.replies}
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
