package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// groupRetryBackOff is the shortest back-off after a group could not be reserved. Jitter at most doubles
	// it, so that two dispatchers that are active at the same time for a moment do not collide again.
	groupRetryBackOff = 100 * time.Millisecond
	// overdueExtension is the time after which work that is past its expected end is expected to end.
	overdueExtension = time.Second
)

// hold keeps replicas free for the first reservation that waits for memory. Other work may use them only
// if it ends before start, the estimated start of that reservation (backfill).
type hold struct {
	reservation *reservation
	members     []*replica
	start       time.Time
}

// placeGroup reserves the smallest group with enough memory for the request, if that memory is free now.
func (c *cell) placeGroup(now time.Time, res *reservation, rule *placementRule) outcome {
	members, ttft, result := c.findGroup(now, res, rule)
	if members == nil {
		return result
	}
	return outcome{granted: c.grantGroup(now, res, members, ttft)}
}

// findGroup returns the members of the group and the expected time to first token in seconds, or the
// reason why no group can start now.
func (c *cell) findGroup(now time.Time, res *reservation, rule *placementRule) (members []*replica, ttft float64, result outcome) {
	all, candidates := c.groupCandidates(res)
	if size, total := smallestGroup(all, res.tokens); size == 0 {
		if now.Sub(c.createdAt) < discoveryTime {
			return nil, 0, outcome{}
		}
		reply := refuse(TooLarge, 0, "prompt and completion need %d tokens of memory; the %d ready engines of cell %s have %d",
			res.tokens, len(all), c.name, total)
		return nil, 0, outcome{refusal: &reply}
	}
	size, total := smallestGroup(candidates, res.tokens)
	if size == 0 {
		reply := refuse(NoEndpoint, minRetryAfter, "the %d engines of cell %s that were not tried have %d tokens of memory; %d are needed",
			len(candidates), c.name, total, res.tokens)
		return nil, 0, outcome{refusal: &reply}
	}
	ttft = c.groupTimeToFirstToken(now, res, candidates[:size])
	res.serviceTime = seconds(ttft)
	if now.Add(res.serviceTime).After(res.deadline) {
		reply := c.refuseTooLate(res, 0, res.serviceTime)
		return nil, 0, outcome{refusal: &reply}
	}
	var safe []*replica
	for _, r := range candidates {
		if !r.ejected && rule.allows(r) {
			safe = append(safe, r)
		}
	}
	members = freeGroup(safe, size, res.tokens, (*replica).freeTokens)
	if members == nil || c.groupWouldDelayHold(now, res, members, ttft) {
		return nil, 0, outcome{waitsForMemory: len(safe) >= size, waitsForSafeReplica: len(safe) < size}
	}
	return members, ttft, outcome{}
}

// groupCandidates returns the engines that accept work, the largest memory first, and those of them that
// the request has not tried.
func (c *cell) groupCandidates(res *reservation) (all, candidates []*replica) {
	for _, r := range c.sortedReplicas {
		if r.acceptsWork() && r.isEngine() && r.hasAdapter(res.request.Adapter) {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *replica) int {
		return cmp.Compare(b.announcement.Memory, a.announcement.Memory)
	})
	for _, r := range all {
		if !slices.Contains(res.request.Exclude, r.name) {
			candidates = append(candidates, r)
		}
	}
	return all, candidates
}

// smallestGroup returns how many of the replicas are needed for the tokens while they are empty, or 0 if
// all together are too small, and the memory of all. The replicas must be sorted by memory, the largest
// first.
func smallestGroup(replicas []*replica, tokens int) (size, total int) {
	for i, r := range replicas {
		total += r.announcement.Memory
		if size == 0 && total >= tokens {
			size = i + 1
		}
	}
	return size, total
}

// freeGroup returns as many replicas as size says, those with the most free memory, in descending order,
// or nil if the tokens do not fit into them.
func freeGroup(replicas []*replica, size, tokens int, free func(*replica) int) []*replica {
	if len(replicas) < size {
		return nil
	}
	sorted := slices.Clone(replicas)
	slices.SortStableFunc(sorted, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(free(b), free(a)), cmp.Compare(a.queuedPrefill(), b.queuedPrefill()))
	})
	sum := 0
	for _, r := range sorted[:size] {
		sum += max(0, free(r))
	}
	if sum < tokens {
		return nil
	}
	return sorted[:size]
}

