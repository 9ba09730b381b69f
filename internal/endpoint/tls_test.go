package endpoint_test

import (
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Guards against orders and reservations that are sent to an endpoint whose certificate is not valid for it, or
// sent unencrypted, and against errors that do not name the cause.
func TestClientTLS(t *testing.T) {
	ours, other := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	own := ours.Issue(t, 2, "127.0.0.1").Write(t, ours.PEM)
	withCA := certificate.ClientFiles{CA: own.CA}
	good := ours.Issue(t, 3, "127.0.0.1").Server(t)
	mutual := good.Clone()
	mutual.ClientAuth, mutual.ClientCAs = tls.RequireAndVerifyClientCert, ours.Pool()
	for name, test := range map[string]struct {
		server *tls.Config
		client certificate.ClientFiles
		want   string
	}{
		"verified":              {good, withCA, ""},
		"both verified":         {mutual, certificate.ClientFiles{CA: own.CA, Certificate: own.Certificate, Key: own.Key}, ""},
		"no client certificate": {mutual, withCA, "list holdings"},
		"wrong CA":              {other.Issue(t, 4, "127.0.0.1").Server(t), withCA, "certificate signed by unknown authority"},
		"wrong host name":       {ours.Issue(t, 5, "engine-1.example").Server(t), withCA, "cannot validate certificate for 127.0.0.1"},
		"wrong address":         {ours.Issue(t, 6, "127.0.0.2").Server(t), withCA, "certificate is valid for 127.0.0.2, not 127.0.0.1"},
		"expired":               {ours.IssueExpired(t, 7, "127.0.0.1").Server(t), withCA, "certificate has expired"},
		"endpoint without TLS":  {nil, withCA, "first record does not look like a TLS handshake"},
		"settings without TLS":  {good, certificate.ClientFiles{}, "Client sent an HTTP request to an HTTPS server"},
		"both without TLS":      {nil, certificate.ClientFiles{}, ""},
		"endpoint with TLS 1.2": {withTLS12Only(good), withCA, "protocol version not supported"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[]"))
			}))
			server.Config.ErrorLog = log.New(io.Discard, "", 0)
			server.TLS = test.server
			if test.server == nil {
				server.Start()
			} else {
				server.StartTLS()
			}
			defer server.Close()
			opened, err := test.client.Open(zap.NewNop())
			is.NoErr(err)
			_, err = endpoint.NewClient(endpoint.ClientConfig{TLS: opened.Config}).List(t.Context(), server.Listener.Addr().String())
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(fault.Is(err, endpoint.Unreachable) || fault.Is(err, endpoint.Refused))
			if !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %q lacks %q", err, test.want)
			}
		})
	}
}

func withTLS12Only(config *tls.Config) *tls.Config {
	old := config.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	return old
}
