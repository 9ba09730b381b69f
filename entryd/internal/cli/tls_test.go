package cli

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// Guards against a listener without TLS although the settings enable it, a metrics listener with TLS, and
// address lists in another form than host:port.
func TestListenersOverTLS(t *testing.T) {
	is := is.New(t)
	authority := certificatetest.NewAuthority(t)
	files := authority.Issue(t, 2, "127.0.0.1").Write(t, authority.PEM)
	s := &testEntry{
		session: &fakeSession{}, budget: &fakeBudget{limit: 1 << 50}, dispatcher: &fakeDispatcher{announced: make(chan struct{}, 1)},
		observer: &fakeObserver{}, options: testOptions(),
	}
	s.options.TLS = options.TLS{
		Files:   files,
		Callers: true, Platform: true, Peers: true,
	}
	s.run(t)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority.Pool()}, DisableKeepAlives: true}}
	for url, want := range map[string]int{
		"https://" + s.addresses.Caller + "/v1/addresses":        http.StatusOK,
		"http://" + s.addresses.Caller + "/v1/addresses":         http.StatusBadRequest,
		"https://" + s.addresses.Platform + "/platform/announce": http.StatusMethodNotAllowed,
		"http://" + s.addresses.Platform + "/platform/announce":  http.StatusBadRequest,
		"http://" + s.addresses.Metrics + "/metrics":             http.StatusOK,
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
			is.True(strings.Contains(string(body), `"`+s.addresses.Caller+`"`))
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
		err := pool.Call(t.Context(), s.addresses.Peer, dispatch.ServiceName+".Endpoints", dispatch.EndpointsRequest{}, &reply)
		is.Equal(fault.Is(err, peer.Unreachable), name == "plain")
		is.Equal(err == nil, name == "")
	}
}

// Guards against requests sent to endpoints that fail TLS verification, and against callers being told that
// such requests may have run; their claims must be released.
func TestEndpointsOverTLS(t *testing.T) {
	ours, other := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	own := ours.Issue(t, 2, "127.0.0.1").Write(t, ours.PEM)
	files := certificate.ClientFiles{CA: own.CA}
	good := ours.Issue(t, 3, "127.0.0.1").Server(t)
	mutual := good.Clone()
	mutual.ClientAuth, mutual.ClientCAs = tls.RequireAndVerifyClientCert, ours.Pool()
	for name, test := range map[string]struct {
		endpoint *tls.Config
		files    certificate.ClientFiles
		ok       bool
	}{
		"verified":             {good, files, true},
		"both verified":        {mutual, certificate.ClientFiles{CA: own.CA, Certificate: own.Certificate, Key: own.Key}, true},
		"wrong CA":             {other.Issue(t, 4, "127.0.0.1").Server(t), files, false},
		"wrong host name":      {ours.Issue(t, 5, "engine-1.example").Server(t), files, false},
		"expired":              {ours.IssueExpired(t, 6, "127.0.0.1").Server(t), files, false},
		"endpoint without TLS": {nil, files, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			s := newTestEntry(startTLSEngine(t, test.endpoint, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) {
				runs.Add(1)
				e.finish(0, 3)
			}))
			s.options.TLS.Endpoints = test.files
			s.run(t)
			completion := s.send(t, http.MethodPost, "/v1/chat/completions", streamRequest)
			call := s.send(t, http.MethodPost, "/v1/services/counter/bookings", "{}", "Idempotency-Key", "k1")
			is.NoErr(s.stop())
			if test.ok {
				is.Equal(completion.status, http.StatusOK)
				is.Equal(call.status, http.StatusOK)
				is.Equal(runs.Load(), int64(2))
				return
			}
			is.Equal(runs.Load(), int64(0))
			for _, a := range []clientResponse{completion, call} {
				got := decodeError(t, a)
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(got.Error.Code, "endpoint-failed")
				is.Equal(got.Error.Outcome, refusal.DidNotRun)
			}
			is.Equal(s.claims.status("k1"), claim.Status(""))
			id := completion.header.Get(endpoint.HeaderRequestID)
			is.Equal(s.dispatcher.eventTypes(id+"-1"), []dispatch.EventType{dispatch.Failed}) // not ConnectionLost, which makes requests suspects of crashing endpoints
		})
	}
}

// Guards against a listener with an expired certificate that fails without telling callers and endpoints the
// reason.
func TestExpiredListeners(t *testing.T) {
	is := is.New(t)
	authority := certificatetest.NewAuthority(t)
	s := newTestEntry()
	s.options.TLS = options.TLS{
		Files: authority.IssueExpired(t, 2, "127.0.0.1").Write(t, authority.PEM), Callers: true, Platform: true,
	}
	s.run(t)
	for _, address := range []string{s.addresses.Caller, s.addresses.Platform} {
		_, err := tls.Dial("tcp", address, &tls.Config{RootCAs: authority.Pool()})
		var invalid x509.CertificateInvalidError
		is.True(errors.As(err, &invalid))
		is.Equal(invalid.Reason, x509.Expired)
	}
}
