package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// plainCost computes the cost of a replica from all grants of the cell, and whether it can start the
// work now. It is the quadratic side of the differential test.
func plainCost(c *cell, now time.Time, it *item, r *replica) (cost float64, starts bool) {
	rate := r.announcement.Load.PrefillRate / r.correction
	hit := 0
	for _, block := range it.request.Blocks {
		if c.index.Match([]uint64{block}, nil)[r.slot] == 0 {
			break
		}
		hit++
	}
	cached := max(0, min(hit*prefix.BlockTokens, it.request.PromptTokens-1))
	own := float64(it.request.PromptTokens-cached) / rate
	ahead, queued, streams, later, chunk, reserved := r.foreignPrefill, 0.0, 0.0, 0.0, 0.0, 0
	for _, g := range c.grants {
		for _, p := range g.parts {
			if p.replica != r {
				continue
			}
			weight := c.settings.OthersWeight.of(g.class)
			reserved += p.tokens
			switch {
			case g.prefilled:
				streams += weight
			case g.key <= it.key:
				ahead += p.remaining
			default:
				queued += weight
				later += p.remaining
				chunk = max(chunk, min(p.remaining, float64(c.settings.ChunkTokens))*float64(min(2, len(g.parts))))
			}
		}
	}
	ahead += chunk
	first := ahead/rate + own
	fits := r.announcement.Memory-reserved-max(r.foreignUsed, r.foreignHeld) >= it.tokens
	soon := ahead/rate <= c.settings.Headroom.Seconds()+float64(cached)/rate
	done := ahead/rate*waitMargin + own + float64(it.request.MaxTokens)*c.outputShare/c.settings.DecodeRate
	for _, g := range c.grants {
		for _, p := range g.parts {
			if p.replica != r || g.prefilled || g.key <= it.key {
				continue
			}
			needs := r.foreignPrefill/rate + g.decode
			for _, other := range r.parts {
				if !other.grant.prefilled && other.grant.key <= g.key {
					needs += other.remaining / rate
				}
			}
			slack := g.deadline.Sub(now).Seconds() - needs
			fits = fits && (slack < 0 || slack >= own+overtakeMargin*needs)
		}
	}
	occupied := make(map[string]bool)
	for _, g := range c.grants {
		for _, p := range g.parts {
			occupied[p.replica.name] = occupied[p.replica.name] || (!g.prefilled && g.class != Short)
		}
	}
	idle := 0
	for _, other := range c.order {
		if !occupied[other.name] {
			idle++
		}
	}
	if it.class != Short && !occupied[r.name] && idle <= int(c.settings.ShortReserve*float64(len(c.order))) {
		return 0, false
	}
	if h := c.hold; h != nil && slices.Contains(h.members, r) {
		latest := now.Add(seconds(first + float64(it.request.MaxTokens)/c.settings.DecodeRate))
		fits = fits && !latest.After(h.start)
	}
	step := float64(c.settings.ChunkTokens) / rate
	slower := min(later/rate, step*min(float64(it.request.MaxTokens), c.meanOutput))
	cost = (first+slower*c.settings.DecodeWeight)*c.settings.OwnWeight.of(it.class) + own*queued +
		min(own, step*max(1, c.meanOutput))*c.settings.DecodeInterference*streams
	return cost, fits && soon && done <= it.deadline.Sub(now).Seconds()
}

