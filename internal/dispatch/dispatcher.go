package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	// tickInterval is how often timeouts are checked; it is well below the shortest of them, 1 s.
	tickInterval = 100 * time.Millisecond
	// reconcileInterval is the time between two reconciliations of the engines' holdings with the grants.
	reconcileInterval = 2 * time.Second
	// renewInterval leaves time for two more attempts within GrantTTL if a renewal is lost.
	renewInterval = GrantTTL / 3
	// callTimeout is the timeout of one call to an endpoint.
	callTimeout = time.Second
	// maxCalls limits the concurrent calls to endpoints.
	maxCalls = 64
	// maxAwait is the longest time that one long poll waits.
	maxAwait = 10 * time.Second
)

// Dispatcher dispatches for all cells that its entry owns. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	mu     sync.Mutex
	cells  map[string]*cell
	// pendingCalls are the calls to endpoints and other cells that Run has not started yet.
	pendingCalls []call
	wake         chan struct{}
}

// New returns a dispatcher without cells; a cell is created by the first call that names it.
func New(config Config) *Dispatcher {
	if config.Owns == nil {
		config.Owns = func(string) bool { return true }
	}
	if config.CellCount == nil {
		config.CellCount = func(string) int { return 1 }
	}
	if config.SendShare == nil {
		config.SendShare = func(ShareRequest) {}
	}
	if config.Clock == nil {
		config.Clock = time.Now
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Quarantined == nil {
		config.Quarantined = func(uint64) bool { return false }
	}
	if config.OnQuarantine == nil {
		config.OnQuarantine = func(uint64) {}
	}
	if config.EndpointDrained == nil {
		config.EndpointDrained = func(string, string) bool { return false }
	}
	if config.Jitter == nil {
		config.Jitter = rand.Float64
	}
	return &Dispatcher{config: config, cells: make(map[string]*cell), wake: make(chan struct{}, 1)}
}

// Reserve asks for an endpoint or a group. The same attempt ID always gets the same grant or ticket.
// The error is always nil; it makes the signature that of a remote call.
func (d *Dispatcher) Reserve(_ context.Context, request ReserveRequest) (ReserveReply, error) {
	c := d.cell(request.Cell)
	if c == nil {
		return ReserveReply{Status: Elsewhere}, nil
	}
	c.mu.Lock()
	defer d.unlockAndScheduleCalls(c)
	return c.reserve(d.config.Clock(), request), nil
}

// Estimate returns what Reserve would do, without reserving anything.
func (d *Dispatcher) Estimate(_ context.Context, request ReserveRequest) (Estimate, error) {
	c := d.cell(request.Cell)
	if c == nil {
		return Estimate{Status: Elsewhere}, nil
	}
	c.mu.Lock()
	defer d.unlockAndScheduleCalls(c)
	return c.estimate(d.config.Clock(), request), nil
}

// Share applies what another cell of the same model knows about crashes.
func (d *Dispatcher) Share(_ context.Context, request ShareRequest) error {
	d.withCell(request.Cell, func(c *cell) { c.applyShare(d.config.Clock(), request) })
	return nil
}

// Await waits until a queued reservation is granted or refused, for at most request.Wait or 10 s, and
// returns Queued if it is still waiting. An unknown ticket gets Elsewhere: reserve again.
func (d *Dispatcher) Await(ctx context.Context, request AwaitRequest) (ReserveReply, error) {
	name, attempt := splitTicket(request.Ticket)
	c := d.cell(name)
	if c == nil {
		return ReserveReply{Status: Elsewhere}, nil
	}
	c.mu.Lock()
	done := c.beginAwait(d.config.Clock(), attempt)
	d.unlockAndScheduleCalls(c)
	if done != nil {
		timer := time.NewTimer(min(request.Wait, maxAwait))
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer d.unlockAndScheduleCalls(c)
	return c.endAwait(d.config.Clock(), attempt, done != nil), nil
}

// Report applies the events of grants. Events of cells that this entry does not own are ignored.
func (d *Dispatcher) Report(_ context.Context, request ReportRequest) error {
	byCell := make(map[string][]Event)
	for _, event := range request.Events {
		byCell[event.Cell] = append(byCell[event.Cell], event)
	}
	for name, events := range byCell {
		d.withCell(name, func(c *cell) {
			for _, event := range events {
				c.report(d.config.Clock(), event)
			}
		})
	}
	return nil
}

// Announce applies announcements of endpoints, each of them to one cell of each of its models.
func (d *Dispatcher) Announce(_ context.Context, request AnnounceRequest) error {
	byCell := make(map[string][]endpoint.Announcement)
	for _, announcement := range request.Announcements {
		for _, model := range announcement.Models {
			name := d.cellNameFor(model, announcement.Region, announcement.Name)
			byCell[name] = append(byCell[name], announcement)
		}
	}
	for name, announcements := range byCell {
		d.withCell(name, func(c *cell) {
			for _, announcement := range announcements {
				c.announce(d.config.Clock(), announcement)
			}
		})
	}
	return nil
}

// withCell runs f on a cell with its lock held, if this entry owns the cell. Callers lock a cell once for
// a batch: under overload hundreds of calls wait for the lock, and when each announcement of a batch
// waited for it, announcements of live endpoints were delayed by more than DeadAfter.
func (d *Dispatcher) withCell(name string, f func(c *cell)) {
	c := d.cell(name)
	if c == nil {
		return
	}
	c.mu.Lock()
	f(c)
	d.unlockAndScheduleCalls(c)
}

// Endpoints returns the endpoints and the queue of a cell, a sample of its endpoints, or the changes of
// its endpoints.
func (d *Dispatcher) Endpoints(_ context.Context, request EndpointsRequest) (EndpointsReply, error) {
	c := d.cell(request.Cell)
	if c == nil {
		return EndpointsReply{Status: Elsewhere}, nil
	}
	c.mu.Lock()
	defer d.unlockAndScheduleCalls(c)
	switch now := d.config.Clock(); {
	case request.Changes:
		return c.changesSince(now, request), nil
	case request.Sample > 0:
		return c.sample(now, request.Sample), nil
	default:
		return c.view(now), nil
	}
}

// cellNameFor returns the name of the cell of a model to which an endpoint belongs.
func (d *Dispatcher) cellNameFor(model, region, endpoint string) string {
	firstCell := FirstCell(model, region)
	return CellForEndpoint(firstCell, endpoint, d.config.CellCount(firstCell))
}

// owns reports whether this entry dispatches for the cell and the cell still exists.
func (d *Dispatcher) owns(name string) bool {
	firstCell, number := SplitCell(name)
	return (number == 0 || number < d.config.CellCount(firstCell)) && d.config.Owns(name)
}

// cell returns the cell of that name, creating it if needed, or nil if this entry does not own it.
func (d *Dispatcher) cell(name string) *cell {
	if !d.owns(name) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cells[name]
	if c == nil {
		c = newCell(name, &d.config, d.config.Clock())
		d.cells[name] = c
	}
	return c
}

// unlockAndScheduleCalls unlocks the cell and passes its pending calls to Run.
func (d *Dispatcher) unlockAndScheduleCalls(c *cell) {
	calls := c.pendingCalls
	c.pendingCalls = nil
	c.mu.Unlock()
	if len(calls) == 0 {
		return
	}
	d.mu.Lock()
	d.pendingCalls = append(d.pendingCalls, calls...)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run expires grants, endpoints and tickets and calls endpoints, until ctx is done. It returns nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, maxCalls)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	reconcileTicker := time.NewTicker(reconcileInterval)
	defer reconcileTicker.Stop()
	renewTicker := time.NewTicker(renewInterval)
	defer renewTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		case <-ticker.C:
			d.tick()
		case <-reconcileTicker.C:
			d.forEachCell((*cell).reconcileHoldings)
		case <-renewTicker.C:
			d.forEachCell((*cell).renewHoldings)
		}
		for _, next := range d.takeCalls() {
			running.Go(func() { d.runCall(ctx, slots, next) })
		}
	}
}

