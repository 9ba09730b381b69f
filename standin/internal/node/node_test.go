package node_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/standin/internal/node"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
	"github.com/dandelionpier/dandelionpier/standin/internal/service"
)

// Guards against a shutdown that aborts a request in progress, or that is not announced.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var states []endpoint.State
	announced := map[endpoint.State]chan struct{}{
		endpoint.Ready:    make(chan struct{}),
		endpoint.Draining: make(chan struct{}),
		endpoint.Leaving:  make(chan struct{}),
	}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a endpoint.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		mu.Lock()
		defer mu.Unlock()
		if len(states) == 0 || states[len(states)-1] != a.State {
			states = append(states, a.State)
			close(announced[a.State])
		}
		_, _ = w.Write([]byte(`{}`))
	}))
	defer entry.Close()

	started, proceed := make(chan struct{}), make(chan struct{})
	o := options.Common{
		Name:             "s1",
		Listen:           "127.0.0.1:0",
		AnnounceTo:       []string{entry.Listener.Addr().String()},
		AnnounceInterval: time.Hour,
		StopTimeout:      time.Hour,
	}
	slow := &slowService{started: started, proceed: proceed}
	n := node.New(node.Config{Options: o, Endpoint: slow, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- n.Run(ctx) }()
	<-n.Ready()

	status := make(chan int, 1)
	go func() {
		response, err := http.Post("http://"+n.Address()+"/permits", "application/json", nil)
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
		_ = response.Body.Close()
	}()
	<-started
	<-announced[endpoint.Ready]
	cancel()
	<-announced[endpoint.Draining]
	close(proceed)
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-stopped)
	is.Equal(states, []endpoint.State{endpoint.Ready, endpoint.Draining, endpoint.Leaving})
}

// slowService blocks its request until proceed is closed.
type slowService struct {
	started, proceed chan struct{}
	active           atomic.Int64
}

func (s *slowService) Handler() http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		close(s.started)
		<-s.proceed
	})
}

func (s *slowService) Announcement() endpoint.Announcement { return endpoint.Announcement{} }
func (s *slowService) Active() int                         { return int(s.active.Load()) }
func (s *slowService) Drain()                              {}
func (s *slowService) Run(context.Context)                 {}

// Guards against an endpoint that serves plain HTTP although TLS is enabled, that accepts clients without a
// certificate although one is required, or that announces itself to an entry whose certificate is invalid.
func TestTLS(t *testing.T) {
	trustedCA, otherCA := certificatetest.NewAuthority(t), certificatetest.NewAuthority(t)
	files := trustedCA.Issue(t, 2, "127.0.0.1").Write(t, trustedCA.PEM)
	client := certificate.ClientFiles{CA: files.CA, Certificate: files.Certificate, Key: files.Key}
	for name, test := range map[string]struct {
		options  options.TLS
		client   certificate.ClientFiles
		entry    *tls.Config
		ok       bool
		announce bool
	}{
		"served":                {options.TLS{Files: files, Serve: true}, certificate.ClientFiles{CA: files.CA}, nil, true, true},
		"plain request":         {options.TLS{Files: files, Serve: true}, certificate.ClientFiles{}, nil, false, true},
		"client certificate":    {options.TLS{Files: files, Serve: true, Clients: true}, client, nil, true, true},
		"no client certificate": {options.TLS{Files: files, Serve: true, Clients: true}, certificate.ClientFiles{CA: files.CA}, nil, false, true},
		"announced by TLS":      {options.TLS{Files: files, Announce: true}, certificate.ClientFiles{}, trustedCA.Issue(t, 3, "127.0.0.1").Server(t), true, true},
		"entry of another CA":   {options.TLS{Files: files, Announce: true}, certificate.ClientFiles{}, otherCA.Issue(t, 4, "127.0.0.1").Server(t), true, false},
		"expired entry":         {options.TLS{Files: files, Announce: true}, certificate.ClientFiles{}, trustedCA.IssueExpired(t, 5, "127.0.0.1").Server(t), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var announced atomic.Int64
			entry := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				announced.Add(1)
				_, _ = w.Write([]byte(`{}`))
			}))
			entry.Config.ErrorLog = log.New(io.Discard, "", 0)
			if entry.TLS = test.entry; test.entry != nil {
				entry.StartTLS()
			} else {
				entry.Start()
			}
			defer entry.Close()
			configs, err := test.options.Open(zap.NewNop())
			is.NoErr(err)
			n := node.New(node.Config{
				Options: options.Common{
					Name: "s1", Listen: "127.0.0.1:0", AnnounceTo: []string{entry.Listener.Addr().String()}, AnnounceInterval: time.Hour, TLS: test.options,
				},
				TLS: configs, Endpoint: service.New(options.Service{Services: []string{"counter"}}), Logger: zap.NewNop(),
			})
			ctx, cancel := context.WithCancel(t.Context())
			stopped := make(chan error, 1)
			go func() { stopped <- n.Run(ctx) }()
			<-n.Ready()
			clientConfigs, err := test.client.Open(zap.NewNop())
			is.NoErr(err)
			_, err = endpoint.NewClient(endpoint.ClientConfig{TLS: clientConfigs.Config}).List(t.Context(), n.Address())
			is.Equal(fault.Is(err, endpoint.Unexpected), test.ok) // the service responds, but not with a list of holdings
			cancel()
			is.NoErr(<-stopped)
			is.Equal(announced.Load() > 0, test.announce) // at the latest, it announces that it is leaving
		})
	}
}
