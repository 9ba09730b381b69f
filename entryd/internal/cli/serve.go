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
	"github.com/dandelionpier/dandelionpier/internal/transport"
)

const (
	// headerTimeout and maxHeaderBytes bound the memory that callers with slow or endless headers can hold.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// announceTimeout limits the reading of an announcement; endpoints send one each second.
	announceTimeout = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	// finishGrace is added to the largest time limit when waiting for requests in flight.
	finishGrace       = 5 * time.Second
	engineDialTimeout = 2 * time.Second
	engineIdleTimeout = 90 * time.Second
	incarnationBytes  = 8
)

// EntryAddresses holds the addresses that a started entry advertises, and the one of its metrics.
type EntryAddresses struct {
	Caller, Platform, Peer, Metrics string
}

// entry is a running entry instance.
type entry struct {
	options    *options.Options
	logger     *zap.Logger
	metrics    *metrics.Registry
	member     session.Member
	components Components
	cellClient *cell.Client
	quotaOwner *quota.Owner
	limiter    *quota.Limiter
	addresses  *address.Selector
	draining   atomic.Bool

	completions *completion.Server
	services    *service.Server
	peers       *peer.Server

	certificates certificate.Configs
	endpointTLS  certificate.Client
	listeners    listeners
	failures     chan error
}

type listeners struct {
	caller, platform, peer, metrics net.Listener
}

// serve runs an entry until ctx ends, then drains it without cutting requests in flight.
func serve(ctx context.Context, o *options.Options, newComponents ComponentFactory, started func(EntryAddresses)) error {
	logger, err := logging.New(logging.Config{Level: o.LogLevel, Program: "entryd", Instance: o.Instance})
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	e := &entry{
		options: o, logger: logger, metrics: metrics.NewRegistry(),
		addresses: address.NewSelector(o.AddressCount), failures: make(chan error, 8),
	}
	if e.certificates, err = o.TLS.Open(o.TLS.Use(), logger); err != nil {
		return err
	}
	if e.endpointTLS, err = o.TLS.Endpoints.Open(logger); err != nil {
		return err
	}
	if err := e.listen(); err != nil {
		return err
	}
	pool := peer.NewPool(peer.PoolConfig{Key: o.ClusterKey, TLS: e.certificates.PeerClient})
	defer pool.Close()
	e.member = e.newMember()
	e.components, err = newComponents(ComponentConfig{Options: o, Member: e.member, Pool: pool, EndpointTLS: e.endpointTLS.Config, Metrics: e.metrics, Logger: logger})
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
		// The peer server performs the TLS handshakes itself.
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
	var id [incarnationBytes]byte
	_, _ = rand.Read(id[:])
	return session.Member{
		Instance:    e.options.Instance,
		DataCentre:  e.options.DataCentre,
		Region:      e.options.Region,
		Caller:      advertisedAddress(e.options.AdvertiseCaller, e.listeners.caller),
		Platform:    advertisedAddress(e.options.AdvertisePlatform, e.listeners.platform),
		Peer:        advertisedAddress(e.options.AdvertisePeer, e.listeners.peer),
		Incarnation: hex.EncodeToString(id[:]),
	}
}

func advertisedAddress(override string, listener net.Listener) string {
	if override != "" {
		return override
	}
	return listener.Addr().String()
}

func (e *entry) run(ctx context.Context, pool *peer.Pool, started func(EntryAddresses)) error {
	e.build(pool)
	if err := e.registerServices(); err != nil {
		e.listeners.close()
		return err
	}
	callerServer := e.httpServer(e.callerHandler())
	platformServer := e.httpServer(e.platformHandler())
	platformServer.ReadTimeout = announceTimeout
	metricsServer := e.httpServer(metrics.Handler(metrics.HandlerConfig{Registry: e.metrics, Ready: e.ready, Profiles: e.options.Profiles}))
	// The background loops outlive ctx: they are stopped after the last request.
	stops := []func(){e.background(func(ctx context.Context) error { return e.peers.Serve(ctx, e.listeners.peer) })}
	for i := len(e.components.Loops) - 1; i >= 0; i-- {
		stops = append(stops, e.background(e.components.Loops[i]))
	}
	stops = append(stops, e.background(e.cellClient.Run), e.background(e.limiter.Run))
	for server, listener := range map[*http.Server]net.Listener{
		callerServer: e.listeners.caller, platformServer: e.listeners.platform, metricsServer: e.listeners.metrics,
	} {
		go e.serveHTTP(server, listener)
	}
	e.logger.Info("Listening", zap.Any("member", e.member), zap.Stringer("metrics", e.listeners.metrics.Addr()))
	started(EntryAddresses{
		Caller: e.member.Caller, Platform: e.member.Platform, Peer: e.member.Peer, Metrics: e.listeners.metrics.Addr().String(),
	})

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-e.failures:
		e.logger.Error("A component of the entry failed", zap.Error(failure))
	}
	e.drain(callerServer)
	_ = platformServer.Close()
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	_ = metricsServer.Close()
	e.logger.Info("Stopped")
	return failure
}

