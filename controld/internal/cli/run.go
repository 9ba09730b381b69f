package cli

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/controld/internal/controller"
	"github.com/dandelionpier/dandelionpier/controld/internal/formation"
	"github.com/dandelionpier/dandelionpier/controld/internal/operator"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// daemon is the wired control instance.
type daemon struct {
	settings Settings
	logger   *zap.Logger
	pool     *peer.Pool
	server   *peer.Server
	node     *consensus.Node
	machine  *control.Machine
	service  *control.Service
	registry *metrics.Registry

	certificates certificate.Configs
	endpoints    certificate.Client

	identity formation.Identity
	control  *control.Client
	seeds    *seeds
}

// run serves until ctx ends. An instance whose files the quorum does not count any more starts again with
// an empty directory and a new id, if it can find the quorum by its seeds.
func run(ctx context.Context, path string, s Settings) error {
	logger, err := logging.New(logging.Config{Level: s.LogLevel, Program: "controld", Instance: s.Instance})
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	debug.SetMemoryLimit(memoryLimit(s.MemoryLimit))
	if s.DataDirectory == "" {
		r, err := newRelay(path, s, logger)
		if err != nil {
			return err
		}
		return r.serve(ctx)
	}
	for {
		err := runOnce(ctx, path, s, logger)
		if err == nil || len(s.Seeds) == 0 || !formation.Fresh(err) {
			return err
		}
		logger.Warn("Discarding the files of the quorum, to join it again", zap.Error(err))
		s.FirstStart = false
		if err := journal.Discard(s.DataDirectory); err != nil {
			return err
		}
	}
}

func runOnce(ctx context.Context, path string, s Settings, logger *zap.Logger) error {
	d, err := build(s, logger)
	if err != nil {
		return err
	}
	defer d.pool.Close()
	d.seeds.path = path
	return d.serve(ctx)
}

// memoryLimit returns the limit in bytes of one in MiB.
func memoryLimit(mebibytes int64) int64 {
	if mebibytes == 0 {
		return math.MaxInt64
	}
	return mebibytes << 20
}

func build(s Settings, logger *zap.Logger) (*daemon, error) {
	d := &daemon{settings: s, logger: logger, registry: metrics.NewRegistry()}
	metrics.RegisterProcess(d.registry)
	var err error
	if d.certificates, err = s.TLS.Open(s.TLS.use(), logger); err != nil {
		return nil, err
	}
	if d.endpoints, err = s.TLS.Endpoints.Open(logger); err != nil {
		return nil, err
	}
	if d.identity, err = s.identify(); err != nil {
		return nil, err
	}
	d.seeds = newSeeds(s)
	d.pool = peer.NewPool(peer.PoolConfig{Key: peer.KeyOrOpenNetworkKey(s.ClusterKey), TLS: d.certificates.PeerClient})
	d.server = peer.NewServer(peer.ServerConfig{Key: peer.KeyOrOpenNetworkKey(s.ClusterKey), TLS: d.certificates.PeerServer, Logger: logger})
	d.machine = control.NewMachine()
	d.node, err = consensus.New(consensus.Config{
		ID:            d.identity.ID,
		Address:       s.peerAddress(),
		Directory:     s.DataDirectory,
		Bootstrap:     d.identity.Bootstrap,
		StateMachine:  d.machine,
		Transport:     consensus.NewPeerTransport(d.pool),
		Logger:        logger,
		Timing:        consensus.Timing{ReplaceAfter: s.ReplaceAfter},
		TargetVoters:  s.Voters,
		SnapshotEvery: s.SnapshotEvery,
	})
	if err != nil {
		return nil, err
	}
	d.service = control.NewService(control.ServiceConfig{
		Machine:          d.machine,
		Log:              d.node,
		Voters:           d.voters,
		ControlAddresses: d.memberAddresses(),
		Logger:           logger,
	})
	d.control = control.NewClient(control.ClientConfig{Addresses: d.controlAddresses(), Caller: d.pool})
	if err := d.service.Register(d.server); err != nil {
		return nil, err
	}
	if err := consensus.Register(d.server, d.node); err != nil {
		return nil, err
	}
	if err := d.server.Register(formation.ServiceName, formation.NewAdmitter(d.node, logger)); err != nil {
		return nil, err
	}
	d.gauges()
	return d, nil
}

// operators returns the operators' API. It reaches the leader as entries do, so every instance answers.
func (d *daemon) operators() http.Handler {
	return operator.New(operator.Config{
		Submitter:     d.control,
		Querier:       d.control,
		Quorum:        d.node,
		Peers:         d.pool,
		Operators:     d.settings.Operators,
		LeaderAddress: d.settings.operatorAddress,
		Now:           time.Now,
		Logger:        d.logger,
	})
}

// controllers returns the loops that bring the endpoints into the declared state.
func (d *daemon) controllers() (orders, roles controller.Controller) {
	fleet := operator.NewFleet(operator.FleetConfig{
		Peers: d.pool, Configuration: d.machine.Configuration, Members: d.service.Members,
	})
	r := controller.NewRoles(controller.RolesConfig{
		Lease: d.node, Configuration: d.machine, Fleet: fleet, Now: time.Now, Logger: d.logger,
	})
	o := controller.NewOrders(controller.OrdersConfig{
		Lease:         d.node,
		Configuration: d.machine,
		Fleet:         fleet,
		Engines:       endpoint.NewClient(endpoint.ClientConfig{TLS: d.endpoints.Config}),
		Roles:         r,
		MaxLoads:      d.settings.MaxLoads,
		Now:           time.Now,
		Logger:        d.logger,
	})
	return o, r
}

