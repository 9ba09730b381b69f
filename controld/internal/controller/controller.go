// Package controller holds the control loops that reconcile the engines with the declared state. They
// act on the control leader only: each round first checks the leader's lease.
package controller

import (
	"context"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Lease reports whether this instance is the control leader. Remaining is the time until the lease
// expires, 0 or less when the instance is not the leader. The term is the fencing token of orders.
type Lease interface {
	LeaderLease() (remaining time.Duration, term uint64)
}

// Configuration returns the newest accepted configuration.
type Configuration interface {
	Configuration() configuration.Configuration
}

// Fleet returns the endpoints as their dispatchers see them. When a dispatcher does not reply, its
// endpoints are absent and complete is false.
type Fleet interface {
	Endpoints(ctx context.Context) (views []dispatch.EndpointView, complete bool)
}

// Engines reads the state of engines and sends them orders; *endpoint.Client implements it. An error
// of kind endpoint.Refused from Order means that the engine does not execute the order; after any
// other error the engine may still execute it.
type Engines interface {
	State(ctx context.Context, address string) (endpoint.PlatformState, error)
	Order(ctx context.Context, address string, order endpoint.Order) error
}

// Controller compares the observed with the desired state once per round and acts on the difference.
type Controller interface {
	RunOnce(ctx context.Context)
}

// Run runs the first round immediately and then one per interval. It returns when ctx is done and the
// round in progress has finished.
func Run(ctx context.Context, c Controller, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.RunOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}
