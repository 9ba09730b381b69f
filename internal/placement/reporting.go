package placement

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/task"
)

const (
	// fullReportInterval is the time between two reports of all running jobs.
	fullReportInterval = time.Second
	// followInterval is the time after which a change of the cells or their dispatchers is noticed at the latest.
	followInterval = 200 * time.Millisecond
)

// Run reports events until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	lastFull := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.wake:
			task.Pause(ctx, batchDelay)
		}
		c.followCells()
		c.followDispatchers()
		full := time.Since(lastFull) >= fullReportInterval
		if full {
			lastFull = time.Now()
		}
		c.flush(ctx, full)
	}
}

// batch is the next report to one dispatcher.
type batch struct {
	request ReportRequest
	// toActive says that the dispatcher is the active one of a cell; the others are on standby.
	toActive bool
	// cells are those for which the list of running jobs is due.
	cells []Cell
}

// flush reports the pending events. It adds the list of all running jobs for dispatchers that are new, and for all
// dispatchers if full is set.
func (c *Client) flush(ctx context.Context, full bool) {
	for d, b := range c.batches(full) {
		err := c.report(ctx, d, b.request)
		c.recordSync(d, b.cells, err == nil)
		if err == nil {
			continue
		}
		c.config.Logger.Info("Could not report to a dispatcher", zap.String("dispatcher", d.Instance), zap.Bool("in-use", b.toActive),
			zap.Int("events", len(b.request.Events)), zap.Error(err))
		c.recordReachable(d, false)
		if b.toActive {
			c.requeue(b.request.Events)
		}
	}
}

// recordSync records whether a dispatcher has received the list of running jobs for some cells.
func (c *Client) recordSync(d Dispatcher, cells []Cell, replied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cell := range cells {
		key := cellDispatcher{cell, d}
		_, synced := c.syncedSince[key]
		switch {
		case !replied:
			delete(c.syncedSince, key)
		case !synced:
			c.syncedSince[key] = time.Now()
		}
	}
}

// followCells assigns the running jobs to the cells of their engines after the number of cells has changed, and reports
// them to the new ones.
func (c *Client) followCells() {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range c.running {
		service := r.job.Service
		if counts[service] == 0 {
			counts[service] = c.cellCount(service)
		}
		if r.cells[0].Count == counts[service] {
			continue
		}
		r.cells = cellsOf(r.grant, service, counts[service])
		for _, cell := range r.cells {
			c.assumeActive(cell)
			c.enqueueAdopted(r, cell)
		}
	}
	for cell := range c.active {
		if cell.Count != c.cellCount(cell.Service) {
			delete(c.active, cell)
		}
	}
}

// followDispatchers replaces the active dispatchers that dispatch for their cells no more, and reports the running jobs to
// their successors. Without it a successor would learn of the jobs of an entry only with the entry's next request.
func (c *Client) followDispatchers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cell, s := range c.active {
		dispatchers := c.config.Dispatchers(cell)
		if len(dispatchers) == 0 || slices.Contains(dispatchers, s.dispatcher) {
			continue
		}
		c.active[cell] = activeDispatcher{dispatcher: dispatchers[0]}
		for _, r := range c.running {
			if slices.Contains(r.cells, cell) {
				c.enqueueAdopted(r, cell)
			}
		}
	}
}

// assumeActive takes the preferred dispatcher of a cell for the active one if none has replied yet. The caller must hold
// c.mu.
func (c *Client) assumeActive(cell Cell) {
	if _, ok := c.active[cell]; ok {
		return
	}
	if dispatchers := c.config.Dispatchers(cell); len(dispatchers) > 0 {
		c.active[cell] = activeDispatcher{dispatcher: dispatchers[0]}
	}
}

// cellsOf returns the cells of the engines of a grant, without repetitions.
func cellsOf(grant Grant, service string, count int) []Cell {
	var cells []Cell
	for _, m := range grant.Members {
		if cell := CellOf(service, m.Endpoint, count); !slices.Contains(cells, cell) {
			cells = append(cells, cell)
		}
	}
	return cells
}

