package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/matryer/is"
)

// Guards against requests that are cancelled, granted memory that is no longer counted and endpoints that
// count as dead when the number of cells changes while single requests and groups run.
func TestGrantsFollowTheirEndpoints(t *testing.T) {
	is := is.New(t)
	g := newCellGroup(1)
	now := epoch
	announce := func() {
		for i := range 8 {
			a := engine(i, 1000)
			if i == 0 {
				a.Load = endpoint.Load{PrefillRate: 10_000, QueuedPrefill: 10} // only this engine reports queued prefill
			}
			g.announce(now, a)
		}
	}
	announce()
	// One group of four engines, and four single requests.
	first := g.cell(now, testCell)
	grants := map[string]Grant{}
	is.Equal(first.reserve(now, request("group", 3700, 300)).Status, Queued)
	creation := first.pendingCalls[0].(createCall)
	first.pendingCalls = nil
	is.True(first.holdingsCreated(now, creation.grant, true))
	grants["group"] = first.endAwait(now, "group", false).Grant
	for i := range 4 {
		id := fmt.Sprint("single-", i)
		reply := first.reserve(now, request(id, 300, 100))
		is.Equal(reply.Status, Granted)
		grants[id] = reply.Grant
	}
	reservedTokens := func(name string) (count int) {
		for _, c := range g.cells {
			if r := c.replicas[name]; r != nil && !r.moved {
				count += r.reservedTokens
			}
		}
		return count
	}
	before := map[string]int{}
	for i := range 8 {
		before[engine(i, 0).Name] = reservedTokens(engine(i, 0).Name)
	}
	// advance lets 10 s pass with announcements and events, and returns the number of cancellations, deletions
	// and quarantines that the cells scheduled.
	advance := func() (harmful int) {
		for step := range 100 {
			now = now.Add(100 * time.Millisecond)
			if step%10 == 0 {
				announce()
				for id, grant := range grants {
					cells := map[string]bool{}
					for _, m := range grant.Members {
						cells[CellForEndpoint(testCell, m.Endpoint, g.count)] = true
					}
					for name := range cells {
						g.cell(now, name).report(now, Event{Cell: name, Grant: id, Type: KeepAlive, Members: grant.Members, PromptTokens: 10})
					}
				}
			}
			for _, c := range g.cells {
				c.tick(now)
				for _, next := range c.pendingCalls {
					switch next.(type) {
					case cancelCall, deleteCall, quarantineCall:
						harmful++
					}
				}
				c.pendingCalls = nil
			}
		}
		return harmful
	}
	for _, count := range []int{2, 3, 1, 2} {
		g.count = count
		is.Equal(advance(), 0)
		for i := range 8 {
			name := engine(i, 0).Name
			is.Equal(reservedTokens(name), before[name])
			is.True(g.cell(now, CellForEndpoint(testCell, name, count)).replicas[name].announced)
		}
		for _, c := range g.cells {
			is.Equal(len(c.suspects.byFingerprint), 0)
			for _, r := range c.sortedReplicas {
				is.True(!r.moved || len(r.parts) > 0 || now.Sub(r.lastSeen) <= endpoint.DeadAfter)
			}
		}
	}
	// Without reports of their entry, the grants end in all cells.
	clear(grants)
	is.True(advance() > 0)
	for _, c := range g.cells {
		is.Equal(len(c.grants), 0)
	}
}
