package consensus

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// simulation runs cores against a network, clocks and disks in memory, one input at a time, and
// checks the safety properties of Raft after each. The first violation is kept.
type simulation struct {
	// voters is Config.Voters of all nodes.
	voters int
	now    time.Duration
	nodes  map[string]*simulated
	order  []string
	random *rand.Rand
	queue  []packet
	cut    map[[2]string]bool
	// unheard links lose requests and carry replies.
	unheard map[[2]string]bool
	tokens  map[uint64]string
	token   uint64
	servers []Server

	// What was observed so far.
	leaders   map[uint64]string
	entries   map[[2]uint64][2]uint64
	committed map[uint64]journal.Entry
	highest   uint64
	reads     map[uint64]uint64
	violation string
	wipes     int

	// naiveSync sends answers before the state is stored. naiveIdentity keeps the incarnation of a node
	// that lost its files.
	naiveSync     bool
	naiveIdentity bool
	// naiveLease lets a leader that hands over rely on its lease.
	naiveLease bool
}

// simulated is one node with its disk.
type simulated struct {
	id, incarnation string
	core            *core
	disk            journal.Contents
	up, frozen      bool
	wiped           int
	// rate and offset relate its clock to the simulation's.
	rate   float64
	offset time.Duration
	// applied and digest stand for the state machine: the digest of all commands in order.
	applied, digest uint64
	membership      Membership
	// crashAt stops the node inside a later output: 1 before the state is stored, 2 after.
	crashAt int
}

type packet struct {
	at       time.Duration
	from, to string
	message  message
}

const simulatedSnapshotEvery = 15

func newSimulation(seed uint64, voters, learners int) *simulation {
	s := &simulation{
		nodes: make(map[string]*simulated), random: rand.New(rand.NewPCG(seed, 1)),
		cut: make(map[[2]string]bool), unheard: make(map[[2]string]bool),
		tokens: make(map[uint64]string), leaders: make(map[uint64]string),
		entries: make(map[[2]uint64][2]uint64), committed: make(map[uint64]journal.Entry), reads: make(map[uint64]uint64),
	}
	for i := range voters {
		s.servers = append(s.servers, Server{ID: string(rune('a' + i)), Address: string(rune('a' + i))})
	}
	for i := range voters + learners {
		s.start(string(rune('a' + i)))
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *simulation) clock(n *simulated) time.Duration {
	return n.offset + time.Duration(float64(s.now)*n.rate)
}

// start runs a node on its disk; a new one gets a clock that is up to 4 % fast or slow.
func (s *simulation) start(id string) *simulated {
	n := s.nodes[id]
	if n == nil {
		n = &simulated{id: id, rate: 0.96 + 0.08*s.random.Float64(), offset: time.Hour}
		s.nodes[id] = n
		s.order = append(s.order, id)
	}
	if n.disk.Identity.ID == "" {
		n.incarnation = fmt.Sprintf("%s-%d", id, n.wiped)
		n.disk.Identity = journal.Identity{ID: id, Incarnation: n.incarnation}
	}
	disk := n.disk
	disk.Entries = slices.Clone(n.disk.Entries)
	config := Config{ID: id, Address: id, Bootstrap: s.servers, Timing: Timing{ReplaceAfter: 3 * time.Second}, Voters: s.voters}
	c, err := newCore(config, &disk, s.random, s.clock(n))
	if err != nil {
		panic(err)
	}
	n.core, n.up, n.frozen, n.crashAt = c, true, false, 0
	n.applied, n.digest = disk.Meta.Index, 0
	n.membership, _ = decodeMembership(disk.Meta.Membership)
	if len(disk.Snapshot) > 0 {
		n.digest = binary.BigEndian.Uint64(disk.Snapshot)
	}
	return n
}

// want sets the number of voters up to which the quorum grows by itself, now and at later starts.
func (s *simulation) want(voters int) {
	s.voters = voters
	for _, n := range s.nodes {
		n.core.wanted = voters
	}
}

func (s *simulation) crash(id string) {
	s.nodes[id].up = false
}

// wipe crashes a node and loses its files.
func (s *simulation) wipe(id string) {
	n := s.nodes[id]
	n.up = false
	n.disk = journal.Contents{}
	if s.naiveIdentity {
		// Without incarnations the node takes the membership from its settings and votes again.
		n.disk = journal.Contents{Identity: journal.Identity{ID: id, Incarnation: n.incarnation}}
		var m Membership
		for _, server := range s.servers {
			m = m.with(Member{ID: server.ID, Address: server.Address, Voter: true, Incarnation: server.ID + "-0"})
		}
		n.disk.Entries = []journal.Entry{{Index: 1, Term: bootstrapTerm, Type: membershipEntry, Data: m.encode()}}
		n.disk.State.Term = bootstrapTerm + 1
		return
	}
	n.wiped++
}

// advance moves the time and delivers what is due, in random order of equal times.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 5 * time.Millisecond
		for _, id := range s.order {
			if n := s.nodes[id]; n.up && !n.frozen {
				n.core.tick(s.clock(n))
				s.settle(n)
			}
		}
		s.deliver()
	}
}

