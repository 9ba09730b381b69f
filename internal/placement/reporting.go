package placement

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/task"
)

// wholeInterval is the time between two reports of all jobs that run.
const wholeInterval = time.Second

// Run reports events until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(wholeInterval)
	defer ticker.Stop()
	for {
		whole := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			whole = true
		case <-c.wake:
		}
		task.Pause(ctx, reportDelay)
		c.flush(ctx, whole)
	}
}

// batch is what one dispatcher is told.
type batch struct {
	request ReportRequest
	// serves says that a service uses the dispatcher now; the others stand by.
	serves bool
}

// flush reports the events that wait, and all jobs that run to dispatchers that are new or where whole says so.
func (c *Client) flush(ctx context.Context, whole bool) {
	for d, b := range c.batches(whole) {
		err := c.report(ctx, d, b.request)
		c.noteSync(d, b.request.Whole, err == nil)
		if err == nil {
			continue
		}
		c.config.Logger.Info("Could not report to a dispatcher", zap.String("dispatcher", d.Instance), zap.Bool("in-use", b.serves),
			zap.Int("events", len(b.request.Events)), zap.Error(err))
		c.note(d.Instance, false)
		if b.serves {
			c.keep(b.request.Events)
		}
	}
}

// noteSync notes whether a dispatcher is told of what runs.
func (c *Client) noteSync(d Dispatcher, whole, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, synced := c.synced[d]
	switch {
	case !answered:
		delete(c.synced, d)
	case whole && !synced:
		c.synced[d] = time.Now()
	}
}

// batches takes the events that wait, for the dispatchers of their services.
func (c *Client) batches(whole bool) map[Dispatcher]*batch {
	standby := make(map[string]Dispatcher)
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, s := range c.current {
		for _, d := range c.config.Dispatchers(service) {
			if d != s.dispatcher && !time.Now().Before(c.silence[d.Instance].until) {
				standby[service] = d
				break
			}
		}
	}
	batches := make(map[Dispatcher]*batch)
	for _, e := range c.pending {
		service := e.Job.Service
		if s, ok := c.current[service]; ok && s.dispatcher.Instance != e.knows {
			addTo(batches, s.dispatcher, e.Event).serves = true
		}
		if d, ok := standby[service]; ok && d.Instance != e.knows {
			addTo(batches, d, e.Event)
		}
	}
	c.pending = nil
	ids := slices.Collect(maps.Keys(c.running))
	for service, s := range c.current {
		if whole || batches[s.dispatcher] != nil && c.fresh[s.dispatcher] {
			delete(c.fresh, s.dispatcher)
			b := addTo(batches, s.dispatcher)
			b.serves, b.request.Whole, b.request.Running = true, true, ids
		}
		if d, ok := standby[service]; ok && whole {
			b := addTo(batches, d)
			b.request.Whole, b.request.Running = true, ids
		}
	}
	return batches
}

// ids returns the ids of all jobs that run.
func (c *Client) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.running))
}

// addTo adds events to the batch of a dispatcher.
func addTo(batches map[Dispatcher]*batch, d Dispatcher, events ...Event) *batch {
	b := batches[d]
	if b == nil {
		b = &batch{}
		batches[d] = b
	}
	b.request.Events = append(b.request.Events, events...)
	return b
}

// keep puts events back that were not reported; they go with the next ones.
func (c *Client) keep(events []Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(events)+len(c.pending) > maxPending {
		return
	}
	again := make([]outgoing, 0, len(events)+len(c.pending))
	for _, e := range events {
		again = append(again, outgoing{Event: e})
	}
	c.pending = append(again, c.pending...)
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
