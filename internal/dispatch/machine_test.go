package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"pgregory.net/rapid"
)

// machine drives one cell with events in any order and keeps what the engines would know.
type machine struct {
	cell     *cell
	config   Config
	now      time.Time
	next     int
	engines  []endpoint.Announcement
	holdings map[string]string // holding to endpoint
	creating []createCall
	items    []*item
	given    map[string]Grant
}

var machineEvents = []EventType{FirstToken, Finished, Cancelled, Failed, Died, Alive}

// settle takes the calls of the cell: deletions happen at once, creations wait for their result.
func (m *machine) settle() {
	calls := m.cell.calls
	m.cell.calls = nil
	for _, next := range calls {
		switch next := next.(type) {
		case createCall:
			m.creating = append(m.creating, next)
		case deleteCall:
			delete(m.holdings, next.holding)
		}
	}
}

func (m *machine) finishCreation(i int, succeeded bool) {
	next := m.creating[i]
	m.creating = slices.Delete(m.creating, i, i+1)
	if m.cell.holdingsCreated(m.now, next.grant, succeeded) {
		for _, member := range next.members {
			m.holdings[member.Holding] = member.Endpoint
		}
	}
	m.settle()
}

func (m *machine) record(t *rapid.T, attempt string, reply ReserveReply) {
	if it := m.cell.items[attempt]; it != nil && !slices.Contains(m.items, it) {
		m.items = append(m.items, it)
	}
	if reply.Status != Granted {
		return
	}
	before, given := m.given[attempt]
	live := m.cell.grants[attempt]
	if live == nil {
		t.Fatalf("attempt %s was granted without a live grant", attempt)
	}
	if given && live.ID == before.ID && fmt.Sprint(before.Members) != fmt.Sprint(reply.Grant.Members) {
		t.Fatalf("attempt %s has two grants: %v and %v", attempt, before.Members, reply.Grant.Members)
	}
	m.given[attempt] = reply.Grant
}

