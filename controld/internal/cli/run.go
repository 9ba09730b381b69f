package cli

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/controld/internal/controller"
	"github.com/dandelionpier/dandelionpier/controld/internal/formation"
	"github.com/dandelionpier/dandelionpier/controld/internal/operator"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/connection"
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

// daemon holds the parts of a control instance with a data directory.
type daemon struct {
	settings       Settings
	logger         *zap.Logger
	peerPool       *peer.Pool
	peerServer     *peer.Server
	node           *consensus.Node
	machine        *control.Machine
	controlService *control.Service
	registry       *metrics.Registry

	certificates certificate.Configs
	endpointTLS  certificate.Client

	identity      formation.Identity
	controlClient *control.Client
	seeds         *seedList
}

// run runs the instance until ctx is done. An instance whose files the quorum no longer accepts restarts
// with an empty directory and a new id, provided that it has seeds by which to find the quorum.
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
		if err == nil || len(s.Seeds) == 0 || !formation.NeedsNewIdentity(err) {
			return err
		}
		if ctx.Err() != nil {
			return nil // The next start discards the files.
		}
		logger.Warn("Discarding the files of the quorum, to join it again", zap.Error(err))
		s.FirstStart = false
		if err := journal.Discard(s.DataDirectory); err != nil {
			return err
		}
	}
}

func runOnce(ctx context.Context, path string, s Settings, logger *zap.Logger) error {
	d, err := newDaemon(s, logger)
	if err != nil {
		return err
	}
	defer d.peerPool.Close()
	d.seeds.path = path
	return d.serve(ctx)
}

// memoryLimit converts a limit in MiB to bytes; 0 means no limit.
func memoryLimit(mebibytes int64) int64 {
	if mebibytes == 0 {
		return math.MaxInt64
	}
	return mebibytes << 20
}

func newDaemon(s Settings, logger *zap.Logger) (*daemon, error) {
	d := &daemon{settings: s, logger: logger, registry: metrics.NewRegistry()}
	metrics.RegisterProcess(d.registry)
	var err error
	if d.certificates, err = s.TLS.Open(s.TLS.certificateUse(), logger); err != nil {
		return nil, err
	}
	if d.endpointTLS, err = s.TLS.Endpoints.Open(logger); err != nil {
		return nil, err
	}
	if d.identity, err = s.identify(); err != nil {
		return nil, err
	}
	d.seeds = newSeedList(s)
	d.peerPool = peer.NewPool(peer.PoolConfig{Key: peer.KeyOrOpenNetworkKey(s.ClusterKey), TLS: d.certificates.PeerClient})
	d.peerServer = peer.NewServer(peer.ServerConfig{Key: peer.KeyOrOpenNetworkKey(s.ClusterKey), TLS: d.certificates.PeerServer, Logger: logger})
	d.machine = control.NewMachine()
	d.node, err = consensus.New(consensus.Config{
		ID:            d.identity.ID,
		Address:       s.peerAddress(),
		Directory:     s.DataDirectory,
		Bootstrap:     d.identity.Bootstrap,
		StateMachine:  d.machine,
		Transport:     consensus.NewPeerTransport(d.peerPool),
		Logger:        logger,
		Timing:        consensus.Timing{ReplaceAfter: s.ReplaceAfter},
		TargetVoters:  s.Voters,
		SnapshotEvery: s.SnapshotEvery,
	})
	if err != nil {
		return nil, err
	}
	d.controlService = control.NewService(control.ServiceConfig{
		Machine:          d.machine,
		Log:              d.node,
		Voters:           d.voters,
		ControlAddresses: d.memberAddresses(),
		Logger:           logger,
	})
	d.controlClient = control.NewClient(control.ClientConfig{Addresses: d.controlAddresses(), Caller: d.peerPool})
	if err := d.controlService.Register(d.peerServer); err != nil {
		return nil, err
	}
	if err := consensus.Register(d.peerServer, d.node); err != nil {
		return nil, err
	}
	if err := d.peerServer.Register(formation.ServiceName, formation.NewJoinService(d.node, logger)); err != nil {
		return nil, err
	}
	d.registerMetrics()
	return d, nil
}

