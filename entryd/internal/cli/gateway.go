package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/gateway"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/session"
	"github.com/dandelionpier/dandelionpier/internal/settings"
	"github.com/dandelionpier/dandelionpier/internal/task"
	"github.com/dandelionpier/dandelionpier/platform"
)

// gatewayEntry is an entry that serves declared routes.
type gatewayEntry struct {
	options *options.Gateway
	path    string
	// self is this instance as the others see it.
	self       session.Member
	logger     *zap.Logger
	metrics    *metrics.Registry
	pool       *peer.Pool
	peers      *peer.Server
	control    *control.Client
	keeper     *session.Client
	fleet      *gateway.Fleet
	placer     *placement.Client
	dispatcher *placement.Service
	gateway    *gateway.Gateway
	draining   atomic.Bool
}

// serveGateway runs an entry until ctx ends, then drains it.
func serveGateway(ctx context.Context, path string, o *options.Gateway) error {
	logger, err := logging.New(logging.Config{Level: o.LogLevel, Program: "entryd", Instance: o.Instance})
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	if o.MemoryLimit > 0 {
		debug.SetMemoryLimit(o.MemoryLimit << 20)
	}
	e := &gatewayEntry{options: o, path: path, logger: logger, metrics: metrics.NewRegistry()}
	if err := e.build(); err != nil {
		return err
	}
	defer e.pool.Close()
	return e.serve(ctx)
}

func (e *gatewayEntry) build() error {
	o := e.options
	key := peer.KeyOrOpen(o.ClusterKey)
	controls, err := controlPeers(o)
	if err != nil {
		return err
	}
	e.pool = peer.NewPool(peer.PoolConfig{Key: key})
	e.peers = peer.NewServer(peer.ServerConfig{Key: key, Logger: e.logger})
	e.control = control.NewClient(control.ClientConfig{Addresses: controls, Caller: e.pool})
	e.self = e.member()
	e.keeper = session.NewClient(session.ClientConfig{
		Member: e.self, Leader: e.control, Logger: e.logger, OnControlAddresses: e.control.Learn,
	})
	e.fleet = gateway.NewFleet(gateway.FleetConfig{Session: e.keeper, Decode: platform.DecodeDocument, Logger: e.logger})
	e.dispatcher = placement.NewService(placement.ServiceConfig{Fleet: e.fleet, Peer: e.fleet.Peer, Caller: e.pool, Logger: e.logger})
	e.placer = placement.NewClient(placement.ClientConfig{
		Instance: o.Instance, Dispatchers: e.fleet.Dispatchers, Local: e.dispatcher, Fleet: e.fleet, Caller: e.pool, Logger: e.logger,
	})
	e.gateway = gateway.New(gateway.Config{
		DataCentre: o.DataCentre, Fleet: e.fleet, CallerCodec: platform.CallerCodec{}, EndpointCodec: platform.EndpointCodec{},
		Placer: e.placer, Memory: platform.NewMemoryClient(), ReportCrash: e.reportCrash, Metrics: e.metrics, Logger: e.logger,
		Retries: gateway.RetryConfig{Ratio: o.RetryRatio, Slack: o.RetrySlack, Window: o.RetryWindow},
	})
	metrics.RegisterProcess(e.metrics)
	e.metrics.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	e.metrics.GaugeFunc("peer_bytes_total", func() int64 { return e.pool.Traffic() + e.peers.Traffic() })
	if err := e.peers.Register(placement.EntryServiceName, placement.NewEntryService(e.placer)); err != nil {
		return err
	}
	return e.peers.Register(placement.ServiceName, e.dispatcher)
}

func (e *gatewayEntry) member() session.Member {
	var id [incarnationSize]byte
	_, _ = rand.Read(id[:])
	o := e.options
	const milli = 1000
	return session.Member{
		Instance: o.Instance, DataCentre: o.DataCentre, Region: o.Region, Caller: o.CallerListen, Peer: o.PeerListen,
		Capacity: int(math.Round(milli * o.ProcessorShare)), Incarnation: hex.EncodeToString(id[:]),
	}
}

// controlPeers returns the peer addresses on the instances of the seeds.
func controlPeers(o *options.Gateway) ([]string, error) {
	return peer.AtPort(o.Seeds, strconv.Itoa(o.ControlPort))
}

// crashTimeout bounds the report of a request that crashes endpoints.
const crashTimeout = 3 * time.Second

