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

// referenceCost computes the cost of a replica from all grants of the cell, in quadratic time, and reports
// whether the replica can start the work now.
func referenceCost(c *cell, now time.Time, res *reservation, r *replica) (cost float64, starts bool) {
	rate := r.announcement.Load.PrefillRate / r.rateCorrection
	cachedBlocks := 0
	for _, block := range res.request.Blocks {
		if c.prefixIndex.Match([]uint64{block}, nil)[r.indexSlot] == 0 {
			break
		}
		cachedBlocks++
	}
	cached := max(0, min(cachedBlocks*prefix.BlockTokens, res.request.PromptTokens-1))
	prefillSeconds := float64(res.request.PromptTokens-cached) / rate
	ahead, delayedPrefills, delayedStreams, laterPrefill, chunk, reserved := r.externalPrefill, 0.0, 0.0, 0.0, 0.0, 0
	for _, g := range c.grants {
		for _, p := range g.parts {
			if p.replica != r {
				continue
			}
			weight := c.settings.OthersWeight.of(g.class)
			reserved += p.tokens
			switch {
			case g.prefilled:
				delayedStreams += weight
			case g.priority <= res.priority:
				ahead += p.remaining
			default:
				delayedPrefills += weight
				laterPrefill += p.remaining
				chunk = max(chunk, min(p.remaining, float64(c.settings.ChunkTokens))*float64(min(2, len(g.parts))))
			}
		}
	}
	ahead += chunk
	ttft := ahead/rate + prefillSeconds
	fits := r.announcement.Memory-reserved-max(r.externalUsed, r.unmatchedHeld) >= res.tokens
	withinHeadroom := ahead/rate <= c.settings.Headroom.Seconds()+float64(cached)/rate
	completion := ahead/rate*waitMargin + prefillSeconds + float64(res.request.MaxTokens)*c.outputShare/c.settings.DecodeRate
	for _, g := range c.grants {
		for _, p := range g.parts {
			if p.replica != r || g.prefilled || g.priority <= res.priority {
				continue
			}
			needs := r.externalPrefill/rate + g.decodeSeconds
			for _, other := range r.parts {
				if !other.grant.prefilled && other.grant.priority <= g.priority {
					needs += other.remaining / rate
				}
			}
			slack := g.deadline.Sub(now).Seconds() - needs
			fits = fits && (slack < 0 || slack >= prefillSeconds+overtakeMargin*needs)
		}
	}
	occupied := make(map[string]bool)
	for _, g := range c.grants {
		for _, p := range g.parts {
			occupied[p.replica.name] = occupied[p.replica.name] || (!g.prefilled && g.class != Short)
		}
	}
	idle := 0
	for _, other := range c.sortedReplicas {
		if !occupied[other.name] {
			idle++
		}
	}
	if res.class != Short && !occupied[r.name] && idle <= int(c.settings.ShortReserve*float64(len(c.sortedReplicas))) {
		return 0, false
	}
	if h := c.hold; h != nil && slices.Contains(h.members, r) {
		latest := now.Add(seconds(ttft + float64(res.request.MaxTokens)/c.settings.DecodeRate))
		fits = fits && !latest.After(h.start)
	}
	chunkSeconds := float64(c.settings.ChunkTokens) / rate
	slowdown := min(laterPrefill/rate, chunkSeconds*min(float64(res.request.MaxTokens), c.meanOutputTokens))
	cost = (ttft+slowdown*c.settings.DecodeWeight)*c.settings.OwnWeight.of(res.class) + prefillSeconds*delayedPrefills +
		min(prefillSeconds, chunkSeconds*max(1, c.meanOutputTokens))*c.settings.DecodeInterference*delayedStreams
	return cost, fits && withinHeadroom && completion <= res.deadline.Sub(now).Seconds()
}

// Guards against sorted queues, counters and bit maps that lead to another choice than plain sums over all
// grants.
func TestRoutingAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.Settings = rapid.SampledFrom([]Settings{DefaultSettings(), LongPromptSettings(), ShortSlowdownSettings()}).Draw(t, "settings")
		config.Settings.ShortReserve = rapid.SampledFrom([]float64{0, 0.25, 0.5}).Draw(t, "reserve")
		c, now := testCellWith(config), epoch
		for i := range rapid.IntRange(1, 5).Draw(t, "replicas") {
			a := engine(i, rapid.IntRange(50_000, 400_000).Draw(t, "memory"))
			a.Load.PrefillRate = float64(rapid.IntRange(1000, 20_000).Draw(t, "rate"))
			c.announce(now, a)
			c.prefixIndex.Store(c.sortedReplicas[i].indexSlot, []uint64{1, 2, 3, 4}[:rapid.IntRange(0, 4).Draw(t, "blocks")])
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			length := rapid.SampledFrom([]int{100, 2000, 30_000, 120_000}).Draw(t, "length")
			r := request(fmt.Sprintf("a%d", i), length+rapid.IntRange(0, 99).Draw(t, "extra"), rapid.IntRange(1, 2000).Draw(t, "max"))
			r.Blocks = []uint64{1, 2, 3, 4, 5}[:min(length/prefix.BlockTokens, 5)]
			r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			r.TimeLeft = time.Duration(rapid.IntRange(1, 60).Draw(t, "left")) * time.Second
			res := c.newReservation(now, r)
			rule := c.suspects.placementRule(0, len(c.sortedReplicas))
			got := c.chooseReplica(now, res, &rule)
			lowest, chosen := math.Inf(1), math.Inf(1)
			for _, replica := range c.sortedReplicas {
				cost, starts := referenceCost(c, now, res, replica)
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
				c.meanOutputTokens, c.outputShare = float64(i), float64(i%5)/4
			}
		}
	})
}

