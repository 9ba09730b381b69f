package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"pgregory.net/rapid"
)

// cellMachine drives one cell with calls and events in any order, and models the holdings of the engines.
type cellMachine struct {
	cell             *cell
	config           Config
	now              time.Time
	lastAttempt      int
	engines          []endpoint.Announcement
	holdings         map[string]string // holding ID to endpoint
	pendingCreations []createCall
	reservations     []*reservation
	grants           map[string]Grant
}

var machineEvents = []EventType{FirstToken, Finished, Cancelled, Failed, ConnectionLost, KeepAlive}

// processCalls takes the pending calls of the cell. Deletions are applied immediately; creations wait for
// finishCreation.
func (m *cellMachine) processCalls() {
	calls := m.cell.pendingCalls
	m.cell.pendingCalls = nil
	for _, next := range calls {
		switch next := next.(type) {
		case createCall:
			m.pendingCreations = append(m.pendingCreations, next)
		case deleteCall:
			delete(m.holdings, next.holding)
		}
	}
}

func (m *cellMachine) finishCreation(i int, succeeded bool) {
	next := m.pendingCreations[i]
	m.pendingCreations = slices.Delete(m.pendingCreations, i, i+1)
	if m.cell.holdingsCreated(m.now, next.grant, succeeded) {
		for _, member := range next.members {
			m.holdings[member.Holding] = member.Endpoint
		}
	}
	m.processCalls()
}

func (m *cellMachine) checkReply(t *rapid.T, attempt string, reply ReserveReply) {
	if res := m.cell.reservations[attempt]; res != nil && !slices.Contains(m.reservations, res) {
		m.reservations = append(m.reservations, res)
	}
	if reply.Status != Granted {
		return
	}
	earlier, known := m.grants[attempt]
	liveGrant := m.cell.grants[attempt]
	if liveGrant == nil {
		t.Fatalf("attempt %s was granted without a live grant", attempt)
	}
	if known && liveGrant.ID == earlier.ID && fmt.Sprint(earlier.Members) != fmt.Sprint(reply.Grant.Members) {
		t.Fatalf("attempt %s has two grants: %v and %v", attempt, earlier.Members, reply.Grant.Members)
	}
	m.grants[attempt] = reply.Grant
}

// estimate returns the estimated status and checks that the estimate changes nothing. It returns an empty
// status if the cell would not decide on the reservation next: the cell knows the attempt already, or tries
// queued ones first.
func (m *cellMachine) estimate(t *rapid.T, r ReserveRequest) Status {
	_, known := m.cell.previousReply(r.AttemptID)
	state := func() string {
		s := fmt.Sprint(allKeys(m.cell.grants), allKeys(m.cell.reservations), allKeys(m.cell.endedAttempts), m.cell.queue.size, len(m.cell.pendingCalls), m.cell.hold)
		for _, r := range m.cell.sortedReplicas {
			s += fmt.Sprint(r.name, r.reservedTokens, r.lastGrant, r.ejected, len(r.parts))
		}
		return s
	}
	before := state()
	estimate := m.cell.estimate(m.now, r)
	if after := state(); after != before {
		t.Fatalf("an estimate changed the cell from %s to %s", before, after)
	}
	if known || m.cell.queue.size > 0 {
		return ""
	}
	return estimate.Status
}

func (m *cellMachine) advance(d time.Duration) {
	for ; d > 0; d -= stallThreshold {
		m.now = m.now.Add(min(d, stallThreshold))
		m.cell.tick(m.now)
		m.processCalls()
	}
}

func (m *cellMachine) announceAll() {
	for _, e := range m.engines {
		m.cell.announce(m.now, e)
	}
	m.processCalls()
}

// restart gives an engine a new incarnation without the holdings of the old one.
func (m *cellMachine) restart(i int) {
	m.engines[i].Incarnation += "x"
	for holding, name := range m.holdings {
		if name == m.engines[i].Name {
			delete(m.holdings, holding)
		}
	}
	m.cell.announce(m.now, m.engines[i])
	m.processCalls()
}

// replaceDispatcher hands the cell over to a new dispatcher, to which the entries report the live grants.
func (m *cellMachine) replaceDispatcher() {
	oldCell := m.cell
	oldCell.close()
	for len(m.pendingCreations) > 0 {
		m.finishCreation(0, true)
	}
	m.processCalls()
	m.cell = newCell(testCell, &m.config, m.now)
	m.grants = make(map[string]Grant)
	for _, id := range allKeys(oldCell.grants) {
		m.cell.report(m.now, Event{Cell: testCell, Grant: id, Type: KeepAlive, Members: oldCell.grants[id].Members})
	}
	m.announceAll()
}

// checkCounters compares the counters that decisions use with the grants from which they are derived.
func (m *cellMachine) checkCounters(t *rapid.T) {
	for id := range m.grants {
		if _, ended := m.cell.endedAttempts[id]; !ended && m.cell.grants[id] == nil {
			delete(m.grants, id) // ended longer than endedTTL ago: the ID may be used again
		}
	}
	queued := 0
	for _, f := range m.cell.queue.flows {
		queued += len(f.reservations)
	}
	waiting := 0
	for _, res := range m.cell.reservations {
		if res.reply == nil && res.pendingGroup == nil {
			waiting++
		}
	}
	if queued != waiting || queued != m.cell.queue.size {
		t.Fatalf("%d reservations in flows, %d waiting, size %d", queued, waiting, m.cell.queue.size)
	}
	for _, r := range m.cell.sortedReplicas {
		reserved, own, decoding := 0, 0, [lengthClassCount]int{}
		for _, p := range r.parts {
			reserved += p.tokens
			if !p.grant.adopted {
				own += p.tokens
			}
			if p.grant.prefilled {
				decoding[p.grant.class]++
			}
			if m.cell.grants[p.grant.ID] != p.grant {
				t.Fatalf("%s runs %s, which has no live grant", r.name, p.grant.ID)
			}
		}
		if reserved != r.reservedTokens || decoding != r.decoding {
			t.Fatalf("%s: reserved %d, want %d; decoding %v, want %v", r.name, r.reservedTokens, reserved, r.decoding, decoding)
		}
		if r.announced && own > r.announcement.Memory {
			t.Fatalf("%s: own grants hold %d of %d tokens", r.name, own, r.announcement.Memory)
		}
	}
}