// groupTimeToFirstToken returns the expected time to first token in seconds: the longest wait at a member
// plus the time of the prefill, which all members share.
func (c *cell) groupTimeToFirstToken(now time.Time, res *reservation, members []*replica) float64 {
	wait, rates := 0.0, 0.0
	for _, r := range members {
		r.advancePrefill(now, c.settings)
		rate := r.prefillRate(c.settings)
		wait = max(wait, c.estimateDelays(r, res.priority, rate).wait)
		rates += rate
	}
	return wait + float64(res.request.PromptTokens)/rates
}

func (c *cell) groupWouldDelayHold(now time.Time, res *reservation, members []*replica, ttft float64) bool {
	return slices.ContainsFunc(members, func(r *replica) bool { return c.wouldDelayHold(now, res, r, ttft) })
}

// grantGroup adds the grant of a group and schedules the creation of its holdings. The reservation is
// resolved once all of them exist.
func (c *cell) grantGroup(now time.Time, res *reservation, members []*replica, ttft float64) *grant {
	request := &res.request
	g := &grant{
		Grant: Grant{ID: request.AttemptID, Priority: res.priority, Estimate: seconds(ttft)},
		class: res.class, priority: res.priority, workspace: request.Workspace, fingerprint: request.Fingerprint,
		maxTokens: request.MaxTokens, deadline: res.deadline, decodeSeconds: c.expectedDecode(res, members[0]),
		grantedAt: now, lastEvent: now, latestEnd: c.latestEnd(now, res, members[0], ttft), creatingHoldings: true,
		expectedEnd: now.Add(seconds(ttft + c.expectedDecode(res, members[0]))),
	}
	c.groupNumber++
	for i, tokens := range splitTokens(members, res.tokens) {
		r := members[i]
		holding := fmt.Sprintf("%s-%s-%d-%d", request.AttemptID, c.config.Instance, c.groupNumber, i)
		prefill := float64(request.PromptTokens) / float64(len(members))
		g.parts = append(g.parts, &grantPart{
			grant: g, replica: r, tokens: tokens, prefill: prefill, remaining: prefill, holding: holding,
		})
		g.Members = append(g.Members, GrantMember{
			Endpoint: r.name, Address: r.announcement.Address, Holding: holding, Tokens: tokens,
		})
	}
	c.addGrant(now, g)
	res.pendingGroup = g
	c.pendingCalls = append(c.pendingCalls, createCall{cell: c, grant: g, members: slices.Clone(g.Members)})
	return g
}

// splitTokens distributes the tokens over the members in proportion to their free memory.
func splitTokens(members []*replica, tokens int) []int {
	sum := 0
	for _, r := range members {
		sum += max(0, r.freeTokens())
	}
	result := make([]int, len(members))
	left := tokens
	for i, r := range members {
		result[i] = int(int64(tokens) * int64(max(0, r.freeTokens())) / int64(sum))
		left -= result[i]
	}
	for i, r := range members {
		extra := min(left, r.freeTokens()-result[i])
		result[i] += extra
		left -= extra
	}
	return result
}

// holdingsCreated processes the result of creating the holdings of a group, and reports whether the
// holdings are kept.
func (c *cell) holdingsCreated(now time.Time, g *grant, succeeded bool) bool {
	res := c.reservations[g.ID]
	if c.closed || res == nil || res.pendingGroup != g {
		return false
	}
	if !succeeded {
		res.notBefore = now.Add(groupRetryBackOff + time.Duration(c.config.Jitter()*float64(groupRetryBackOff)))
		c.endGrant(now, g, nil)
		c.placeQueued(now, maxTriesPerEvent)
		return false
	}
	res.pendingGroup = nil
	g.creatingHoldings, g.lastEvent = false, now
	c.resolve(now, res, ReserveReply{Status: Granted, Grant: g.Grant})
	return true
}

