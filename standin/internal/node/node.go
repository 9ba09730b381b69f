// Package node runs a simulated endpoint: its HTTP server, its announcements and its graceful shutdown.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/standin/internal/announcer"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// Kind classifies an Error.
type Kind string

// Listen means that the server could not be started or failed.
const Listen Kind = "listen"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// idlePollInterval is the interval at which a draining node checks whether its requests have ended.
const idlePollInterval = 20 * time.Millisecond

// Endpoint is the engine, service or weight store that a node runs.
type Endpoint interface {
	// Handler serves all requests. It is called once, before the server starts.
	Handler() http.Handler
	// Announcement returns the current announcement. The node fills in name, incarnation, address, data
	// centre and region, and its own state if none is set or the node is leaving.
	Announcement() endpoint.Announcement
	// Drain refuses new work.
	Drain()
	// Active returns the number of requests in progress.
	Active() int
	// Run does background work until ctx is done.
	Run(ctx context.Context)
}

// Config configures a node.
type Config struct {
	Options  options.Common
	Endpoint Endpoint
	Logger   *zap.Logger
	// TLS holds the TLS configurations loaded from the options.
	TLS certificate.Configs
	// Listener is used instead of Options.Listen if it is set.
	Listener net.Listener
	// Incarnation changes at each start.
	Incarnation string
}

// Node serves and announces one simulated endpoint.
type Node struct {
	config  Config
	address string
	ready   chan struct{}

	mu    sync.Mutex
	state endpoint.State
}

// New returns a node.
func New(config Config) *Node {
	return &Node{config: config, state: endpoint.Ready, ready: make(chan struct{})}
}

// Run serves until ctx is done, then shuts down gracefully: it announces that it is draining, waits up to
// the stop timeout for requests in progress, announces that it is leaving, and closes the server.
func (n *Node) Run(ctx context.Context) error {
	listener := n.config.Listener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", n.config.Options.Listen)
		if err != nil {
			return fault.Wrap(err, "start", Listen, n.config.Options.Listen)
		}
	}
	n.address = listener.Addr().String()
	if n.config.Options.Advertise != "" {
		n.address = n.config.Options.Advertise
	}
	listener = n.wrapTLS(listener)
	errorLog, _ := zap.NewStdLogAt(n.config.Logger, zap.WarnLevel)
	server := &http.Server{Handler: n.config.Endpoint.Handler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: errorLog}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	n.config.Logger.Info("listening", zap.String("address", n.address))
	close(n.ready)

	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var announceTLS *tls.Config
	if n.config.Options.TLS.Announce {
		announceTLS = n.config.TLS.PeerClient
	}
	client := &http.Client{Transport: endpoint.SecureTransport(&http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}, announceTLS)}
	defer client.CloseIdleConnections()
	a := announcer.New(n.config.Options.Name, announcer.Config{
		SeedAddresses:     n.config.Options.AnnounceTo,
		Interval:          n.config.Options.AnnounceInterval,
		Client:            client,
		TLS:               announceTLS,
		Logger:            n.config.Logger,
		BuildAnnouncement: n.announcement,
	})
	var tasks sync.WaitGroup
	tasks.Go(func() { n.config.Endpoint.Run(background) })
	tasks.Go(func() { a.Run(background) })
	defer tasks.Wait()
	defer cancel()

	select {
	case err := <-serveResult:
		return fault.Wrap(err, "serve", Listen, n.address)
	case <-ctx.Done():
	}
	n.shutDown(background, a)
	err := server.Close()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	<-serveResult
	return fault.Wrap(err, "stop", Listen, n.address)
}

// wrapTLS adds TLS to the listener if the options enable it.
func (n *Node) wrapTLS(listener net.Listener) net.Listener {
	switch o := n.config.Options.TLS; {
	case !o.Serve:
		return listener
	case o.Clients:
		return tls.NewListener(listener, n.config.TLS.PeerServer)
	default:
		return tls.NewListener(listener, n.config.TLS.Server)
	}
}

// Ready is closed when the node listens.
func (n *Node) Ready() <-chan struct{} {
	return n.ready
}

// Address returns the announced address; it is set once the node is ready.
func (n *Node) Address() string {
	return n.address
}

func (n *Node) shutDown(ctx context.Context, a *announcer.Announcer) {
	logger := n.config.Logger
	logger.Info("draining")
	n.setState(endpoint.Draining)
	n.announce(ctx, a)
	n.waitDrainGrace(ctx)
	n.config.Endpoint.Drain()
	n.waitIdle(ctx)
	n.setState(endpoint.Leaving)
	n.announce(ctx, a)
	logger.Info("leaving", zap.Int("unfinished", n.config.Endpoint.Active()))
}

func (n *Node) announce(ctx context.Context, a *announcer.Announcer) {
	if err := a.Announce(ctx); err != nil {
		n.config.Logger.Warn("announcement not delivered", zap.Error(err))
	}
}

// waitDrainGrace waits for the requests that entries sent before they learned that the node is draining.
func (n *Node) waitDrainGrace(ctx context.Context) {
	if len(n.config.Options.AnnounceTo) == 0 {
		return
	}
	timer := time.NewTimer(n.config.Options.DrainGrace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (n *Node) waitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Options.StopTimeout)
	defer cancel()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for n.config.Endpoint.Active() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) setState(state endpoint.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = state
}

func (n *Node) announcement() endpoint.Announcement {
	n.mu.Lock()
	state := n.state
	n.mu.Unlock()
	announcement := n.config.Endpoint.Announcement()
	announcement.Name = n.config.Options.Name
	announcement.Incarnation = n.config.Incarnation
	announcement.Address = n.address
	announcement.DataCentre = n.config.Options.DataCentre
	announcement.Region = n.config.Options.Region
	if announcement.State == "" || state == endpoint.Leaving {
		announcement.State = state
	}
	return announcement
}
