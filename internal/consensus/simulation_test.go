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

// simulation runs cores on a simulated network with simulated clocks and disks, one input at a
// time, and checks the safety properties of Raft after each input. Only the first violation is
// kept.
type simulation struct {
	// targetVoters is Config.TargetVoters of all nodes.
	targetVoters int
	// replaceAfter is Timing.ReplaceAfter of all nodes.
	replaceAfter time.Duration
	now          time.Duration
	nodes        map[string]*simulatedNode
	order        []string
	random       *rand.Rand
	queue        []packet
	cutLinks     map[[2]string]bool
	// requestLossLinks holds the links that lose requests but deliver replies.
	requestLossLinks map[[2]string]bool
	requesterByToken map[uint64]string
	lastToken        uint64
	servers          []Server
	// nodeAtAddress holds the id of the node that receives the requests to an address. The address of a node is its
	// id unless startAt sets another one.
	nodeAtAddress map[string]string
	// retired holds the nodes that have stopped for good.
	retired map[string]bool

	// The fields below record what was observed so far.
	leaderByTerm     map[uint64]string
	entryChecksums   map[[2]uint64][2]uint64
	committed        map[uint64]journal.Entry
	highestCommitted uint64
	minReadIndexes   map[uint64]uint64
	violation        string
	wipes            int

	// naiveSync sends replies before the state is stored. naiveIncarnation keeps the incarnation of
	// a node that lost its files.
	naiveSync        bool
	naiveIncarnation bool
	// naiveLease lets a leader rely on its lease during a leadership transfer.
	naiveLease bool
}

// simulatedNode is one node with its disk.
type simulatedNode struct {
	id, incarnation string
	address         string
	core            *core
	disk            journal.Contents
	up, frozen      bool
	wipeCount       int
	// clockRate and clockOffset relate its clock to that of the simulation.
	clockRate   float64
	clockOffset time.Duration
	// applied and digest represent the state machine: the index of the last applied entry and a
	// digest of all entries in order.
	applied, digest uint64
	membership      Membership
	// crashAt makes the node crash when it next stores state: 1 before the state is stored, 2
	// after.
	crashAt int
}

type packet struct {
	deliverAt time.Duration
	from, to  string
	message   message
}

const simulatedSnapshotEvery = 15