// The intervals of the controllers' rounds. Each round asks the dispatchers for all endpoints, 180 bytes
// each; with a round of orders a second that was 4.5 KB/s for a dispatcher of 25. Roles change after 30 s
// at the earliest.
const (
	ordersInterval = 3 * time.Second
	rolesInterval  = 5 * time.Second
)

// operatorAddress returns the operator address of the instance with the given peer address, as far as the
// bootstrap list names it. An instance that was added later is not listed; pierctl then asks all in turn.
func (s Settings) operatorAddress(peer string) string {
	for _, v := range s.Bootstrap {
		if v.Address == peer {
			return v.Operator
		}
	}
	return ""
}

func (d *daemon) gauges() {
	d.certificates.Register(d.registry)
	d.endpoints.Register(d.registry)
	d.registry.GaugeFunc("control_leader", func() int64 {
		if remaining, _ := d.node.LeaderLease(); remaining > 0 {
			return 1
		}
		return 0
	})
	d.registry.GaugeFunc("control_applied_index", func() int64 { return int64(d.node.Status().AppliedIndex) })
	d.registry.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	d.registry.GaugeFunc("peer_bytes_total", func() int64 { return d.pool.Traffic() + d.server.Traffic() })
	d.registry.GaugeFunc("control_sessions", func() int64 { return int64(len(d.service.Members())) })
}

func (s Settings) peerAddress() string {
	if s.AdvertisePeer != "" {
		return s.AdvertisePeer
	}
	return s.PeerListen
}

func (d *daemon) voters() []control.Voter {
	status := d.node.Status()
	var voters []control.Voter
	for _, m := range status.Members {
		voters = append(voters, control.Voter{
			ID:       m.ID,
			Address:  m.Address,
			Voter:    m.Voter,
			Leader:   m.ID == status.LeaderID,
			Match:    m.MatchIndex,
			Reached:  m.ID == status.ID || m.SinceLastReply < reachedWithin,
			LastSeen: m.SinceLastReply.Milliseconds(),
		})
	}
	return voters
}

// reachedWithin is twenty heartbeats of the leader.
const reachedWithin = time.Second

// handOverTimeout bounds the wait for the next leader at a planned stop. The hand-over takes a few
// milliseconds; after the longest election timeout (600 ms) this instance does not lead any more.
const handOverTimeout = time.Second

// handOver waits for the end of ctx and then passes the leadership on, while all parts still run.
func (d *daemon) handOver(ctx, running context.Context) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return nil
	}
	wait, cancel := context.WithTimeout(running, handOverTimeout)
	defer cancel()
	switch err := d.node.TransferLeadership(wait); {
	case err == nil:
		d.logger.Info("Handed over the leadership")
	case !fault.Is(err, consensus.NotLeader):
		d.logger.Warn("Could not hand over the leadership", zap.Error(err))
	}
	return nil
}

// serve runs all parts until ctx ends or one of them fails.
func (d *daemon) serve(ctx context.Context) error {
	peers, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return err
	}
	stopping := ctx
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ends := append(d.interfaces(ctx),
		task.Start(ctx, func(ctx context.Context) error { return d.server.Serve(ctx, peers) }),
		task.Start(ctx, d.node.Run),
		task.Start(ctx, d.service.Run),
		task.Start(ctx, func(ctx context.Context) error { return d.handOver(stopping, ctx) }),
	)
	if d.settings.MetricsListen != "" {
		handler := metrics.Handler(metrics.HandlerConfig{Registry: d.registry, Ready: d.ready, Profiles: true})
		ends = append(ends, task.Start(ctx, func(ctx context.Context) error {
			return listenHTTP(ctx, d.settings.MetricsListen, handler, d.logger)
		}))
	}
	d.logger.Info("Started", zap.String("peer", d.settings.peerAddress()))
	err = task.StopAfterFirst(ctx, stop, ends...)
	d.logger.Info("Stopped", zap.Error(err))
	return err
}

// serveOperators serves the operators' API until ctx ends, over TLS if the settings say so.
func (d *daemon) serveOperators(ctx context.Context, address string, started func(net.Addr)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if d.certificates.Server != nil {
		listener = tls.NewListener(listener, d.certificates.Server)
	}
	started(listener.Addr())
	return serveHTTP(ctx, listener, d.operators(), d.logger)
}

// ready fails on an instance that knows no leader.
func (d *daemon) ready() error {
	if _, _, term := d.node.Leader(); term == 0 {
		return errNoLeader
	}
	if id, _, _ := d.node.Leader(); id == "" {
		return errNoLeader
	}
	return nil
}

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 10 * time.Second
)

// listenHTTP listens on an address and serves until ctx ends.
func listenHTTP(ctx context.Context, address string, handler http.Handler, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return serveHTTP(ctx, listener, handler, logger)
}

// serveHTTP serves until ctx ends and then finishes the requests in flight.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler, logger *zap.Logger) error {
	errorLog, _ := zap.NewStdLogAt(logger, zap.DebugLevel)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: errorLog}
	end := make(chan error, 1)
	go func() { end <- server.Serve(listener) }()
	select {
	case err := <-end:
		return err
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdown)
	<-end
	return err
}
