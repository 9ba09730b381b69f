package certificate_test

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// storeFixture is a store with its files, its clock and its logs.
type storeFixture struct {
	*certificate.Store
	t         *testing.T
	directory string
	now       time.Time
	logs      *observer.ObservedLogs
}

const checkInterval = 5 * time.Second

func newStoreFixture(t *testing.T, pair certificatetest.Pair, ca string) *storeFixture {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	s := &storeFixture{t: t, directory: t.TempDir(), now: time.Now(), logs: logs}
	s.write(pair, ca)
	var err error
	s.Store, err = certificate.New(certificate.Config{
		Certificate: s.path("certificate"), Key: s.path("key"), CA: s.path("ca"), CheckInterval: checkInterval,
		Now: func() time.Time { return s.now }, Logger: zap.New(core),
	})
	is.New(t).NoErr(err)
	return s
}

func (s *storeFixture) path(name string) string { return filepath.Join(s.directory, name) }

// write replaces the files and advances the clock by the check interval. It sets the modification times,
// since two writes may fall into one tick of the file system's clock.
func (s *storeFixture) write(pair certificatetest.Pair, ca string) {
	s.now = s.now.Add(checkInterval)
	for name, data := range map[string]string{"certificate": pair.Certificate, "key": pair.Key, "ca": ca} {
		is.New(s.t).NoErr(os.WriteFile(s.path(name), []byte(data), 0o600))
		is.New(s.t).NoErr(os.Chtimes(s.path(name), s.now, s.now))
	}
}

// dial connects to a TLS server that echoes and returns the connection and the serial number of the
// server's certificate.
func (s *storeFixture) dial(listener net.Listener) (*tls.Conn, int64) {
	s.t.Helper()
	config, err := s.Client()
	is.New(s.t).NoErr(err)
	conn, err := tls.Dial("tcp", listener.Addr().String(), certificate.ForServer(config, "127.0.0.1"))
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func startEchoServer(t *testing.T, config *tls.Config) net.Listener {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener
}

// Guards against a certificate rotation that needs a restart or closes connections, and against invalid
// files that replace valid ones or flood the log.
func TestReload(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	first, second := ca.Issue(t, 11, "127.0.0.1"), ca.Issue(t, 12, "127.0.0.1")
	s := newStoreFixture(t, first, ca.PEM)
	listener := startEchoServer(t, s.Server())
	established, serial := s.dial(listener)
	is.Equal(serial, int64(11))

	s.write(second, ca.PEM)
	_, serial = s.dial(listener)
	is.Equal(serial, int64(12))
	_, err := established.Write([]byte("still open"))
	is.NoErr(err)
	echoed := make([]byte, len("still open"))
	_, err = io.ReadFull(established, echoed)
	is.NoErr(err)

	for i, bad := range []struct {
		pair certificatetest.Pair
		ca   string
	}{
		{certificatetest.Pair{Certificate: first.Certificate, Key: second.Key}, ca.PEM},
		{certificatetest.Pair{Certificate: "no certificate", Key: first.Key}, ca.PEM},
		{first, "no certificate"},
	} {
		s.write(bad.pair, bad.ca)
		is.True(s.NotAfter().After(time.Now())) // checks the files, as a scrape of the metrics does
		is.Equal(s.logs.FilterLevelExact(zap.WarnLevel).Len(), i+1)
		s.now = s.now.Add(checkInterval)
		_, serial = s.dial(listener)
		is.Equal(serial, int64(12))
	}
	is.Equal(s.logs.FilterLevelExact(zap.WarnLevel).Len(), 3)

	s.write(first, ca.PEM)
	_, serial = s.dial(listener)
	is.Equal(serial, int64(11))
}

// Guards against a start that leaves a listener without TLS because a file is not set or not usable, and
// against peers without a CA file, which would trust the CAs of the operating system.
func TestOpen(t *testing.T) {
	is := is.New(t)
	ca := certificatetest.NewAuthority(t)
	s := newStoreFixture(t, ca.Issue(t, 11, "127.0.0.1"), ca.PEM)
	server, peers := certificate.Use{Server: true}, certificate.Use{Peers: true}
	chain, key, none := s.path("certificate"), s.path("key"), s.path("none")
	for name, test := range map[string]struct {
		files certificate.Files
		use   certificate.Use
		want  certificate.Kind
	}{
		"off":            {certificate.Files{}, certificate.Use{}, ""},
		"server":         {certificate.Files{Certificate: chain, Key: key}, server, ""},
		"no listener":    {certificate.Files{Certificate: chain, Key: key}, certificate.Use{}, certificate.Missing},
		"no certificate": {certificate.Files{CA: s.path("ca")}, server, certificate.Missing},
		"peers, no CA":   {certificate.Files{Certificate: chain, Key: key}, peers, certificate.Missing},
		"no file":        {certificate.Files{Certificate: none, Key: key}, server, certificate.Unreadable},
		"no key file":    {certificate.Files{Certificate: chain, Key: none}, server, certificate.Unreadable},
		"no CA file":     {certificate.Files{Certificate: chain, Key: key, CA: none}, peers, certificate.Unreadable},
		"mismatch":       {certificate.Files{Certificate: s.path("ca"), Key: key}, server, certificate.Invalid},
		"key as a CA":    {certificate.Files{Certificate: chain, Key: key, CA: key}, peers, certificate.Invalid},
	} {
		_, err := test.files.Open(test.use, zap.NewNop())
		if test.want == "" && err != nil || test.want != "" && !fault.Is(err, test.want) {
			t.Errorf("%s: got %v, want an error of kind %q", name, err, test.want)
		}
	}
	store, err := certificate.New(certificate.Config{Certificate: chain, Key: key, Logger: zap.NewNop()})
	is.NoErr(err)
	_, err = store.MutualServer()
	is.True(fault.Is(err, certificate.Missing))
	_, err = store.Client()
	is.True(fault.Is(err, certificate.Missing))
}