func (d *Dispatcher) takeCalls() []call {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := d.pendingCalls
	d.pendingCalls = nil
	return calls
}

func (d *Dispatcher) allCells() []*cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	cells := make([]*cell, 0, len(d.cells))
	for _, c := range d.cells {
		cells = append(cells, c)
	}
	return cells
}

func (d *Dispatcher) forEachCell(step func(*cell, time.Time)) {
	for _, c := range d.allCells() {
		c.mu.Lock()
		step(c, d.config.Clock())
		d.unlockAndScheduleCalls(c)
	}
}

// tick ticks all cells, and drops idle ones and those that another entry owns now. The dispatcher of that
// entry adopts their grants, so nothing is cancelled.
func (d *Dispatcher) tick() {
	for _, c := range d.allCells() {
		if d.owns(c.name) {
			c.mu.Lock()
			c.tick(d.config.Clock())
			idle := c.idle(d.config.Clock())
			d.unlockAndScheduleCalls(c)
			if !idle {
				continue
			}
		}
		d.mu.Lock()
		delete(d.cells, c.name)
		d.mu.Unlock()
		c.mu.Lock()
		c.close()
		d.unlockAndScheduleCalls(c)
	}
}

func (d *Dispatcher) runCall(ctx context.Context, slots chan struct{}, next call) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	next.execute(ctx, d)
}

const ticketSeparator = "#"

func makeTicket(cell, attempt string) string {
	return cell + ticketSeparator + attempt
}

func splitTicket(ticket string) (cell, attempt string) {
	cell, attempt, _ = strings.Cut(ticket, ticketSeparator)
	return cell, attempt
}
