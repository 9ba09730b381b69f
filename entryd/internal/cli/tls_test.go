package cli

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
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/peer"
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

// Guards against a listener that stays plain although the settings ask for TLS, a metrics listener that
// does not, and address answers in another form than host:port.
func TestListenersOverTLS(t *testing.T) {
	is := is.New(t)
	file := selfSigned(t)
	s := &site{
		keeper: &fakeKeeper{}, purse: &fakePurse{limit: 1 << 50}, dispatcher: &fakeDispatcher{announced: make(chan struct{}, 1)},
		seen: &observations{}, options: testOptions(),
	}
	s.options.TLS = options.TLS{
		Files:   certificate.Files{Certificate: file, Key: file, CA: file},
		Callers: true, Platform: true, Peers: true,
	}
	s.run(t)
	ca, err := certificate.LoadCA(file)
	is.NoErr(err)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca}, DisableKeepAlives: true}}
	for url, want := range map[string]int{
		"https://" + s.listening.Caller + "/v1/addresses":        http.StatusOK,
		"http://" + s.listening.Caller + "/v1/addresses":         http.StatusBadRequest,
		"https://" + s.listening.Platform + "/platform/announce": http.StatusMethodNotAllowed,
		"http://" + s.listening.Platform + "/platform/announce":  http.StatusBadRequest,
		"http://" + s.listening.Metrics + "/metrics":             http.StatusOK,
	} {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		response, err := client.Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		if strings.HasSuffix(url, "/v1/addresses") && want == http.StatusOK {
			is.True(strings.Contains(string(body), `"`+s.listening.Caller+`"`))
		}
		if response.StatusCode != want {
			t.Errorf("%s: got %d, want %d", url, response.StatusCode, want)
		}
	}

	configs, err := s.options.TLS.Open(s.options.TLS.Use(), zap.NewNop())
	is.NoErr(err)
	for name, config := range map[string]*tls.Config{"": configs.PeerClient, "plain": nil} {
		pool := peer.NewPool(peer.PoolConfig{Key: s.options.ClusterKey, TLS: config})
		defer pool.Close()
		var reply dispatch.EndpointsReply
		err := pool.Call(t.Context(), s.listening.Peer, dispatch.ServiceName+".Endpoints", dispatch.EndpointsRequest{}, &reply)
		is.Equal(fault.Is(err, peer.Unreachable), name == "plain")
		is.Equal(err == nil, name == "")
	}
}
