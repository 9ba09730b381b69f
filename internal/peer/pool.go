package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Key is the cluster key.
	Key string
	// DialTimeout bounds a connection attempt; 0 means 1 s.
	DialTimeout time.Duration
	// MaxPending bounds the calls pending on one connection; 0 means 4,096.
	MaxPending int
	// TLS, if set, secures each connection before the two sides prove that they hold the cluster key. The host
	// of the address is the server name.
	TLS *tls.Config
	// Dial makes connections; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	defaultDialTimeout = time.Second
	defaultMaxPending  = 4096
)

// Pool holds one connection to each peer address. It is safe for concurrent use.
type Pool struct {
	config PoolConfig
	mu     sync.Mutex
	links  map[string]*link
	closed bool
	// traffic is the number of bytes sent and received, without the overhead of TLS.
	traffic atomic.Int64
}

// link is the connection to one address.
type link struct {
	// dialling is a semaphore of one place, held by the call that makes the connection. A channel lets the
	// other calls stop waiting when their contexts end.
	dialling chan struct{}
	// pending is a semaphore with a place for each call that may be pending.
	pending chan struct{}
	mu      sync.Mutex
	client  *rpc.Client
	conn    *deadlineConn
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	if config.DialTimeout == 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.MaxPending == 0 {
		config.MaxPending = defaultMaxPending
	}
	if config.Dial == nil {
		dialer := net.Dialer{Timeout: config.DialTimeout}
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{config: config, links: make(map[string]*link)}
}

// Call runs method at address and waits for its reply or the end of ctx. Errors are of type *Error.
// After an error the reply must not be used again: a late one may still be decoded into it.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	const op = "call peer"
	l, err := p.link(address)
	if err != nil {
		return err
	}
	select {
	case l.pending <- struct{}{}:
	default:
		return fault.New(op, Busy, "%s: too many calls are pending", address)
	}
	client, conn, err := p.connect(ctx, l, address)
	if err != nil {
		<-l.pending
		return err
	}
	started := time.Now()
	done := make(chan error, 1)
	go func() {
		err := client.Call(method, args, reply)
		// The place is free before the caller has the result, so that its next call finds it.
		<-l.pending
		done <- err
	}()
	select {
	case err = <-done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.lastRead.Load() < started.UnixNano() {
			// Nothing arrived during the call: the connection may be half open, so the next call dials again.
			l.drop(client)
		}
		return fault.Wrap(ctx.Err(), op, Lost, method+" at "+address)
	}
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return fault.Wrap(err, op, Remote, method+" at "+address)
	default:
		l.drop(client)
		return fault.Wrap(err, op, Lost, method+" at "+address)
	}
}

func (p *Pool) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New("call peer", Unreachable, "the pool is closed")
	}
	l := p.links[address]
	if l == nil {
		l = &link{dialling: make(chan struct{}, 1), pending: make(chan struct{}, p.config.MaxPending)}
		p.links[address] = l
	}
	return l, nil
}

func (p *Pool) connect(ctx context.Context, l *link, address string) (*rpc.Client, *deadlineConn, error) {
	if client, conn := l.activeConnection(); client != nil {
		return client, conn, nil
	}
	select {
	case l.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, fault.Wrap(ctx.Err(), "dial peer", Unreachable, address)
	}
	defer func() { <-l.dialling }()
	if client, conn := l.activeConnection(); client != nil {
		return client, conn, nil
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	// Close does not wait for calls that dial, so the pool may have been closed in the meantime.
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = raw.Close()
		return nil, nil, fault.New("dial peer", Unreachable, "the pool is closed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = &deadlineConn{Conn: raw, traffic: &p.traffic}
	l.client = rpc.NewClient(l.conn)
	return l.client, l.conn, nil
}

// activeConnection returns the connection, or nil if there is none or it has ended: a call on an ended
// connection would be reported as one that may have run, although nothing can be sent.
func (l *link) activeConnection() (*rpc.Client, *deadlineConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && l.conn.ended.Load() {
		_ = l.client.Close()
		l.client, l.conn = nil, nil
	}
	return l.client, l.conn
}

// dial makes a connection and authenticates it before ctx ends. The kernel accepts connections for a process that
// is stopped (SIGSTOP), so the end of ctx must interrupt the handshake too.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, fault.Wrap(err, "dial peer", Unreachable, address)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, err := p.secure(ctx, raw, address)
	if err == nil {
		err = authenticate(conn, p.config.Key, clientRole, serverRole)
	}
	// When ctx ends, the other side may close the connection before AfterFunc's function has started.
	if !stop() || ctx.Err() != nil {
		err = fault.Wrap(ctx.Err(), "dial peer", Unreachable, address)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// secure does the TLS handshake, if TLS is configured.
func (p *Pool) secure(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
	if p.config.TLS == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fault.Wrap(err, "dial peer", Unreachable, address)
	}
	return handshake(ctx, tls.Client(raw, certificate.ForServer(p.config.TLS, host)))
}

// drop closes the client. The next call dials again.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.client = nil
		l.conn = nil
	}
	_ = client.Close()
}

// Traffic returns the bytes sent and received.
func (p *Pool) Traffic() int64 {
	return p.traffic.Load()
}

// Close closes all connections. Pending calls end with an error.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links = nil
	p.closed = true
	p.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if l.client != nil {
			_ = l.client.Close()
			l.client = nil
		}
		l.mu.Unlock()
	}
}
