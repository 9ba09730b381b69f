package cell

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const (
	// announceDelay is how long announcements are collected for one batch.
	announceDelay   = 100 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
	// maxCacheEvents bounds the cache events kept for one endpoint between two batches. Losing some is
	// harmless, because the index built from them is only a hint.
	maxCacheEvents = 8192
)

// forwarder sends announcements to the dispatchers of the endpoints' cells, in batches.
type forwarder struct {
	client  *Client
	mu      sync.Mutex
	pending map[string]endpoint.Announcement
	wake    chan struct{}
}

func newForwarder(c *Client) *forwarder {
	return &forwarder{client: c, pending: make(map[string]endpoint.Announcement), wake: make(chan struct{}, 1)}
}

// Announce records a valid announcement and forwards it with the next batch.
func (c *Client) Announce(a endpoint.Announcement) {
	c.endpointCache.recordAnnouncement(a)
	f := c.forwarder
	f.mu.Lock()
	if last, ok := f.pending[a.Name]; ok && last.Incarnation == a.Incarnation {
		events := append(last.CacheEvents[:len(last.CacheEvents):len(last.CacheEvents)], a.CacheEvents...)
		a.CacheEvents = events[max(0, len(events)-maxCacheEvents):]
	}
	f.pending[a.Name] = a
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *forwarder) run(ctx context.Context) {
	delayTimer := time.NewTimer(announceDelay)
	defer delayTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		delayTimer.Reset(announceDelay)
		select {
		case <-ctx.Done():
			return
		case <-delayTimer.C:
		}
		f.flush(ctx)
	}
}

func (f *forwarder) flush(ctx context.Context) {
	f.mu.Lock()
	pending := f.pending
	f.pending = make(map[string]endpoint.Announcement, len(pending))
	f.mu.Unlock()
	batches := make(map[session.Member][]endpoint.Announcement)
	for _, a := range pending {
		for target := range f.dispatchersOf(a) {
			batches[target] = append(batches[target], a)
		}
	}
	var sends sync.WaitGroup
	for target, batch := range batches {
		sends.Go(func() { f.send(ctx, target, batch) })
	}
	sends.Wait()
}

func (f *forwarder) dispatchersOf(a endpoint.Announcement) map[session.Member]struct{} {
	targets := make(map[session.Member]struct{}, 1)
	view, _ := f.client.config.View()
	for _, model := range a.Models {
		if target, ok := view.Dispatcher(view.CellOf(model, a.Region, a.Name)); ok {
			targets[target] = struct{}{}
		}
	}
	return targets
}

// send does not retry a failed batch: the endpoints announce themselves again within a second.
func (f *forwarder) send(ctx context.Context, target session.Member, batch []endpoint.Announcement) {
	request := dispatch.AnnounceRequest{Entry: f.client.entryID(), Announcements: batch}
	err := f.client.call(ctx, target, announceTimeout, "Dispatch.Announce", request, &dispatch.AnnounceReply{})
	if err != nil {
		f.client.config.Logger.Debug("Could not forward announcements", zap.String("dispatcher", target.Instance), zap.Error(err))
	}
}
