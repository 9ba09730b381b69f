package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

const (
	// unhealthyPenalty, in seconds, is added to the cost of unhealthy replicas that are not ejected because
	// half of the cell is ejected already. They get work only if no other replica can start it.
	unhealthyPenalty = 1e6
	// waitMargin multiplies estimated waits before they are compared with the time left. Without it a full
	// queue grants everything at the last moment, and an estimate that is too low wastes the engine's
	// time: with service times of 0.7 to 1.9 times the estimate at three times the capacity, 361 requests
	// per minute met their deadline without the margin and 446 with it.
	waitMargin = 1.25
	// minRetryAfter and maxRetryAfter limit the wait that a refusal asks for.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// outcome is the result of one attempt to place a reservation: a grant, a refusal, or neither if it has
// to wait.
type outcome struct {
	granted *grant
	refusal *ReserveReply
	// waitsForMemory and waitsForSafeReplica are why it has to wait: for free memory, or for a replica
	// without other suspects.
	waitsForMemory      bool
	waitsForSafeReplica bool
}

// choice is the best replica for a reservation that fits one replica, or why there is none.
type choice struct {
	replica *replica
	cost    float64
	// ttft is the expected time to first token in seconds, prefill the number of uncached tokens.
	ttft         float64
	prefill      float64
	cachedBlocks int
	// eligible counts the replicas that could run it at some time, excluded those already tried.
	eligible, excluded int
	// serviceTime is the shortest time in seconds that an eligible replica needs without waiting.
	serviceTime                         float64
	waitsForMemory, waitsForSafeReplica bool
	// leaveIdleForShort is true if replicas without a prefill of a medium or long prompt are reserved for
	// short prompts.
	leaveIdleForShort bool
}

// place tries to grant a reservation now.
func (c *cell) place(now time.Time, res *reservation) outcome {
	fingerprint := res.request.Fingerprint
	if now.Before(res.notBefore) {
		return outcome{}
	}
	if c.quarantined(now, fingerprint) {
		reply := refuse(Quarantined, 0, "the request crashed endpoints before and is quarantined")
		return outcome{refusal: &reply}
	}
	if c.suspects.mustWait(fingerprint) {
		return outcome{waitsForSafeReplica: true}
	}
	usable, largest := c.capacity()
	rule := c.suspects.placementRule(fingerprint, usable)
	if largest > 0 && res.tokens > largest {
		return c.placeGroup(now, res, &rule)
	}
	best := c.chooseReplica(now, res, &rule)
	if best.replica != nil {
		return outcome{granted: c.grantSingle(now, res, &best)}
	}
	return c.waitOrRefuse(now, res, &best)
}

// capacity returns the number of replicas that may get work and the memory of the largest engine.
func (c *cell) capacity() (usable, largest int) {
	for _, r := range c.sortedReplicas {
		if !r.acceptsWork() {
			continue
		}
		if r.isEngine() {
			largest = max(largest, r.announcement.Memory)
		}
		if !r.ejected {
			usable++
		}
	}
	return usable, largest
}

// waitOrRefuse decides whether a reservation that no replica can start now waits or is refused.
func (c *cell) waitOrRefuse(now time.Time, res *reservation, best *choice) outcome {
	if best.eligible > 0 || best.waitsForSafeReplica {
		res.serviceTime = 0
		if best.eligible > 0 {
			res.serviceTime = seconds(best.serviceTime)
		}
		if now.Add(res.serviceTime).After(res.deadline) {
			reply := c.refuseTooLate(res, 0, res.serviceTime)
			return outcome{refusal: &reply}
		}
		return outcome{waitsForMemory: best.waitsForMemory, waitsForSafeReplica: best.waitsForSafeReplica}
	}
	if best.excluded > 0 {
		reply := refuse(NoEndpoint, minRetryAfter, "all %d ready endpoints of cell %s were tried", best.excluded, c.name)
		return outcome{refusal: &reply}
	}
	if now.Sub(c.lastReady) < discoveryTime {
		return outcome{}
	}
	reply := refuse(NoEndpoint, minRetryAfter, "cell %s has no ready endpoint", c.name)
	return outcome{refusal: &reply}
}

// chooseReplica returns the replica with the lowest cost among those that can start the work now and are
// expected to finish before the deadline. The cost in seconds is the expected time to first token times the
// weight of the request, plus the delay that it adds to each request already there times the weight of that
// request.
func (c *cell) chooseReplica(now time.Time, res *reservation, rule *placementRule) choice {
	best := choice{cost: math.Inf(1), serviceTime: math.Inf(1)}
	request := &res.request
	if len(request.Blocks) > 0 {
		c.prefixHits = c.prefixIndex.Match(request.Blocks, c.prefixHits)
	}
	timeLeft := res.deadline.Sub(now).Seconds()
	best.leaveIdleForShort = res.class != Short && c.shortReserveReached()
	restricted := rule.isSuspect || rule.confinedTo != nil
	for _, r := range c.sortedReplicas {
		if !r.acceptsWork() || r.ejected || !r.hasAdapter(request.Adapter) {
			continue
		}
		if slices.Contains(request.Exclude, r.name) {
			best.excluded++
			continue
		}
		if restricted && !rule.allows(r) {
			best.waitsForSafeReplica = true
			continue
		}
		if !r.isEngine() {
			c.considerService(&best, r)
			continue
		}
		if r.announcement.Memory < res.tokens {
			continue
		}
		cachedBlocks := 0
		if len(request.Blocks) > 0 {
			cachedBlocks = c.prefixHits[r.indexSlot]
		}
		c.considerEngine(&best, now, res, r, cachedBlocks, timeLeft)
	}
	return best
}

// shortReserveReached reports whether the remaining replicas without a prefill of a medium or long prompt
// are reserved for short prompts. A short prompt that joins such a prefill waits for its running chunk.
func (c *cell) shortReserveReached() bool {
	engines, idle := 0, 0
	for _, r := range c.sortedReplicas {
		if !r.acceptsWork() || !r.isEngine() || r.ejected {
			continue
		}
		engines++
		if r.nonShortQueued == 0 {
			idle++
		}
	}
	return idle <= int(c.settings.ShortReserve*float64(engines))
}

// considerService updates the choice if the plain service has fewer requests in flight than the best so
// far.
func (c *cell) considerService(best *choice, r *replica) {
	best.eligible++
	best.serviceTime = 0
	if len(r.parts) >= c.settings.ServiceConcurrency {
		return
	}
	best.replaceIfCheaper(r, float64(len(r.parts)), 0, 0, 0)
}

func (c *cell) considerEngine(best *choice, now time.Time, res *reservation, r *replica, cachedBlocks int, timeLeft float64) {
	best.eligible++
	r.advancePrefill(now, c.settings)
	rate := r.prefillRate(c.settings)
	cachedTokens := min(cachedBlocks*prefix.BlockTokens, res.request.PromptTokens-1)
	prefill := float64(res.request.PromptTokens - max(0, cachedTokens))
	prefillSeconds := prefill / rate
	decodeSeconds := c.expectedDecode(res, r)
	best.serviceTime = min(best.serviceTime, prefillSeconds+decodeSeconds)
	d := c.estimateDelays(r, res.priority, rate)
	ttft := d.wait + prefillSeconds
	if r.freeTokens() < res.tokens {
		best.waitsForMemory = true
		return
	}
	// If the prefix is cached here, waiting is allowed for the time that the cache hit saves.
	if d.wait > c.settings.Headroom.Seconds()+float64(max(0, cachedTokens))/rate || d.wait*waitMargin+prefillSeconds+decodeSeconds > timeLeft {
		return
	}
	if c.wouldDelayHold(now, res, r, ttft) {
		best.waitsForMemory = true
		return
	}
	if (best.leaveIdleForShort && r.nonShortQueued == 0) || r.causesMissedDeadline(now, res.priority, prefillSeconds, rate) {
		return
	}
	chunk := float64(c.settings.ChunkTokens) / rate
	slowdown := min(d.laterPrefill, min(float64(res.request.MaxTokens), c.meanOutputTokens)*chunk)
	cost := (ttft + slowdown*c.settings.DecodeWeight) * c.settings.OwnWeight.of(res.class)
	cost += prefillSeconds*d.delayedPrefills + min(prefillSeconds, max(1, c.meanOutputTokens)*chunk)*c.settings.DecodeInterference*d.delayedStreams
	best.replaceIfCheaper(r, cost, ttft, prefill, cachedBlocks)
}

// delays describes how long new work waits at a replica and what work it delays.
type delays struct {
	// wait is the time in seconds before its prefill starts, laterPrefill the time that the prefills
	// after it take.
	wait, laterPrefill float64
	// delayedPrefills is the weighted number of prefills that it delays, delayedStreams that of running
	// streams. Each token of a stream waits for at most one chunk.
	delayedPrefills, delayedStreams float64
}

func (c *cell) estimateDelays(r *replica, priority int64, rate float64) delays {
	var d delays
	ahead, chunk := r.externalPrefill, 0.0
	for _, p := range r.queuedParts {
		if p.grant.priority <= priority {
			ahead += p.remaining
			continue
		}
		d.laterPrefill += p.remaining / rate
		d.delayedPrefills += c.settings.OthersWeight.of(p.grant.class)
		chunk = max(chunk, p.remainingChunk(c.settings))
	}
	ahead += chunk
	for class, count := range r.decoding {
		d.delayedStreams += float64(count) * c.settings.OthersWeight.of(LengthClass(class))
	}
	d.wait = ahead / rate
	return d
}

// overtakeMargin is the slack that work which overtakes a grant must leave before the deadline of that
// grant, as a fraction of the time that the grant still needs. At three times the capacity 7.4 % of the
// computed tokens were wasted without it, 4.6 % with it.
const overtakeMargin = 0.1

// causesMissedDeadline reports whether a prefill of the given duration would make a queued prefill of lower
// priority miss a deadline that it is expected to meet otherwise. Without this check a steady flow of
// short requests overtakes a long prefill until its deadline has passed.
func (r *replica) causesMissedDeadline(now time.Time, priority int64, prefillSeconds, rate float64) bool {
	ahead := r.externalPrefill
	for _, p := range r.queuedParts {
		ahead += p.remaining
		g := p.grant
		if g.priority <= priority || g.deadline.IsZero() {
			continue
		}
		needs := ahead/rate + g.decodeSeconds
		slack := g.deadline.Sub(now).Seconds() - needs
		if slack >= 0 && slack < prefillSeconds+overtakeMargin*needs {
			return true
		}
	}
	return false
}

// replaceIfCheaper makes the replica the best one if it is cheaper. Replicas of equal cost are used in
// turn.
func (b *choice) replaceIfCheaper(r *replica, cost, ttft, prefill float64, cachedBlocks int) {
	if r.unhealthy {
		cost += unhealthyPenalty
	}
	if cost > b.cost || (cost == b.cost && !r.lastGrant.Before(b.replica.lastGrant)) {
		return
	}
	b.replica, b.cost, b.ttft, b.prefill, b.cachedBlocks = r, cost, ttft, prefill, cachedBlocks
}

// expectedDecode returns the time in seconds that the completion is expected to take. It scales the limit
// of the completion instead of using the mean length of all completions: at three times the capacity the
// mean let long completions start that could not meet their deadline, and their streams wasted 24 % of
// the computed tokens.
func (c *cell) expectedDecode(res *reservation, r *replica) float64 {
	return float64(res.request.MaxTokens) * c.outputShare / r.streamRate(c.settings)
}

// latestEnd returns the latest time at which work that is granted now ends.
func (c *cell) latestEnd(now time.Time, res *reservation, r *replica, ttft float64) time.Time {
	return now.Add(seconds(ttft + float64(res.request.MaxTokens)/r.streamRate(c.settings)))
}

func (c *cell) grantSingle(now time.Time, res *reservation, best *choice) *grant {
	r, request := best.replica, &res.request
	tokens := res.tokens
	if !r.isEngine() {
		tokens = 0
	}
	decodeSeconds := c.expectedDecode(res, r)
	g := &grant{
		Grant: Grant{
			ID:           request.AttemptID,
			Members:      []GrantMember{{Endpoint: r.name, Address: r.announcement.Address, Tokens: tokens}},
			Priority:     res.priority,
			Estimate:     seconds(best.ttft),
			CachedTokens: best.cachedBlocks * prefix.BlockTokens,
		},
		class: res.class, priority: res.priority, workspace: request.Workspace, fingerprint: request.Fingerprint,
		blocks: request.Blocks, cachedBlocks: best.cachedBlocks, maxTokens: request.MaxTokens, grantedAt: now, lastEvent: now,
		deadline: res.deadline, decodeSeconds: decodeSeconds,
		expectedEnd: now.Add(seconds(best.ttft + decodeSeconds)), latestEnd: c.latestEnd(now, res, r, best.ttft),
	}
	g.parts = []*grantPart{{grant: g, replica: r, tokens: tokens, prefill: best.prefill, remaining: best.prefill}}
	c.addGrant(now, g)
	return g
}

// admit decides whether a reservation that cannot start now may wait, and returns the refusal if not.
func (c *cell) admit(now time.Time, res *reservation) *ReserveReply {
	_, largest := c.capacity()
	maxTokens := largest
	needsGroup := largest > 0 && res.tokens > largest
	if needsGroup {
		maxTokens = math.MaxInt
	}
	wait := c.shortestEngineWait(now, res) + c.queue.tokensAhead(res, now, maxTokens)/c.serviceRate()
	if needsGroup {
		wait = max(wait, c.groupMemoryWait(now, res).Seconds())
	}
	res.estimate = seconds(wait) + res.serviceTime
	late := seconds(wait*waitMargin)+res.serviceTime > res.deadline.Sub(now)
	if late && now.Sub(c.createdAt) >= discoveryTime {
		reply := c.refuseTooLate(res, seconds(wait), res.serviceTime)
		return &reply
	}
	if c.queue.size < c.settings.QueueLimit &&
		c.queue.perWorkspace[res.request.Workspace] < c.settings.WorkspaceQueueLimit {
		return nil
	}
	after := min(maxRetryAfter, max(minRetryAfter, seconds(float64(c.queue.tokens)/c.serviceRate())))
	reply := refuse(Overloaded, after, "%d reservations wait in cell %s (limit %d), %d of workspace %s (limit %d)",
		c.queue.size, c.name, c.settings.QueueLimit, c.queue.perWorkspace[res.request.Workspace],
		res.request.Workspace, c.settings.WorkspaceQueueLimit)
	return &reply
}

// shortestEngineWait returns the shortest wait in seconds at an engine, which follows the wait in the
// queue.
func (c *cell) shortestEngineWait(now time.Time, res *reservation) float64 {
	shortest := math.Inf(1)
	for _, r := range c.sortedReplicas {
		if r.acceptsWork() && r.isEngine() && !r.ejected {
			r.advancePrefill(now, c.settings)
			shortest = min(shortest, c.estimateDelays(r, res.priority, r.prefillRate(c.settings)).wait)
		}
	}
	if math.IsInf(shortest, 1) {
		return 0
	}
	return shortest
}

func (c *cell) refuseTooLate(res *reservation, wait, service time.Duration) ReserveReply {
	after := min(maxRetryAfter, max(minRetryAfter, wait))
	return refuse(TooLate, after, "the expected wait of %v and service of %v exceed the time left of the limit %v",
		wait.Round(time.Millisecond), service.Round(time.Millisecond), res.request.TimeLeft.Round(time.Millisecond))
}

// serviceRate returns the rate in tokens per second at which the cell takes work from its queue.
func (c *cell) serviceRate() float64 {
	if c.queueDrain.windows >= minDrainWindows {
		return max(1, c.queueDrain.rate)
	}
	totalRate := 0.0
	for _, r := range c.sortedReplicas {
		if r.acceptsWork() && r.isEngine() {
			totalRate += r.prefillRate(c.settings)
		}
	}
	if totalRate == 0 {
		// Plain services and cells without endpoints have no rate before one is measured.
		return math.Inf(1)
	}
	return totalRate
}

// placeQueued places queued reservations in fair order, trying each one once and at most maxTries of them.
func (c *cell) placeQueued(now time.Time, maxTries int) {
	if c.queue.size == 0 {
		return
	}
	c.scanNumber++
	tried := 0
	if c.hold != nil {
		c.checkHold()
	}
	if c.hold != nil {
		c.tryPlace(now, c.hold.reservation)
		tried++
		c.dropUselessHold()
	}
	for tried < maxTries {
		progress := false
		for _, f := range c.queue.servingOrder(now) {
			res := f.firstUntried(c.scanNumber)
			if res == nil {
				continue
			}
			progress = true
			tried++
			if c.tryPlace(now, res) || tried >= maxTries {
				break
			}
		}
		if !progress {
			return
		}
	}
}

// firstUntried returns the first reservation of the flow that the given run of placeQueued has not tried.
func (f *flow) firstUntried(scan uint64) *reservation {
	for _, res := range f.reservations {
		if res.lastScan != scan {
			return res
		}
	}
	return nil
}

// tryPlace tries to place one queued reservation and reports whether it left the queue.
func (c *cell) tryPlace(now time.Time, res *reservation) bool {
	res.lastScan = c.scanNumber
	result := c.place(now, res)
	res.waitsForSafeReplica = result.waitsForSafeReplica
	switch {
	case result.refusal != nil:
		c.resolve(now, res, *result.refusal)
		return true
	case result.granted != nil:
		c.queueDrain.servedTokens += float64(res.cost)
		c.queue.serve(res)
		if c.hold != nil && c.hold.reservation == res {
			c.hold = nil
		}
		if !result.granted.creatingHoldings {
			c.resolve(now, res, ReserveReply{Status: Granted, Grant: result.granted.Grant})
		}
		return true
	case result.waitsForMemory && c.hold == nil:
		c.holdFor(now, res)
	}
	return false
}

// drainRate measures how many tokens per second leave the queue while it is not empty.
type drainRate struct {
	servedTokens float64
	windowStart  time.Time
	rate         float64
	windows      int
}

const (
	drainWindow = time.Second
	// minDrainWindows is the number of measured seconds before the rate is used.
	minDrainWindows = 3
	drainSmoothing  = 0.3
)

func (d *drainRate) tick(now time.Time, hasBacklog bool) {
	if !hasBacklog || d.windowStart.IsZero() {
		*d = drainRate{windowStart: now, rate: d.rate}
		return
	}
	elapsed := now.Sub(d.windowStart)
	if elapsed < drainWindow {
		return
	}
	rate := d.servedTokens / elapsed.Seconds()
	if d.windows == 0 {
		d.rate = rate
	}
	d.rate += drainSmoothing * (rate - d.rate)
	d.servedTokens, d.windowStart = 0, now
	d.windows++
}

func seconds(s float64) time.Duration {
	if s > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
