package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// join starts a new node and adds it as a learner.
func (s *simulation) join(id string) {
	s.start(id)
	for range 100 {
		l := s.awaitLeader()
		if _, ok := l.core.membership().find(id); ok {
			return
		}
		s.change(l, id, 0)
	}
	s.fail("%s could not join", id)
}

// replaceByPlan lets node successor join, and stops node id for good once the successor has had time to catch up.
func (s *simulation) replaceByPlan(id, successor string) {
	s.join(successor)
	s.advance(4 * time.Second)
	s.stopForGood(id)
	s.advance(3 * time.Second)
}

// stopForGood transfers the leadership of a node, if it leads, and stops it.
func (s *simulation) stopForGood(id string) {
	if l := s.leader(); l != nil && l.id == id {
		s.transferLeadership(l)
		s.advance(200 * time.Millisecond)
	}
	s.crash(id)
	s.retired[id] = true
}

// prepareStop does what a node does before a planned stop: it transfers the leadership and gives up its membership
// if another node can take its place.
func (s *simulation) prepareStop(id string) {
	if l := s.leader(); l != nil && l.id == id {
		s.transferLeadership(l)
	}
	for range 1000 {
		if s.release(id) {
			break
		}
		s.advance(5 * time.Millisecond)
	}
}

// release makes one change towards a membership without a node. It reports whether the release has ended.
func (s *simulation) release(id string) bool {
	l := s.leader()
	if l == nil {
		return false
	}
	l.core.tick(s.clock(l))
	_, err := l.core.releaseMember(id)
	s.processOutput(l)
	return fault.Is(err, NotMember) || fault.Is(err, NoSuccessor)
}

// darken crashes all nodes at once, wipes the given ones, and starts all that are not stopped for good.
func (s *simulation) darken(wiped ...string) {
	for _, id := range s.order {
		s.crash(id)
	}
	for _, id := range wiped {
		s.wipe(id)
	}
	for _, id := range s.order {
		if !s.retired[id] {
			s.start(id)
		}
	}
}

