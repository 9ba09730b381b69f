package dispatch

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// addGrant adds a grant to its replicas.
func (c *cell) addGrant(now time.Time, g *grant) {
	c.grants[g.ID] = g
	delete(c.endedAttempts, g.ID)
	for _, p := range g.parts {
		p.replica.advancePrefill(now, c.settings)
		p.replica.addPart(p, now)
		p.replica.lastGrant = now
		p.replica.breaker.grantGiven(now, g.ID)
	}
	c.suspects.grantStarted(g)
}

// endGrant removes a grant from its replicas and deletes the holdings of a group. restarted is a member that
// lost its holdings with its old incarnation, so that none is deleted there; nil if there is none.
func (c *cell) endGrant(now time.Time, g *grant, restarted *replica) {
	delete(c.grants, g.ID)
	c.endedAttempts[g.ID] = now
	c.suspects.grantEnded(g)
	for _, p := range g.parts {
		p.replica.removePart(p)
		p.replica.breaker.grantEnded(g.ID)
		if p.holding != "" && !g.creatingHoldings && p.replica != restarted {
			c.scheduleDelete(p.replica, p.holding)
		}
	}
	c.requeue(g)
}

// cancelGrant ends a grant and cancels its work at the engines, when its entry has stopped reporting or
// the request must not continue.
func (c *cell) cancelGrant(now time.Time, g *grant) {
	c.endGrant(now, g, nil)
	for _, p := range g.parts {
		c.scheduleCancel(p.replica, g.ID)
		if p.holding == "" && p.replica.isEngine() {
			c.scheduleDelete(p.replica, g.ID)
		}
	}
}

// report applies one event of a grant. Events may be late, repeated, out of order or missing.
func (c *cell) report(now time.Time, event Event) {
	if res := c.reservations[event.Grant]; res != nil && res.reply == nil {
		if event.Type == Cancelled {
			c.dropReservation(now, res)
			c.endedAttempts[event.Grant] = now
			c.placeQueued(now, maxTriesPerEvent)
		}
		return
	}
	g := c.grants[event.Grant]
	if g == nil {
		c.adopt(now, event)
		return
	}
	g.lastEvent = now
	switch event.Type {
	case KeepAlive:
		if event.Prefilled {
			c.grantPrefilled(now, g, 0)
		}
	case FirstToken:
		c.grantPrefilled(now, g, event.Elapsed)
	case Finished:
		c.grantFinished(now, g, event)
	case Cancelled:
		c.endGrant(now, g, nil)
	case Failed:
		c.grantFailed(now, g)
	case ConnectionLost:
		c.connectionLost(now, g)
	}
	c.placeQueued(now, maxTriesPerEvent)
}

func (c *cell) grantPrefilled(now time.Time, g *grant, elapsed time.Duration) {
	if g.prefilled {
		return
	}
	for _, p := range g.parts {
		p.replica.advancePrefill(now, c.settings)
		p.replica.markPrefilled(p)
		p.replica.breaker.succeeded()
	}
	g.prefilled, g.firstTokenAt = true, now
	if elapsed > 0 && !g.overtaken && !g.adopted && len(g.parts) == 1 {
		g.parts[0].replica.correctPrefillRate(g.Estimate, elapsed)
	}
	c.updateEjections(now)
}

func (c *cell) grantFinished(now time.Time, g *grant, event Event) {
	c.grantPrefilled(now, g, 0)
	for _, p := range g.parts {
		p.replica.breaker.succeeded()
	}
	if len(g.parts) == 1 {
		g.parts[0].replica.updateDecodeRate(event.OutputTokens, now.Sub(g.firstTokenAt))
	}
	if event.OutputTokens > 0 {
		c.meanOutputTokens += rateSmoothing * (float64(event.OutputTokens) - c.meanOutputTokens)
		if g.maxTokens > 0 {
			share := min(1, float64(event.OutputTokens)/float64(g.maxTokens))
			c.outputShare += rateSmoothing * (share - c.outputShare)
		}
	}
	c.updatePrefixIndex(now, g, event.CachedTokens, event.OutputTokens)
	c.requestFinished(now, g.fingerprint)
	c.endGrant(now, g, nil)
	c.updateEjections(now)
}

// updatePrefixIndex corrects the prefix index with the number of cached tokens that the engine reports. A
// response without output, such as a rejection, says nothing about the cache.
func (c *cell) updatePrefixIndex(now time.Time, g *grant, cachedTokens, outputTokens int) {
	// For this long after an engine had less in its cache than expected, prompts do not count as
	// cached just because they ran there; only cache events and reported cached tokens count.
	const distrustTime = time.Minute
	if outputTokens == 0 || len(g.parts) != 1 || len(g.blocks) == 0 || !g.parts[0].replica.announced {
		return
	}
	r := g.parts[0].replica
	reportedBlocks := min(cachedTokens/prefix.BlockTokens, len(g.blocks))
	switch {
	case reportedBlocks < g.cachedBlocks:
		c.prefixIndex.Forget(r.indexSlot, g.blocks[reportedBlocks:g.cachedBlocks])
		r.distrustCacheUntil = now.Add(distrustTime)
	case now.Before(r.distrustCacheUntil):
		c.prefixIndex.Store(r.indexSlot, g.blocks[:reportedBlocks])
	default:
		c.prefixIndex.Store(r.indexSlot, g.blocks)
	}
}

func (c *cell) grantFailed(now time.Time, g *grant) {
	for _, p := range g.parts {
		p.replica.breaker.failed(now, g.ID, c.settings, c.config.Jitter())
	}
	c.endGrant(now, g, nil)
	c.updateEjections(now)
}

// adopt takes over a grant that was given by another dispatcher or by an entry itself.
func (c *cell) adopt(now time.Time, event Event) {
	if _, ended := c.endedAttempts[event.Grant]; ended {
		return
	}
	if event.Type != KeepAlive && event.Type != FirstToken {
		c.endedAttempts[event.Grant] = now
		return
	}
	if len(event.Members) == 0 || !slices.ContainsFunc(event.Members, func(m GrantMember) bool { return c.belongs(m.Endpoint) }) {
		return
	}
	g := &grant{
		Grant:        Grant{ID: event.Grant, Members: event.Members},
		class:        LengthClassOf(event.PromptTokens),
		priority:     now.UnixMilli(),
		workspace:    event.Workspace,
		fingerprint:  event.Fingerprint,
		grantedAt:    now,
		lastEvent:    now,
		firstTokenAt: now,
		expectedEnd:  now.Add(GrantTTL),
		latestEnd:    now.Add(GrantTTL),
		prefilled:    event.Prefilled || event.Type == FirstToken,
		adopted:      true,
	}
	for _, m := range event.Members {
		prefill := float64(event.PromptTokens) / float64(len(event.Members))
		r := c.ensureReplica(now, m.Endpoint)
		if r.announcement.Address == "" {
			r.announcement.Address = m.Address
		}
		r.moved = !c.belongs(m.Endpoint)
		g.parts = append(g.parts, &grantPart{
			grant: g, replica: r, tokens: m.Tokens, prefill: prefill, remaining: prefill, holding: m.Holding,
		})
	}
	c.addGrant(now, g)
}
