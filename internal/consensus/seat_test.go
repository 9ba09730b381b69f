package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// replaceByPlan starts node successor, adds it as a learner, and stops node id for good once the successor has
// had time to catch up.
func (s *simulation) replaceByPlan(id, successor string) {
	s.start(successor)
	s.change(s.awaitLeader(), successor, 0)
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
			l := s.awaitLeader()
			for i := range test.learners {
				s.change(l, s.order[test.voters+i], 0)
				s.advance(time.Second)
			}
			for i := range test.replacements {
				s.replaceByPlan(s.order[i], s.newID())
			}
			l = s.awaitLeader()
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