// Guards against a quorum that counts voters which have stopped for good: after planned replacements all nodes
// go dark at once, and as many lose their files as the wanted number of voters can bear.
func TestQuorumLostAfterPlannedReplacement(t *testing.T) {
	for name, test := range map[string]struct{ voters, learners, replacements, lostDisks int }{
		"3 voters, 1 replacement":                {3, 0, 1, 1},
		"3 voters, 2 replacements":               {3, 0, 2, 1},
		"3 voters and a learner, 1 replacement":  {3, 1, 1, 1},
		"5 voters, 1 replacement":                {5, 0, 1, 2},
		"5 voters, 3 replacements":               {5, 0, 3, 2},
		"5 voters and a learner, 2 replacements": {5, 1, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(21, test.voters, test.learners)
			s.setTargetVoters(5)
			s.awaitLeader()
			for i := range test.learners {
				s.join(s.order[test.voters+i])
			}
			for i := range test.replacements {
				s.replaceByPlan(s.order[i], s.newID())
			}
			l := s.awaitLeader()
			s.propose(l, "acknowledged")
			s.advance(time.Second)
			highest := s.highestCommitted
			var wiped []string
			for _, m := range l.core.membership().Members {
				if m.Voter && !s.retired[m.ID] && len(wiped) < test.lostDisks {
					wiped = append(wiped, m.ID)
				}
			}
			s.darken(wiped...)
			l = s.awaitLeader()
			is.Equal(s.violation, "")
			s.propose(l, "after")
			s.advance(time.Second)
			is.True(s.highestCommitted > highest)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against an even number of voters, which bears no more losses than the odd number below it: the quorum
// grows in pairs, and a voter that is gone leaves an even number at once.
func TestVotersStayOdd(t *testing.T) {
	for name, test := range map[string]struct{ voters, learners, target, want int }{
		"one learner":             {3, 1, 5, 3},
		"two learners":            {3, 2, 5, 5},
		"four learners":           {3, 4, 5, 5},
		"even target":             {3, 3, 4, 3},
		"even start":              {4, 1, 5, 5},
		"even start, no learner":  {4, 0, 5, 4},
		"two first voters":        {2, 1, 5, 3},
		"one first voter":         {1, 2, 5, 3},
		"one first voter, seven":  {1, 6, 7, 7},
		"growth is switched off":  {3, 3, 0, 3},
		"more voters than wanted": {5, 2, 3, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(31, test.voters, test.learners)
			s.setTargetVoters(test.target)
			s.awaitLeader()
			for i := range test.learners {
				s.join(s.order[test.voters+i])
			}
			s.advance(3 * time.Second)
			is.Equal(s.awaitLeader().core.membership().voters(), test.want)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against removing a voter whose place no learner can take: it may return with its files.
func TestAbsentVoter(t *testing.T) {
	for name, test := range map[string]struct{ voters, learners, target, want int }{
		"three voters":                    {3, 0, 5, 3},
		"four voters":                     {4, 0, 5, 3},
		"four voters, no target":          {4, 0, 0, 4},
		"five voters":                     {5, 0, 5, 5},
		"five voters and a learner":       {5, 1, 5, 5},
		"four voters, learner, no target": {4, 1, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(32, test.voters, test.learners)
			l := s.awaitLeader()
			for i := range test.learners {
				s.join(s.order[test.voters+i])
			}
			s.setTargetVoters(test.target)
			absent := s.otherThan(l.id)[0]
			s.crash(absent)
			s.advance(6 * time.Second)
			m := s.awaitLeader().core.membership()
			is.Equal(m.voters(), test.want)
			stays := test.voters == test.want && test.learners == 0
			is.Equal(m.voter(absent), stays)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a lost voter that is never replaced because it was the last one promoted: a leader that has
// never heard from it does not know whether it had caught up.
func TestLossOfLastPromotedVoterBlocksReplacement(t *testing.T) {
	is := is.New(t)
	s := newSimulation(21, 3, 3)
	s.setTargetVoters(5)
	s.awaitLeader()
	for _, id := range []string{"d", "e", "f"} {
		s.join(id)
	}
	s.advance(3 * time.Second)
	m := s.awaitLeader().core.membership()
	is.Equal(m.voters(), 5)
	promoted := m.Fresh
	s.crash(promoted)
	l := s.awaitLeader()
	s.transferLeadership(l)
	s.advance(300 * time.Millisecond)
	is.True(s.awaitLeader() != l)
	s.advance(6 * time.Second)
	m = s.awaitLeader().core.membership()
	is.Equal(m.voters(), 5)
	is.True(!m.voter(promoted))
	is.Equal(s.violation, "")
}

// Guards against a quorum that counts a voter which has just stopped by plan: as many disks are lost in the next
// moment as the number of voters can bear, and the stopped voter never returns.
func TestQuorumLostRightAfterPlannedStop(t *testing.T) {
	for name, test := range map[string]struct{ voters, lostDisks int }{
		"1 of 3 voters": {3, 1}, "1 of 5 voters": {5, 2}, "1 of 7 voters": {7, 3}, "1 of 1 voter": {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				is := is.New(t)
				s := newSimulation(seed, test.voters, 1)
				s.setTargetVoters(test.voters)
				s.awaitLeader()
				s.join(s.order[test.voters])
				s.advance(time.Second)
				leaving := s.awaitLeader().id
				s.prepareStop(leaving)
				s.crash(leaving)
				s.retired[leaving] = true
				m := s.awaitLeader().core.membership()
				is.Equal(m.voters(), test.voters)
				is.True(!m.voter(leaving)) // released, although its successor as the leader has just been elected
				s.darken(s.votersOf(m)[:test.lostDisks]...)
				l := s.awaitLeader()
				is.True(l != nil)
				s.propose(l, "after")
				s.advance(time.Second)
				is.Equal(l.core.log.commitIndex, l.core.log.lastIndex())
				is.Equal(s.violation, "")
			}
		})
	}
}

// Guards against a planned stop that gives up a voter whose place nobody can take: its files may be needed when it
// is back and others have lost theirs.
func TestReleaseKeepsTolerance(t *testing.T) {
	for name, test := range map[string]struct {
		voters, learners int
		released         bool
		want             int
	}{
		"1 voter":                 {1, 0, false, 1},
		"1 voter, 1 learner":      {1, 1, true, 1},
		"2 voters":                {2, 0, false, 2},
		"2 voters, 1 learner":     {2, 1, true, 2},
		"3 voters":                {3, 0, false, 3},
		"3 voters, 1 learner":     {3, 1, true, 3},
		"4 voters":                {4, 0, true, 3},
		"5 voters":                {5, 0, false, 5},
		"6 voters, without need":  {6, 1, true, 5},
		"5 voters and 2 learners": {5, 2, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(42, test.voters, test.learners)
			s.awaitLeader()
			for i := range test.learners {
				s.join(s.order[test.voters+i])
			}
			s.advance(time.Second)
			leaving := s.awaitLeader().id
			s.prepareStop(leaving)
			m := s.awaitLeader().core.membership()
			is.Equal(m.voters(), test.want)
			is.Equal(!m.voter(leaving), test.released)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a voter without its files that keeps its place until it has been unreachable for long, although its
// successor at the same address shows that it never returns.
func TestWipedVoterIsReplacedOnceItIsBack(t *testing.T) {
	for name, voters := range map[string]int{"3 voters": 3, "5 voters": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(51, voters, 0)
			s.setReplaceAfter(time.Minute)
			l := s.awaitLeader()
			wiped := s.otherThan(l.id)[0]
			s.wipe(wiped)
			s.retired[wiped] = true
			successor := wiped + "/1"
			s.startAt(successor, wiped)
			_, err := l.core.joinMember(Server{ID: successor, Address: wiped}, false)
			is.NoErr(err)
			s.processOutput(l)
			s.advance(2 * time.Second)
			m := s.awaitLeader().core.membership()
			is.Equal(m.voters(), voters)
			is.True(m.voter(successor))
			is.True(!m.voter(wiped))
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a dead voter that stays, and with it a quorum that is larger by one, because the learner promoted in
// its place is lost before it has caught up.
func TestLossOfSuccessorKeepsDeadVoter(t *testing.T) {
	is := is.New(t)
	s := newSimulation(52, 5, 1)
	l := s.awaitLeader()
	s.join("f")
	s.advance(time.Second)
	dead := s.otherThan(l.id)[0]
	s.crash(dead)
	for range 1000 {
		s.advance(5 * time.Millisecond)
		if s.leader().core.membership().Replaced == dead {
			break
		}
	}
	s.crash("f")
	s.advance(time.Second) // less than ReplaceAfter
	m := s.awaitLeader().core.membership()
	is.Equal(m.voters(), 5)
	is.True(!m.voter(dead))
	is.Equal(s.violation, "")
}

// Guards against a voter that returns with its files at another address and never hears from the leader, which sends
// to the old one.
func TestMovedVoterStaysUnreachable(t *testing.T) {
	for name, voters := range map[string]int{"3 voters": 3, "5 voters": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(61, voters, 0)
			l := s.awaitLeader()
			moved := s.otherThan(l.id)[0]
			s.crash(moved)
			delete(s.nodeAtAddress, moved)
			s.propose(l, "while it is away")
			s.startAt(moved, "z")
			s.advance(time.Second)
			l = s.awaitLeader()
			_, err := l.core.joinMember(Server{ID: moved, Address: "z"}, true)
			is.NoErr(err)
			s.processOutput(l)
			s.advance(2 * time.Second)
			l = s.awaitLeader()
			is.Equal(l.core.membership().voters(), voters)
			is.Equal(s.nodes[moved].core.log.commitIndex, l.core.log.commitIndex)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a leader at another address than before that nobody can call: the only node that can win the
// election is the one that has moved.
func TestMovedLeaderKeepsItsOldAddress(t *testing.T) {
	is := is.New(t)
	s := newSimulation(62, 3, 0)
	l := s.awaitLeader()
	s.advance(time.Second)
	others := s.otherThan(l.id)
	moved, behind := others[0], others[1]
	s.partition([]string{behind}, true, true)
	s.propose(l, "only the leader and the node that will move hold this")
	s.advance(time.Second)
	s.crash(l.id)
	s.crash(moved)
	delete(s.nodeAtAddress, moved)
	s.heal()
	s.startAt(moved, "z")
	l = s.awaitLeader()
	s.advance(time.Second)
	is.Equal(l.id, moved)
	member, _ := l.core.membership().find(moved)
	is.Equal(member.Address, "z")
	is.Equal(s.violation, "")
}

// Guards against members that are gone for good and stay in the list without end, because no learner takes their
// place: a list that grows with each one, and a quorum that counts them.
func TestGoneMembersStayForEver(t *testing.T) {
	for name, test := range map[string]struct {
		voters, learners, target int
		goneVoters, goneLearners int
		wantVoters, wantLearners int
	}{
		"learners":                 {3, 2, 3, 0, 2, 3, 0},
		"learners, no target":      {3, 2, 0, 0, 2, 3, 2},
		"1 of 5 voters":            {5, 0, 5, 1, 0, 4, 0},
		"2 of 5 voters":            {5, 0, 5, 2, 0, 3, 0},
		"2 of 5 voters, no target": {5, 0, 0, 2, 0, 5, 0},
		"1 of 3 voters":            {3, 0, 5, 1, 0, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(71, test.voters, test.learners)
			s.setTargetVoters(test.target)
			l := s.awaitLeader()
			for i := range test.learners {
				s.join(s.order[test.voters+i])
			}
			others := s.otherThan(l.id)
			for _, id := range others[:test.goneVoters] {
				s.crash(id)
			}
			for _, id := range others[len(others)-test.goneLearners:] {
				s.crash(id)
			}
			s.advance(10 * time.Second)
			is.Equal(s.awaitLeader().core.membership().voters(), test.voters) // they may return
			s.advance(60 * time.Second)
			m := s.awaitLeader().core.membership()
			is.Equal(m.voters(), test.wantVoters)
			is.Equal(len(m.Members)-m.voters(), test.wantLearners)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against two places in the quorum that one instance takes and loses: its disk is lost again while its
// successor has been promoted and the first place is still counted.
func TestDiskLostTwiceCostsTwoVoters(t *testing.T) {
	for name, test := range map[string]struct{ voters, lostDisks int }{"3 voters": {3, 1}, "5 voters": {5, 2}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				s := newSimulation(seed, test.voters, 0)
				s.setTargetVoters(5)
				l := s.awaitLeader()
				s.advance(time.Second)
				wiped := s.otherThan(l.id)[0]
				s.wipe(wiped)
				s.retired[wiped] = true
				successor := wiped + "/1"
				s.startAt(successor, wiped)
				for range 400 {
					if _, ok := l.core.membership().find(successor); !ok {
						_, _ = l.core.joinMember(Server{ID: successor, Address: wiped}, false)
						s.processOutput(l)
					}
					if l.core.membership().voter(successor) {
						break
					}
					s.advance(5 * time.Millisecond)
				}
				is.True(l.core.membership().voter(successor))
				others := s.otherThan(wiped)
				s.darken(append([]string{successor}, others[:test.lostDisks-1]...)...)
				l = s.awaitLeader()
				is.True(l != nil)
				is.Equal(s.violation, "")
			}
		})
	}
}