// estimate returns the estimated status, or nothing when the reservation is not the next that the cell
// decides on: an attempt that it knows, or one before which waiting ones are tried. An estimate must not
// change anything.
func (m *machine) estimate(t *rapid.T, r ReserveRequest) Status {
	_, known := m.cell.known(r.AttemptID)
	state := func() string {
		s := fmt.Sprint(allKeys(m.cell.grants), allKeys(m.cell.items), allKeys(m.cell.ended), m.cell.queue.size, len(m.cell.calls), m.cell.hold)
		for _, r := range m.cell.order {
			s += fmt.Sprint(r.name, r.reserved, r.lastGrant, r.ejected, len(r.parts))
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

func (m *machine) advance(d time.Duration) {
	for ; d > 0; d -= stall {
		m.now = m.now.Add(min(d, stall))
		m.cell.tick(m.now)
		m.settle()
	}
}

func (m *machine) announceAll() {
	for _, e := range m.engines {
		m.cell.announce(m.now, e)
	}
	m.settle()
}

// restart gives an engine a new life; the holdings of the old one are gone.
func (m *machine) restart(i int) {
	m.engines[i].Incarnation += "x"
	for holding, name := range m.holdings {
		if name == m.engines[i].Name {
			delete(m.holdings, holding)
		}
	}
	m.cell.announce(m.now, m.engines[i])
	m.settle()
}

// replace hands the cell to a new dispatcher, which hears of the live grants from their entries.
func (m *machine) replace() {
	old := m.cell
	old.abandon()
	for len(m.creating) > 0 {
		m.finishCreation(0, true)
	}
	m.settle()
	m.cell = newCell(testCell, &m.config, m.now)
	m.given = make(map[string]Grant)
	for _, id := range allKeys(old.grants) {
		m.cell.report(m.now, Event{Cell: testCell, Grant: id, Type: Alive, Members: old.grants[id].Members})
	}
	m.announceAll()
}

// check compares the counters that decisions use with the grants that they are derived from.
func (m *machine) check(t *rapid.T) {
	for id := range m.given {
		if _, ended := m.cell.ended[id]; !ended && m.cell.grants[id] == nil {
			delete(m.given, id) // ended longer ago than endedTTL: the id may be used again
		}
	}
	queued := 0
	for _, f := range m.cell.queue.flows {
		queued += len(f.items)
	}
	waiting := 0
	for _, it := range m.cell.items {
		if it.reply == nil && it.pending == nil {
			waiting++
		}
	}
	if queued != waiting || queued != m.cell.queue.size {
		t.Fatalf("%d reservations in flows, %d waiting, size %d", queued, waiting, m.cell.queue.size)
	}
	for _, r := range m.cell.order {
		reserved, own, decoding := 0, 0, [lengthClasses]int{}
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
		if reserved != r.reserved || decoding != r.decoding {
			t.Fatalf("%s: reserved %d, want %d; decoding %v, want %v", r.name, r.reserved, reserved, r.decoding, decoding)
		}
		if r.announced && own > r.announcement.Memory {
			t.Fatalf("%s: own grants hold %d of %d tokens", r.name, own, r.announcement.Memory)
		}
	}
}

// finish lets time pass without events and checks that nothing is left.
func (m *machine) finish(t *rapid.T) {
	for range 200 {
		for len(m.creating) > 0 {
			m.finishCreation(0, true)
		}
		for i := range m.engines {
			m.engines[i].State = endpoint.Ready
		}
		m.announceAll()
		m.advance(time.Second)
		m.check(t)
	}
	if len(m.cell.grants) != 0 || len(m.cell.items) != 0 || len(m.cell.suspects.running) != 0 || len(m.holdings) != 0 {
		t.Fatalf("left: grants %v, items %v, fingerprints %v, holdings %v",
			allKeys(m.cell.grants), allKeys(m.cell.items), m.cell.suspects.running, m.holdings)
	}
	for _, r := range m.cell.order {
		if r.reserved != 0 || r.queuedPrefill() != 0 {
			t.Fatalf("%s still has %d tokens reserved and %v to prefill", r.name, r.reserved, r.queuedPrefill())
		}
	}
	for _, it := range m.items {
		select {
		case <-it.done:
		default:
			t.Fatalf("ticket of %s never ended", it.request.AttemptID)
		}
	}
}

// Guards against reserved memory that is never released, engines granted over their memory, attempts
// with two grants and tickets that never end, whatever order, loss or repetition of calls and events.
func TestCellUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{config: testConfig(), now: epoch, holdings: map[string]string{}, given: map[string]Grant{}}
		for i, memory := range []int{1000, 1000, 1000, 2500} {
			m.engines = append(m.engines, engine(i, memory))
		}
		m.cell = newCell(testCell, &m.config, m.now)
		m.announceAll()
		attempt := func(t *rapid.T) string {
			return fmt.Sprintf("a%d", rapid.IntRange(max(0, m.next-12), m.next).Draw(t, "attempt"))
		}
		pick := rapid.IntRange(0, len(m.engines)-1)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				m.next++
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
				if want != "" && want != reply.Status && (want != Granted || len(m.cell.calls) == 0) {
					t.Fatalf("the estimate of %s was %s, the reservation is %s", id, want, reply.Status)
				}
				m.settle()
				m.record(t, id, reply)
			},
			"await": func(t *rapid.T) {
				id := attempt(t)
				done := m.cell.beginAwait(m.now, id)
				if rapid.Bool().Draw(t, "long") {
					m.advance(time.Second)
				}
				m.record(t, id, m.cell.endAwait(m.now, id, done != nil))
			},
			"report": func(t *rapid.T) {
				m.cell.report(m.now, Event{
					Cell: testCell, Grant: attempt(t), Type: rapid.SampledFrom(machineEvents).Draw(t, "event"),
					Elapsed: time.Second, OutputTokens: 20, Prefilled: rapid.Bool().Draw(t, "prefilled"),
				})
				m.settle()
			},
			"announce": func(t *rapid.T) {
				i := pick.Draw(t, "engine")
				m.engines[i].State = rapid.SampledFrom([]endpoint.State{endpoint.Ready, endpoint.Draining, endpoint.Leaving}).Draw(t, "state")
				m.cell.announce(m.now, m.engines[i])
				m.settle()
			},
			"announce all": func(*rapid.T) { m.announceAll() },
			"restart":      func(t *rapid.T) { m.restart(pick.Draw(t, "engine")) },
			"created": func(t *rapid.T) {
				if len(m.creating) == 0 {
					t.Skip("no group is being created")
				}
				m.finishCreation(rapid.IntRange(0, len(m.creating)-1).Draw(t, "call"), rapid.Bool().Draw(t, "succeeded"))
			},
			"time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"stall": func(*rapid.T) {
				m.now = m.now.Add(20 * time.Second)
				m.cell.tick(m.now)
				m.settle()
			},
			"replace": func(*rapid.T) { m.replace() },
			"":        func(t *rapid.T) { m.check(t) },
		})
		m.finish(t)
	})
}