// checkNothingLeft lets time pass without events and checks that no state is left.
func (m *cellMachine) checkNothingLeft(t *rapid.T) {
	for range 200 {
		for len(m.pendingCreations) > 0 {
			m.finishCreation(0, true)
		}
		for i := range m.engines {
			m.engines[i].State = endpoint.Ready
		}
		m.announceAll()
		m.advance(time.Second)
		m.checkCounters(t)
	}
	if len(m.cell.grants) != 0 || len(m.cell.reservations) != 0 || len(m.cell.suspects.running) != 0 || len(m.holdings) != 0 {
		t.Fatalf("left: grants %v, reservations %v, fingerprints %v, holdings %v",
			allKeys(m.cell.grants), allKeys(m.cell.reservations), m.cell.suspects.running, m.holdings)
	}
	for _, r := range m.cell.sortedReplicas {
		if r.reservedTokens != 0 || r.queuedPrefill() != 0 {
			t.Fatalf("%s still has %d tokens reserved and %v to prefill", r.name, r.reservedTokens, r.queuedPrefill())
		}
	}
	for _, res := range m.reservations {
		select {
		case <-res.resolved:
		default:
			t.Fatalf("ticket of %s never ended", res.request.AttemptID)
		}
	}
}

// Guards against reserved memory that is never released, grants that exceed an engine's memory, attempts
// with two grants and tickets that never resolve, when calls and events are reordered, lost or repeated.
func TestCellUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cellMachine{config: testConfig(), now: epoch, holdings: map[string]string{}, grants: map[string]Grant{}}
		for i, memory := range []int{1000, 1000, 1000, 2500} {
			m.engines = append(m.engines, engine(i, memory))
		}
		m.cell = newCell(testCell, &m.config, m.now)
		m.announceAll()
		attempt := func(t *rapid.T) string {
			return fmt.Sprintf("a%d", rapid.IntRange(max(0, m.lastAttempt-12), m.lastAttempt).Draw(t, "attempt"))
		}
		pick := rapid.IntRange(0, len(m.engines)-1)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				m.lastAttempt++
				id := attempt(t)
				r := request(id, rapid.IntRange(1, 4000).Draw(t, "prompt"), rapid.IntRange(0, 500).Draw(t, "max"))
				r.Workspace = rapid.SampledFrom([]string{"mill", "shop"}).Draw(t, "workspace")
				r.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
				r.TimeLeft = time.Duration(rapid.IntRange(0, 30).Draw(t, "left")) * time.Second
				r.Fingerprint = rapid.Uint64Range(0, 6).Draw(t, "fingerprint")
				if rapid.Bool().Draw(t, "retry") {
					r.Exclude = []string{m.engines[pick.Draw(t, "exclude")].Name}
				}
				want := m.estimate(t, r)
				reply := m.cell.reserve(m.now, r)
				if want != "" && want != reply.Status && (want != Granted || len(m.cell.pendingCalls) == 0) {
					t.Fatalf("the estimate of %s was %s, the reservation is %s", id, want, reply.Status)
				}
				m.processCalls()
				m.checkReply(t, id, reply)
			},
			"await": func(t *rapid.T) {
				id := attempt(t)
				done := m.cell.beginAwait(m.now, id)
				if rapid.Bool().Draw(t, "long") {
					m.advance(time.Second)
				}
				m.checkReply(t, id, m.cell.endAwait(m.now, id, done != nil))
			},
			"report": func(t *rapid.T) {
				m.cell.report(m.now, Event{
					Cell: testCell, Grant: attempt(t), Type: rapid.SampledFrom(machineEvents).Draw(t, "event"),
					Elapsed: time.Second, OutputTokens: 20, Prefilled: rapid.Bool().Draw(t, "prefilled"),
				})
				m.processCalls()
			},
			"announce": func(t *rapid.T) {
				i := pick.Draw(t, "engine")
				m.engines[i].State = rapid.SampledFrom([]endpoint.State{endpoint.Ready, endpoint.Draining, endpoint.Leaving}).Draw(t, "state")
				m.cell.announce(m.now, m.engines[i])
				m.processCalls()
			},
			"announce all": func(*rapid.T) { m.announceAll() },
			"restart":      func(t *rapid.T) { m.restart(pick.Draw(t, "engine")) },
			"created": func(t *rapid.T) {
				if len(m.pendingCreations) == 0 {
					t.Skip("no group is being created")
				}
				m.finishCreation(rapid.IntRange(0, len(m.pendingCreations)-1).Draw(t, "call"), rapid.Bool().Draw(t, "succeeded"))
			},
			"time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"stall": func(*rapid.T) {
				m.now = m.now.Add(20 * time.Second)
				m.cell.tick(m.now)
				m.processCalls()
			},
			"replace": func(*rapid.T) { m.replaceDispatcher() },
			"":        func(t *rapid.T) { m.checkCounters(t) },
		})
		m.checkNothingLeft(t)
	})
}
