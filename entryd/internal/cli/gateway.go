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
	"github.com/dandelionpier/dandelionpier/internal/crash"
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

// gatewayEntry is an entry that serves the routes of the declaration.
type gatewayEntry struct {
	options *options.Gateway
	path    string
	// self describes this instance in the member list.
	self          session.Member
	logger        *zap.Logger
	metrics       *metrics.Registry
	pool          *peer.Pool
	peers         *peer.Server
	control       *control.Client
	sessionClient *session.Client
	fleet         *gateway.Fleet
	placer        *placement.Client
	dispatcher    *placement.Service
	gateway       *gateway.Gateway
	witness       *crash.Witness
	draining      atomic.Bool
}

// serveGateway runs a gateway entry until ctx ends, then drains it.
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
	key := peer.KeyOrOpenNetworkKey(o.ClusterKey)
	controls, err := controlPeers(o)
	if err != nil {
		return err
	}
	e.pool = peer.NewPool(peer.PoolConfig{Key: key})
	e.peers = peer.NewServer(peer.ServerConfig{Key: key, Logger: e.logger})
	e.control = control.NewClient(control.ClientConfig{Addresses: controls, Caller: e.pool})
	e.self = e.newMember()
	e.sessionClient = session.NewClient(session.ClientConfig{
		Member: e.self, Leader: e.control, Logger: e.logger, OnControlAddresses: e.control.SetLearnedAddresses,
	})
	e.fleet = gateway.NewFleet(gateway.FleetConfig{Session: e.sessionClient, Decode: platform.DecodeDocument, Logger: e.logger})
	e.dispatcher = placement.NewService(placement.ServiceConfig{Fleet: e.fleet, Peer: e.fleet.Peer, Caller: e.pool, Logger: e.logger})
	e.placer = placement.NewClient(placement.ClientConfig{
		Instance: o.Instance, Dispatchers: e.fleet.Dispatchers, Local: e.dispatcher, Fleet: e.fleet, Caller: e.pool, Logger: e.logger,
	})
	e.witness = crash.NewWitness(crash.WitnessConfig{Quorum: e.control, Session: e.sessionClient, Logger: e.logger})
	e.gateway = gateway.New(gateway.Config{
		DataCentre: o.DataCentre, Fleet: e.fleet, CallerCodec: platform.CallerCodec{}, EndpointCodec: platform.EndpointCodec{},
		Placer: e.placer, Memory: platform.NewMemoryClient(), Witness: e.witness, Metrics: e.metrics, Logger: e.logger,
		Retries: gateway.RetryConfig{Ratio: o.RetryRatio, Slack: o.RetrySlack, Window: o.RetryWindow},
	})
	metrics.RegisterProcess(e.metrics)
	e.metrics.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	e.metrics.GaugeFunc("drained_data_centres", func() int64 { return int64(len(e.fleet.DrainedDataCentres())) })
	e.metrics.GaugeFunc("peer_bytes_total", func() int64 { return e.pool.Traffic() + e.peers.Traffic() })
	if err := e.peers.Register(placement.EntryServiceName, placement.NewEntryService(e.placer)); err != nil {
		return err
	}
	return e.peers.Register(placement.ServiceName, e.dispatcher)
}

func (e *gatewayEntry) newMember() session.Member {
	var id [incarnationBytes]byte
	_, _ = rand.Read(id[:])
	o := e.options
	const milliCoresPerCore = 1000
	return session.Member{
		Instance: o.Instance, DataCentre: o.DataCentre, Region: o.Region, Caller: o.CallerListen, Peer: o.PeerListen,
		Capacity: int(math.Round(milliCoresPerCore * o.ProcessorShare)), Incarnation: hex.EncodeToString(id[:]),
	}
}

// controlPeers returns the peer addresses of the control instances: the hosts of the seeds with the control port.
func controlPeers(o *options.Gateway) ([]string, error) {
	return peer.WithPort(o.Seeds, strconv.Itoa(o.ControlPort))
}

// ready reports whether this instance accepts requests.
func (e *gatewayEntry) ready() bool {
	return !e.draining.Load() && e.fleet.Table() != nil
}

// httpListener is an address and the HTTP server on it.
type httpListener struct {
	address string
	handler http.Handler
	server  *http.Server
}

