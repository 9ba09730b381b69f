package formation_test

import (
	"context"
	"strings"
	"testing"

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
}

func (q *fakeQuorum) AddLearner(_ context.Context, s consensus.Server) error {
	q.added = append(q.added, s)
	return nil
}

func (q *fakeQuorum) Remove(_ context.Context, id string) error {
	q.removed = append(q.removed, id)
	return nil
}

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
