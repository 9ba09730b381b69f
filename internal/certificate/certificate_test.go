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

	for _, bad := range []struct {
		pair issued
		ca   string
	}{
		{issued{first.certificate, second.key}, ca.pem},
		{issued{"no certificate", first.key}, ca.pem},
		{first, "no certificate"},
	} {
		s.write(bad.pair, bad.ca)
		for range 2 {
			_, serial = s.dial(listener)
			is.Equal(serial, int64(12))
			s.now = s.now.Add(interval)
		}
	}
	is.Equal(s.logs.FilterLevelExact(zap.WarnLevel).Len(), 3)

	s.write(first, ca.pem)
	_, serial = s.dial(listener)
	is.Equal(serial, int64(11))
}

// Guards against a bad file that is noticed only by the next connection: a scrape of the metrics
// notices it too.
func TestScrapeChecksFiles(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	pair := ca.issue(t, 11, "127.0.0.1")
	s := newSite(t, pair, ca.pem)
	leaf, _ := pem.Decode([]byte(pair.certificate))
	parsed, err := x509.ParseCertificate(leaf.Bytes)
	is.NoErr(err)
	s.write(issued{pair.certificate, ca.pem}, ca.pem)
	is.Equal(s.NotAfter(), parsed.NotAfter)
	is.Equal(s.logs.FilterLevelExact(zap.WarnLevel).Len(), 1)
}

// Guards against a start with files that cannot serve, and against verification without a CA file,
// which would trust the CAs of the operating system.
func TestConfiguration(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	pair := ca.issue(t, 11, "127.0.0.1")
	s := newSite(t, pair, ca.pem)
	for name, test := range map[string]struct {
		certificate, key, ca string
		want                 certificate.Kind
	}{
		"no file":     {s.path("none"), s.path("key"), "", certificate.Unreadable},
		"no key":      {s.path("certificate"), s.path("none"), "", certificate.Unreadable},
		"mismatch":    {s.path("ca"), s.path("key"), "", certificate.Invalid},
		"no CA file":  {s.path("certificate"), s.path("key"), s.path("none"), certificate.Unreadable},
		"key as a CA": {s.path("certificate"), s.path("key"), s.path("key"), certificate.Invalid},
	} {
		_, err := certificate.New(certificate.Config{Certificate: test.certificate, Key: test.key, CA: test.ca, Logger: zap.NewNop()})
		if !fault.Is(err, test.want) {
			t.Errorf("%s: got %v, want an error of kind %s", name, err, test.want)
		}
	}
	store, err := certificate.New(certificate.Config{Certificate: s.path("certificate"), Key: s.path("key"), Logger: zap.NewNop()})
	is.NoErr(err)
	_, err = store.MutualServer()
	is.True(fault.Is(err, certificate.Missing))
	_, err = store.Client()
	is.True(fault.Is(err, certificate.Missing))
}