// registerServices registers the net/rpc services for the other processes.
func (e *entry) registerServices() error {
	if err := e.peers.Register(dispatch.ServiceName, e.components.Dispatcher); err != nil {
		return err
	}
	if err := e.peers.Register(quota.ServiceName, e.quotaOwner); err != nil {
		return err
	}
	if e.components.Burn == nil {
		return nil
	}
	return e.peers.Register(burn.ServiceName, e.components.Burn)
}

func (e *entry) build(pool *peer.Pool) {
	o := e.options
	view := e.components.Session.View
	e.cellClient = cell.New(cell.Config{
		Instance: o.Instance, Incarnation: e.member.Incarnation, View: view,
		Local: e.components.Dispatcher, Caller: pool, Settings: o.DispatchSettings(), Logger: e.logger,
	})
	e.quotaOwner = quota.NewOwner(quota.OwnerConfig{Instance: o.Instance, View: view})
	e.limiter = quota.NewLimiter(quota.LimiterConfig{
		Instance: o.Instance, Local: e.quotaOwner, Caller: pool, Metrics: e.metrics, Logger: e.logger,
	})
	retries := retry.NewBudget(retry.Config{Ratio: o.RetryRatio, Burst: o.RetryBurst, Floor: o.RetryFloor})
	dialer := net.Dialer{Timeout: engineDialTimeout}
	e.completions = completion.New(completion.Config{
		Region: o.Region, Cells: e.cellClient, Budget: e.components.Budget, View: view,
		Transport: transport.New(endpoint.SecureTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: o.EngineIdle, IdleConnTimeout: engineIdleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}, e.endpointTLS.Config)),
		TLS:     e.endpointTLS.Config,
		Retries: retries, Observer: e.components.Observer, Logger: e.logger,
		Limits: completion.Limits{
			MaxAttempts: o.MaxAttempts, FirstByteFactor: o.FirstByteFactor, MinFirstByte: o.MinFirstByte,
			PrefillRate: o.PrefillRate, DecodeRate: o.DecodeRate, StallTimeout: o.StallTimeout,
			MaxEvent: o.MaxEvent, MaxResponse: o.MaxResponse, DefaultMaxTokens: o.DefaultMaxTokens,
		},
	})
	e.services = service.New(service.Config{
		Entry: o.Instance + "/" + e.member.Incarnation, Region: o.Region, Cells: e.cellClient, Claims: e.components.Claims,
		View: view, Retries: retries, MaxAttempts: o.MaxAttempts, MaxResponse: o.MaxResponse, TLS: e.endpointTLS.Config, Logger: e.logger,
	})
	e.peers = peer.NewServer(peer.ServerConfig{Key: o.ClusterKey, TLS: e.certificates.PeerServer, Logger: e.logger})
	metrics.RegisterProcess(e.metrics)
	e.certificates.Register(e.metrics)
	e.endpointTLS.Register(e.metrics)
	e.metrics.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	e.metrics.GaugeFunc("peer_bytes_total", func() int64 { return pool.Traffic() + e.peers.Traffic() })
}

func (e *entry) callerHandler() http.Handler {
	access := e.logger
	if !e.options.AccessLog {
		access = zap.NewNop()
	}
	return api.New(api.Config{
		Instance: e.options.Instance, View: e.components.Session.View, Draining: e.draining.Load, Addresses: e.addresses,
		Completions: e.completions, Services: e.services, Limiter: e.limiter,
		Metrics: e.metrics, Access: access,
		MaxBody: e.options.MaxBody, DefaultTimeLimit: e.options.DefaultTimeLimit, MaxTimeLimit: e.options.MaxTimeLimit,
		MaxInFlight: e.options.MaxInFlight,
	})
}

func (e *entry) platformHandler() http.Handler {
	return api.NewPlatform(api.PlatformConfig{
		Instance: e.options.Instance, View: e.components.Session.View, Draining: e.draining.Load, Addresses: e.addresses,
		Announcer: e.cellClient, MaxAnnouncement: e.options.MaxAnnouncement, Logger: e.logger,
	})
}

func (e *entry) httpServer(handler http.Handler) *http.Server {
	errorLog, _ := zap.NewStdLogAt(e.logger, zap.DebugLevel)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout, ErrorLog: errorLog,
		// filter.TimeLimit sets an earlier deadline for each request; net/http resets it to this one before the
		// next request.
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

// background starts a loop and returns a function that stops it and waits until it has returned.
func (e *entry) background(run func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := run(ctx); err != nil {
			e.fail(err)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// drain removes the entry from the address lists, keeps serving for their TTL, and then waits for the
// requests in flight.
func (e *entry) drain(callerServer *http.Server) {
	e.logger.Info("Draining", zap.Duration("drain-time", e.options.DrainTime))
	e.draining.Store(true)
	e.components.Session.Drain()
	timer := time.NewTimer(e.options.DrainTime)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithTimeout(context.Background(), e.options.MaxTimeLimit+finishGrace)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		e.logger.Error("Requests were still running after the largest time limit", zap.Error(err))
		_ = callerServer.Close()
	}
	e.completions.Wait()
	e.services.Wait()
}

func (e *entry) ready() error {
	if e.draining.Load() {
		return errDraining
	}
	_, err := e.components.Session.View()
	return err
}

var errDraining = errors.New("the entry is draining")
