package node_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/standin/internal/node"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// Guards against a stop that cuts a request in flight or leaves without saying so.
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

	reached, proceed := make(chan struct{}), make(chan struct{})
	o := options.Common{
		Name:             "s1",
		Listen:           "127.0.0.1:0",
		AnnounceTo:       []string{entry.Listener.Addr().String()},
		AnnounceInterval: time.Hour,
		StopTimeout:      time.Hour,
	}
	slow := &slowService{reached: reached, proceed: proceed}
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
	<-reached
	<-announced[endpoint.Ready]
	cancel()
	<-announced[endpoint.Draining]
	close(proceed)
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-stopped)
	is.Equal(states, []endpoint.State{endpoint.Ready, endpoint.Draining, endpoint.Leaving})
}

// slowService holds its request until proceed is closed.
type slowService struct {
	reached, proceed chan struct{}
	active           atomic.Int64
}

func (s *slowService) Handler() http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		close(s.reached)
		<-s.proceed
	})
}

func (s *slowService) Announcement() endpoint.Announcement { return endpoint.Announcement{} }
func (s *slowService) Active() int                         { return int(s.active.Load()) }
func (s *slowService) Drain()                              {}
func (s *slowService) Run(context.Context)                 {}
