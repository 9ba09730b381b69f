package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

const (
	// taintedCost, in seconds, keeps work from replicas that would be ejected if that did not exceed
	// half of the cell, as long as another one can start it.
	taintedCost = 1e6
	// waitMargin multiplies estimated waits before they are compared with the time left. Without it a
	// full queue grants everything at the last moment, and an estimate that is too low wastes the
	// engine's time: with service times of 0.7 to 1.9 of the estimate, 361 requests a minute were in time
	// at three times capacity, 446 with it.
	waitMargin = 1.25
	// minRetryAfter and maxRetryAfter bound the wait that a refusal asks for.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// outcome is the result of one try to place a reservation: a grant, a refusal, or neither when it has
// to wait.
type outcome struct {
	granted *grant
	refusal *ReserveReply
	// memory says that it waits for memory, safety that it waits for a replica without other suspects.
	memory bool
	safety bool
}

// choice is the best replica for a reservation that fits one replica.
type choice struct {
	replica *replica
	cost    float64
	// first and prefill are the expected time to first token and the uncached tokens.
	first   float64
	prefill float64
	hit     int
	// eligible counts the replicas that could ever run it, excluded those that were already tried.
	eligible, excluded int
	// service is the shortest time that any eligible replica needs without waiting.
	service        float64
	memory, safety bool
	// spare says that replicas without a prefill of a medium or long prompt are left to short ones.
	spare bool
}

// place tries to grant a reservation now.
func (c *cell) place(now time.Time, it *item) outcome {
	fingerprint := it.request.Fingerprint
	if now.Before(it.notBefore) {
		return outcome{}
	}
	if c.quarantined(now, fingerprint) {
		reply := refuse(Quarantine, 0, "the request crashed endpoints before and is quarantined")
		return outcome{refusal: &reply}
	}
	if c.suspects.mustWait(fingerprint) {
		return outcome{safety: true}
	}
	usable, largest := c.capacity()
	where := c.suspects.placement(fingerprint, usable)
	if largest > 0 && it.tokens > largest {
		return c.placeGroup(now, it, &where)
	}
	best := c.choose(now, it, &where)
	if best.replica != nil {
		return outcome{granted: c.grantSingle(now, it, &best)}
	}
	return c.notPlaced(now, it, &best)
}

// capacity returns the number of replicas that may get work and the memory of the largest engine.
func (c *cell) capacity() (usable, largest int) {
	for _, r := range c.order {
		if !r.takesWork() {
			continue
		}
		if r.engine() {
			largest = max(largest, r.announcement.Memory)
		}
		if !r.ejected {
			usable++
		}
	}
	return usable, largest
}

// notPlaced decides between waiting and refusal for a reservation that no replica can start.
func (c *cell) notPlaced(now time.Time, it *item, best *choice) outcome {
	if best.eligible > 0 || best.safety {
		it.service = 0
		if best.eligible > 0 {
			it.service = seconds(best.service)
		}
		if now.Add(it.service).After(it.deadline) {
			reply := c.tooLate(it, 0, it.service)
			return outcome{refusal: &reply}
		}
		return outcome{memory: best.memory, safety: best.safety}
	}
	if best.excluded > 0 {
		reply := refuse(NoEndpoint, minRetryAfter, "all %d ready endpoints of cell %s were tried", best.excluded, c.name)
		return outcome{refusal: &reply}
	}
	if now.Sub(c.ready) < patience {
		return outcome{}
	}
	reply := refuse(NoEndpoint, minRetryAfter, "cell %s has no ready endpoint", c.name)
	return outcome{refusal: &reply}
}

// choose returns the replica with the lowest cost among those that can start the work now and are
// expected to finish it in time. The cost in seconds is the own expected time to first token times its
// weight, plus the delay added to each request already there times its weight.
func (c *cell) choose(now time.Time, it *item, where *placement) choice {
	best := choice{cost: math.Inf(1), service: math.Inf(1)}
	request := &it.request
	if len(request.Blocks) > 0 {
		c.hits = c.index.Match(request.Blocks, c.hits)
	}
	left := it.deadline.Sub(now).Seconds()
	best.spare = it.class != Short && c.reserveReached()
	restricted := where.suspect || where.only != nil
	for _, r := range c.order {
		if !r.takesWork() || r.ejected || !r.has(request.Adapter) {
			continue
		}
		if slices.Contains(request.Exclude, r.name) {
			best.excluded++
			continue
		}
		if restricted && !where.allows(r) {
			best.safety = true
			continue
		}
		if !r.engine() {
			c.considerService(&best, r)
			continue
		}
		if r.announcement.Memory < it.tokens {
			continue
		}
		hit := 0
		if len(request.Blocks) > 0 {
			hit = c.hits[r.slot]
		}
		c.considerEngine(&best, now, it, r, hit, left)
	}
	return best
}

// reserveReached says whether no more replicas may take their first prefill of a medium or long prompt.
// Beside such a prefill a short one waits for the chunk that runs.
func (c *cell) reserveReached() bool {
	engines, idle := 0, 0
	for _, r := range c.order {
		if !r.takesWork() || !r.engine() || r.ejected {
			continue
		}
		engines++
		if r.occupied == 0 {
			idle++
		}
	}
	return idle <= int(c.settings.ShortReserve*float64(engines))
}

// considerService takes a plain service with fewer requests in flight than the best so far.
func (c *cell) considerService(best *choice, r *replica) {
	best.eligible++
	best.service = 0
	if len(r.parts) >= c.settings.ServiceConcurrency {
		return
	}
	best.take(r, float64(len(r.parts)), 0, 0, 0)
}

func (c *cell) considerEngine(best *choice, now time.Time, it *item, r *replica, hit int, left float64) {
	best.eligible++
	r.advance(now, c.settings)
	rate := r.prefillRate(c.settings)
	cached := min(hit*prefix.BlockTokens, it.request.PromptTokens-1)
	prefill := float64(it.request.PromptTokens - max(0, cached))
	own := prefill / rate
	decode := c.expectedDecode(it, r)
	best.service = min(best.service, own+decode)
	d := c.delays(r, it.key, rate)
	first := d.wait + own
	if r.free() < it.tokens {
		best.memory = true
		return
	}
	// A replica that holds the prefix may be waited for as long as the hit saves.
	if d.wait > c.settings.Headroom.Seconds()+float64(max(0, cached))/rate || d.wait*waitMargin+own+decode > left {
		return
	}
	if c.heldBack(now, it, r, first) {
		best.memory = true
		return
	}
	if (best.spare && r.occupied == 0) || r.wouldMiss(now, it.key, own, rate) {
		return
	}
	chunk := float64(c.settings.ChunkTokens) / rate
	slower := min(d.later, min(float64(it.request.MaxTokens), c.meanOutput)*chunk)
	cost := (first + slower*c.settings.DecodeWeight) * c.settings.OwnWeight.of(it.class)
	cost += own*d.queued + min(own, max(1, c.meanOutput)*chunk)*c.settings.DecodeInterference*d.streams
	best.take(r, cost, first, prefill, hit)
}

// delays is what work at a replica waits for and whom it delays.
type delays struct {
	// wait is the time in seconds before its prefill starts, later that of the prefills after it.
	wait, later float64
	// queued is the weighted number of prefills that it delays. streams is that of running streams, of
	// which each token waits for at most one chunk.
	queued, streams float64
}

func (c *cell) delays(r *replica, key int64, rate float64) delays {
	var d delays
	ahead, chunk := r.foreignPrefill, 0.0
	for _, p := range r.queued {
		if p.grant.key <= key {
			ahead += p.remaining
			continue
		}
		d.later += p.remaining / rate
		d.queued += c.settings.OthersWeight.of(p.grant.class)
		chunk = max(chunk, p.chunk(c.settings))
	}
	ahead += chunk
	for class, count := range r.decoding {
		d.streams += float64(count) * c.settings.OthersWeight.of(LengthClass(class))
	}
	d.wait = ahead / rate
	return d
}

// overtakeMargin is the share of the time that a grant still needs which work that overtakes it leaves
// free. At three times the capacity 7.4 % of the computed tokens were wasted without it, 4.6 % with it.
const overtakeMargin = 0.1

// wouldMiss says whether a prefill of the given seconds would make a later one miss its deadline that is
// expected to meet it without. Otherwise short work that keeps coming overtakes a long prefill until its
// time has passed.
func (r *replica) wouldMiss(now time.Time, key int64, own, rate float64) bool {
	ahead := r.foreignPrefill
	for _, p := range r.queued {
		ahead += p.remaining
		g := p.grant
		if g.key <= key || g.deadline.IsZero() {
			continue
		}
		needs := ahead/rate + g.decode
		slack := g.deadline.Sub(now).Seconds() - needs
		if slack >= 0 && slack < own+overtakeMargin*needs {
			return true
		}
	}
	return false
}

// take keeps the replica if it is cheaper; equal ones are used in turn.
func (b *choice) take(r *replica, cost, first, prefill float64, hit int) {
	if r.tainted {
		cost += taintedCost
	}
	if cost > b.cost || (cost == b.cost && !r.lastGrant.Before(b.replica.lastGrant)) {
		return
	}
	b.replica, b.cost, b.first, b.prefill, b.hit = r, cost, first, prefill, hit
}

// expectedDecode is the time in seconds that the completion is expected to take. The mean length of all
// completions does not serve here: at three times the capacity it let long completions start that could
// not be in time, and their streams wasted 24 % of the computed tokens.
func (c *cell) expectedDecode(it *item, r *replica) float64 {
	return float64(it.request.MaxTokens) * c.outputShare / r.streamRate(c.settings)
}

// latestEnd is when work that starts its prefill now ends at the latest.
func (c *cell) latestEnd(now time.Time, it *item, r *replica, first float64) time.Time {
	return now.Add(seconds(first + float64(it.request.MaxTokens)/r.streamRate(c.settings)))
}

func (c *cell) grantSingle(now time.Time, it *item, best *choice) *grant {
	r, request := best.replica, &it.request
	tokens := it.tokens
	if !r.engine() {
		tokens = 0
	}
	decode := c.expectedDecode(it, r)
	g := &grant{
		Grant: Grant{
			ID:           request.AttemptID,
			Members:      []GrantMember{{Endpoint: r.name, Address: r.announcement.Address, Tokens: tokens}},
			Priority:     it.key,
			Estimate:     seconds(best.first),
			CachedTokens: best.hit * prefix.BlockTokens,
		},
		class: it.class, key: it.key, workspace: request.Workspace, fingerprint: request.Fingerprint,
		blocks: request.Blocks, hit: best.hit, maxTokens: request.MaxTokens, granted: now, event: now,
		deadline: it.deadline, decode: decode,
		expected: now.Add(seconds(best.first + decode)), end: c.latestEnd(now, it, r, best.first),
	}
	g.parts = []*part{{grant: g, replica: r, tokens: tokens, prefill: best.prefill, remaining: best.prefill}}
	c.addGrant(now, g)
	return g
}

// admit decides whether a reservation that cannot start now may wait.
func (c *cell) admit(now time.Time, it *item) *ReserveReply {
	_, largest := c.capacity()
	limit := largest
	group := largest > 0 && it.tokens > largest
	if group {
		limit = math.MaxInt
	}
	wait := c.engineWait(now, it) + c.queue.ahead(it, now, limit)/c.serviceRate()
	if group {
		wait = max(wait, c.groupWait(now, it).Seconds())
	}
	it.estimate = seconds(wait) + it.service
	late := seconds(wait*waitMargin)+it.service > it.deadline.Sub(now)
	if late && now.Sub(c.created) >= patience {
		reply := c.tooLate(it, seconds(wait), it.service)
		return &reply
	}
	if c.queue.size < c.settings.QueueLimit &&
		c.queue.perWorkspace[it.request.Workspace] < c.settings.WorkspaceQueueLimit {
		return nil
	}
	after := min(maxRetryAfter, max(minRetryAfter, seconds(float64(c.queue.tokens)/c.serviceRate())))
	reply := refuse(Overloaded, after, "%d reservations wait in cell %s (limit %d), %d of workspace %s (limit %d)",
		c.queue.size, c.name, c.settings.QueueLimit, c.queue.perWorkspace[it.request.Workspace],
		it.request.Workspace, c.settings.WorkspaceQueueLimit)
	return &reply
}

// engineWait is the shortest wait in seconds at an engine, after the wait in the queue.
func (c *cell) engineWait(now time.Time, it *item) float64 {
	shortest := math.Inf(1)
	for _, r := range c.order {
		if r.takesWork() && r.engine() && !r.ejected {
			r.advance(now, c.settings)
			shortest = min(shortest, c.delays(r, it.key, r.prefillRate(c.settings)).wait)
		}
	}
	if math.IsInf(shortest, 1) {
		return 0
	}
	return shortest
}

func (c *cell) tooLate(it *item, wait, service time.Duration) ReserveReply {
	after := min(maxRetryAfter, max(minRetryAfter, wait))
	return refuse(TooLate, after, "the expected wait of %v and service of %v exceed the time left of the limit %v",
		wait.Round(time.Millisecond), service.Round(time.Millisecond), it.request.TimeLeft.Round(time.Millisecond))
}

// serviceRate is the rate in tokens a second at which the cell takes work from its queue.
func (c *cell) serviceRate() float64 {
	if c.drain.windows >= minDrainWindows {
		return max(1, c.drain.rate)
	}
	sum := 0.0
	for _, r := range c.order {
		if r.takesWork() && r.engine() {
			sum += r.prefillRate(c.settings)
		}
	}
	if sum == 0 {
		// Plain services and cells without endpoints have no rate before one is measured.
		return math.Inf(1)
	}
	return sum
}

// pump places waiting reservations in fair order until no more can start or limit were tried.
func (c *cell) pump(now time.Time, limit int) {
	if c.queue.size == 0 {
		return
	}
	c.scan++
	tried := 0
	if c.hold != nil {
		c.checkHold()
	}
	if c.hold != nil {
		c.try(now, c.hold.item)
		tried++
		c.releaseUseless()
	}
	for tried < limit {
		progress := false
		for _, f := range c.queue.order(now) {
			it := f.untried(c.scan)
			if it == nil {
				continue
			}
			progress = true
			tried++
			if c.try(now, it) || tried >= limit {
				break
			}
		}
		if !progress {
			return
		}
	}
}

// untried returns the first reservation of the flow that the scan has not tried.
func (f *flow) untried(scan uint64) *item {
	for _, it := range f.items {
		if it.scan != scan {
			return it
		}
	}
	return nil
}

// try places one waiting reservation and says whether it left the queue.
func (c *cell) try(now time.Time, it *item) bool {
	it.scan = c.scan
	result := c.place(now, it)
	it.safety = result.safety
	switch {
	case result.refusal != nil:
		c.resolve(now, it, *result.refusal)
		return true
	case result.granted != nil:
		c.drain.served += float64(it.cost)
		c.queue.serve(it)
		if c.hold != nil && c.hold.item == it {
			c.hold = nil
		}
		if !result.granted.creating {
			c.resolve(now, it, ReserveReply{Status: Granted, Grant: result.granted.Grant})
		}
		return true
	case result.memory && c.hold == nil:
		c.holdFor(now, it)
	}
	return false
}

// drainRate measures how many tokens a second leave the queue while it is not empty.
type drainRate struct {
	served  float64
	since   time.Time
	rate    float64
	windows int
}

const (
	drainWindow = time.Second
	// minDrainWindows is the number of measured seconds before the rate is used.
	minDrainWindows = 3
	drainSmoothing  = 0.3
)

func (d *drainRate) tick(now time.Time, waiting bool) {
	if !waiting || d.since.IsZero() {
		*d = drainRate{since: now, rate: d.rate}
		return
	}
	took := now.Sub(d.since)
	if took < drainWindow {
		return
	}
	rate := d.served / took.Seconds()
	if d.windows == 0 {
		d.rate = rate
	}
	d.rate += drainSmoothing * (rate - d.rate)
	d.served, d.since = 0, now
	d.windows++
}

func seconds(s float64) time.Duration {
	if s > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
