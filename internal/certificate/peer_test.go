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

// call makes one call over a connection of its own; config may be nil.
func call(ctx context.Context, config *tls.Config, address string) error {
	pool := peer.NewPool(peer.PoolConfig{Key: clusterKey, TLS: config})
	defer pool.Close()
	var reply string
	return pool.Call(ctx, address, "Echo.Say", "saw", &reply)
}

func (s *site) client() *tls.Config {
	config, err := s.Client()
	is.New(s.t).NoErr(err)
	return config
}

func (s *site) mutual() *tls.Config {
	config, err := s.MutualServer()
	is.New(s.t).NoErr(err)
	return config
}

// Guards against peers that are accepted without a certificate of the deployment's CA, or with one for
// another address.
func TestPeers(t *testing.T) {
	ours, other := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	pair := ours.Issue(t, 11, "127.0.0.1")
	good := newSite(t, pair, ours.PEM)
	foreign := newSite(t, other.Issue(t, 12, "127.0.0.1"), ours.PEM)
	anonymous := good.client()
	anonymous.GetClientCertificate = nil
	unnamed := good.client()
	unnamed.VerifyConnection = func(state tls.ConnectionState) error {
		state.ServerName = ""
		return good.client().VerifyConnection(state)
	}
	elsewhere := newSite(t, ours.Issue(t, 13, "127.0.0.2"), ours.PEM)
	for name, test := range map[string]struct {
		server, client *tls.Config
		want           peer.Kind
	}{
		"both of the CA":        {good.mutual(), good.client(), ""},
		"client without one":    {good.mutual(), anonymous, peer.Denied},
		"client of another CA":  {good.mutual(), foreign.client(), peer.Denied},
		"server of another CA":  {foreign.mutual(), good.client(), peer.Denied},
		"server elsewhere":      {elsewhere.mutual(), good.client(), peer.Denied},
		"server without a name": {good.mutual(), unnamed, peer.Denied},
		"client without TLS":    {good.mutual(), nil, peer.Unreachable},
		"server without TLS":    {nil, good.client(), peer.Unreachable},
		"client with TLS 1.2":   {good.mutual(), oldVersion(good.client()), peer.Denied},
		"server with TLS 1.2":   {oldVersion(good.Server()), good.client(), peer.Denied},
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

func oldVersion(config *tls.Config) *tls.Config {
	config.MinVersion, config.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	return config
}

// Guards against a change of the CA that needs a stop: with both CAs in the file, certificates of both
// are accepted, and without the old one its certificates are refused.
func TestChangeCA(t *testing.T) {
	is := is.New(t)
	first, second := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	a, b := first.Issue(t, 11, "127.0.0.1"), second.Issue(t, 12, "127.0.0.1")
	server, client := newSite(t, a, first.PEM), newSite(t, a, first.PEM)
	address := servePeers(t, server.mutual())
	config := client.client()
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

// Guards against a peer that accepts connections and never answers the TLS handshake, as a stopped
// process does: the end of the call's context ends the handshake.
func TestStalledHandshake(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	s := newSite(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	end := task.Start(ctx, func(ctx context.Context) error { return call(ctx, s.client(), listener.Addr().String()) })
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	hello := make([]byte, 1)
	_, err = conn.Read(hello)
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

// Guards against a call without a deadline that waits for ever for a peer that reads and does not answer
// the TLS handshake.
func TestHandshakeTimeout(t *testing.T) {
	ca := certificatetest.NewAuthority(t)
	s := newSite(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		pool := peer.NewPool(peer.PoolConfig{Key: clusterKey, TLS: s.client(), Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}})
		defer pool.Close()
		var reply string
		err := pool.Call(t.Context(), "127.0.0.1:1", "Echo.Say", "saw", &reply)
		is.True(fault.Is(err, peer.Unreachable))
		is.Equal(time.Since(started), 2*time.Second) // the bubble's clock
	})
}

// Guards against a client that sends nothing and holds the end of the server.
func TestSilentClient(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	s := newSite(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	var silent net.Conn
	t.Cleanup(func() { _ = silent.Close() }) // after the end of the server, for which the test waits
	address := servePeers(t, s.mutual())
	var err error
	silent, err = net.Dial("tcp", address)
	is.NoErr(err)
	is.NoErr(call(t.Context(), s.client(), address))
}

// Guards against a resumed session, whose client certificate the server does not verify again.
func TestNoResumption(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	s := newSite(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	listener := echo(t, s.mutual())
	config := certificate.ForServer(s.client(), "127.0.0.1")
	config.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	for range 2 {
		conn, err := tls.Dial("tcp", listener.Addr().String(), config)
		is.NoErr(err)
		_, err = conn.Write([]byte{1})
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 1)) // a session ticket would come before the answer
		is.NoErr(err)
		is.True(!conn.ConnectionState().DidResume)
		is.NoErr(conn.Close())
	}
}
