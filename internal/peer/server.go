package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Key is the cluster key.
	Key string
	// TLS, if set, secures each connection before the two sides prove that they hold the cluster key.
	TLS    *tls.Config
	Logger *zap.Logger
}

// Server serves calls from peers that hold the cluster key.
type Server struct {
	config ServerConfig
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	// traffic is the number of bytes sent and received, without the overhead of TLS.
	traffic atomic.Int64
}

// NewServer returns a server without services.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register adds the exported methods of receiver under name, as net/rpc's RegisterName does.
func (s *Server) Register(name string, receiver any) error {
	return fault.Wrap(s.rpc.RegisterName(name, receiver), "register service", Remote, name)
}

// Serve accepts connections until ctx ends, then closes the listener and all connections and waits
// for their goroutines.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.closeAll()
	})
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	defer s.closeAll()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isResourceShortage(err) {
			s.config.Logger.Warn("Could not accept a peer connection", zap.Error(err))
			task.Pause(ctx, acceptRetryInterval)
			continue
		}
		if err != nil {
			return fault.Wrap(err, "accept peer", Unreachable, listener.Addr().String())
		}
		handlers.Go(func() { s.handle(ctx, conn) })
	}
}

// acceptRetryInterval is the time before the next attempt to accept a connection while the system lacks resources for it.
const acceptRetryInterval = 50 * time.Millisecond

// isResourceShortage reports whether connections can be accepted again once others have ended.
func isResourceShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

func (s *Server) handle(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	if ctx.Err() != nil {
		return
	}
	secured, err := s.secure(ctx, conn)
	if err == nil {
		err = authenticate(secured, s.config.Key, serverRole, clientRole)
	}
	if err != nil {
		s.config.Logger.Warn("Refused a peer connection", zap.String("peer", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	s.serveRequests(&deadlineConn{Conn: secured, traffic: &s.traffic})
}

// secure does the TLS handshake, if TLS is configured.
func (s *Server) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if s.config.TLS == nil {
		return raw, nil
	}
	return handshake(ctx, tls.Server(raw, s.config.TLS))
}

// Traffic returns the bytes sent and received.
func (s *Server) Traffic() int64 {
	return s.traffic.Load()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