// Guards against a choice that the sorted queues, counters and bit maps make and a plain sum over all
// grants does not.
func TestRoutingAgainstPlainSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.Settings = rapid.SampledFrom([]Settings{DefaultSettings(), LongPromptSettings(), ShortSlowdownSettings()}).Draw(t, "settings")
		config.Settings.ShortReserve = rapid.SampledFrom([]float64{0, 0.25, 0.5}).Draw(t, "reserve")
		c, now := testCellWith(config), epoch
		for i := range rapid.IntRange(1, 5).Draw(t, "replicas") {
			a := engine(i, rapid.IntRange(50_000, 400_000).Draw(t, "memory"))
			a.Load.PrefillRate = float64(rapid.IntRange(1000, 20_000).Draw(t, "rate"))
			c.announce(now, a)
			c.index.Store(c.order[i].slot, []uint64{1, 2, 3, 4}[:rapid.IntRange(0, 4).Draw(t, "blocks")])
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			length := rapid.SampledFrom([]int{100, 2000, 30_000, 120_000}).Draw(t, "length")
			r := request(fmt.Sprintf("a%d", i), length+rapid.IntRange(0, 99).Draw(t, "extra"), rapid.IntRange(1, 2000).Draw(t, "max"))
			r.Blocks = []uint64{1, 2, 3, 4, 5}[:min(length/prefix.BlockTokens, 5)]
			r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			r.TimeLeft = time.Duration(rapid.IntRange(1, 60).Draw(t, "left")) * time.Second
			it := c.newItem(now, r)
			where := c.suspects.placement(0, len(c.order))
			got := c.choose(now, it, &where)
			lowest, chosen := math.Inf(1), math.Inf(1)
			for _, replica := range c.order {
				cost, starts := plainCost(c, now, it, replica)
				if !starts {
					continue
				}
				lowest = min(lowest, cost)
				if replica == got.replica {
					chosen = cost
				}
			}
			if (got.replica == nil) != math.IsInf(lowest, 1) || (got.replica != nil && chosen > lowest+1e-9) {
				t.Fatalf("request %d: chose %+v at %v, the lowest cost is %v", i, got.replica, chosen, lowest)
			}
			c.reserve(now, r)
			if rapid.Bool().Draw(t, "first token") {
				id := fmt.Sprintf("a%d", rapid.IntRange(0, i).Draw(t, "attempt"))
				c.report(now, Event{Cell: testCell, Grant: id, Type: FirstToken, Elapsed: time.Second})
				c.meanOutput, c.outputShare = float64(i), float64(i%5)/4
			}
		}
	})
}

// Guards against a refusal without cause and against one that comes too late: each case is one
// reservation in a cell of two engines with 100,000 tokens, past the time of the first announcements.
func TestReserveResults(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*cell, *ReserveRequest)
		status Status
		reason Reason
	}{
		"an idle cell":          {func(*cell, *ReserveRequest) {}, Granted, ""},
		"time too short":        {func(_ *cell, r *ReserveRequest) { r.TimeLeft = time.Millisecond }, Refused, TooLate},
		"larger than all":       {func(_ *cell, r *ReserveRequest) { r.MaxTokens = 200_000 }, Refused, TooLarge},
		"a group":               {func(_ *cell, r *ReserveRequest) { r.MaxTokens = 150_000 }, Queued, ""},
		"all tried":             {func(_ *cell, r *ReserveRequest) { r.Exclude = []string{"engine-000", "engine-001"} }, Refused, NoEndpoint},
		"quarantined":           {func(c *cell, r *ReserveRequest) { c.quarantine(epoch, r.Fingerprint) }, Refused, Quarantine},
		"the workspace's limit": {func(c *cell, r *ReserveRequest) { c.queue.perWorkspace[r.Workspace] = 512; c.fill() }, Refused, Overloaded},
		"memory taken":          {func(c *cell, _ *ReserveRequest) { c.fill() }, Queued, ""},
		"an operator's drain":   {func(c *cell, _ *ReserveRequest) { c.drainAll(endpoint.Ready, true) }, Queued, ""},
		"larger ones waiting":   {func(c *cell, _ *ReserveRequest) { c.crowd() }, Granted, ""},
		"too long an output":    {func(c *cell, r *ReserveRequest) { c.outputShare, r.MaxTokens = 0.5, 8000 }, Refused, TooLate},
		"overtakes late ones":   {func(c *cell, _ *ReserveRequest) { c.crowdDeadlines() }, Queued, ""},
		"adapter not loaded":    {func(_ *cell, r *ReserveRequest) { r.Adapter = "fine" }, Queued, ""},
		"adapter loaded": {func(c *cell, r *ReserveRequest) {
			r.Adapter = "fine"
			c.replicas["engine-001"].announcement.Adapters = []string{"fine"}
		}, Granted, ""},
		"leaving": {func(c *cell, _ *ReserveRequest) { c.drainAll(endpoint.Leaving, false) }, Queued, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := testCellWith(testConfig())
			now := epoch.Add(patience)
			c.announce(now, engine(0, 100_000))
			c.announce(now, engine(1, 100_000))
			r := request("a", 1000, 100)
			r.Fingerprint = 7
			test.change(c, &r)
			reply := c.reserve(now, r)
			is.Equal(reply.Status, test.status)
			is.Equal(reply.Reason, test.reason)
			is.Equal(c.reserve(now, r).Status, reply.Status) // the same call again has the same result
		})
	}
}