// operatorHandler returns the operators' API. It calls the leader as entries do, so that every instance can
// serve requests.
func (d *daemon) operatorHandler() http.Handler {
	return operator.New(operator.Config{
		Submitter:     d.controlClient,
		Querier:       d.controlClient,
		Quorum:        d.node,
		Peers:         d.peerPool,
		Operators:     d.settings.Operators,
		DataCentres:   d.settings.DataCentres,
		LeaderAddress: d.settings.operatorAddress,
		Now:           time.Now,
		Logger:        d.logger,
	})
}

// newControllers returns the controllers that reconcile the engines with the declared state and that
// balance their roles.
func (d *daemon) newControllers() (engineLoop, roleLoop controller.Controller) {
	fleet := operator.NewFleet(operator.FleetConfig{
		Peers: d.peerPool, Configuration: d.machine.Configuration, Members: d.controlService.Members,
	})
	balancer := controller.NewRoleBalancer(controller.RoleBalancerConfig{
		Lease: d.node, Configuration: d.machine, Fleet: fleet, Now: time.Now, Logger: d.logger,
	})
	reconciler := controller.NewReconciler(controller.ReconcilerConfig{
		Lease:         d.node,
		Configuration: d.machine,
		Fleet:         fleet,
		Engines:       endpoint.NewClient(endpoint.ClientConfig{TLS: d.endpointTLS.Config}),
		Roles:         balancer,
		MaxLoads:      d.settings.MaxLoads,
		Now:           time.Now,
		Logger:        d.logger,
	})
	return reconciler, balancer
}

// The intervals between the controllers' rounds. Each round asks the dispatchers for all endpoints, 180
// bytes each; with one reconciler round per second that was 4.5 KB/s for a dispatcher of 25 endpoints.
// Roles change after 30 s at the earliest.
const (
	reconcileInterval   = 3 * time.Second
	roleBalanceInterval = 5 * time.Second
)

// operatorAddress returns the operator address of the instance with the given peer address if the bootstrap
// list has it, and otherwise an empty string. Instances that were added later are not in the list; pierctl
// then tries all instances in turn.
func (s Settings) operatorAddress(peer string) string {
	for _, v := range s.Bootstrap {
		if v.Address == peer {
			return v.Operator
		}
	}
	return ""
}

func (d *daemon) registerMetrics() {
	d.certificates.Register(d.registry)
	d.endpointTLS.Register(d.registry)
	d.registry.GaugeFunc("control_leader", func() int64 {
		if remaining, _ := d.node.LeaderLease(); remaining > 0 {
			return 1
		}
		return 0
	})
	d.registry.GaugeFunc("control_applied_index", func() int64 { return int64(d.node.Status().AppliedIndex) })
	d.registry.GaugeFunc("control_voters", func() int64 { voters, _, _ := d.countMembers(); return voters })
	d.registry.GaugeFunc("control_voters_lost", func() int64 { _, lost, _ := d.countMembers(); return lost })
	d.registry.GaugeFunc("control_learners", func() int64 { _, _, learners := d.countMembers(); return learners })
	d.registry.GaugeFunc("log_lines_dropped_total", logging.Dropped)
	d.registry.GaugeFunc("peer_bytes_total", func() int64 { return d.peerPool.Traffic() + d.peerServer.Traffic() })
	d.registry.GaugeFunc("control_sessions", func() int64 { return int64(len(d.controlService.Members())) })
}

// countMembers returns the numbers of voters, of voters that have not replied to this instance, as the leader,
// for the time after which they are replaced, and of learners.
func (d *daemon) countMembers() (voters, lost, learners int64) {
	for _, m := range d.node.Status().Members {
		switch {
		case !m.Voter:
			learners++
			continue
		case m.SinceLastReply > d.settings.ReplaceAfter:
			lost++
		}
		voters++
	}
	return voters, lost, learners
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
			Reached:  m.ID == status.ID || m.SinceLastReply < reachableWithin,
			LastSeen: m.SinceLastReply.Milliseconds(),
		})
	}
	return voters
}

