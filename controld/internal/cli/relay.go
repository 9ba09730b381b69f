package cli

import (
	"context"
	"net/http"

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

// relay is an instance without a data directory. It forwards check-ins and declarations to the leader, which
// it finds through its seeds, stores nothing and has no vote.
type relay struct {
	settings      Settings
	logger        *zap.Logger
	registry      *metrics.Registry
	peerPool      *peer.Pool
	seeds         *seedList
	controlClient *control.Client
}

func newRelay(path string, s Settings, logger *zap.Logger) (*relay, error) {
	certificates, err := s.TLS.Open(s.TLS.certificateUse(), logger)
	if err != nil {
		return nil, err
	}
	r := &relay{settings: s, logger: logger, registry: metrics.NewRegistry(), seeds: newSeedList(s)}
	r.seeds.path = path
	metrics.RegisterProcess(r.registry)
	r.registry.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	r.peerPool = peer.NewPool(peer.PoolConfig{Key: peer.KeyOrOpenNetworkKey(s.ClusterKey), TLS: certificates.PeerClient})
	r.controlClient = control.NewClient(control.ClientConfig{Addresses: r.seeds.peers(), Caller: r.peerPool})
	return r, nil
}

// platformHandler forwards requests to the quorum. It has no declaration to check against, so it accepts
// check-ins for any service.
func (r *relay) platformHandler() http.Handler {
	return platform.NewControlHandler(platform.ControlConfig{
		Quorum: r.controlClient, Document: func() declaration.Document { return declaration.Document{} },
		DataCentres: r.settings.DataCentres, Logger: r.logger,
	})
}

// serve runs all parts of the relay until ctx is done or one of them fails.
func (r *relay) serve(ctx context.Context) error {
	defer r.peerPool.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ends := []<-chan error{
		task.Start(ctx, func(ctx context.Context) error {
			return settings.Watch(ctx, r.seeds.path, func() { r.seeds.reload(r.controlClient, r.seeds.peers, r.logger) })
		}),
		task.Start(ctx, func(ctx context.Context) error {
			return listenHTTP(ctx, r.settings.PlatformListen, r.platformHandler(), r.logger)
		}),
	}
	if r.settings.MetricsListen != "" {
		handler := metrics.Handler(metrics.HandlerConfig{Registry: r.registry, Ready: func() error { return nil }})
		ends = append(ends, task.Start(ctx, func(ctx context.Context) error {
			return listenHTTP(ctx, r.settings.MetricsListen, handler, r.logger)
		}))
	}
	r.logger.Info("Started without a data directory; passing calls on to the quorum", zap.Strings("seeds", r.settings.Seeds))
	err := task.StopAfterFirst(ctx, stop, ends...)
	r.logger.Info("Stopped", zap.Error(err))
	return err
}
