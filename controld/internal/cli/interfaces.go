package cli

import (
	"context"
	"net"

	"github.com/dandelionpier/dandelionpier/controld/internal/controller"
	"github.com/dandelionpier/dandelionpier/internal/settings"
	"github.com/dandelionpier/dandelionpier/internal/task"
	"github.com/dandelionpier/dandelionpier/platform"
)

// startInterfaces starts the interfaces to operators and endpoints, joining the quorum and watching the
// settings, and returns the channels that report their ends. The controllers send orders in this project's
// own format and not in the platform's, so they run only where the operators' API is served.
func (d *daemon) startInterfaces(ctx context.Context) []<-chan error {
	ends := []<-chan error{
		task.Start(ctx, d.join),
		task.Start(ctx, func(ctx context.Context) error {
			return settings.Watch(ctx, d.seeds.path, func() { d.seeds.reload(d.controlClient, d.controlAddresses, d.logger) })
		}),
	}
	if d.settings.OperatorListen != "" {
		reconciler, balancer := d.newControllers()
		ends = append(ends,
			task.Start(ctx, func(ctx context.Context) error { return controller.Run(ctx, reconciler, reconcileInterval) }),
			task.Start(ctx, func(ctx context.Context) error { return controller.Run(ctx, balancer, roleBalanceInterval) }),
			task.Start(ctx, func(ctx context.Context) error {
				return d.serveOperators(ctx, d.settings.OperatorListen, func(net.Addr) {})
			}))
	}
	if d.settings.PlatformListen != "" {
		ends = append(ends, task.Start(ctx, d.servePlatform))
	}
	return ends
}

// servePlatform serves check-ins and declarations in the platform's format until ctx is done.
func (d *daemon) servePlatform(ctx context.Context) error {
	return listenHTTP(ctx, d.settings.PlatformListen, platform.NewControlHandler(platform.ControlConfig{
		Quorum: d.controlClient, Document: d.machine.Document, DataCentres: d.settings.DataCentres, Logger: d.logger,
	}), d.logger)
}
