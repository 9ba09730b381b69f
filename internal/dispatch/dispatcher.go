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
	// tickInterval is how often expiries are checked; it is well below the shortest of them, 1 s.
	tickInterval = 100 * time.Millisecond
	// compareInterval is the time between two comparisons of holdings with grants.
	reconcileInterval = 2 * time.Second
	// renewInterval leaves two more attempts within GrantTTL when a renewal is lost.
	renewInterval = GrantTTL / 3
	// callTimeout bounds one call to an endpoint.
	callTimeout = time.Second
	// maxCalls bounds the concurrent calls to endpoints.
	maxCalls = 64
	// maxAwait bounds one long poll.
	maxAwait = 10 * time.Second
)

// Dispatcher dispatches for all cells that its entry owns. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	mu     sync.Mutex
	cells  map[string]*cell
	// calls are the calls to endpoints that Run is to make.
	pendingCalls []call
	wake         chan struct{}
}

// New returns a dispatcher without cells; a cell appears with its first announcement or reservation.
func New(config Config) *Dispatcher {
	if config.Owns == nil {
		config.Owns = func(string) bool { return true }
	}
	if config.Cells == nil {
		config.Cells = func(string) int { return 1 }
	}
	if config.Share == nil {
		config.Share = func(ShareRequest) {}
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
	if config.Quarantine == nil {
		config.Quarantine = func(uint64) {}
	}
	if config.EndpointDrained == nil {
		config.EndpointDrained = func(string) bool { return false }
	}
	if config.Jitter == nil {
		config.Jitter = rand.Float64
	}
	return &Dispatcher{config: config, cells: make(map[string]*cell), wake: make(chan struct{}, 1)}
}

// Reserve asks for an endpoint or a group. The same attempt id always gets the same grant or ticket.
// The error is always nil; it is there for symmetry with a remote call.
func (d *Dispatcher) Reserve(_ context.Context, request ReserveRequest) (ReserveReply, error) {
	c := d.cell(request.Cell)
	if c == nil {
		return ReserveReply{Status: Elsewhere}, nil
	}
	c.mu.Lock()
	defer d.unlockAndScheduleCalls(c)
	return c.reserve(d.config.Clock(), request), nil
}

// Estimate returns the offer of a cell. It reserves nothing.
func (d *Dispatcher) Estimate(_ context.Context, request ReserveRequest) (Estimate, error) {
	c := d.cell(request.Cell)
	if c == nil {
		return Estimate{Status: Elsewhere}, nil
	}
	c.mu.Lock()
	defer d.unlockAndScheduleCalls(c)
	return c.estimate(d.config.Clock(), request), nil
}

// Share takes what another cell of the same model knows of crashes.
func (d *Dispatcher) Share(_ context.Context, request ShareRequest) error {
	d.withCell(request.Cell, func(c *cell) { c.applyShare(d.config.Clock(), request) })
	return nil
}

// Await waits until a queued reservation is granted or refused, at most request.Wait or 10 s, and
// returns Queued when it still waits. An unknown ticket gives Elsewhere: reserve again.
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

// Report takes the events of grants. Events of cells that this entry does not own are ignored.
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

// Announce takes announcements of endpoints; each one counts in one cell of each of its models.
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

// locked runs f on a cell that this entry owns. A batch locks the cell once: under overload hundreds of
// calls wait for the lock in turn, and when each announcement of a batch waited, live endpoints were not
// heard of for more than DeadAfter.
func (d *Dispatcher) withCell(name string, f func(c *cell)) {
	c := d.cell(name)
	if c == nil {
		return
	}
	c.mu.Lock()
	f(c)
	d.unlockAndScheduleCalls(c)
}

// Endpoints returns the endpoints and the queue of a cell, or what has changed of its endpoints.
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

// cellOf returns the cell of an endpoint among those of a model.
func (d *Dispatcher) cellNameFor(model, region, endpoint string) string {
	first := Cell(model, region)
	return CellOf(first, endpoint, d.config.Cells(first))
}

// owns says whether this entry dispatches for the cell and the model still has so many cells.
func (d *Dispatcher) owns(name string) bool {
	first, number := SplitCell(name)
	return (number == 0 || number < d.config.Cells(first)) && d.config.Owns(name)
}

// cell returns the cell of that name, or nil when this entry does not own it.
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

// finish unlocks the cell and hands its calls to Run.
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

// Run expires grants, endpoints and tickets and calls endpoints, until ctx ends. It returns nil.
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

// tick advances all cells and drops those that another entry now owns: its dispatcher adopts their
// grants, so nothing is cancelled.
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
