package certificate_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Guards against settings that leave connections to endpoints without TLS by mistake.
func TestClientFiles(t *testing.T) {
	ca := certificatetest.NewAuthority(t)
	f := ca.Issue(t, 2, "127.0.0.1").Write(t, ca.PEM)
	for name, test := range map[string]struct {
		files   certificate.ClientFiles
		want    certificate.Kind
		enabled bool
	}{
		"off":              {certificate.ClientFiles{}, "", false},
		"CA":               {certificate.ClientFiles{CA: f.CA}, "", true},
		"CA and pair":      {certificate.ClientFiles{CA: f.CA, Certificate: f.Certificate, Key: f.Key}, "", true},
		"pair without CA":  {certificate.ClientFiles{Certificate: f.Certificate, Key: f.Key}, certificate.Missing, false},
		"no key":           {certificate.ClientFiles{CA: f.CA, Certificate: f.Certificate}, certificate.Missing, false},
		"no such file":     {certificate.ClientFiles{CA: f.CA + "x"}, certificate.Unreadable, false},
		"key as a CA":      {certificate.ClientFiles{CA: f.Key}, certificate.Invalid, false},
		"pair with itself": {certificate.ClientFiles{CA: f.CA, Certificate: f.Key, Key: f.Key}, certificate.Invalid, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, err := test.files.Open(zap.NewNop())
			is.Equal(err == nil, test.want == "")
			is.True(err == nil || fault.Is(err, test.want))
			is.Equal(client.Config != nil, test.enabled)
		})
	}
}

// Guards against a client without a certificate of its own that picks up a changed CA file only after a
// restart.
func TestClientReload(t *testing.T) {
	is := is.New(t)
	first, second := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	listener := startEchoServer(t, second.Issue(t, 3, "127.0.0.1").Server(t))
	files := first.Issue(t, 2, "127.0.0.1").Write(t, first.PEM)
	now := time.Now()
	store, err := certificate.New(certificate.Config{CA: files.CA, Now: func() time.Time { return now }, Logger: zap.NewNop()})
	is.NoErr(err)
	config, err := store.Client()
	is.NoErr(err)
	dial := certificate.DialTLS(config, new(net.Dialer).DialContext)
	_, err = dial(t.Context(), "tcp", listener.Addr().String())
	is.True(fault.Is(err, certificate.Untrusted))
	is.NoErr(os.WriteFile(files.CA, []byte(first.PEM+second.PEM), 0o600))
	now = now.Add(checkInterval)
	conn, err := dial(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.True(store.NotAfter().IsZero())
}

// Guards against a rejected client certificate that is mistaken for a crash of the endpoint.
func TestRejected(t *testing.T) {
	ca, other := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	server := ca.Issue(t, 2, "127.0.0.1").Server(t)
	server.ClientAuth, server.ClientCAs = tls.RequireAndVerifyClientCert, ca.Pool()
	for name, pair := range map[string]*certificatetest.Pair{
		"none": nil, "of another CA": new(other.Issue(t, 3, "127.0.0.1")), "expired": new(ca.IssueExpired(t, 4, "127.0.0.1")),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener := startEchoServer(t, server)
			config := &tls.Config{RootCAs: ca.Pool()}
			if pair != nil {
				config.Certificates = pair.Server(t).Certificates
				// crypto/tls would present a certificate only if one of the CAs that the server names issued it.
				config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &config.Certificates[0], nil }
			}
			conn, err := tls.Dial("tcp", listener.Addr().String(), config)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Read(make([]byte, 1))
			is.True(certificate.ClientCertificateRejected(err))
		})
	}
	is := is.New(t)
	is.True(!certificate.ClientCertificateRejected(io.EOF))
	is.True(!certificate.ClientCertificateRejected(&net.OpError{Op: "remote error", Err: errors.New("tls: internal error")}))
}

// Guards against a call without a deadline that waits forever for an endpoint that does not respond to
// the TLS handshake.
func TestDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		dial := certificate.DialTLS(&tls.Config{}, func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		})
		_, err := dial(t.Context(), "tcp", "127.0.0.1:1")
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(started), 2*time.Second) // on the fake clock of synctest
	})
}
