// Package node runs a stand-in: its HTTP server, its announcements and its graceful stop.
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

// Listen means that the server could not be started or broke down.
const Listen Kind = "listen"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// idlePoll is how often a draining node checks whether its requests have ended.
const idlePoll = 20 * time.Millisecond

// Endpoint is what a node runs.
type Endpoint interface {
	// Handler serves all requests. It is called once, before the server starts.
	Handler() http.Handler
	// Announcement returns what the endpoint says of itself; the node fills in name, incarnation,
	// address and place, and the state if it is not ready.
	Announcement() endpoint.Announcement
	// Drain refuses new work.
	Drain()
	// Active returns the number of requests in progress.
	Active() int
	// Run does background work until ctx is done.
	Run(ctx context.Context)
}

// Config sets up a node.
type Config struct {
	Options  options.Common
	Endpoint Endpoint
	Logger   *zap.Logger
	// TLS are the configurations of the options.
	TLS certificate.Configs
	// Listener replaces Options.Listen when it is set.
	Listener net.Listener
	// Incarnation changes at each start.
	Incarnation string
}

// Node is a running stand-in.
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

// Run serves until ctx is done, then stops gracefully: it announces draining, lets requests end
// within the stop timeout, announces leaving, and closes.
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
	listener = n.secure(listener)
	errorLog, _ := zap.NewStdLogAt(n.config.Logger, zap.WarnLevel)
	server := &http.Server{Handler: n.config.Endpoint.Handler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: errorLog}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
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
		To:       n.config.Options.AnnounceTo,
		Interval: n.config.Options.AnnounceInterval,
		Client:   client,
		TLS:      announceTLS,
		Logger:   n.config.Logger,
		Build:    n.announcement,
	})
	var wait sync.WaitGroup
	wait.Go(func() { n.config.Endpoint.Run(background) })
	wait.Go(func() { a.Run(background) })
	defer wait.Wait()
	defer cancel()

	select {
	case err := <-served:
		return fault.Wrap(err, "serve", Listen, n.address)
	case <-ctx.Done():
	}
	n.stop(background, a)
	err := server.Close()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	<-served
	return fault.Wrap(err, "stop", Listen, n.address)
}

// secure makes the listener serve TLS if the options say so.
func (n *Node) secure(listener net.Listener) net.Listener {
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

// Address returns the announced address; it is known once the node is ready.
func (n *Node) Address() string {
	return n.address
}

func (n *Node) stop(ctx context.Context, a *announcer.Announcer) {
	logger := n.config.Logger
	logger.Info("draining")
	n.setState(endpoint.Draining)
	n.announce(ctx, a)
	n.waitGrace(ctx)
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

// waitGrace lets requests arrive that were sent before the entries knew of the stop.
func (n *Node) waitGrace(ctx context.Context) {
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
	ticker := time.NewTicker(idlePoll)
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