// reachableWithin is the time since its last reply within which a member counts as reachable: twenty
// heartbeats of the leader.
const reachableWithin = time.Second

// leadershipTransferTimeout bounds the leadership transfer at a planned stop, which takes a few
// milliseconds. After the maximum election timeout (600 ms) this instance is no longer the leader.
const leadershipTransferTimeout = time.Second

// prepareStop waits until ctx is done. While all parts of the daemon still run, it then transfers the leadership
// to another voter and, where this instance can join again by itself, gives up its membership.
func (d *daemon) prepareStop(ctx, running context.Context) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return nil
	}
	d.transferLeadership(running)
	if len(d.settings.Seeds) > 0 {
		formation.Leave(running, d.joinConfig())
	}
	return nil
}

func (d *daemon) transferLeadership(running context.Context) {
	transferCtx, cancel := context.WithTimeout(running, leadershipTransferTimeout)
	defer cancel()
	switch err := d.node.TransferLeadership(transferCtx); {
	case err == nil:
		d.logger.Info("Transferred the leadership")
	case !fault.Is(err, consensus.NotLeader):
		d.logger.Warn("Could not transfer the leadership", zap.Error(err))
	}
}

// errNodeFailed is the cause with which the parts of a daemon end whose node has failed.
var errNodeFailed = errors.New("the node of the replicated log has failed")

// serve runs all parts of the daemon until ctx is done or one of them fails.
func (d *daemon) serve(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return err
	}
	stopping := ctx
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	var nodeFailed atomic.Bool
	stop := func() {
		if nodeFailed.Load() {
			cancel(errNodeFailed)
		}
		cancel(nil)
	}
	defer stop()
	ends := append(d.startInterfaces(ctx),
		task.Start(ctx, func(ctx context.Context) error { return d.peerServer.Serve(ctx, peerListener) }),
		task.Start(ctx, func(ctx context.Context) error {
			err := d.node.Run(ctx)
			nodeFailed.Store(err != nil)
			return err
		}),
		task.Start(ctx, d.controlService.Run),
		task.Start(ctx, func(ctx context.Context) error { return d.prepareStop(stopping, ctx) }),
	)
	if d.settings.MetricsListen != "" {
		handler := metrics.Handler(metrics.HandlerConfig{Registry: d.registry, Ready: d.ready, Profiles: true})
		ends = append(ends, task.Start(ctx, func(ctx context.Context) error {
			return listenHTTP(ctx, d.settings.MetricsListen, handler, d.logger)
		}))
	}
	d.logger.Info("Started", zap.String("peer", d.settings.peerAddress()), zap.Strings("data-centres", d.settings.DataCentres))
	err = task.StopAfterFirst(ctx, stop, ends...)
	d.logger.Info("Stopped", zap.Error(err))
	return err
}

// serveOperators serves the operators' API until ctx is done, over TLS if the settings enable it. It calls
// started with the address that it listens on.
func (d *daemon) serveOperators(ctx context.Context, address string, started func(net.Addr)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if d.certificates.Server != nil {
		listener = tls.NewListener(listener, d.certificates.Server)
	}
	started(listener.Addr())
	return serveHTTP(ctx, listener, d.operatorHandler(), d.logger)
}

// ready returns an error if this instance knows no leader.
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
	// failureShutdownTimeout replaces shutdownTimeout on an instance that has failed. It is longer than a call to the quorum,
	// so that requests in flight get their responses.
	failureShutdownTimeout = time.Second
)

// listenHTTP listens on an address and serves until ctx is done.
func listenHTTP(ctx context.Context, address string, handler http.Handler, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return serveHTTP(ctx, listener, handler, logger)
}

// serveHTTP serves until ctx is done and then completes the requests in flight. If the cause of ctx is a failure, they have less
// time: the instance can serve nothing and should start again soon.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler, logger *zap.Logger) error {
	errorLog, _ := zap.NewStdLogAt(logger, zap.DebugLevel)
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: errorLog, ConnContext: connection.NewContext,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	timeout := shutdownTimeout
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		timeout = failureShutdownTimeout
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	err := server.Shutdown(shutdown)
	<-serveErr
	return err
}
