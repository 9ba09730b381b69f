package placement

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/task"
)

// fullReportInterval is the time between two reports of all running jobs.
const fullReportInterval = time.Second

// Run reports events until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(fullReportInterval)
	defer ticker.Stop()
	for {
		full := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			full = true
		case <-c.wake:
		}
		task.Pause(ctx, batchDelay)
		c.flush(ctx, full)
	}
}

// batch is the next report to one dispatcher.
type batch struct {
	request ReportRequest
	// toActive says that the dispatcher is the active one of a service; the others are on standby.
	toActive bool
}

// flush reports the pending events. It adds the list of all running jobs for dispatchers that are new, and for all
// dispatchers if full is set.
func (c *Client) flush(ctx context.Context, full bool) {
	for d, b := range c.batches(full) {
		err := c.report(ctx, d, b.request)
		c.recordSync(d, b.request.Whole, err == nil)
		if err == nil {
			continue
		}
		c.config.Logger.Info("Could not report to a dispatcher", zap.String("dispatcher", d.Instance), zap.Bool("in-use", b.toActive),
			zap.Int("events", len(b.request.Events)), zap.Error(err))
		c.recordReachable(d.Instance, false)
		if b.toActive {
			c.requeue(b.request.Events)
		}
	}
}

// recordSync records whether a dispatcher receives the list of all running jobs.
func (c *Client) recordSync(d Dispatcher, full, replied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, synced := c.syncedSince[d]
	switch {
	case !replied:
		delete(c.syncedSince, d)
	case full && !synced:
		c.syncedSince[d] = time.Now()
	}
}

// batches removes the pending events and returns them, with lists of running jobs where due, by dispatcher: the active
// one and the standby one of each service.
func (c *Client) batches(full bool) map[Dispatcher]*batch {
	standby := make(map[string]Dispatcher)
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, s := range c.active {
		for _, d := range c.config.Dispatchers(service) {
			if d != s.dispatcher && !time.Now().Before(c.backOffs[d.Instance].until) {
				standby[service] = d
				break
			}
		}
	}
	batches := make(map[Dispatcher]*batch)
	for _, e := range c.pending {
		service := e.Job.Service
		if s, ok := c.active[service]; ok && s.dispatcher.Instance != e.knownBy {
			addToBatch(batches, s.dispatcher, e.Event).toActive = true
		}
		if d, ok := standby[service]; ok && d.Instance != e.knownBy {
			addToBatch(batches, d, e.Event)
		}
	}
	c.pending = nil
	ids := slices.Collect(maps.Keys(c.running))
	for service, s := range c.active {
		if full || batches[s.dispatcher] != nil && c.needsFullReport[s.dispatcher] {
			delete(c.needsFullReport, s.dispatcher)
			b := addToBatch(batches, s.dispatcher)
			b.toActive, b.request.Whole, b.request.Running = true, true, ids
		}
		if d, ok := standby[service]; ok && full {
			b := addToBatch(batches, d)
			b.request.Whole, b.request.Running = true, ids
		}
	}
	return batches
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
