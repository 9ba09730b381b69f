package cli

import (
	"context"
	"net"

	"github.com/dandelionpier/dandelionpier/controld/internal/controller"
	"github.com/dandelionpier/dandelionpier/internal/settings"
	"github.com/dandelionpier/dandelionpier/internal/task"
	"github.com/dandelionpier/dandelionpier/platform"
)

// interfaces starts what this instance offers to operators and endpoints, and returns the ends. The
// controllers give orders in the form of our own interface, so they run with it.
func (d *daemon) interfaces(ctx context.Context) []<-chan error {
	ends := []<-chan error{
		task.Start(ctx, d.join),
		task.Start(ctx, func(ctx context.Context) error {
			return settings.Watch(ctx, d.seeds.path, func() { d.seeds.reload(d.control, d.controlAddresses, d.logger) })
		}),
	}
	if d.settings.OperatorListen != "" {
		orders, roles := d.controllers()
		ends = append(ends,
			task.Start(ctx, func(ctx context.Context) error { return controller.Run(ctx, orders, ordersInterval) }),
			task.Start(ctx, func(ctx context.Context) error { return controller.Run(ctx, roles, rolesInterval) }),
			task.Start(ctx, func(ctx context.Context) error {
				return d.serveOperators(ctx, d.settings.OperatorListen, func(net.Addr) {})
			}))
	}
	if d.settings.PlatformListen != "" {
		ends = append(ends, task.Start(ctx, d.servePlatform))
	}
	return ends
}

// servePlatform serves check-ins and declarations in the platform's form until ctx ends.
func (d *daemon) servePlatform(ctx context.Context) error {
	return listenHTTP(ctx, d.settings.PlatformListen, platform.NewControlHandler(platform.ControlConfig{
		Quorum: d.control, Document: d.machine.Document, Logger: d.logger,
	}), d.logger)
}
