package peer_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// echo is a service whose method Hold replies only after release is closed.
type echo struct {
	held    chan struct{}
	release chan struct{}
}

func (e *echo) Say(word string, reply *string) error {
	if word == "" {
		return errors.New("no word")
	}
	*reply = word
	return nil
}

func (e *echo) Hold(_ int, reply *int) error {
	e.held <- struct{}{}
	<-e.release
	*reply = 1
	return nil
}

// Fail panics, as a method does that meets arguments it was not written for.
func (e *echo) Fail(words []string, reply *string) error {
	*reply = words[0]
	return nil
}

const key = "0123456789abcdef"

func startServer(t *testing.T, serverKey string) (address string, service *echo) {
	t.Helper()
	is := is.New(t)
	service = &echo{held: make(chan struct{}, 16), release: make(chan struct{})}
	server := peer.NewServer(peer.ServerConfig{Key: serverKey, Logger: zap.NewNop()})
	is.NoErr(server.Register("Echo", service))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	end := task.Start(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		close(service.release)
		is.NoErr(<-end)
	})
	return listener.Addr().String(), service
}

func newPool(t *testing.T, config peer.PoolConfig) *peer.Pool {
	p := peer.NewPool(config)
	t.Cleanup(p.Close)
	return p
}

// Guards against errors that do not say whether the call may have run.
func TestCall(t *testing.T) {
	for name, test := range map[string]struct {
		serverKey string
		method    string
		word      string
		want      peer.Kind
	}{
		"answered":       {key, "Echo.Say", "saw", ""},
		"method failed":  {key, "Echo.Say", "", peer.Remote},
		"unknown method": {key, "Echo.Shout", "saw", peer.Remote},
		"wrong key":      {"another key 0123", "Echo.Say", "saw", peer.Denied},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startServer(t, test.serverKey)
			var reply string
			err := newPool(t, peer.PoolConfig{Key: key}).Call(t.Context(), address, test.method, test.word, &reply)
			if test.want == "" {
				is.NoErr(err)
				is.Equal(reply, test.word)
				return
			}
			is.True(fault.Is(err, test.want))
		})
	}
}

// Guards against a call without a listener that is reported as one that may have run.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	var reply string
	err = newPool(t, peer.PoolConfig{Key: key}).Call(t.Context(), address, "Echo.Say", "saw", &reply)
	is.True(fault.Is(err, peer.Unreachable))
}

// awaitHeld waits until the service has received a call of Hold, and fails the test if the call ends before.
func awaitHeld(t *testing.T, service *echo, end <-chan error) {
	t.Helper()
	select {
	case <-service.held:
	case err := <-end:
		t.Fatal(err)
	}
}

// Guards against a slow call that blocks the others, an unbounded number of pending calls, and a caller that
// waits after its context has ended.
func TestPendingCalls(t *testing.T) {
	is := is.New(t)
	address, service := startServer(t, key)
	p := newPool(t, peer.PoolConfig{Key: key, MaxPending: 2})
	ctx, cancel := context.WithCancel(t.Context())
	var held int
	slow := task.Start(ctx, func(ctx context.Context) error {
		return p.Call(ctx, address, "Echo.Hold", 1, &held)
	})
	awaitHeld(t, service, slow)
	var reply string
	is.NoErr(p.Call(t.Context(), address, "Echo.Say", "past the slow one", &reply))

	second := task.Start(ctx, func(ctx context.Context) error {
		var held int
		return p.Call(ctx, address, "Echo.Hold", 1, &held)
	})
	awaitHeld(t, service, second)
	is.True(fault.Is(p.Call(t.Context(), address, "Echo.Say", "one too many", &reply), peer.Busy))
	cancel()
	is.True(fault.Is(<-slow, peer.Lost))
	is.True(fault.Is(<-second, peer.Lost))
}

// Guards against a call that never returns because the peer accepts connections and never replies to the
// handshake.
func TestSilentPeer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var reply string
	err = newPool(t, peer.PoolConfig{Key: key}).Call(ctx, listener.Addr().String(), "Echo.Say", "saw", &reply)
	is.True(err != nil)
	is.NoErr(ctx.Err())
}