func (c *cell) priority(attempt string) int64 {
	if g := c.grants[attempt]; g != nil {
		return g.Priority
	}
	return 0
}

func (c *cell) fill() {
	for _, r := range c.order {
		r.foreignUsed = r.announcement.Memory
	}
}

// crowd has more reservations wait for memory than one event tries to place.
func (c *cell) crowd() {
	for i, r := range c.order {
		r.foreignUsed = r.announcement.Memory / 2
		for j := range eventScan {
			large := request(fmt.Sprintf("large-%d-%d", i, j), 80_000, 10)
			large.Workspace = large.AttemptID
			c.reserve(c.created, large)
		}
	}
}

// crowdDeadlines gives each replica a long prompt that has just the time it needs.
func (c *cell) crowdDeadlines() {
	for _, r := range c.order {
		long := request("long-"+r.name, 60_000, 10)
		long.TimeLeft = 6200 * time.Millisecond
		c.reserve(c.created.Add(patience), long)
	}
}

func (c *cell) drainAll(state endpoint.State, operator bool) {
	for _, r := range c.order {
		r.announcement.State, r.drained = state, operator
	}
}

// Guards against work that takes an engine's time and then misses its deadline, and against the loss
// of goodput that follows, when three times as much arrives as the cell can do.
func TestOverloadKeepsGoodput(t *testing.T) {
	is := is.New(t)
	// One engine takes 70 to 190 ms for a request, 100 ms by its own figure; each request has 2 s.
	goodput := func(perSecond int, keepAll bool) int {
		config := testConfig()
		c := testCellWith(config)
		var queue []string
		deadlines, granted := map[string]time.Time{}, map[string]time.Time{}
		inTime, next := 0, 0
		working, until := "", time.Time{}
		for ms := range 60_000 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if ms%1000 == 0 {
				c.announce(now, engine(0, 100_000))
			}
			if ms%(1000/perSecond) == 0 {
				id := fmt.Sprintf("a%d", next)
				next++
				r := request(id, 1000, 1)
				r.TimeLeft = 2 * time.Second
				deadlines[id] = now.Add(r.TimeLeft)
				if keepAll || c.reserve(now, r).Status == Granted {
					queue = append(queue, id)
					granted[id] = now
				}
			}
			if ms%100 == 0 {
				c.tick(now)
			}
			for _, id := range allKeys(c.items) {
				if c.endAwait(now, id, false).Status == Granted {
					queue = append(queue, id)
					granted[id] = now
				}
			}
			if working != "" && !now.Before(until) {
				if !now.After(deadlines[working]) {
					inTime++
				}
				c.report(now, Event{Cell: testCell, Grant: working, Type: FirstToken, Elapsed: now.Sub(granted[working])})
				c.report(now, Event{Cell: testCell, Grant: working, Type: Finished})
				working = ""
			}
			if working == "" && len(queue) > 0 {
				slices.SortStableFunc(queue, func(a, b string) int { return cmp.Compare(c.priority(a), c.priority(b)) })
				working, queue = queue[0], queue[1:]
				until = now.Add(time.Duration(70+(next*37+ms*13)%121) * time.Millisecond)
				c.report(now, Event{Cell: testCell, Grant: working, Type: Alive})
			}
		}
		return inTime
	}
	peak := max(goodput(8, false), goodput(10, false))
	naive := goodput(25, true)
	got := goodput(25, false)
	t.Logf("in time within 60 s: %d at the peak, %d at three times capacity, %d with a queue that refuses nothing", peak, got, naive)
	is.True(naive < peak/2)
	is.True(got >= peak*9/10)
}
