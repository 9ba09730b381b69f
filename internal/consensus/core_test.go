package consensus

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against any sequence of message loss, delay, crash, freeze, clock drift and membership
// change that violates a safety property of Raft, and against a cluster that does not recover
// afterwards.
func TestSafetyUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 5, 2)
		s.awaitLeader()
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		for range 100 {
			s.injectFault(choose)
		}
		s.recoverAll()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// Guards against sequences of faults that violate safety while the quorum grows automatically, and
// against a cluster that does not recover afterwards.
func TestSafetyWhileTheQuorumGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 3)
		s.setTargetVoters(5)
		l := s.awaitLeader()
		for _, id := range []string{"d", "e", "f"} {
			s.change(l, id, 0)
		}
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		for range 100 {
			s.injectFault(choose)
		}
		s.recoverAll()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// Guards against a reply that is sent before the state is stored: the leader and a voter that both
// replied lose power, and the entry must survive. The naive variant sends before it stores.
func TestReplyAfterStore(t *testing.T) {
	for name, naive := range map[string]bool{"stored first": false, "naive": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(1, 3, 0)
			s.naiveSync = naive
			l := s.awaitLeader()
			s.advance(time.Second)
			others := s.otherThan(l.id)
			s.crash(others[1])
			s.nodes[others[0]].crashAt = 1
			before := s.highestCommitted
			s.propose(l, "replied to by a voter that then loses power")
			s.advance(100 * time.Millisecond)
			is.Equal(s.highestCommitted > before, naive)
			s.crash(l.id)
			s.start(others[0])
			s.start(others[1])
			s.awaitLeader()
			is.Equal(strings.Contains(s.violation, "leader completeness"), naive)
		})
	}
}

// Guards against a voter that votes again after it lost its files. With incarnations all committed
// entries survive; without them such a node elects a leader that lacks some of them.
func TestWipedVoter(t *testing.T) {
	for name, naive := range map[string]bool{"incarnations": false, "naive": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(1, 3, 0)
			s.naiveIncarnation = naive
			l := s.awaitLeader()
			others := s.otherThan(l.id)
			s.crash(others[1])
			s.propose(l, "committed by the leader and the voter that will be wiped")
			s.advance(time.Second)
			s.crash(l.id)
			s.wipe(others[0])
			s.start(others[0])
			s.start(others[1])
			s.advance(10 * time.Second)
			is.Equal(strings.Contains(s.violation, "leader completeness"), naive)
			is.Equal(s.leader() != nil, naive)
			if !naive {
				s.start(l.id)
				l = s.awaitLeader()
				is.True(!s.nodes[others[0]].up) // it noticed that its identity is lost and stopped
				s.propose(l, "after")
				s.advance(time.Second)
				is.Equal(s.violation, "")
			}
		})
	}
}

// Guards against stale reads from a leader that was frozen while another one committed: the core
// advances its clock before it acts on any input. The naive check trusts the role that the frozen
// node still has.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, 3, 0)
	old := s.awaitLeader()
	s.advance(time.Second)
	is.True(old.core.leaseEnd() > s.clock(old))
	old.frozen = true
	s.advance(5 * time.Second)
	l := s.leader()
	is.True(l != nil && l != old)
	s.propose(l, "committed while the old leader was frozen")
	s.advance(time.Second)
	naive := old.core.role == Leader
	is.True(naive)                               // the naive check would serve a stale read
	is.True(old.core.leaseEnd() <= s.clock(old)) // the lease has ended on its own clock
	commit := old.core.log.commitIndex
	old.frozen = false
	s.read(old)
	s.propose(old, "must not commit")
	is.True(old.core.role != Leader)
	s.advance(time.Second)
	is.True(old.core.log.commitIndex > commit)
	is.Equal(s.violation, "")
}