// Guards against calls that wait after their contexts have ended for a peer that accepts connections and does
// not reply, as a stopped process does: neither the handshake nor the dialling of another call may block them.
func TestCallToStoppedPeer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	p := newPool(t, peer.PoolConfig{Key: key})
	dialled := make(chan struct{})
	first, cancelFirst := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() {
		var reply string
		end <- p.Call(first, listener.Addr().String(), "Echo.Say", "saw", &reply)
	}()
	go func() {
		conn, err := listener.Accept()
		close(dialled)
		if err == nil {
			<-first.Done()
			_ = conn.Close()
		}
	}()
	<-dialled
	second, cancelSecond := context.WithCancel(context.Background())
	cancelSecond()
	var reply string
	err = p.Call(second, listener.Addr().String(), "Echo.Say", "saw", &reply)
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-end:
		t.Fatal("the call waited until the other one had stopped dialling")
	default:
	}
	cancelFirst()
	is.True(errors.Is(<-end, context.Canceled))
}

// pipeListener is a listener for connections within the process.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// bufferedConn is an end of net.Pipe whose writes do not wait for the reader, like those of a socket.
type bufferedConn struct {
	net.Conn
	queue chan []byte
	done  chan struct{}
	close func()
}

func newBufferedConn(conn net.Conn) *bufferedConn {
	b := &bufferedConn{Conn: conn, queue: make(chan []byte, 16), done: make(chan struct{})}
	b.close = sync.OnceFunc(func() { close(b.done) })
	go func() {
		for {
			select {
			case data := <-b.queue:
				_, _ = conn.Write(data)
			case <-b.done:
				return
			}
		}
	}()
	return b
}

func (b *bufferedConn) Write(data []byte) (int, error) {
	select {
	case b.queue <- bytes.Clone(data):
		return len(data), nil
	case <-b.done:
		return 0, net.ErrClosed
	}
}

func (b *bufferedConn) Close() error {
	b.close()
	return b.Conn.Close()
}

// Guards against a first call after a restart of the peer that fails on the old connection as one that may have
// run, although the pool knows that the connection has ended.
func TestRestartedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := peer.NewServer(peer.ServerConfig{Key: key, Logger: zap.NewNop()})
		is.NoErr(server.Register("Echo", &echo{}))
		listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		end := task.Start(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
		var serverConn net.Conn
		p := peer.NewPool(peer.PoolConfig{Key: key, Dial: func(context.Context, string) (net.Conn, error) {
			near, other := net.Pipe()
			serverConn = newBufferedConn(other)
			listener.accepted <- serverConn
			return newBufferedConn(near), nil
		}})
		var reply string
		is.NoErr(p.Call(t.Context(), "127.0.0.1:1", "Echo.Say", "before", &reply))
		is.NoErr(serverConn.Close())
		synctest.Wait()
		is.NoErr(p.Call(t.Context(), "127.0.0.1:1", "Echo.Say", "after", &reply))
		is.Equal(reply, "after")
		p.Close()
		cancel()
		is.NoErr(<-end)
	})
}

// Guards against one malformed message that ends the process of the called instance, or the other calls on its
// connection.
func TestMalformedCallFailsAlone(t *testing.T) {
	is := is.New(t)
	address, service := startServer(t, key)
	pool := newPool(t, peer.PoolConfig{Key: key})
	held := make(chan error, 1)
	go func() {
		var reply int
		held <- pool.Call(t.Context(), address, "Echo.Hold", 0, &reply)
	}()
	<-service.held
	for range 3 {
		var reply string
		is.True(fault.Is(pool.Call(t.Context(), address, "Echo.Fail", []string{}, &reply), peer.Remote))
		is.True(fault.Is(pool.Call(t.Context(), address, "Echo.Say", map[string]int{"a": 1}, &reply), peer.Remote))
		is.True(fault.Is(pool.Call(t.Context(), address, "Nobody.Says", "saw", &reply), peer.Remote))
		is.NoErr(pool.Call(t.Context(), address, "Echo.Say", "saw", &reply))
		is.Equal(reply, "saw")
	}
	service.release <- struct{}{}
	is.NoErr(<-held)
}

// shortOfDescriptors is a listener whose first calls of Accept find no file descriptor.
type shortOfDescriptors struct {
	net.Listener
	failures int
}

func (l *shortOfDescriptors) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends, and the process with it, because the system has no file descriptor left for a moment.
func TestShortageOfDescriptorsPasses(t *testing.T) {
	is := is.New(t)
	server := peer.NewServer(peer.ServerConfig{Key: key, Logger: zap.NewNop()})
	is.NoErr(server.Register("Echo", &echo{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	end := task.Start(ctx, func(ctx context.Context) error { return server.Serve(ctx, &shortOfDescriptors{listener, 3}) })
	var reply string
	is.NoErr(newPool(t, peer.PoolConfig{Key: key}).Call(t.Context(), listener.Addr().String(), "Echo.Say", "saw", &reply))
	is.Equal(reply, "saw")
	cancel()
	is.NoErr(<-end)
}
