package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Guards against serving operators' requests unencrypted although the settings enable TLS, and against
// unencrypted calls to peers.
func TestOperatorsOverTLS(t *testing.T) {
	is := is.New(t)
	authority := certificatetest.NewAuthority(t)
	files := authority.Issue(t, 2, "127.0.0.1").Write(t, authority.PEM)
	d, err := newDaemon(Settings{
		Instance: "control-1", DataDirectory: t.TempDir(), PeerListen: "127.0.0.1:1", ClusterKey: "0123456789abcdef",
		SnapshotEvery: defaultSnapshotEvery, ReplaceAfter: defaultReplaceAfter, MaxLoads: defaultMaxLoads,
		Bootstrap: []Voter{{Instance: "control-1", Address: "127.0.0.1:1"}},
		TLS:       TLS{Files: files, Operators: true, Peers: true},
	}, zap.NewNop())
	is.NoErr(err)
	defer d.peerPool.Close()
	is.True(d.certificates.PeerServer != nil && d.certificates.PeerClient != nil)
	addresses := make(chan net.Addr, 1)
	ctx, cancel := context.WithCancel(context.Background())
	end := task.Start(ctx, func(ctx context.Context) error {
		return d.serveOperators(ctx, "127.0.0.1:0", func(a net.Addr) { addresses <- a })
	})
	address := (<-addresses).String()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority.Pool()}}}
	for url, want := range map[string]int{
		"https://" + address + "/v1/reports/burn": http.StatusUnauthorized, // no operator key is sent
		"http://" + address + "/v1/reports/burn":  http.StatusBadRequest,
	} {
		response, err := client.Get(url)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, want)
	}
	client.CloseIdleConnections()
	cancel()
	is.NoErr(<-end)
}

// Guards against clients that accept a server with an expired certificate and send it an operator's key.
func TestExpiredOperators(t *testing.T) {
	is := is.New(t)
	authority := certificatetest.NewAuthority(t)
	d, err := newDaemon(Settings{
		Instance: "control-1", DataDirectory: t.TempDir(), PeerListen: "127.0.0.1:1", ClusterKey: "0123456789abcdef",
		SnapshotEvery: defaultSnapshotEvery, ReplaceAfter: defaultReplaceAfter, MaxLoads: defaultMaxLoads,
		Bootstrap: []Voter{{Instance: "control-1", Address: "127.0.0.1:1"}},
		TLS:       TLS{Files: authority.IssueExpired(t, 2, "127.0.0.1").Write(t, authority.PEM), Operators: true},
	}, zap.NewNop())
	is.NoErr(err)
	defer d.peerPool.Close()
	addresses := make(chan net.Addr, 1)
	ctx, cancel := context.WithCancel(context.Background())
	end := task.Start(ctx, func(ctx context.Context) error {
		return d.serveOperators(ctx, "127.0.0.1:0", func(a net.Addr) { addresses <- a })
	})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority.Pool()}}}
	_, err = client.Get("https://" + (<-addresses).String() + "/v1/reports/burn")
	var invalid x509.CertificateInvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Reason, x509.Expired)
	cancel()
	is.NoErr(<-end)
}