func (e *gatewayEntry) listeners() []*httpListener {
	list := []*httpListener{
		{address: e.options.CallerListen, handler: e.gateway},
		{address: e.options.DirectoryListen, handler: platform.NewDirectoryHandler(gateway.NewDirectory(e.fleet))},
		{address: e.options.ReadinessListen, handler: platform.NewReadinessHandler(e.ready)},
	}
	if e.options.MetricsListen != "" {
		list = append(list, &httpListener{
			address: e.options.MetricsListen,
			handler: metrics.Handler(metrics.HandlerConfig{Registry: e.metrics, Ready: e.checkReady}),
		})
	}
	return list
}

var errNotReady = errors.New("the entry is draining or knows no declaration")

func (e *gatewayEntry) checkReady() error {
	if !e.ready() {
		return errNotReady
	}
	return nil
}

// callerIdleTimeout is longer than any idle timeout that callers are told, so that the server does not close a
// connection on which a caller is just sending a request.
const callerIdleTimeout = 10 * time.Minute

// serve runs all components until one fails, or until stopCtx is cancelled and the entry is drained.
func (e *gatewayEntry) serve(stopCtx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx))
	defer cancel()
	peers, err := net.Listen("tcp", e.options.PeerListen)
	if err != nil {
		return err
	}
	results := []<-chan error{
		task.Start(ctx, func(ctx context.Context) error { return e.peers.Serve(ctx, peers) }),
		task.Start(ctx, e.sessionClient.Run),
		task.Start(ctx, e.fleet.Run),
		task.Start(ctx, e.witness.Run),
		task.Start(ctx, e.placer.Run),
		task.Start(ctx, e.dispatcher.Run),
		task.Start(ctx, func(ctx context.Context) error { return settings.Watch(ctx, e.path, e.reload) }),
	}
	listeners := e.listeners()
	errorLog, _ := zap.NewStdLogAt(e.logger, zap.DebugLevel)
	for _, l := range listeners {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		l.server = &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
			// "OPTIONS *" is a request like others, which no route serves.
			DisableGeneralOptionsHandler: true,
		}
		results = append(results, task.Start(ctx, func(ctx context.Context) error { return l.serve(ctx, socket) }))
	}
	results = append(results, task.Start(ctx, func(ctx context.Context) error {
		select {
		case <-stopCtx.Done():
			e.drain(listeners)
		case <-ctx.Done():
		}
		return nil
	}))
	e.logger.Info("Started", zap.Any("member", e.self), zap.Strings("seeds", e.options.Seeds))
	err = task.StopAfterFirst(ctx, cancel, results...)
	e.logger.Info("Stopped", zap.Error(err))
	return err
}

// serve runs the HTTP server until ctx ends. After a Shutdown, it returns only when ctx ends.
func (l *httpListener) serve(ctx context.Context, socket net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// drain marks the instance as draining, keeps serving new requests for the time stop-accept, and then waits for the
// requests in flight. Those that still run at StopLimit are ended with a response.
func (e *gatewayEntry) drain(listeners []*httpListener) {
	e.logger.Info("Draining", zap.Duration("stop-accept", e.options.StopAccept), zap.Duration("stop-limit", e.options.StopLimit()))
	e.draining.Store(true)
	e.sessionClient.Drain()
	started := time.Now()
	e.gateway.Drain(started.Add(e.options.StopLimit()))
	end := time.AfterFunc(e.options.StopLimit(), e.gateway.End)
	defer end.Stop()
	task.Pause(context.Background(), e.options.StopAccept)
	e.gateway.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(e.options.ExitLimit()))
	defer cancel()
	if err := listeners[0].server.Shutdown(ctx); err != nil {
		e.logger.Warn("Requests were still running when the stop limit passed", zap.Error(err))
	}
}

// reload applies the seeds of the changed settings file; other options need a restart. If the file is invalid,
// the current settings stay in force.
func (e *gatewayEntry) reload() {
	o, err := options.LoadGateway(e.path)
	if err != nil {
		e.logger.Error("Could not reload the settings; the old ones stay in force", zap.Error(err))
		return
	}
	controls, err := controlPeers(o)
	if err != nil {
		e.logger.Error("The seeds in the settings are invalid; the current ones stay in force", zap.Error(err))
		return
	}
	e.control.SetAddresses(controls)
	e.logger.Info("Reloaded the settings", zap.Strings("seeds", o.Seeds))
}