func (s *simulation) deliver() {
	var due []packet
	s.queue = slices.DeleteFunc(s.queue, func(p packet) bool {
		frozen := s.nodes[p.to] != nil && s.nodes[p.to].frozen
		if p.at <= s.now && !frozen {
			due = append(due, p)
			return true
		}
		return false
	})
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		n := s.nodes[p.to]
		link := [2]string{p.from, p.to}
		if n == nil || !n.up || s.cut[link] || s.unheard[link] && p.message.token != 0 {
			continue
		}
		if p.message.token != 0 {
			s.tokens[p.message.token] = p.from
		}
		n.core.step(s.clock(n), p.message)
		s.settle(n)
	}
}

// settle does for a node what Node does: store, then send, then apply.
func (s *simulation) settle(n *simulated) {
	for !n.core.idle() && n.up {
		out := n.core.take()
		if out.lostIdentity || out.removed {
			n.up = false
			return
		}
		s.observe(n, &out)
		s.send(n, out.early)
		if s.naiveSync {
			s.send(n, out.messages)
			out.messages = nil
		}
		if n.crashAt == 1 && out.store {
			n.up = false
			return
		}
		s.store(n, &out)
		if n.crashAt == 2 && out.store {
			n.up = false
			return
		}
		n.core.stored()
		s.send(n, out.messages)
		s.apply(n, &out)
		for _, r := range out.reads {
			if want := s.reads[r.token]; r.index < want {
				s.fail("%s serves a read at %d after %d was committed", n.id, r.index, want)
			}
		}
	}
	s.check(n)
}

func (s *simulation) store(n *simulated, out *output) {
	if out.snapshot != nil {
		n.disk.Meta, n.disk.Snapshot = out.snapshot.meta, out.snapshot.data
		n.disk.Entries = nil
		out.entries = n.core.log.slice(out.snapshot.meta.Index+1, n.core.log.last())
	}
	if out.store || out.snapshot != nil {
		n.disk.State = out.state
	}
	for _, e := range out.entries {
		keep := e.Index - n.disk.Meta.Index - 1
		n.disk.Entries = append(n.disk.Entries[:keep:keep], e)
	}
}

func (s *simulation) send(n *simulated, messages []message) {
	for _, m := range messages {
		if m.token != 0 {
			m.to = s.tokens[m.token]
			m.token = 0
		} else {
			s.token++
			m.token = s.token
			if r, ok := m.body.(*SnapshotRequest); ok {
				if r.Meta.Index != n.disk.Meta.Index {
					continue
				}
				r.Data = n.disk.Snapshot[r.Offset:min(r.Offset+3, uint64(len(n.disk.Snapshot)))]
				r.Checksum = xxhash.Sum64(r.Data)
			}
		}
		delay := time.Duration(s.random.IntN(20)) * time.Millisecond
		switch s.random.IntN(40) {
		case 0:
			continue // lost
		case 1:
			delay += time.Duration(s.random.IntN(1500)) * time.Millisecond
		}
		s.queue = append(s.queue, packet{at: s.now + delay, from: n.id, to: m.to, message: m})
	}
}