// batches removes the pending events and returns them, with lists of running jobs where due, by dispatcher: the active
// one and the standby one of each cell.
func (c *Client) batches(full bool) map[Dispatcher]*batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	standby := c.standbys()
	batches := make(map[Dispatcher]*batch)
	for _, e := range c.pending {
		cell := e.Job.cell()
		if s, ok := c.active[cell]; ok && s.dispatcher.Instance != e.knownBy {
			addToBatch(batches, s.dispatcher, e.Event).toActive = true
		}
		if d, ok := standby[cell]; ok && d.Instance != e.knownBy {
			addToBatch(batches, d, e.Event)
		}
	}
	c.pending = nil
	ids := slices.Collect(maps.Keys(c.running))
	busy := c.busyCells()
	addFull := func(cell Cell, d Dispatcher) *batch {
		b := addToBatch(batches, d)
		b.request.Whole, b.request.Running = true, ids
		b.cells = append(b.cells, cell)
		return b
	}
	for cell, s := range c.active {
		if full && c.owesFullReport(cell, s.dispatcher, busy[cell]) || batches[s.dispatcher] != nil && c.needsFullReport[s.dispatcher] {
			delete(c.needsFullReport, s.dispatcher)
			addFull(cell, s.dispatcher).toActive = true
		}
		if d, ok := standby[cell]; ok && full && c.owesFullReport(cell, d, busy[cell]) {
			addFull(cell, d)
		}
	}
	return batches
}

// standbys returns the standby dispatcher of each cell in use. The caller must hold c.mu.
func (c *Client) standbys() map[Cell]Dispatcher {
	standby := make(map[Cell]Dispatcher)
	for cell, s := range c.active {
		for _, d := range c.config.Dispatchers(cell) {
			if d != s.dispatcher && !time.Now().Before(c.backOffs[d.Instance].until) {
				standby[cell] = d
				break
			}
		}
	}
	return standby
}

// busyCells returns the cells with running jobs. The caller must hold c.mu.
func (c *Client) busyCells() map[Cell]bool {
	busy := make(map[Cell]bool)
	for _, r := range c.running {
		for _, cell := range r.cells {
			busy[cell] = true
		}
	}
	return busy
}

// owesFullReport reports whether a dispatcher of a cell is to receive the list of running jobs: one that has not received it
// yet, or one of a cell in which this entry runs jobs. The caller must hold c.mu.
func (c *Client) owesFullReport(cell Cell, d Dispatcher, busy bool) bool {
	_, synced := c.syncedSince[cellDispatcher{cell, d}]
	return busy || !synced
}

// runningIDs returns the ids of all running jobs.
func (c *Client) runningIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.running))
}

// addToBatch adds events to the batch of a dispatcher.
func addToBatch(batches map[Dispatcher]*batch, d Dispatcher, events ...Event) *batch {
	b := batches[d]
	if b == nil {
		b = &batch{}
		batches[d] = b
	}
	b.request.Events = append(b.request.Events, events...)
	return b
}

// requeue puts events that could not be reported ahead of the pending ones. They are dropped if there is no room.
func (c *Client) requeue(events []Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(events)+len(c.pending) > maxPending {
		return
	}
	requeued := make([]pendingEvent, 0, len(events)+len(c.pending))
	for _, e := range events {
		requeued = append(requeued, pendingEvent{Event: e})
	}
	c.pending = append(requeued, c.pending...)
}

func (c *Client) report(ctx context.Context, d Dispatcher, request ReportRequest) error {
	var reply ReportReply
	request.Entry = c.config.Instance
	if d.Instance == c.config.Instance {
		return c.config.Local.Report(request, &reply)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.config.Caller.Call(ctx, d.Address, ServiceName+".Report", request, &reply)
}