// Guards against a leader that stays leader while it is partitioned in one direction or in both.
func TestCutOffLeader(t *testing.T) {
	for name, cut := range map[string]struct{ out, in bool }{
		"cannot send": {true, false}, "cannot receive": {false, true}, "both": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(4, 5, 0)
			old := s.awaitLeader()
			s.advance(time.Second)
			s.partition([]string{old.id}, cut.out, cut.in)
			s.propose(old, "not committed by a quorum that replies")
			s.advance(5 * time.Second)
			is.True(old.core.role != Leader)
			l := s.leader()
			is.True(l != nil)
			s.propose(l, "committed")
			s.advance(time.Second)
			s.heal()
			s.advance(3 * time.Second)
			for _, id := range s.order {
				is.Equal(s.nodes[id].applied, s.highestCommitted)
			}
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a node that stays leader because it reaches its followers although none of them
// reaches it, and against one that becomes leader again at the next election.
func TestUnreachableLeader(t *testing.T) {
	for name, size := range map[string]int{"3 voters": 3, "5 voters": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(11, size, 0)
			old := s.awaitLeader()
			s.advance(time.Second)
			s.loseRequestsTo(old.id, s.otherThan(old.id)...)
			s.advance(3 * time.Second)
			l := s.leader()
			is.True(old.core.role != Leader)
			is.True(l != nil && l != old)
			s.propose(l, "committed without the old leader")
			s.advance(time.Second)
			is.Equal(l.core.log.commitIndex, l.core.log.lastIndex())
			term := l.core.state.Term
			s.advance(10 * time.Second)
			is.Equal(s.leader(), l)
			is.Equal(l.core.state.Term, term) // no further election takes place
			if size == 5 {
				s.crash(l.id)
				is.True(s.awaitLeader() != old)
				s.start(l.id)
			}
			s.heal()
			s.advance(3 * time.Second)
			for _, id := range s.order {
				is.Equal(s.nodes[id].applied, s.highestCommitted)
				is.True(!s.nodes[id].core.campaignDisabled)
			}
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a leader that steps down although the voters that cannot reach it could not elect
// another leader without it.
func TestReachableLeaderStays(t *testing.T) {
	for name, test := range map[string]struct{ voters, cannotReach, down int }{
		"all reach it":               {5, 0, 0},
		"1 of 2 does not":            {3, 1, 0},
		"2 of 4 do not":              {5, 2, 0},
		"the only one left does not": {3, 1, 1},
		"the other of two does not":  {2, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(12, test.voters, 0)
			l := s.awaitLeader()
			s.advance(time.Second)
			others, term := s.otherThan(l.id), l.core.state.Term
			s.loseRequestsTo(l.id, others[:test.cannotReach]...)
			for _, id := range others[test.cannotReach : test.cannotReach+test.down] {
				s.crash(id)
			}
			for range 10 {
				s.advance(time.Second)
				is.Equal(s.leader(), l)
				is.Equal(l.core.state.Term, term)
			}
		})
	}
}

// Guards against a lease that is still valid while the leader's successor already commits. The
// naive leader relies on its lease until a message from another leader arrives.
func TestLeadershipTransferEndsLease(t *testing.T) {
	for name, naive := range map[string]bool{"given up": false, "naive": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(13, 5, 0)
			s.naiveLease = naive
			old := s.awaitLeader()
			s.advance(time.Second)
			s.transferLeadership(old)
			s.partition([]string{old.id}, false, true) // it does not hear of its successor
			s.advance(200 * time.Millisecond)          // less than an election timeout
			l := s.leader()
			is.True(l != old)
			is.True(l.core.log.commitIndex >= l.core.termStartIndex)
			is.Equal(strings.Contains(s.violation, "lease"), naive)
		})
	}
}

// Guards against concurrent membership changes, which can lead to two disjoint quorums (Ongaro,
// 2015). The naive variant appends a second and third change before the first is committed.
func TestOverlappingChanges(t *testing.T) {
	for name, naive := range map[string]bool{"refused": false, "naive": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(5, 5, 0)
			l := s.awaitLeader()
			s.advance(time.Second)
			others := s.otherThan(l.id)
			// The leader can reach only one voter and removes the other three, one after the other.
			s.partition([]string{l.id, others[0]}, true, true)
			for _, id := range others[1:] {
				if naive {
					naiveChange(l.core, l.core.membership().without(id))
					s.processOutput(l)
					continue
				}
				s.change(l, id, 2)
			}
			s.propose(l, "committed by two of five voters")
			s.advance(5 * time.Second)
			if now := s.leader(); now != nil && now != l {
				s.propose(now, "committed by the other three")
				s.advance(time.Second)
			}
			is.Equal(strings.Contains(s.violation, "leader completeness"), naive)
			is.Equal(l.core.role == Leader, naive)
		})
	}
}

// naiveChange appends a membership without the checks of changeMembership.
func naiveChange(c *core, next Membership) {
	index := c.appendEntry(membershipEntry, next.encode())
	c.memberships = append(c.memberships, indexedMembership{index: index, Membership: next})
	c.syncPeers()
	c.replicate()
}

// Guards against the promotion of a learner that lags behind, and against changes while a newly
// promoted voter has not caught up.
func TestChangeIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSimulation(6, 3, 2)
	l := s.awaitLeader()
	s.change(l, "d", 0)
	s.advance(time.Second)
	s.crash("d")
	s.advance(time.Second)
	_, err := l.core.promoteLearner("d", "")
	is.True(err != nil) // not reachable
	s.start("d")
	s.advance(time.Second)
	_, err = l.core.promoteLearner("d", "")
	is.NoErr(err)
	_, err = l.core.addLearner(Server{ID: "e", Address: "e"})
	is.True(err != nil) // the promotion is not committed
	s.partition([]string{"d"}, true, true)
	s.processOutput(l)
	s.advance(time.Second)
	is.True(l.core.log.commitIndex >= l.core.membershipIndex()) // three of four voters committed it
	_, err = l.core.addLearner(Server{ID: "e", Address: "e"})
	is.True(err != nil) // the newly promoted voter has not caught up
	is.Equal(s.violation, "")
}

// Guards against a first election before all initial voters know each other's incarnations: a voter
// that loses its files at that point could vote twice.
func TestBootstrapNeedsAllVoters(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10, 3, 0)
	s.crash("c")
	s.advance(5 * time.Second)
	is.True(s.leader() == nil)
	s.start("c")
	s.awaitLeader()
	is.Equal(s.violation, "")
}

