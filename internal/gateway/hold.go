package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Memory reserves memory at model engines.
type Memory interface {
	// Reserve sets memory aside, or renews a reservation with the same id. It is given back after ttl.
	Reserve(ctx context.Context, address, id string, tokens int, ttl time.Duration) error
	Release(ctx context.Context, address, id string) error
}

const (
	// holdTTL is how long a reservation outlives an entry that does not renew it, holdRenewal the time
	// between two renewals.
	holdTTL     = 3500 * time.Millisecond
	holdRenewal = 1200 * time.Millisecond
	// holdTimeout bounds a call.
	holdTimeout = 400 * time.Millisecond
	// releaseAttempts is how often a release is tried; the reservation ends by itself then.
	releaseAttempts = 3
)

// holds are the reservations of one attempt.
type holds struct {
	memory Memory
	id     string
	list   []placement.Member
	stop   context.CancelFunc
	ended  chan struct{}
	log    *zap.Logger
}

// hold reserves memory at all engines of a grant that need it, or at none. It returns the engine that had
// none free.
func (g *Gateway) hold(ctx context.Context, x *exchange, p *attempt) (blamed string, err error) {
	h := &holds{memory: g.config.Memory, id: p.job.ID, log: x.log}
	for _, m := range p.grant.Members {
		if m.Hold > 0 {
			h.list = append(h.list, m)
		}
	}
	if len(h.list) == 0 {
		return "", nil
	}
	if blamed, err = h.reserve(ctx); err != nil {
		h.release()
		return blamed, err
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	h.stop, h.ended = stop, make(chan struct{})
	go h.renew(renewing)
	p.holds = h
	return "", nil
}

// reserve makes or renews all reservations at once.
func (h *holds) reserve(ctx context.Context) (blamed string, err error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	errs := make([]error, len(h.list))
	var calls sync.WaitGroup
	for i, m := range h.list {
		calls.Go(func() { errs[i] = h.memory.Reserve(ctx, m.Address, h.id, m.Hold, holdTTL) })
	}
	calls.Wait()
	for i, err := range errs {
		if err != nil {
			return h.list[i].Endpoint, err
		}
	}
	return "", nil
}

func (h *holds) renew(ctx context.Context) {
	defer close(h.ended)
	for {
		task.Pause(ctx, holdRenewal)
		if ctx.Err() != nil {
			return
		}
		if blamed, err := h.reserve(ctx); err != nil && ctx.Err() == nil {
			h.log.Warn("Could not renew a reservation of memory", zap.String(logging.Endpoint, blamed), zap.Error(err))
		}
	}
}

// end gives everything back.
func (h *holds) end() {
	h.stop()
	<-h.ended
	h.release()
}

func (h *holds) release() {
	var calls sync.WaitGroup
	for _, m := range h.list {
		calls.Go(func() { h.releaseAt(m) })
	}
	calls.Wait()
}

func (h *holds) releaseAt(m placement.Member) {
	var err error
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
		err = h.memory.Release(ctx, m.Address, h.id)
		cancel()
		if err == nil {
			return
		}
	}
	h.log.Warn("Could not release memory; the reservation ends by itself", zap.String(logging.Endpoint, m.Endpoint), zap.Error(err))
}