// apply feeds the state machine and checks state machine safety.
func (s *simulation) apply(n *simulated, out *output) {
	if out.snapshot != nil {
		n.applied, n.digest = out.snapshot.meta.Index, binary.BigEndian.Uint64(out.snapshot.data)
		n.membership, _ = decodeMembership(out.snapshot.meta.Membership)
	}
	l := &n.core.log
	for n.applied < l.commit {
		e := l.slice(n.applied+1, n.applied+1)[0]
		if first, ok := s.committed[e.Index]; !ok {
			s.committed[e.Index] = e
		} else if first.Term != e.Term || string(first.Data) != string(e.Data) {
			s.fail("state machine safety: %s applies another entry %d", n.id, e.Index)
		}
		s.highest = max(s.highest, e.Index)
		n.applied = e.Index
		n.digest = xxhash.Sum64(binary.BigEndian.AppendUint64(e.Data[:len(e.Data):len(e.Data)], n.digest))
		if e.Type == membershipEntry {
			n.membership, _ = decodeMembership(e.Data)
		}
	}
	if n.applied >= l.snapshot.Index+simulatedSnapshotEvery {
		s.snapshot(n)
	}
}

func (s *simulation) snapshot(n *simulated) {
	term, _ := n.core.log.term(n.applied)
	data := binary.BigEndian.AppendUint64(nil, n.digest)
	meta := journal.Meta{
		Index: n.applied, Term: term, Membership: n.membership.encode(), Size: 8, Checksum: xxhash.Sum64(data),
	}
	n.core.snapshotStored(meta)
	// A smaller trail than in production makes InstallSnapshot frequent.
	l := &n.core.log
	if base := meta.Index - 5; base > l.base {
		t, _ := l.term(base)
		l.entries, l.base, l.baseTerm = slices.Clone(l.slice(base+1, l.last())), base, t
	}
	n.disk.Meta, n.disk.Snapshot = meta, data
	n.disk.Entries = slices.Clone(l.slice(meta.Index+1, l.unstored-1))
}

// observe checks log matching on new entries: an index and a term name one entry, and it follows an
// entry of one term.
func (s *simulation) observe(n *simulated, out *output) {
	for _, e := range out.entries {
		before, _ := n.core.log.term(e.Index - 1)
		sum := [2]uint64{before, xxhash.Sum64(append(slices.Clone(e.Data), e.Type))}
		key := [2]uint64{e.Index, e.Term}
		if old, ok := s.entries[key]; ok && old != sum {
			s.fail("log matching: %s holds another entry %d of term %d", n.id, e.Index, e.Term)
		}
		s.entries[key] = sum
	}
}

// check tests election safety, leader completeness and the exclusiveness of leases.
func (s *simulation) check(n *simulated) {
	c := n.core
	if c.role != Leader || !n.up {
		return
	}
	term := c.state.Term
	if old, ok := s.leaders[term]; ok && old != n.id {
		s.fail("election safety: %s and %s lead in term %d", old, n.id, term)
	} else if !ok {
		s.leaders[term] = n.id
		for index, e := range s.committed {
			if t, known := c.log.term(index); index > c.log.base && (!known || t != e.Term) {
				s.fail("leader completeness: %s lacks entry %d in term %d", n.id, index, term)
			}
		}
	}
	if c.log.commit < c.termStart {
		return
	}
	for _, id := range s.order {
		o := s.nodes[id]
		if o != n && o.up && o.core.state.Term < term && o.core.role == Leader && s.lease(o) > s.clock(o) {
			s.fail("lease: %s holds one while %s commits in term %d", id, n.id, term)
		}
	}
}

func (s *simulation) lease(n *simulated) time.Duration {
	c := *n.core
	if s.naiveLease {
		c.handOverEnd = 0
	}
	return c.lease()
}

func (s *simulation) leader() *simulated {
	var found *simulated
	for _, id := range s.order {
		n := s.nodes[id]
		if n.up && !n.frozen && n.core.role == Leader && (found == nil || n.core.state.Term > found.core.state.Term) {
			found = n
		}
	}
	return found
}