// Guards against refusals without cause and against missing ones. Each case is one reservation in a cell of
// two engines with 100,000 tokens each, after discoveryTime.
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
		"quarantined":           {func(c *cell, r *ReserveRequest) { c.quarantine(epoch, r.Fingerprint) }, Refused, Quarantined},
		"the workspace's limit": {func(c *cell, r *ReserveRequest) { c.queue.perWorkspace[r.Workspace] = 512; c.fillMemory() }, Refused, Overloaded},
		"memory taken":          {func(c *cell, _ *ReserveRequest) { c.fillMemory() }, Queued, ""},
		"an operator's drain":   {func(c *cell, _ *ReserveRequest) { c.setStates(endpoint.Ready, true) }, Queued, ""},
		"larger ones waiting":   {func(c *cell, _ *ReserveRequest) { c.queueLargeRequests() }, Granted, ""},
		"too long an output":    {func(c *cell, r *ReserveRequest) { c.outputShare, r.MaxTokens = 0.5, 8000 }, Refused, TooLate},
		"overtakes late ones":   {func(c *cell, _ *ReserveRequest) { c.grantTightDeadlines() }, Queued, ""},
		"adapter not loaded":    {func(_ *cell, r *ReserveRequest) { r.Adapter = "fine" }, Queued, ""},
		"adapter loaded": {func(c *cell, r *ReserveRequest) {
			r.Adapter = "fine"
			c.replicas["engine-001"].announcement.Adapters = []string{"fine"}
		}, Granted, ""},
		"leaving": {func(c *cell, _ *ReserveRequest) { c.setStates(endpoint.Leaving, false) }, Queued, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := testCellWith(testConfig())
			now := epoch.Add(discoveryTime)
			c.announce(now, engine(0, 100_000))
			c.announce(now, engine(1, 100_000))
			r := request("a", 1000, 100)
			r.Fingerprint = 7
			test.change(c, &r)
			reply := c.reserve(now, r)
			is.Equal(reply.Status, test.status)
			is.Equal(reply.Reason, test.reason)
			is.Equal(c.reserve(now, r).Status, reply.Status) // a repeated call has the same result
		})
	}
}

func (c *cell) grantPriority(attempt string) int64 {
	if g := c.grants[attempt]; g != nil {
		return g.Priority
	}
	return 0
}

func (c *cell) fillMemory() {
	for _, r := range c.sortedReplicas {
		r.externalUsed = r.announcement.Memory
	}
}

// queueLargeRequests queues more reservations that wait for memory than one event tries to place.
func (c *cell) queueLargeRequests() {
	for i, r := range c.sortedReplicas {
		r.externalUsed = r.announcement.Memory / 2
		for j := range maxTriesPerEvent {
			large := request(fmt.Sprintf("large-%d-%d", i, j), 80_000, 10)
			large.Workspace = large.AttemptID
			c.reserve(c.createdAt, large)
		}
	}
}

// grantTightDeadlines gives each replica a long prompt that has only just enough time left.
func (c *cell) grantTightDeadlines() {
	for _, r := range c.sortedReplicas {
		long := request("long-"+r.name, 60_000, 10)
		long.TimeLeft = 6200 * time.Millisecond
		c.reserve(c.createdAt.Add(discoveryTime), long)
	}
}

func (c *cell) setStates(state endpoint.State, operator bool) {
	for _, r := range c.sortedReplicas {
		r.announcement.State, r.drained = state, operator
	}
}

// Guards against a loss of goodput when requests arrive at three times the capacity: requests that miss their
// deadline would use up the engine's time.
func TestOverloadKeepsGoodput(t *testing.T) {
	is := is.New(t)
	// One engine takes 70 to 190 ms for a request, 100 ms by its reported rate. Each request has a time
	// limit of 2 s.
	goodput := func(perSecond int, admitEverything bool) int {
		config := testConfig()
		c := testCellWith(config)
		var queue []string
		deadlines, grantedAt := map[string]time.Time{}, map[string]time.Time{}
		metDeadline, next := 0, 0
		running, busyUntil := "", time.Time{}
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
				if admitEverything || c.reserve(now, r).Status == Granted {
					queue = append(queue, id)
					grantedAt[id] = now
				}
			}
			if ms%100 == 0 {
				c.tick(now)
			}
			for _, id := range allKeys(c.reservations) {
				if c.endAwait(now, id, false).Status == Granted {
					queue = append(queue, id)
					grantedAt[id] = now
				}
			}
			if running != "" && !now.Before(busyUntil) {
				if !now.After(deadlines[running]) {
					metDeadline++
				}
				c.report(now, Event{Cell: testCell, Grant: running, Type: FirstToken, Elapsed: now.Sub(grantedAt[running])})
				c.report(now, Event{Cell: testCell, Grant: running, Type: Finished})
				running = ""
			}
			if running == "" && len(queue) > 0 {
				slices.SortStableFunc(queue, func(a, b string) int { return cmp.Compare(c.grantPriority(a), c.grantPriority(b)) })
				running, queue = queue[0], queue[1:]
				busyUntil = now.Add(time.Duration(70+(next*37+ms*13)%121) * time.Millisecond)
				c.report(now, Event{Cell: testCell, Grant: running, Type: KeepAlive})
			}
		}
		return metDeadline
	}
	peak := max(goodput(8, false), goodput(10, false))
	admitAll := goodput(25, true)
	got := goodput(25, false)
	t.Logf("in time within 60 s: %d at the peak, %d at three times capacity, %d with a queue that refuses nothing", peak, got, admitAll)
	is.True(admitAll < peak/2)
	is.True(got >= peak*9/10)
}
