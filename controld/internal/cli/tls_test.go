package cli

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// selfSigned writes a certificate for 127.0.0.1 that is its own CA, with its key, to one file.
func selfSigned(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.New(t).NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.New(t).NoErr(err)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	is.New(t).NoErr(err)
	data := append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})...)
	path := filepath.Join(t.TempDir(), "instance.pem")
	is.New(t).NoErr(os.WriteFile(path, data, 0o600))
	return path
}

// Guards against operators' requests that pass unencrypted although the settings ask for TLS, and
// against calls to peers that stay plain.
func TestOperatorsOverTLS(t *testing.T) {
	is := is.New(t)
	file := selfSigned(t)
	d, err := build(Settings{
		Instance: "control-1", DataDirectory: t.TempDir(), PeerListen: "127.0.0.1:1", ClusterKey: "0123456789abcdef",
		SnapshotEvery: defaultSnapshotEvery, ReplaceAfter: defaultReplaceAfter, MaxLoads: defaultMaxLoads,
		Bootstrap: []Voter{{Instance: "control-1", Address: "127.0.0.1:1"}},
		TLS:       TLS{Files: certificate.Files{Certificate: file, Key: file, CA: file}, Operators: true, Peers: true},
	}, zap.NewNop())
	is.NoErr(err)
	defer d.pool.Close()
	is.True(d.certificates.PeerServer != nil && d.certificates.PeerClient != nil)
	addresses := make(chan net.Addr, 1)
	ctx, cancel := context.WithCancel(context.Background())
	end := task.Start(ctx, func(ctx context.Context) error {
		return d.serveOperators(ctx, "127.0.0.1:0", func(a net.Addr) { addresses <- a })
	})
	address := (<-addresses).String()
	ca, err := certificate.LoadCA(file)
	is.NoErr(err)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca}}}
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