func newSimulation(seed uint64, voters, learners int) *simulation {
	s := &simulation{
		replaceAfter: 3 * time.Second,
		nodes:        make(map[string]*simulatedNode), random: rand.New(rand.NewPCG(seed, 1)),
		cutLinks: make(map[[2]string]bool), requestLossLinks: make(map[[2]string]bool),
		nodeAtAddress: make(map[string]string), retired: make(map[string]bool), requesterByToken: make(map[uint64]string), leaderByTerm: make(map[uint64]string),
		entryChecksums: make(map[[2]uint64][2]uint64), committed: make(map[uint64]journal.Entry), minReadIndexes: make(map[uint64]uint64),
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

func (s *simulation) clock(n *simulatedNode) time.Duration {
	return n.clockOffset + time.Duration(float64(s.now)*n.clockRate)
}

// startAt starts a node from its disk at an address.
func (s *simulation) startAt(id, address string) {
	if n := s.nodes[id]; n != nil {
		n.address = address
		s.start(id)
		return
	}
	s.nodes[id] = s.newNode(id, address)
	s.start(id)
}

// newNode returns a node without files, with a clock that runs up to 4 % fast or slow.
func (s *simulation) newNode(id, address string) *simulatedNode {
	s.order = append(s.order, id)
	return &simulatedNode{id: id, address: address, clockRate: 0.96 + 0.08*s.random.Float64(), clockOffset: time.Hour}
}

// start starts a node from its disk.
func (s *simulation) start(id string) *simulatedNode {
	n := s.nodes[id]
	if n == nil {
		n = s.newNode(id, id)
		s.nodes[id] = n
	}
	s.nodeAtAddress[n.address] = id
	if n.disk.Identity.ID == "" {
		n.incarnation = fmt.Sprintf("%s-%d", id, n.wipeCount)
		n.disk.Identity = journal.Identity{ID: id, Incarnation: n.incarnation}
	}
	disk := n.disk
	disk.Entries = slices.Clone(n.disk.Entries)
	config := Config{ID: id, Address: n.address, Bootstrap: s.servers, Timing: Timing{ReplaceAfter: s.replaceAfter}, TargetVoters: s.targetVoters}
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

// setTargetVoters sets the number of voters up to which the quorum grows automatically, now and at
// later starts.
func (s *simulation) setTargetVoters(voters int) {
	s.targetVoters = voters
	for _, n := range s.nodes {
		n.core.targetVoters = voters
	}
}

// newID returns an id that no node has yet.
func (s *simulation) newID() string {
	return string(rune('a' + len(s.order)))
}

// setReplaceAfter sets Timing.ReplaceAfter, now and at later starts.
func (s *simulation) setReplaceAfter(d time.Duration) {
	s.replaceAfter = d
	for _, n := range s.nodes {
		n.core.timing.ReplaceAfter = d
	}
}

func (s *simulation) crash(id string) {
	s.nodes[id].up = false
}

// wipe crashes a node and deletes its files.
func (s *simulation) wipe(id string) {
	n := s.nodes[id]
	n.up = false
	n.disk = journal.Contents{}
	if s.naiveIncarnation {
		// Without incarnations the node would take the membership from its settings and vote again.
		n.disk = journal.Contents{Identity: journal.Identity{ID: id, Incarnation: n.incarnation}}
		var m Membership
		for _, server := range s.servers {
			m = m.with(Member{ID: server.ID, Address: server.Address, Voter: true, Incarnation: server.ID + "-0"})
		}
		n.disk.Entries = []journal.Entry{{Index: 1, Term: bootstrapTerm, Type: membershipEntry, Data: m.encode()}}
		n.disk.State.Term = bootstrapTerm + 1
		return
	}
	n.wipeCount++
}

// advance advances the simulated time and delivers the messages that are due, in random order if
// they are due at the same time.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 5 * time.Millisecond
		for _, id := range s.order {
			if n := s.nodes[id]; n.up && !n.frozen {
				n.core.tick(s.clock(n))
				s.processOutput(n)
			}
		}
		s.deliver()
	}
}

func (s *simulation) deliver() {
	var due []packet
	s.queue = slices.DeleteFunc(s.queue, func(p packet) bool {
		frozen := s.nodes[p.to] != nil && s.nodes[p.to].frozen
		if p.deliverAt <= s.now && !frozen {
			due = append(due, p)
			return true
		}
		return false
	})
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		n := s.nodes[p.to]
		link := [2]string{p.from, p.to}
		if n == nil || !n.up || s.cutLinks[link] || s.requestLossLinks[link] && p.message.token != 0 {
			continue
		}
		if p.message.token != 0 {
			s.requesterByToken[p.message.token] = p.from
		}
		n.core.step(s.clock(n), p.message)
		s.processOutput(n)
	}
}

// processOutput does what Node.processOutput does: store, then send, then apply.
func (s *simulation) processOutput(n *simulatedNode) {
	for !n.core.idle() && n.up {
		out := n.core.takeOutput()
		if out.identityLost || out.removed {
			n.up = false
			return
		}
		s.checkLogMatching(n, &out)
		s.send(n, out.messagesBeforeStore)
		if s.naiveSync {
			s.send(n, out.messagesAfterStore)
			out.messagesAfterStore = nil
		}
		if n.crashAt == 1 && out.mustStore {
			n.up = false
			return
		}
		s.store(n, &out)
		if n.crashAt == 2 && out.mustStore {
			n.up = false
			return
		}
		n.core.outputStored()
		s.send(n, out.messagesAfterStore)
		s.apply(n, &out)
		for _, r := range out.reads {
			if want := s.minReadIndexes[r.token]; r.index < want {
				s.fail("%s serves a read at %d after %d was committed", n.id, r.index, want)
			}
		}
	}
	s.checkLeaderSafety(n)
}

func (s *simulation) store(n *simulatedNode, out *output) {
	if out.snapshot != nil {
		n.disk.Meta, n.disk.Snapshot = out.snapshot.meta, out.snapshot.data
		n.disk.Entries = nil
		out.entries = n.core.log.slice(out.snapshot.meta.Index+1, n.core.log.lastIndex())
	}
	if out.mustStore || out.snapshot != nil {
		n.disk.State = out.state
	}
	for _, e := range out.entries {
		keep := e.Index - n.disk.Meta.Index - 1
		n.disk.Entries = append(n.disk.Entries[:keep:keep], e)
	}
}

