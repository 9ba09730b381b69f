package dispatch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/logging"
)

// call is work that Run does without the cell's lock, mostly calls to endpoints.
type call interface {
	execute(ctx context.Context, d *Dispatcher)
}

// cancelCall cancels an attempt that no longer has a grant, which frees its memory.
type cancelCall struct {
	endpoint, address, attempt string
}

func (c cancelCall) execute(ctx context.Context, d *Dispatcher) {
	err := withCallTimeout(ctx, func(ctx context.Context) error {
		return d.config.Holdings.Cancel(ctx, c.address, c.attempt)
	})
	d.warnOnError(err, "Could not cancel an attempt; the next reconciliation of holdings tries again", c.endpoint, c.attempt)
}

// deleteCall deletes a holding.
type deleteCall struct {
	endpoint, address, holding string
}

func (c deleteCall) execute(ctx context.Context, d *Dispatcher) {
	err := withCallTimeout(ctx, func(ctx context.Context) error {
		return d.config.Holdings.Delete(ctx, c.address, c.holding)
	})
	d.warnOnError(err, "Could not delete a holding; it expires, or the next reconciliation tries again", c.endpoint, c.holding)
}

// renewCall extends the TTL of a holding of a group.
type renewCall struct {
	endpoint, address, holding string
	// isHead is true for the holding of the group's head. It ends when the request arrives there, so its
	// renewal may fail.
	isHead bool
}

func (c renewCall) execute(ctx context.Context, d *Dispatcher) {
	err := withCallTimeout(ctx, func(ctx context.Context) error {
		return d.config.Holdings.Renew(ctx, c.address, c.holding, GrantTTL)
	})
	if !c.isHead {
		d.warnOnError(err, "Could not renew a holding", c.endpoint, c.holding)
	}
}

// quarantineCall passes a new quarantine to Config.OnQuarantine.
type quarantineCall struct {
	fingerprint uint64
}

func (c quarantineCall) execute(_ context.Context, d *Dispatcher) {
	d.config.OnQuarantine(c.fingerprint)
}

// createCall creates the holdings of a group. The holding of the first member by name is created before
// the others: if two dispatchers reserve overlapping groups, the one that fails there has not reserved
// memory elsewhere. No call waits while it holds memory, so there is no deadlock.
type createCall struct {
	cell    *cell
	grant   *grant
	members []GrantMember
}

