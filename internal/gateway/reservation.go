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

// MemoryClient reserves memory at model engines.
type MemoryClient interface {
	// Reserve reserves memory for a number of tokens, or renews the reservation with the same id. The reservation
	// expires after ttl.
	Reserve(ctx context.Context, address, id string, tokens int, ttl time.Duration) error
	Release(ctx context.Context, address, id string) error
}

const (
	// reservationTTL is how long a reservation lasts without a renewal, so that the memory of a crashed entry is
	// released. renewalInterval is the time between two renewals.
	reservationTTL  = 3500 * time.Millisecond
	renewalInterval = 1200 * time.Millisecond
	// reservationTimeout is the timeout of a call to an engine.
	reservationTimeout = 400 * time.Millisecond
	// releaseAttempts limits the calls to release a reservation. If all fail, it expires.
	releaseAttempts = 3
)

// memoryReservation is the memory that one attempt has reserved at its engines.
type memoryReservation struct {
	memory       MemoryClient
	id           string
	members      []placement.Member
	stopRenewal  context.CancelFunc
	renewalEnded chan struct{}
	log          *zap.Logger
}

// reserveMemory reserves memory at all engines of a grant that need a reservation, or at none. On an error it returns
// the engine that failed.
func (g *Gateway) reserveMemory(ctx context.Context, x *exchange, a *attempt) (faultyEndpoint string, err error) {
	r := &memoryReservation{memory: g.config.Memory, id: a.job.ID, log: x.log}
	for _, m := range a.grant.Members {
		if m.Hold > 0 {
			r.members = append(r.members, m)
		}
	}
	if len(r.members) == 0 {
		return "", nil
	}
	if faultyEndpoint, err = r.reserve(ctx); err != nil {
		r.release()
		return faultyEndpoint, err
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.stopRenewal, r.renewalEnded = stop, make(chan struct{})
	go r.renew(renewing)
	a.reservation = r
	return "", nil
}

// reserve makes or renews the reservations at all engines concurrently.
func (r *memoryReservation) reserve(ctx context.Context) (faultyEndpoint string, err error) {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	errs := make([]error, len(r.members))
	var calls sync.WaitGroup
	for i, m := range r.members {
		calls.Go(func() { errs[i] = r.memory.Reserve(ctx, m.Address, r.id, m.Hold, reservationTTL) })
	}
	calls.Wait()
	for i, err := range errs {
		if err != nil {
			return r.members[i].Endpoint, err
		}
	}
	return "", nil
}

func (r *memoryReservation) renew(ctx context.Context) {
	defer close(r.renewalEnded)
	for {
		task.Pause(ctx, renewalInterval)
		if ctx.Err() != nil {
			return
		}
		if faultyEndpoint, err := r.reserve(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("Could not renew a memory reservation", zap.String(logging.Endpoint, faultyEndpoint), zap.Error(err))
		}
	}
}

// cancel stops the renewal and releases the memory at all engines.
func (r *memoryReservation) cancel() {
	r.stopRenewal()
	<-r.renewalEnded
	r.release()
}

func (r *memoryReservation) release() {
	var calls sync.WaitGroup
	for _, m := range r.members {
		calls.Go(func() { r.releaseAt(m) })
	}
	calls.Wait()
}

func (r *memoryReservation) releaseAt(m placement.Member) {
	var err error
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
		err = r.memory.Release(ctx, m.Address, r.id)
		cancel()
		if err == nil {
			return
		}
	}
	r.log.Warn("Could not release a memory reservation, it will expire", zap.String(logging.Endpoint, m.Endpoint), zap.Error(err))
}
