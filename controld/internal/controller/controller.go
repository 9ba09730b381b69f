// Package controller holds the loops that bring the endpoints into the declared state. They run on
// the control leader only: each round first checks the leader's lease.
package controller

import (
	"context"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Lease tells whether this instance leads. Remaining is what is left of the lease, 0 or less when the
// instance does not lead; the term is the fencing token of orders.
type Lease interface {
	LeaderLease() (remaining time.Duration, term uint64)
}

// Configuration returns the newest accepted configuration.
type Configuration interface {
	Configuration() configuration.Configuration
}

// Fleet returns the endpoints as their dispatchers see them. When a dispatcher does not answer, its
// endpoints are absent and complete is false.
type Fleet interface {
	Endpoints(ctx context.Context) (views []dispatch.EndpointView, complete bool)
}

// Engines reads the state of engines and gives them orders; *endpoint.Client does. An error of Order
// of kind endpoint.Refused means that the order is not carried out, any other that it may be.
type Engines interface {
	State(ctx context.Context, address string) (endpoint.PlatformState, error)
	Order(ctx context.Context, address string, order endpoint.Order) error
}

// Controller does one round of work at a time.
type Controller interface {
	Round(ctx context.Context)
}

// Run runs a controller, a round at once and then one each interval, until ctx ends and the last
// round has ended.
func Run(ctx context.Context, c Controller, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.Round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}
