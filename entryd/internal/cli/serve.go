package cli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/address"
	"github.com/dandelionpier/dandelionpier/entryd/internal/api"
	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/completion"
	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/entryd/internal/service"
	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/quota"
	"github.com/dandelionpier/dandelionpier/internal/retry"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const (
	// headerTimeout and maxHeader keep callers that send slowly or endlessly from holding memory.
	headerTimeout = 5 * time.Second
	maxHeader     = 64 << 10
	// announceTimeout is the time for a whole announcement; endpoints send one each second.
	announceTimeout = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	// finishGrace is added to the largest time limit when running requests are awaited.
	finishGrace     = 5 * time.Second
	engineDial      = 2 * time.Second
	engineIdle      = 90 * time.Second
	incarnationSize = 8
)

// Listening are the addresses that the entry listens on.
type Listening struct {
	Caller, Platform, Peer, Metrics string
}

// entry is one running entry instance.
type entry struct {
	options   *options.Options
	logger    *zap.Logger
	metrics   *metrics.Registry
	member    session.Member
	parts     Parts
	cells     *cell.Client
	home      *quota.Owner
	limiter   *quota.Limiter
	addresses *address.Book
	draining  atomic.Bool

	completions *completion.Server
	services    *service.Server
	peers       *peer.Server

	certificates certificate.Configs
	endpoints    certificate.Client
	listeners    listeners
	failures     chan error
}

type listeners struct {
	caller, platform, peer, metrics net.Listener
}

// serve runs an entry until ctx ends, then drains it: no request in flight is cut.
func serve(ctx context.Context, o *options.Options, connect Connector, started func(Listening)) error {
	logger, err := logging.New(logging.Config{Level: o.LogLevel, Program: "entryd", Instance: o.Instance})
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	e := &entry{
		options: o, logger: logger, metrics: metrics.NewRegistry(),
		addresses: address.NewBook(o.AddressCount), failures: make(chan error, 8),
	}
	if e.certificates, err = o.TLS.Open(o.TLS.Use(), logger); err != nil {
		return err
	}
	if e.endpoints, err = o.TLS.Endpoints.Open(logger); err != nil {
		return err
	}
	if err := e.listen(); err != nil {
		return err
	}
	pool := peer.NewPool(peer.PoolConfig{Key: o.ClusterKey, TLS: e.certificates.PeerClient})
	defer pool.Close()
	e.member = e.newMember()
	e.parts, err = connect(Site{Options: o, Member: e.member, Pool: pool, EndpointTLS: e.endpoints.Config, Metrics: e.metrics, Logger: logger})
	if err != nil {
		e.listeners.close()
		return err
	}
	return e.run(ctx, pool, started)
}

