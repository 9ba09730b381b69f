package certificate_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

const clusterKey = "0123456789abcdef"

// Echo is a net/rpc service.
type Echo struct{}

func (Echo) Say(word string, reply *string) error {
	*reply = word
	return nil
}

func servePeers(t *testing.T, config *tls.Config) string {
	t.Helper()
	server := peer.NewServer(peer.ServerConfig{Key: clusterKey, TLS: config, Logger: zap.NewNop()})
	is.New(t).NoErr(server.Register("Echo", Echo{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	end := task.Start(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-end)
	})
	return listener.Addr().String()
}

// call makes one call over a new connection; a nil config means no TLS.
func call(ctx context.Context, config *tls.Config, address string) error {
	pool := peer.NewPool(peer.PoolConfig{Key: clusterKey, TLS: config})
	defer pool.Close()
	var reply string
	return pool.Call(ctx, address, "Echo.Say", "saw", &reply)
}

func (s *storeFixture) clientConfig() *tls.Config {
	config, err := s.Client()
	is.New(s.t).NoErr(err)
	return config
}

func (s *storeFixture) mutualServerConfig() *tls.Config {
	config, err := s.MutualServer()
	is.New(s.t).NoErr(err)
	return config
}

// Guards against peers that are accepted without a certificate of the deployment's CA, or with one for
// another address.
func TestPeers(t *testing.T) {
	ours, other := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	pair := ours.Issue(t, 11, "127.0.0.1")
	good := newStoreFixture(t, pair, ours.PEM)
	foreign := newStoreFixture(t, other.Issue(t, 12, "127.0.0.1"), ours.PEM)
	anonymous := good.clientConfig()
	anonymous.GetClientCertificate = nil
	unnamed := good.clientConfig()
	unnamed.VerifyConnection = func(state tls.ConnectionState) error {
		state.ServerName = ""
		return good.clientConfig().VerifyConnection(state)
	}
	elsewhere := newStoreFixture(t, ours.Issue(t, 13, "127.0.0.2"), ours.PEM)
	for name, test := range map[string]struct {
		server, client *tls.Config
		want           peer.Kind
	}{
		"both of the CA":        {good.mutualServerConfig(), good.clientConfig(), ""},
		"client without one":    {good.mutualServerConfig(), anonymous, peer.Denied},
		"client of another CA":  {good.mutualServerConfig(), foreign.clientConfig(), peer.Denied},
		"server of another CA":  {foreign.mutualServerConfig(), good.clientConfig(), peer.Denied},
		"server elsewhere":      {elsewhere.mutualServerConfig(), good.clientConfig(), peer.Denied},
		"server without a name": {good.mutualServerConfig(), unnamed, peer.Denied},
		"client without TLS":    {good.mutualServerConfig(), nil, peer.Unreachable},
		"server without TLS":    {nil, good.clientConfig(), peer.Unreachable},
		"client with TLS 1.2":   {good.mutualServerConfig(), withTLS12Only(good.clientConfig()), peer.Denied},
		"server with TLS 1.2":   {withTLS12Only(good.Server()), good.clientConfig(), peer.Denied},
	} {
		t.Run(name, func(t *testing.T) {
			err := call(t.Context(), test.client, servePeers(t, test.server))
			if test.want == "" {
				is.New(t).NoErr(err)
			} else if !fault.Is(err, test.want) {
				t.Errorf("got %v, want an error of kind %s", err, test.want)
			}
		})
	}
}

func withTLS12Only(config *tls.Config) *tls.Config {
	config.MinVersion, config.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	return config
}

// Guards against a change of the CA that needs downtime: with both CAs in the file, certificates of both are
// accepted; once the old CA is removed, its certificates are rejected.
func TestChangeCA(t *testing.T) {
	is := is.New(t)
	first, second := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	a, b := first.Issue(t, 11, "127.0.0.1"), second.Issue(t, 12, "127.0.0.1")
	server, client := newStoreFixture(t, a, first.PEM), newStoreFixture(t, a, first.PEM)
	address := servePeers(t, server.mutualServerConfig())
	config := client.clientConfig()
	is.NoErr(call(t.Context(), config, address))
	both := first.PEM + second.PEM
	server.write(a, both)
	is.NoErr(call(t.Context(), config, address))
	client.write(b, both)
	is.NoErr(call(t.Context(), config, address))
	server.write(b, both)
	is.NoErr(call(t.Context(), config, address))
	server.write(b, second.PEM)
	is.NoErr(call(t.Context(), config, address))
	client.write(a, both)
	is.True(fault.Is(call(t.Context(), config, address), peer.Denied))
}

// Guards against a peer that accepts connections and never responds to the TLS handshake, as a
// stopped process does: the handshake must end with the context of the call.
func TestStalledHandshake(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	s := newStoreFixture(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	end := task.Start(ctx, func(ctx context.Context) error { return call(ctx, s.clientConfig(), listener.Addr().String()) })
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	firstByte := make([]byte, 1)
	_, err = conn.Read(firstByte)
	is.NoErr(err)
	select {
	case err := <-end:
		t.Fatalf("the call ended before its context: %v", err)
	default:
	}
	cancel()
	err = <-end
	is.True(errors.Is(err, context.Canceled))
	is.True(fault.Is(err, peer.Unreachable))
}

// Guards against a call without a deadline that waits forever for a peer that reads but does not respond to
// the TLS handshake.
func TestHandshakeTimeout(t *testing.T) {
	ca := certificatetest.NewAuthority(t)
	s := newStoreFixture(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		pool := peer.NewPool(peer.PoolConfig{Key: clusterKey, TLS: s.clientConfig(), Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}})
		defer pool.Close()
		var reply string
		err := pool.Call(t.Context(), "127.0.0.1:1", "Echo.Say", "saw", &reply)
		is.True(fault.Is(err, peer.Unreachable))
		is.Equal(time.Since(started), 2*time.Second) // on the fake clock of synctest
	})
}

// Guards against a client that sends nothing and thereby delays the shutdown of the server.
func TestSilentClient(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	s := newStoreFixture(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	var silent net.Conn
	t.Cleanup(func() { _ = silent.Close() }) // after the server has stopped, which its own cleanup awaits
	address := servePeers(t, s.mutualServerConfig())
	var err error
	silent, err = net.Dial("tcp", address)
	is.NoErr(err)
	is.NoErr(call(t.Context(), s.clientConfig(), address))
}

// Guards against a resumed session, whose client certificate the server does not verify again.
func TestNoResumption(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	s := newStoreFixture(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	listener := startEchoServer(t, s.mutualServerConfig())
	config := certificate.ForServer(s.clientConfig(), "127.0.0.1")
	config.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	for range 2 {
		conn, err := tls.Dial("tcp", listener.Addr().String(), config)
		is.NoErr(err)
		_, err = conn.Write([]byte{1})
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 1)) // a session ticket would come before the echo
		is.NoErr(err)
		is.True(!conn.ConnectionState().DidResume)
		is.NoErr(conn.Close())
	}
}
