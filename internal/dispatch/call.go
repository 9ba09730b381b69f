package dispatch

import (
	"context"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/logging"
)

// call is one call to an endpoint, made by Run outside of the cell's lock.
type call interface {
	make(ctx context.Context, d *Dispatcher)
}

// cancelCall ends an attempt that has no grant any more.
type cancelCall struct {
	endpoint, address, attempt string
}

func (c cancelCall) make(ctx context.Context, d *Dispatcher) {
	if err := d.config.Holdings.Cancel(ctx, c.address, c.attempt); err != nil {
		d.config.Logger.Warn("Attempt not cancelled; the next comparison of holdings repeats it",
			zap.String(logging.Endpoint, c.endpoint), zap.String(logging.AttemptID, c.attempt), zap.Error(err))
	}
}