func (e *gatewayEntry) reportCrash(fingerprint uint64, endpoint string) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	e.logger.Info("An endpoint died while it ran a request", zap.String(logging.Endpoint, endpoint), zap.Uint64("fingerprint", fingerprint))
	if _, err := e.control.Suspect(ctx, control.SuspectRequest{Fingerprint: fingerprint, Endpoint: endpoint}); err != nil {
		e.logger.Warn("Could not report a request whose endpoint died", zap.Uint64("fingerprint", fingerprint), zap.Error(err))
	}
}

// ready reports whether this instance takes requests.
func (e *gatewayEntry) ready() bool {
	return !e.draining.Load() && e.fleet.Table() != nil
}

// listener is one address with what it serves.
type listener struct {
	address string
	handler http.Handler
	server  *http.Server
}

func (e *gatewayEntry) listeners() []*listener {
	list := []*listener{
		{address: e.options.CallerListen, handler: e.gateway},
		{address: e.options.DirectoryListen, handler: platform.NewDirectoryHandler(gateway.NewDirectory(e.fleet))},
		{address: e.options.ReadinessListen, handler: platform.NewReadinessHandler(e.ready)},
	}
	if e.options.MetricsListen != "" {
		list = append(list, &listener{
			address: e.options.MetricsListen,
			handler: metrics.Handler(metrics.HandlerConfig{Registry: e.metrics, Ready: e.unready}),
		})
	}
	return list
}

var errUnready = errors.New("the entry is draining or knows no declaration")

func (e *gatewayEntry) unready() error {
	if !e.ready() {
		return errUnready
	}
	return nil
}

// callerIdle is longer than any idle time that callers are told, so that no request crosses a close.
const callerIdle = 10 * time.Minute

// serve runs all parts until ctx ends or one fails, and drains.
func (e *gatewayEntry) serve(stopping context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopping))
	defer cancel()
	peers, err := net.Listen("tcp", e.options.PeerListen)
	if err != nil {
		return err
	}
	ends := []<-chan error{
		task.Start(ctx, func(ctx context.Context) error { return e.peers.Serve(ctx, peers) }),
		task.Start(ctx, e.keeper.Run),
		task.Start(ctx, e.fleet.Run),
		task.Start(ctx, e.placer.Run),
		task.Start(ctx, e.dispatcher.Run),
		task.Start(ctx, func(ctx context.Context) error { return settings.Watch(ctx, e.path, e.reload) }),
	}
	list := e.listeners()
	errorLog, _ := zap.NewStdLogAt(e.logger, zap.DebugLevel)
	for _, l := range list {
		accept, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		l.server = &http.Server{Handler: l.handler, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeader, ErrorLog: errorLog}
		ends = append(ends, task.Start(ctx, func(ctx context.Context) error { return l.serve(ctx, accept) }))
	}
	ends = append(ends, task.Start(ctx, func(ctx context.Context) error {
		select {
		case <-stopping.Done():
			e.drainGateway(list)
		case <-ctx.Done():
		}
		return nil
	}))
	e.logger.Info("Started", zap.Any("member", e.self), zap.Strings("seeds", e.options.Seeds))
	err = task.First(ctx, cancel, ends...)
	e.logger.Info("Stopped", zap.Error(err))
	return err
}

// serve serves until ctx ends. A server that was shut down before is served out.
func (l *listener) serve(ctx context.Context, accept net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	if err := l.server.Serve(accept); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// drainGateway says at once that the instance leaves, serves the callers that still know it for a while, and
// waits for the requests in flight.
func (e *gatewayEntry) drainGateway(list []*listener) {
	e.logger.Info("Draining", zap.Duration("stop-accept", e.options.StopAccept), zap.Duration("stop-limit", e.options.StopLimit()))
	e.draining.Store(true)
	e.keeper.Drain()
	started := time.Now()
	task.Pause(context.Background(), e.options.StopAccept)
	e.gateway.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(e.options.StopLimit()))
	defer cancel()
	if err := list[0].server.Shutdown(ctx); err != nil {
		e.logger.Warn("Requests were still running at the end of the time to stop", zap.Error(err))
	}
}

// reload takes over the seeds of the settings file. Other options need a restart. A file that cannot be used
// leaves the settings in force.
func (e *gatewayEntry) reload() {
	o, err := options.LoadGateway(e.path)
	if err != nil {
		e.logger.Error("Could not reload the settings; the old ones stay in force", zap.Error(err))
		return
	}
	controls, err := controlPeers(o)
	if err != nil {
		e.logger.Error("Could not use the seeds of the settings; the old ones stay in force", zap.Error(err))
		return
	}
	e.control.Use(controls)
	e.logger.Info("Reloaded the settings", zap.Strings("seeds", o.Seeds))
}