func (s *simulation) except(id string) []string {
	return slices.DeleteFunc(slices.Clone(s.order), func(o string) bool { return o == id })
}

func (s *simulation) awaitLeader() *simulated {
	for range 400 {
		s.advance(50 * time.Millisecond)
		if n := s.leader(); n != nil && n.core.log.commit >= n.core.termStart {
			return n
		}
	}
	s.fail("no leader within 20 s")
	return nil
}

func (s *simulation) propose(n *simulated, command string) {
	n.core.tick(s.clock(n))
	if n.core.role == Leader {
		n.core.propose([][]byte{[]byte(command)})
	}
	s.settle(n)
}

func (s *simulation) read(n *simulated) {
	s.token++
	s.reads[s.token] = s.highest
	n.core.read(s.clock(n), s.token)
	s.settle(n)
}

func (s *simulation) handOver(n *simulated) {
	n.core.tick(s.clock(n))
	_ = n.core.handOver()
	s.settle(n)
}

// partition cuts all links between group and the rest, in the given directions.
func (s *simulation) partition(group []string, out, in bool) {
	for _, a := range group {
		for _, b := range s.order {
			if !slices.Contains(group, b) {
				s.cut[[2]string{a, b}], s.cut[[2]string{b, a}] = out, in
			}
		}
	}
}

func (s *simulation) heal() {
	clear(s.cut)
	clear(s.unheard)
}

// deafen loses the requests of the given nodes to id; replies to its own requests still arrive.
func (s *simulation) deafen(id string, from ...string) {
	for _, other := range from {
		s.unheard[[2]string{other, id}] = true
	}
}

// disturb does one random thing. choose returns a number below n. Faults are rarer than repairs, so
// that the cluster makes progress between them.
func (s *simulation) disturb(choose func(n int) int) {
	id := s.order[choose(len(s.order))]
	n := s.nodes[id]
	switch choose(18) {
	case 0:
		s.crash(id)
	case 1:
		n.crashAt = 1 + choose(2)
	case 2:
		s.partition([]string{id}, choose(2) == 0, choose(2) == 0)
	case 3:
		n.frozen = true
	case 4:
		// One lost disk at a time: a quorum of lost disks would rightly lose entries.
		if s.wipes == 0 {
			s.wipes++
			s.wipe(id)
			s.start(id)
		}
	case 5, 6, 7:
		s.repair()
	case 8, 9:
		if l := s.leader(); l != nil {
			s.change(l, id, choose(3))
		}
	case 10:
		if n.up && !n.frozen {
			s.read(n)
		}
	case 11:
		s.deafen(id, s.except(id)...)
	case 12:
		if l := s.leader(); l != nil {
			s.handOver(l)
		}
	default:
		for i := range 1 + choose(8) {
			if l := s.leader(); l != nil {
				s.propose(l, fmt.Sprint(s.now, i))
			}
		}
	}
	s.advance(time.Duration(choose(80)) * 10 * time.Millisecond)
}

// repair ends all faults but lost disks.
func (s *simulation) repair() {
	s.heal()
	for _, id := range s.order {
		n := s.nodes[id]
		n.frozen = false
		if !n.up && n.wiped == 0 {
			s.start(id)
		}
	}
}

func (s *simulation) change(leader *simulated, id string, kind int) {
	c := leader.core
	c.tick(s.clock(leader))
	switch kind {
	case 0:
		_, _ = c.addLearner(Server{ID: id, Address: id})
	case 1:
		_, _ = c.promote(id, "")
	default:
		_, _ = c.remove(id)
	}
	s.settle(leader)
}

// recover lets everything that still has its files run undisturbed; the cluster must then lead and
// commit.
func (s *simulation) recover() {
	s.repair()
	for _, id := range s.order {
		s.nodes[id].crashAt = 0
	}
	if l := s.awaitLeader(); l != nil {
		s.propose(l, "end")
		s.advance(time.Second)
	}
}