// Guards against a removal that leaves fewer reachable voters than a quorum.
func TestRemovalKeepsQuorum(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, 5, 0)
	l := s.awaitLeader()
	s.advance(time.Second)
	others := s.otherThan(l.id)
	s.crash(others[0])
	s.crash(others[1])
	s.advance(time.Second)
	_, err := l.core.removeMember(others[2])
	is.True(fault.Is(err, Refused)) // two of four would be reachable
	_, err = l.core.removeMember(others[0])
	is.NoErr(err) // three of four are reachable
}

// Guards against a loss right after a repair: two of five voters are lost one after the other, each
// is replaced by a learner, and a third loss must still leave a quorum.
func TestReplaceLostVoters(t *testing.T) {
	is := is.New(t)
	s := newSimulation(7, 5, 2)
	l := s.awaitLeader()
	for _, id := range []string{"f", "g"} {
		s.change(l, id, 0)
		s.advance(time.Second)
	}
	lost := 0
	for _, id := range s.servers {
		if id.ID == l.id || lost == 2 {
			continue
		}
		lost++
		s.crash(id.ID)
		s.advance(8 * time.Second)
		l = s.leader()
		is.True(l != nil)
		m := l.core.membership()
		is.Equal(m.voters(), 5)
		is.True(!m.voter(id.ID))
	}
	s.crash(l.id)
	l = s.awaitLeader()
	s.propose(l, "after three losses")
	s.advance(time.Second)
	is.Equal(s.highestCommitted, l.core.log.commitIndex)
	is.Equal(l.core.log.commitIndex, l.core.log.lastIndex())
	is.Equal(s.violation, "")
}

// Guards against a cluster that stays at three voters, and thus does not survive two lost disks,
// although it has further learners. All nodes go down at once and two of five voters lose their
// files: the other three must elect a leader, no committed entry may be lost, and the two must
// stop.
func TestGrownQuorumSurvivesTwoLostDisks(t *testing.T) {
	is := is.New(t)
	s := newSimulation(11, 3, 3)
	s.setTargetVoters(5)
	l := s.awaitLeader()
	for _, id := range []string{"d", "e", "f"} {
		s.change(l, id, 0)
		s.advance(time.Second)
	}
	s.advance(5 * time.Second)
	l = s.leader()
	is.Equal(l.core.membership().voters(), 5)
	s.propose(l, "acknowledged")
	s.advance(time.Second)
	highest := s.highestCommitted
	for _, id := range s.order {
		s.crash(id)
	}
	s.wipe("a")
	s.wipe("b")
	for _, id := range s.order {
		s.start(id)
	}
	l = s.awaitLeader()
	s.propose(l, "after")
	s.advance(time.Second)
	is.True(s.highestCommitted > highest)
	is.Equal(s.violation, "")
}

// Guards against a growing quorum while a voter is down.
func TestQuorumDoesNotGrowWhileAVoterIsDown(t *testing.T) {
	is := is.New(t)
	s := newSimulation(12, 3, 2)
	l := s.awaitLeader()
	for _, id := range []string{"d", "e"} {
		s.change(l, id, 0)
		s.advance(time.Second)
	}
	others := s.otherThan(l.id)
	s.crash(others[0])
	s.advance(time.Second)
	s.setTargetVoters(5)
	s.advance(time.Second)
	is.Equal(s.leader().core.membership().voters(), 3)
}

// Guards against progress without a quorum, and against a cluster that does not resume once the
// quorum is back.
func TestQuorumLostAndBack(t *testing.T) {
	is := is.New(t)
	s := newSimulation(8, 5, 0)
	s.awaitLeader()
	for _, id := range s.order[:3] {
		s.crash(id)
	}
	s.advance(5 * time.Second)
	is.True(s.leader() == nil)
	highest := s.highestCommitted
	for _, id := range s.order[:3] {
		s.start(id)
	}
	l := s.awaitLeader()
	s.propose(l, "after")
	s.advance(time.Second)
	is.True(s.highestCommitted > highest)
	is.Equal(s.violation, "")
}

// Guards against a log that drops entries which a reachable member still needs, or that keeps them
// without bound.
func TestCompactKeepsNeededEntries(t *testing.T) {
	const last = 5000
	for name, test := range map[string]struct {
		needed uint64
		size   int
		want   uint64
	}{
		"all are up to date":     {last, 1, last - trailingEntries},
		"one is behind":          {1000, 1, 1000},
		"one is far behind":      {1000, trailingBytes / 1000, last - 1000},
		"large trailing entries": {last, trailingBytes / 10, last - 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l entryLog
			data := make([]byte, test.size)
			for i := uint64(1); i <= last; i++ {
				l.append(journal.Entry{Index: i, Term: 1, Data: data})
			}
			l.compact(journal.SnapshotMeta{Index: last, Term: 1}, test.needed)
			is.Equal(l.baseIndex, test.want)
			is.Equal(l.lastIndex(), uint64(last))
		})
	}
}
