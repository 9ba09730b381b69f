package certificate_test

import (
	"crypto/tls"
	"net"
	"testing"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
)

// BenchmarkDial measures a new connection to an endpoint, both ends together: plain, TLS, mutual TLS.
func BenchmarkDial(b *testing.B) {
	ca := certificatetest.NewAuthority(b)
	pair := ca.Issue(b, 2, "127.0.0.1")
	files := pair.Write(b, ca.PEM)
	mutual := pair.Server(b)
	mutual.ClientAuth, mutual.ClientCAs = tls.RequireAndVerifyClientCert, ca.Pool()
	for name, test := range map[string]struct {
		server *tls.Config
		client certificate.ClientFiles
	}{
		"plain":  {nil, certificate.ClientFiles{}},
		"TLS":    {pair.Server(b), certificate.ClientFiles{CA: files.CA}},
		"mutual": {mutual, certificate.ClientFiles{CA: files.CA, Certificate: files.Certificate, Key: files.Key}},
	} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer listener.Close()
			dial := certificate.Dial(new(net.Dialer).DialContext)
			accepted := listener
			if test.server != nil {
				accepted = tls.NewListener(listener, test.server)
				client, err := test.client.Open(zap.NewNop())
				if err != nil {
					b.Fatal(err)
				}
				dial = certificate.DialTLS(client.Config, dial)
			}
			go func() {
				for conn, err := accepted.Accept(); err == nil; conn, err = accepted.Accept() {
					_, _ = conn.Read(make([]byte, 1)) // does the handshake
					_, _ = conn.Write([]byte{1})
					_ = conn.Close()
				}
			}()
			for b.Loop() {
				conn, err := dial(b.Context(), "tcp", listener.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				_, _ = conn.Write([]byte{1})
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
		})
	}
}