func (c createCall) execute(ctx context.Context, d *Dispatcher) {
	members := slices.Clone(c.members)
	slices.SortFunc(members, func(a, b GrantMember) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	err := c.create(ctx, d, members[0])
	if err == nil {
		err = c.createAll(ctx, d, members[1:])
	}
	c.cell.mu.Lock()
	keep := c.cell.holdingsCreated(d.config.Clock(), c.grant, err == nil)
	d.unlockAndScheduleCalls(c.cell)
	if keep {
		return
	}
	d.warnOnError(err, "Could not reserve a group of engines; deleting its holdings", members[0].Endpoint, c.grant.ID)
	var deletions sync.WaitGroup
	for _, m := range members {
		deletions.Go(func() { deleteCall{m.Endpoint, m.Address, m.Holding}.execute(ctx, d) })
	}
	deletions.Wait()
}

func (c createCall) createAll(ctx context.Context, d *Dispatcher, members []GrantMember) error {
	errs := make([]error, len(members))
	var creations sync.WaitGroup
	for i, m := range members {
		creations.Go(func() { errs[i] = c.create(ctx, d, m) })
	}
	creations.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c createCall) create(ctx context.Context, d *Dispatcher, m GrantMember) error {
	return withCallTimeout(ctx, func(ctx context.Context) error {
		return d.config.Holdings.Create(ctx, m.Address, endpoint.Holding{
			ID: m.Holding, Holder: d.config.Instance, Tokens: m.Tokens, TTL: GrantTTL.Milliseconds(),
		})
	})
}

// listCall lists the holdings of an engine and finds those without a grant in any of its cells.
type listCall struct {
	cell              *cell
	endpoint, address string
	incarnation       string
	models            []string
	region            string
}

func (c listCall) execute(ctx context.Context, d *Dispatcher) {
	cells := d.cellsOfEngine(c.models, c.region, c.endpoint)
	if cells == nil {
		return
	}
	var holdings []endpoint.Holding
	err := withCallTimeout(ctx, func(ctx context.Context) error {
		var err error
		holdings, err = d.config.Holdings.List(ctx, c.address)
		return err
	})
	if err != nil {
		d.warnOnError(err, "Holdings not listed", c.endpoint, "")
		return
	}
	unmatched := slices.DeleteFunc(holdings, func(h endpoint.Holding) bool {
		return slices.ContainsFunc(cells, func(other *cell) bool {
			other.mu.Lock()
			defer d.unlockAndScheduleCalls(other)
			return other.hasHolding(h.ID)
		})
	})
	c.cell.mu.Lock()
	c.cell.holdingsListed(d.config.Clock(), c.endpoint, c.incarnation, unmatched)
	d.unlockAndScheduleCalls(c.cell)
}

// cellsOfEngine returns the cells of an engine, one for each of its models, or nil if another entry
// dispatches for one of them: a holding is an orphan only if none of the cells has a grant for it.
func (d *Dispatcher) cellsOfEngine(models []string, region, endpoint string) []*cell {
	var cells []*cell
	for _, model := range models {
		c := d.cell(d.cellNameFor(model, region, endpoint))
		if c == nil {
			return nil
		}
		cells = append(cells, c)
	}
	return cells
}

func (d *Dispatcher) warnOnError(err error, message, endpointName, id string) {
	if err != nil {
		d.config.Logger.Warn(message, zap.String(logging.Endpoint, endpointName), zap.String("id", id), zap.Error(err))
	}
}

// withCallTimeout runs one call with a timeout of callTimeout.
func withCallTimeout(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return run(ctx)
}

func (c *cell) scheduleCancel(r *replica, attempt string) {
	c.pendingCalls = append(c.pendingCalls, cancelCall{endpoint: r.name, address: r.announcement.Address, attempt: attempt})
}

func (c *cell) scheduleDelete(r *replica, holding string) {
	c.pendingCalls = append(c.pendingCalls, deleteCall{endpoint: r.name, address: r.announcement.Address, holding: holding})
}

// hasHolding reports whether a holding belongs to a live grant. At a single engine the ID of the holding
// is the attempt ID; holdings of a group have their own IDs.
func (c *cell) hasHolding(holding string) bool {
	if c.grants[holding] != nil {
		return true
	}
	for _, g := range c.grants {
		for _, p := range g.parts {
			if p.holding == holding {
				return true
			}
		}
	}
	return false
}

// reconcileHoldings schedules a call that lists the holdings for each engine.
func (c *cell) reconcileHoldings(time.Time) {
	for _, r := range c.sortedReplicas {
		a := &r.announcement
		if r.announced && r.isEngine() {
			c.pendingCalls = append(c.pendingCalls, listCall{
				cell: c, endpoint: r.name, address: a.Address, incarnation: a.Incarnation, models: a.Models, region: a.Region,
			})
		}
	}
}

// holdingsListed processes the holdings of an engine that belong to no grant. One that stays without a
// grant for GrantTTL is an orphan and is deleted: by then its entry would have reported its grant, also
// to a new dispatcher. Holdings of recently ended attempts are about to be freed and do not count as used
// memory.
func (c *cell) holdingsListed(now time.Time, name, incarnation string, unmatched []endpoint.Holding) {
	r := c.replicas[name]
	if r == nil || r.announcement.Incarnation != incarnation {
		return
	}
	stillUnmatched := make(map[string]time.Time, len(unmatched))
	r.unmatchedHeld = 0
	for _, h := range unmatched {
		firstSeen, seenBefore := r.unmatchedSince[h.ID]
		if !seenBefore {
			firstSeen = now
		}
		stillUnmatched[h.ID] = firstSeen
		if _, ended := c.endedAttempts[h.ID]; !ended {
			r.unmatchedHeld += h.Tokens
		}
		if now.Sub(firstSeen) >= GrantTTL {
			c.scheduleCancel(r, h.ID)
			c.scheduleDelete(r, h.ID)
		}
	}
	r.unmatchedSince = stillUnmatched
	c.placeQueued(now, maxTriesPerEvent)
}

// renewHoldings schedules renewals of the holdings of all groups.
func (c *cell) renewHoldings(time.Time) {
	hasHoldings := func(g *grant) bool { return !g.creatingHoldings && g.parts[0].holding != "" }
	for _, id := range sortedKeys(c.grants, hasHoldings) {
		for i, p := range c.grants[id].parts {
			if p.holding != "" {
				c.pendingCalls = append(c.pendingCalls, renewCall{
					endpoint: p.replica.name, address: p.replica.announcement.Address, holding: p.holding, isHead: i == 0,
				})
			}
		}
	}
}