func (e *entry) listen() error {
	for _, l := range []struct {
		address string
		target  *net.Listener
		secure  bool
	}{
		{e.options.CallerListen, &e.listeners.caller, e.options.TLS.Callers},
		{e.options.PlatformListen, &e.listeners.platform, e.options.TLS.Platform},
		// The peer server does its TLS handshakes itself.
		{e.options.PeerListen, &e.listeners.peer, false},
		{e.options.MetricsListen, &e.listeners.metrics, false},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			e.listeners.close()
			return fault.Wrap(err, "start", Listen, l.address)
		}
		if l.secure {
			listener = tls.NewListener(listener, e.certificates.Server)
		}
		*l.target = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.platform, l.peer, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (e *entry) newMember() session.Member {
	var id [incarnationSize]byte
	_, _ = rand.Read(id[:])
	return session.Member{
		Instance:    e.options.Instance,
		DataCentre:  e.options.DataCentre,
		Region:      e.options.Region,
		Caller:      advertised(e.options.AdvertiseCaller, e.listeners.caller),
		Platform:    advertised(e.options.AdvertisePlatform, e.listeners.platform),
		Peer:        advertised(e.options.AdvertisePeer, e.listeners.peer),
		Incarnation: hex.EncodeToString(id[:]),
	}
}

func advertised(override string, listener net.Listener) string {
	if override != "" {
		return override
	}
	return listener.Addr().String()
}

func (e *entry) run(ctx context.Context, pool *peer.Pool, started func(Listening)) error {
	e.build(pool)
	if err := e.register(); err != nil {
		e.listeners.close()
		return err
	}
	callers := e.httpServer(e.callerHandler())
	platform := e.httpServer(e.platformHandler())
	platform.ReadTimeout = announceTimeout
	observers := e.httpServer(metrics.Handler(metrics.HandlerConfig{Registry: e.metrics, Ready: e.ready, Profiles: e.options.Profiles}))
	// The background work outlives ctx: it ends after the last request.
	stops := []func(){e.background(func(ctx context.Context) error { return e.peers.Serve(ctx, e.listeners.peer) })}
	for i := len(e.parts.Runs) - 1; i >= 0; i-- {
		stops = append(stops, e.background(e.parts.Runs[i]))
	}
	stops = append(stops, e.background(e.cells.Run), e.background(e.limiter.Run))
	for server, listener := range map[*http.Server]net.Listener{
		callers: e.listeners.caller, platform: e.listeners.platform, observers: e.listeners.metrics,
	} {
		go e.serveHTTP(server, listener)
	}
	e.logger.Info("Listening", zap.Any("member", e.member), zap.Stringer("metrics", e.listeners.metrics.Addr()))
	started(Listening{
		Caller: e.member.Caller, Platform: e.member.Platform, Peer: e.member.Peer, Metrics: e.listeners.metrics.Addr().String(),
	})

	var failed error
	select {
	case <-ctx.Done():
	case failed = <-e.failures:
		e.logger.Error("A part of the entry failed", zap.Error(failed))
	}
	e.drain(callers)
	_ = platform.Close()
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	_ = observers.Close()
	e.logger.Info("Stopped")
	return failed
}

// register adds the net/rpc services for the other processes.
func (e *entry) register() error {
	if err := e.peers.Register(dispatch.ServiceName, e.parts.Dispatcher); err != nil {
		return err
	}
	if err := e.peers.Register(quota.ServiceName, e.home); err != nil {
		return err
	}
	if e.parts.Burn == nil {
		return nil
	}
	return e.peers.Register(burn.ServiceName, e.parts.Burn)
}

func (e *entry) build(pool *peer.Pool) {
	o := e.options
	view := e.parts.Keeper.View
	e.cells = cell.New(cell.Config{
		Instance: o.Instance, Incarnation: e.member.Incarnation, View: view,
		Local: e.parts.Dispatcher, Caller: pool, Settings: o.DispatchSettings(), Logger: e.logger,
	})
	e.home = quota.NewOwner(quota.OwnerConfig{Instance: o.Instance, View: view})
	e.limiter = quota.NewLimiter(quota.LimiterConfig{
		Instance: o.Instance, Local: e.home, Caller: pool, Metrics: e.metrics, Logger: e.logger,
	})
	retries := retry.NewBudget(retry.Config{Ratio: o.RetryRatio, Burst: o.RetryBurst, Floor: o.RetryFloor})
	dialer := net.Dialer{Timeout: engineDial}
	e.completions = completion.New(completion.Config{
		Region: o.Region, Cells: e.cells, Budget: e.parts.Purse, View: view,
		Transport: endpoint.SecureTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: o.EngineIdle, IdleConnTimeout: engineIdle, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeader,
		}, e.endpoints.Config),
		TLS:     e.endpoints.Config,
		Retries: retries, Observer: e.parts.Observer, Logger: e.logger,
		Limits: completion.Limits{
			MaxAttempts: o.MaxAttempts, FirstByteFactor: o.FirstByteFactor, MinFirstByte: o.MinFirstByte,
			PrefillRate: o.PrefillRate, DecodeRate: o.DecodeRate, StallTimeout: o.StallTimeout,
			MaxEvent: o.MaxEvent, MaxResponse: o.MaxResponse, DefaultMaxTokens: o.DefaultMaxTokens,
		},
	})
	e.services = service.New(service.Config{
		Entry: o.Instance + "/" + e.member.Incarnation, Region: o.Region, Cells: e.cells, Claims: e.parts.Claims,
		View: view, Retries: retries, MaxAttempts: o.MaxAttempts, MaxResponse: o.MaxResponse, TLS: e.endpoints.Config, Logger: e.logger,
	})
	e.peers = peer.NewServer(peer.ServerConfig{Key: o.ClusterKey, TLS: e.certificates.PeerServer, Logger: e.logger})
	metrics.RegisterProcess(e.metrics)
	e.certificates.Register(e.metrics)
	e.endpoints.Register(e.metrics)
	e.metrics.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	e.metrics.GaugeFunc("peer_bytes_total", func() int64 { return pool.Traffic() + e.peers.Traffic() })
}

func (e *entry) callerHandler() http.Handler {
	access := e.logger
	if !e.options.AccessLog {
		access = zap.NewNop()
	}
	return api.New(api.Config{
		Instance: e.options.Instance, View: e.parts.Keeper.View, Draining: e.draining.Load, Addresses: e.addresses,
		Completions: e.completions, Services: e.services, Limiter: e.limiter,
		Metrics: e.metrics, Access: access,
		MaxBody: e.options.MaxBody, DefaultTimeLimit: e.options.DefaultTimeLimit, MaxTimeLimit: e.options.MaxTimeLimit,
		MaxInFlight: e.options.MaxInFlight,
	})
}

func (e *entry) platformHandler() http.Handler {
	return api.NewPlatform(api.PlatformConfig{
		Instance: e.options.Instance, View: e.parts.Keeper.View, Draining: e.draining.Load, Addresses: e.addresses,
		Announcer: e.cells, MaxAnnouncement: e.options.MaxAnnouncement, Logger: e.logger,
	})
}

func (e *entry) httpServer(handler http.Handler) *http.Server {
	errorLog, _ := zap.NewStdLogAt(e.logger, zap.DebugLevel)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, IdleTimeout: idleTimeout, ErrorLog: errorLog,
		// Each request sets its own, earlier deadline; this one replaces it before the next request.
		WriteTimeout: e.options.MaxTimeLimit + finishGrace,
	}
}

func (e *entry) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		e.fail(err)
	}
}

func (e *entry) fail(err error) {
	select {
	case e.failures <- err:
	default:
	}
}

// background starts a loop and returns the function that ends it and waits for it.
func (e *entry) background(run func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan struct{})
	go func() {
		defer close(end)
		if err := run(ctx); err != nil {
			e.fail(err)
		}
	}()
	return func() {
		cancel()
		<-end
	}
}

// drain leaves the address answers at once, serves on for their TTL, and waits for running requests.
func (e *entry) drain(callers *http.Server) {
	e.logger.Info("Draining", zap.Duration("drain-time", e.options.DrainTime))
	e.draining.Store(true)
	e.parts.Keeper.Drain()
	timer := time.NewTimer(e.options.DrainTime)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithTimeout(context.Background(), e.options.MaxTimeLimit+finishGrace)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.logger.Error("Requests were still running at the end of the largest time limit", zap.Error(err))
		_ = callers.Close()
	}
	e.completions.Wait()
	e.services.Wait()
}

func (e *entry) ready() error {
	if e.draining.Load() {
		return errDraining
	}
	_, err := e.parts.Keeper.View()
	return err
}

var errDraining = errors.New("the entry is draining")