// requeue puts a reservation back into the queue if its group ended before all of its holdings existed.
func (c *cell) requeue(g *grant) {
	res := c.reservations[g.ID]
	if res == nil || res.pendingGroup != g {
		return
	}
	res.pendingGroup = nil
	delete(c.endedAttempts, g.ID)
	if res.reply == nil {
		c.queue.push(res)
	}
}

// holdFor keeps replicas free for a reservation that waits for memory, until the estimated time at which
// enough of it is free.
func (c *cell) holdFor(now time.Time, res *reservation) {
	_, candidates := c.groupCandidates(res)
	candidates = slices.DeleteFunc(candidates, func(r *replica) bool { return r.ejected })
	size, _ := smallestGroup(candidates, res.tokens)
	if size == 0 {
		return
	}
	members, start := earliestGroup(now, candidates, size, res.tokens, latestEnd)
	if start.Equal(now) {
		return
	}
	c.hold = &hold{reservation: res, members: members, start: start}
	res.estimate = start.Sub(now) + res.serviceTime
}

// groupMemoryWait returns the expected wait until enough memory for a group is free.
func (c *cell) groupMemoryWait(now time.Time, res *reservation) time.Duration {
	_, candidates := c.groupCandidates(res)
	size, _ := smallestGroup(candidates, res.tokens)
	if size == 0 {
		return 0
	}
	_, start := earliestGroup(now, candidates, size, res.tokens, expectedEnd)
	return start.Sub(now)
}

func latestEnd(g *grant) time.Time { return g.latestEnd }

func expectedEnd(g *grant) time.Time { return g.expectedEnd }

// earliestGroup returns the group that is the first to have enough free memory, and when, if all work ends
// at the times that end returns.
func earliestGroup(now time.Time, replicas []*replica, size, tokens int, end func(*grant) time.Time) ([]*replica, time.Time) {
	// Most calls are for reservations that wait for something other than memory. Sorting the ends of all
	// grants for each of them held the lock of a cell with a long queue for too long.
	if members := freeGroup(replicas, size, tokens, (*replica).freeTokens); members != nil {
		return members, now
	}
	type release struct {
		at   time.Time
		part *grantPart
	}
	var releases []release
	free := make(map[*replica]int, len(replicas))
	for _, r := range replicas {
		free[r] = r.freeTokens()
		for _, p := range r.parts {
			at := end(p.grant)
			if at.Before(now.Add(overdueExtension)) {
				at = now.Add(overdueExtension)
			}
			releases = append(releases, release{at: at, part: p})
		}
	}
	slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	at := now
	lookup := func(r *replica) int { return free[r] }
	for i := 0; ; i++ {
		if members := freeGroup(replicas, size, tokens, lookup); members != nil {
			return members, at
		}
		if i == len(releases) {
			// External work uses the missing memory; when it ends is unknown.
			return replicas[:size], at.Add(overdueExtension)
		}
		at = releases[i].at
		free[releases[i].part.replica] += releases[i].part.tokens
	}
}

// wouldDelayHold reports whether work at a replica could delay the reservation that the replica is kept
// free for.
func (c *cell) wouldDelayHold(now time.Time, res *reservation, r *replica, ttft float64) bool {
	if c.hold == nil || c.hold.reservation == res || !slices.Contains(c.hold.members, r) {
		return false
	}
	return c.latestEnd(now, res, r, ttft).After(c.hold.start)
}

// dropUselessHold drops the hold if its memory is free but its reservation could not start: the
// reservation waits for something other than memory.
func (c *cell) dropUselessHold() {
	h := c.hold
	if h != nil && freeGroup(h.members, len(h.members), h.reservation.tokens, (*replica).freeTokens) != nil {
		c.hold = nil
	}
}

// checkHold drops the hold if its reservation is no longer queued or one of its replicas is gone or
// accepts no work.
func (c *cell) checkHold() {
	h := c.hold
	if h.reservation.reply != nil || h.reservation.flow == nil || slices.ContainsFunc(h.members, func(r *replica) bool {
		return c.replicas[r.name] != r || !r.acceptsWork()
	}) {
		c.hold = nil
	}
}
