package dispatch

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// addGrant books a grant at its replicas.
func (c *cell) addGrant(now time.Time, g *grant) {
	c.grants[g.ID] = g
	delete(c.ended, g.ID)
	for _, p := range g.parts {
		p.replica.advance(now, c.settings)
		p.replica.add(p, now)
		p.replica.lastGrant = now
		p.replica.breaker.granted(now, g.ID)
	}
	c.suspects.started(g)
}

// endGrant undoes a grant. Holdings of a group are deleted unless their engine is gone.
func (c *cell) endGrant(now time.Time, g *grant, gone *replica) {
	delete(c.grants, g.ID)
	c.ended[g.ID] = now
	c.suspects.stopped(g)
	for _, p := range g.parts {
		p.replica.remove(p)
		p.replica.breaker.released(g.ID)
		if p.holding != "" && !g.creating && p.replica != gone {
			c.callDelete(p.replica, p.holding)
		}
	}
	c.requeue(g)
}

// cancelGrant ends a grant whose entry is silent or that must not go on, and its work at the engines.
func (c *cell) cancelGrant(now time.Time, g *grant) {
	c.endGrant(now, g, nil)
	for _, p := range g.parts {
		c.callCancel(p.replica, g.ID)
		if p.holding == "" && p.replica.engine() {
			c.callDelete(p.replica, g.ID)
		}
	}
}

// report takes one event of a grant. Events may be late, repeated, out of order or missing.
func (c *cell) report(now time.Time, event Event) {
	if it := c.items[event.Grant]; it != nil && it.reply == nil {
		if event.Type == Cancelled {
			c.dropItem(now, it)
			c.ended[event.Grant] = now
			c.pump(now, eventScan)
		}
		return
	}
	g := c.grants[event.Grant]
	if g == nil {
		c.adopt(now, event)
		return
	}
	g.event = now
	switch event.Type {
	case Alive:
		if event.Prefilled {
			c.prefilled(now, g, 0)
		}
	case FirstToken:
		c.prefilled(now, g, event.Elapsed)
	case Finished:
		c.finished(now, g, event)
	case Cancelled:
		c.endGrant(now, g, nil)
	case Failed:
		c.failed(now, g)
	case Died:
		c.connectionLost(now, g)
	}
	c.pump(now, eventScan)
}

func (c *cell) prefilled(now time.Time, g *grant, elapsed time.Duration) {
	if g.prefilled {
		return
	}
	for _, p := range g.parts {
		p.replica.advance(now, c.settings)
		p.replica.prefilled(p)
		p.replica.breaker.succeeded()
	}
	g.prefilled, g.firstToken = true, now
	if elapsed > 0 && !g.overtaken && !g.adopted && len(g.parts) == 1 {
		g.parts[0].replica.measurePrefill(g.Estimate, elapsed)
	}
	c.eject(now)
}

func (c *cell) finished(now time.Time, g *grant, event Event) {
	c.prefilled(now, g, 0)
	for _, p := range g.parts {
		p.replica.breaker.succeeded()
	}
	if len(g.parts) == 1 {
		g.parts[0].replica.measureDecode(event.OutputTokens, now.Sub(g.firstToken))
	}
	if event.OutputTokens > 0 {
		c.meanOutput += rateSmoothing * (float64(event.OutputTokens) - c.meanOutput)
		if g.maxTokens > 0 {
			share := min(1, float64(event.OutputTokens)/float64(g.maxTokens))
			c.outputShare += rateSmoothing * (share - c.outputShare)
		}
	}
	c.learnCache(now, g, event.CachedTokens, event.OutputTokens)
	c.proved(now, g.fingerprint)
	c.endGrant(now, g, nil)
	c.eject(now)
}

// learnCache corrects the prefix index by the cached tokens that the engine reports. A response
// without output, such as a rejection, says nothing about the cache.
func (c *cell) learnCache(now time.Time, g *grant, cached, output int) {
	// An engine that had less in its cache than expected is believed only through its cache events
	// for this long.
	const pessimism = time.Minute
	if output == 0 || len(g.parts) != 1 || len(g.blocks) == 0 || !g.parts[0].replica.announced {
		return
	}
	r := g.parts[0].replica
	actual := min(cached/prefix.BlockTokens, len(g.blocks))
	switch {
	case actual < g.hit:
		c.index.Forget(r.slot, g.blocks[actual:g.hit])
		r.pessimisticUntil = now.Add(pessimism)
	case now.Before(r.pessimisticUntil):
		c.index.Store(r.slot, g.blocks[:actual])
	default:
		c.index.Store(r.slot, g.blocks)
	}
}

func (c *cell) failed(now time.Time, g *grant) {
	for _, p := range g.parts {
		p.replica.breaker.failed(now, g.ID, c.settings, c.config.Jitter())
	}
	c.endGrant(now, g, nil)
	c.eject(now)
}

// adopt takes over a grant that another dispatcher gave, or an entry itself.
func (c *cell) adopt(now time.Time, event Event) {
	if _, ended := c.ended[event.Grant]; ended {
		return
	}
	if event.Type != Alive && event.Type != FirstToken {
		c.ended[event.Grant] = now
		return
	}
	if len(event.Members) == 0 || !slices.ContainsFunc(event.Members, func(m GrantMember) bool { return c.belongs(m.Endpoint) }) {
		return
	}
	g := &grant{
		Grant:       Grant{ID: event.Grant, Members: event.Members},
		class:       Length(event.PromptTokens),
		key:         now.UnixMilli(),
		workspace:   event.Workspace,
		fingerprint: event.Fingerprint,
		granted:     now,
		event:       now,
		firstToken:  now,
		expected:    now.Add(GrantTTL),
		end:         now.Add(GrantTTL),
		prefilled:   event.Prefilled || event.Type == FirstToken,
		adopted:     true,
	}
	for _, m := range event.Members {
		prefill := float64(event.PromptTokens) / float64(len(event.Members))
		r := c.replica(now, m.Endpoint)
		if r.announcement.Address == "" {
			r.announcement.Address = m.Address
		}
		r.moved = !c.belongs(m.Endpoint)
		g.parts = append(g.parts, &part{
			grant: g, replica: r, tokens: m.Tokens, prefill: prefill, remaining: prefill, holding: m.Holding,
		})
	}
	c.addGrant(now, g)
}
