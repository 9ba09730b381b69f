package cell

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const (
	// reportDelay is how long events are collected for one batch.
	reportDelay       = 20 * time.Millisecond
	keepAliveInterval = time.Second
	reportTimeout     = 500 * time.Millisecond
	// maxPending bounds the events kept for a dispatcher that does not reply. When events are lost, the grant
	// TTL and the engines' holdings free the resources.
	maxPending = 16384
)

// reporter sends the events of grants to the dispatchers of their cells, in batches.
type reporter struct {
	client  *Client
	mu      sync.Mutex
	pending []dispatch.Event
	running map[*ActiveGrant]struct{}
	wake    chan struct{}
	// flushing serializes flushes, which keeps the events of a grant in order.
	flushing sync.Mutex
}

func newReporter(c *Client) *reporter {
	return &reporter{client: c, running: make(map[*ActiveGrant]struct{}), wake: make(chan struct{}, 1)}
}

// ActiveGrant is a grant in use. Its events are reported to the dispatchers.
type ActiveGrant struct {
	reporter *reporter
	started  time.Time
	event    dispatch.Event
}

// TrackGrant starts to report the events of a grant, which is in use from now on. The caller must call End.
func (c *Client) TrackGrant(request dispatch.ReserveRequest, grant dispatch.Grant) *ActiveGrant {
	activeGrant := &ActiveGrant{reporter: c.reporter, started: time.Now(), event: dispatch.Event{
		Cell:         request.Cell,
		Grant:        grant.ID,
		PromptTokens: request.PromptTokens,
		Members:      grant.Members,
		Workspace:    request.Workspace,
		Priority:     request.Priority,
		Fingerprint:  request.Fingerprint,
	}}
	c.reporter.mu.Lock()
	c.reporter.running[activeGrant] = struct{}{}
	c.reporter.mu.Unlock()
	return activeGrant
}

// FirstToken reports that the prefill has ended.
func (g *ActiveGrant) FirstToken() {
	g.reporter.mu.Lock()
	g.event.Prefilled = true
	g.reporter.mu.Unlock()
	g.report(dispatch.FirstToken)
}

// End reports how the use ended, with the engine's token counts where they are known.
func (g *ActiveGrant) End(eventType dispatch.EventType, usage stream.Usage) {
	g.reporter.mu.Lock()
	delete(g.reporter.running, g)
	if usage.Known {
		g.event.PromptTokens = usage.PromptTokens
		g.event.CachedTokens = usage.CachedTokens
		g.event.OutputTokens = usage.CompletionTokens
	}
	event := g.event
	g.reporter.mu.Unlock()
	g.reporter.client.crashes.recordEnd(event, eventType)
	g.report(eventType)
}

func (g *ActiveGrant) report(eventType dispatch.EventType) {
	g.reporter.mu.Lock()
	event := g.event
	g.reporter.mu.Unlock()
	event.Type = eventType
	event.Elapsed = time.Since(g.started)
	g.reporter.enqueue(event)
}

// cancelReservation reports that the entry no longer awaits the reply to a reservation.
func (r *reporter) cancelReservation(request dispatch.ReserveRequest) {
	r.enqueue(dispatch.Event{
		Cell:        request.Cell,
		Grant:       request.AttemptID,
		Type:        dispatch.Cancelled,
		Workspace:   request.Workspace,
		Fingerprint: request.Fingerprint,
	})
}

func (r *reporter) enqueue(event dispatch.Event) {
	r.mu.Lock()
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, event)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) {
	keepAliveTicker := time.NewTicker(keepAliveInterval)
	defer keepAliveTicker.Stop()
	delayTimer := time.NewTimer(reportDelay)
	defer delayTimer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-keepAliveTicker.C:
			r.addKeepAliveEvents()
		case <-r.wake:
			delayTimer.Reset(reportDelay)
			select {
			case <-ctx.Done():
			case <-delayTimer.C:
			}
		}
		r.flush(context.WithoutCancel(ctx))
	}
	r.flush(context.WithoutCancel(ctx))
}

// addKeepAliveEvents adds a KeepAlive event for each grant in use.
func (r *reporter) addKeepAliveEvents() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for activeGrant := range r.running {
		event := activeGrant.event
		event.Type = dispatch.KeepAlive
		event.Elapsed = time.Since(activeGrant.started)
		r.pending = append(r.pending, event)
	}
}

func (r *reporter) flush(ctx context.Context) {
	r.flushing.Lock()
	defer r.flushing.Unlock()
	r.mu.Lock()
	events := r.pending
	r.pending = nil
	r.mu.Unlock()
	batches := make(map[session.Member][]dispatch.Event)
	for _, event := range events {
		for _, name := range r.client.cellsOfEvent(event) {
			if target, ok := r.client.dispatcher(name); ok {
				event.Cell = name
				batches[target] = append(batches[target], event)
			}
		}
	}
	var sends sync.WaitGroup
	for target, batch := range batches {
		sends.Go(func() { r.send(ctx, target, batch) })
	}
	sends.Wait()
}

func (r *reporter) send(ctx context.Context, target session.Member, batch []dispatch.Event) {
	request := dispatch.ReportRequest{Entry: r.client.entryID(), Events: batch}
	err := r.client.call(ctx, target, reportTimeout, "Dispatch.Report", request, &dispatch.ReportReply{})
	if err == nil {
		return
	}
	r.client.config.Logger.Debug("Could not report to a dispatcher", zap.String("dispatcher", target.Instance), zap.Error(err))
	var unsent []dispatch.Event
	for _, event := range batch {
		if event.Type != dispatch.KeepAlive {
			unsent = append(unsent, event)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The events are sent again with the next batch, to the dispatcher that is in charge by then. KeepAlive
	// events are not, because each is replaced by a newer one.
	r.pending = append(unsent, r.pending...)
	r.pending = r.pending[:min(len(r.pending), maxPending)]
}

// Flush sends the pending events now and returns when the dispatchers have received them or ctx has ended.
func (c *Client) Flush(ctx context.Context) {
	c.reporter.flush(ctx)
}