func (s *simulation) send(n *simulatedNode, messages []message) {
	for _, m := range messages {
		if m.token != 0 {
			m.to = s.requesterByToken[m.token]
			m.token = 0
		} else {
			s.lastToken++
			m.token = s.lastToken
			m.to = s.nodeAtAddress[m.address]
			if r, ok := m.body.(*SnapshotRequest); ok {
				if r.Meta.Index != n.disk.Meta.Index {
					n.core.onCallFailure(&callFailure{peer: r.To, sequence: r.Sequence}) // The snapshot cannot be read.
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
		s.queue = append(s.queue, packet{deliverAt: s.now + delay, from: n.id, to: m.to, message: m})
	}
}

// apply applies committed entries and checks state machine safety.
func (s *simulation) apply(n *simulatedNode, out *output) {
	if out.snapshot != nil {
		n.applied, n.digest = out.snapshot.meta.Index, binary.BigEndian.Uint64(out.snapshot.data)
		n.membership, _ = decodeMembership(out.snapshot.meta.Membership)
	}
	l := &n.core.log
	for n.applied < l.commitIndex {
		e := l.slice(n.applied+1, n.applied+1)[0]
		if first, ok := s.committed[e.Index]; !ok {
			s.committed[e.Index] = e
		} else if first.Term != e.Term || string(first.Data) != string(e.Data) {
			s.fail("state machine safety: %s applies another entry %d", n.id, e.Index)
		}
		s.highestCommitted = max(s.highestCommitted, e.Index)
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

func (s *simulation) snapshot(n *simulatedNode) {
	term, _ := n.core.log.term(n.applied)
	data := binary.BigEndian.AppendUint64(nil, n.digest)
	meta := journal.SnapshotMeta{
		Index: n.applied, Term: term, Membership: n.membership.encode(), Size: 8, Checksum: xxhash.Sum64(data),
	}
	n.core.snapshotStored(meta)
	// Fewer trailing entries than in production make InstallSnapshot frequent.
	l := &n.core.log
	if base := meta.Index - 5; base > l.baseIndex {
		t, _ := l.term(base)
		l.entries, l.baseIndex, l.baseTerm = slices.Clone(l.slice(base+1, l.lastIndex())), base, t
	}
	n.disk.Meta, n.disk.Snapshot = meta, data
	n.disk.Entries = slices.Clone(l.slice(meta.Index+1, l.firstUnstored-1))
}

// checkLogMatching checks the log matching property of new entries: an index and a term identify
// one entry, and the entry before it always has the same term.
func (s *simulation) checkLogMatching(n *simulatedNode, out *output) {
	for _, e := range out.entries {
		before, _ := n.core.log.term(e.Index - 1)
		sum := [2]uint64{before, xxhash.Sum64(append(slices.Clone(e.Data), e.Type))}
		key := [2]uint64{e.Index, e.Term}
		if old, ok := s.entryChecksums[key]; ok && old != sum {
			s.fail("log matching: %s holds another entry %d of term %d", n.id, e.Index, e.Term)
		}
		s.entryChecksums[key] = sum
	}
}

// checkLeaderSafety checks election safety, leader completeness, and that no earlier leader holds a
// lease once a later one can commit.
func (s *simulation) checkLeaderSafety(n *simulatedNode) {
	c := n.core
	if c.role != Leader || !n.up {
		return
	}
	term := c.state.Term
	if old, ok := s.leaderByTerm[term]; ok && old != n.id {
		s.fail("election safety: %s and %s lead in term %d", old, n.id, term)
	} else if !ok {
		s.leaderByTerm[term] = n.id
		for index, e := range s.committed {
			if t, known := c.log.term(index); index > c.log.baseIndex && (!known || t != e.Term) {
				s.fail("leader completeness: %s lacks entry %d in term %d", n.id, index, term)
			}
		}
	}
	if c.log.commitIndex < c.termStartIndex {
		return
	}
	for _, id := range s.order {
		o := s.nodes[id]
		if o != n && o.up && o.core.state.Term < term && o.core.role == Leader && s.lease(o) > s.clock(o) {
			s.fail("lease: %s holds one while %s commits in term %d", id, n.id, term)
		}
	}
}

func (s *simulation) lease(n *simulatedNode) time.Duration {
	c := *n.core
	if s.naiveLease {
		c.transferDeadline = 0
	}
	return c.leaseEnd()
}

func (s *simulation) leader() *simulatedNode {
	var found *simulatedNode
	for _, id := range s.order {
		n := s.nodes[id]
		if n.up && !n.frozen && n.core.role == Leader && (found == nil || n.core.state.Term > found.core.state.Term) {
			found = n
		}
	}
	return found
}

// votersOf returns the ids of the voters of a membership.
func (s *simulation) votersOf(m Membership) []string {
	var ids []string
	for _, o := range m.Members {
		if o.Voter {
			ids = append(ids, o.ID)
		}
	}
	return ids
}

func (s *simulation) otherThan(id string) []string {
	return slices.DeleteFunc(slices.Clone(s.order), func(o string) bool { return o == id })
}

func (s *simulation) awaitLeader() *simulatedNode {
	for range 400 {
		s.advance(50 * time.Millisecond)
		if n := s.leader(); n != nil && n.core.log.commitIndex >= n.core.termStartIndex {
			return n
		}
	}
	s.fail("no leader within 20 s")
	return nil
}

func (s *simulation) propose(n *simulatedNode, command string) {
	n.core.tick(s.clock(n))
	if n.core.role == Leader {
		n.core.propose([][]byte{[]byte(command)})
	}
	s.processOutput(n)
}

func (s *simulation) read(n *simulatedNode) {
	s.lastToken++
	s.minReadIndexes[s.lastToken] = s.highestCommitted
	n.core.registerRead(s.clock(n), s.lastToken)
	s.processOutput(n)
}

func (s *simulation) transferLeadership(n *simulatedNode) {
	n.core.tick(s.clock(n))
	_ = n.core.transferLeadership()
	s.processOutput(n)
}

// partition cuts all links between group and the other nodes, in the given directions.
func (s *simulation) partition(group []string, out, in bool) {
	for _, a := range group {
		for _, b := range s.order {
			if !slices.Contains(group, b) {
				s.cutLinks[[2]string{a, b}], s.cutLinks[[2]string{b, a}] = out, in
			}
		}
	}
}

func (s *simulation) heal() {
	clear(s.cutLinks)
	clear(s.requestLossLinks)
}

// loseRequestsTo drops the requests of the given nodes to id; the replies to its own requests still
// arrive.
func (s *simulation) loseRequestsTo(id string, from ...string) {
	for _, other := range from {
		s.requestLossLinks[[2]string{other, id}] = true
	}
}

// injectFault performs one random action: a fault, a repair or an operation. choose returns a
// number below n. Faults are rarer than repairs, so that the cluster makes progress between them.
func (s *simulation) injectFault(choose func(n int) int) {
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
		// Only one disk is lost: losing the disks of a quorum may lose committed entries even in a
		// correct implementation.
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
		s.loseRequestsTo(id, s.otherThan(id)...)
	case 12:
		if l := s.leader(); l != nil {
			s.transferLeadership(l)
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

// repair ends all faults except lost disks.
func (s *simulation) repair() {
	s.heal()
	for _, id := range s.order {
		n := s.nodes[id]
		n.frozen = false
		if !n.up && n.wipeCount == 0 {
			s.start(id)
		}
	}
}

func (s *simulation) change(leader *simulatedNode, id string, kind int) {
	c := leader.core
	c.tick(s.clock(leader))
	switch kind {
	case 0:
		_, _ = c.addLearner(Server{ID: id, Address: id})
	case 1:
		_, _ = c.promoteLearner(id, "")
	default:
		_, _ = c.removeMember(id)
	}
	s.processOutput(leader)
}

// recoverAll runs all nodes that still have their files without faults; the cluster must then elect
// a leader and commit.
func (s *simulation) recoverAll() {
	s.repair()
	for _, id := range s.order {
		s.nodes[id].crashAt = 0
	}
	if l := s.awaitLeader(); l != nil {
		s.propose(l, "end")
		s.advance(time.Second)
	}
}
