package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// authority issues certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
}

// issued is a certificate with its key, in PEM.
type issued struct{ certificate, key string }

func newAuthority(t *testing.T) authority {
	t.Helper()
	template := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	key, der := sign(t, template, 1, nil)
	parsed, err := x509.ParseCertificate(der)
	is.New(t).NoErr(err)
	return authority{parsed, key, encode("CERTIFICATE", der)}
}

// issue makes a certificate for servers and clients at ip.
func (a authority) issue(t *testing.T, serial int64, ip string) issued {
	t.Helper()
	key, der := sign(t, &x509.Certificate{
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, serial, &a)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	is.New(t).NoErr(err)
	return issued{encode("CERTIFICATE", der), encode("PRIVATE KEY", pkcs8)}
}

func sign(t *testing.T, template *x509.Certificate, serial int64, by *authority) (*ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.New(t).NoErr(err)
	template.SerialNumber = big.NewInt(serial)
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, parentKey := template, key
	if by != nil {
		parent, parentKey = by.certificate, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	is.New(t).NoErr(err)
	return key, der
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// site is a store, its files and its clock.
type site struct {
	*certificate.Store
	t         *testing.T
	directory string
	now       time.Time
	logs      *observer.ObservedLogs
}

const interval = 5 * time.Second

func newSite(t *testing.T, pair issued, ca string) *site {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	s := &site{t: t, directory: t.TempDir(), now: time.Now(), logs: logs}
	s.write(pair, ca)
	var err error
	s.Store, err = certificate.New(certificate.Config{
		Certificate: s.path("certificate"), Key: s.path("key"), CA: s.path("ca"), Interval: interval,
		Now: func() time.Time { return s.now }, Logger: zap.New(core),
	})
	is.New(t).NoErr(err)
	return s
}

func (s *site) path(name string) string { return filepath.Join(s.directory, name) }

// write replaces the files and lets the interval between checks pass. It sets the modification times,
// since two writes may fall into one tick of the file system's clock.
func (s *site) write(pair issued, ca string) {
	s.now = s.now.Add(interval)
	for name, data := range map[string]string{"certificate": pair.certificate, "key": pair.key, "ca": ca} {
		is.New(s.t).NoErr(os.WriteFile(s.path(name), []byte(data), 0o600))
		is.New(s.t).NoErr(os.Chtimes(s.path(name), s.now, s.now))
	}
}

// dial connects to a TLS server that echoes and returns the connection and the serial number of the
// server's certificate.
func (s *site) dial(listener net.Listener) (*tls.Conn, int64) {
	s.t.Helper()
	config, err := s.Client()
	is.New(s.t).NoErr(err)
	conn, err := tls.Dial("tcp", listener.Addr().String(), certificate.ForServer(config, "127.0.0.1"))
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func echo(t *testing.T, config *tls.Config) net.Listener {
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

// Guards against a rotation that needs a restart or cuts connections, and against bad new files that
// replace good ones or fill the log.
func TestReload(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	first, second := ca.issue(t, 11, "127.0.0.1"), ca.issue(t, 12, "127.0.0.1")
	s := newSite(t, first, ca.pem)
	listener := echo(t, s.Server())
	open, serial := s.dial(listener)
	is.Equal(serial, int64(11))

	s.write(second, ca.pem)
	_, serial = s.dial(listener)
	is.Equal(serial, int64(12))
	_, err := open.Write([]byte("still open"))
	is.NoErr(err)
	answer := make([]byte, len("still open"))
	_, err = io.ReadFull(open, answer)
	is.NoErr(err)

	for i, bad := range []struct {
		pair issued
		ca   string
	}{
		{issued{first.certificate, second.key}, ca.pem},
		{issued{"no certificate", first.key}, ca.pem},
		{first, "no certificate"},
	} {
		s.write(bad.pair, bad.ca)
		is.True(s.NotAfter().After(time.Now())) // as a scrape of the metrics does, it checks the files
		is.Equal(s.logs.FilterLevelExact(zap.WarnLevel).Len(), i+1)
		s.now = s.now.Add(interval)
		_, serial = s.dial(listener)
		is.Equal(serial, int64(12))
	}
	is.Equal(s.logs.FilterLevelExact(zap.WarnLevel).Len(), 3)

	s.write(first, ca.pem)
	_, serial = s.dial(listener)
	is.Equal(serial, int64(11))
}

// Guards against a start that leaves a listener plain because a file is not named or not usable, and
// against peers without a CA file, which would trust the CAs of the operating system.
func TestOpen(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	s := newSite(t, ca.issue(t, 11, "127.0.0.1"), ca.pem)
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
