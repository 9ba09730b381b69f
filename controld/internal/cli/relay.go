package cli

import (
	"context"
	"net"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/settings"
	"github.com/dandelionpier/dandelionpier/internal/task"
	"github.com/dandelionpier/dandelionpier/platform"
)

// relay runs an instance without a data directory: it passes check-ins and declarations on to the leader that its seeds
// know, keeps nothing and has no vote.
type relay struct {
	settings Settings
	logger   *zap.Logger
	registry *metrics.Registry
	pool     *peer.Pool
	seeds    *seeds
	control  *control.Client
}

func newRelay(path string, s Settings, logger *zap.Logger) (*relay, error) {
	certificates, err := s.TLS.Open(s.TLS.use(), logger)
	if err != nil {
		return nil, err
	}
	r := &relay{settings: s, logger: logger, registry: metrics.NewRegistry(), seeds: newSeeds(s)}
	r.seeds.path = path
	metrics.RegisterProcess(r.registry)
	r.registry.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	r.pool = peer.NewPool(peer.PoolConfig{Key: peer.KeyOrOpen(s.ClusterKey), TLS: certificates.PeerClient})
	r.control = control.NewClient(control.ClientConfig{Addresses: r.seeds.peers(), Caller: r.pool})
	return r, nil
}

// reload takes over the seeds of the settings file.
func (r *relay) reload() {
	s, err := loadSettings(r.seeds.path)
	if err != nil {
		r.logger.Error("Could not reload the settings; the old ones stay in force", zap.Error(err))
		return
	}
	r.seeds.use(s.Seeds)
	r.control.Use(r.seeds.peers())
	r.logger.Info("Reloaded the settings", zap.Strings("seeds", s.Seeds))
}

// serve runs until ctx ends or a part fails.
func (r *relay) serve(ctx context.Context) error {
	defer r.pool.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	api := platform.NewControl(platform.ControlConfig{
		Quorum: r.control, Document: func() declaration.Document { return declaration.Document{} }, Logger: r.logger,
	})
	ends := []<-chan error{
		task.Start(ctx, func(ctx context.Context) error { return settings.Watch(ctx, r.seeds.path, r.reload) }),
		task.Start(ctx, func(ctx context.Context) error {
			listener, err := net.Listen("tcp", r.settings.PlatformListen)
			if err != nil {
				return err
			}
			return serveHTTP(ctx, listener, api, r.logger)
		}),
	}
	if r.settings.MetricsListen != "" {
		ready := func() error { return nil }
		handler := metrics.Handler(metrics.HandlerConfig{Registry: r.registry, Ready: ready})
		ends = append(ends, task.Start(ctx, func(ctx context.Context) error {
			listener, err := net.Listen("tcp", r.settings.MetricsListen)
			if err != nil {
				return err
			}
			return serveHTTP(ctx, listener, handler, r.logger)
		}))
	}
	r.logger.Info("Started without a data directory; passing calls on to the quorum", zap.Strings("seeds", r.settings.Seeds))
	err := task.First(ctx, stop, ends...)
	r.logger.Info("Stopped", zap.Error(err))
	return err
}
