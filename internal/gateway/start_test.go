package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// plainCallers takes any request and answers refusals with their status.
type plainCallers struct{}

func (plainCallers) Decode(r *http.Request) (*Call, error) {
	return &Call{ID: "r", Host: "none", Path: r.URL.Path}, nil
}

func (plainCallers) Refuse(w http.ResponseWriter, refusal Refusal) {
	w.WriteHeader(refusal.Status)
}

// Guards against requests that are refused while the instance is about to learn the declaration, as after a restart of
// all instances, and against requests that wait for one that does not come.
func TestRequestsAfterTheStartWaitForTheDeclaration(t *testing.T) {
	cases := map[string]struct {
		// declared is when the declaration comes and asked when the request does, both after the start.
		declared, asked time.Duration
		status          int
		answered        time.Duration
	}{
		"declared in time":        {declared: 400 * time.Millisecond, asked: 10 * time.Millisecond, status: 404, answered: 400 * time.Millisecond},
		"declared before":         {declared: 0, asked: 10 * time.Millisecond, status: 404, answered: 10 * time.Millisecond},
		"not declared in time":    {declared: time.Hour, asked: 10 * time.Millisecond, status: 503, answered: preparation},
		"asked when it is late":   {declared: time.Hour, asked: 2 * time.Second, status: 503, answered: 2 * time.Second},
		"declared later than due": {declared: 2 * time.Second, asked: time.Second, status: 503, answered: preparation},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				fleet := NewFleet(FleetConfig{
					Decode: func(declaration.Document) (*routing.Table, error) { return routing.New(routing.Config{Version: 1}) },
					Logger: zap.NewNop(),
				})
				g := New(Config{Fleet: fleet, Callers: plainCallers{}, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
				timer := time.AfterFunc(c.declared, func() {
					document, err := declaration.New(1, []byte("1"))
					is.NoErr(err)
					fleet.take(session.View{Declaration: document})
				})
				defer timer.Stop()
				time.Sleep(c.asked)
				answer := httptest.NewRecorder()
				g.ServeHTTP(answer, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/x", nil))
				is.Equal(answer.Code, c.status)
				is.Equal(time.Since(began), c.answered)
			})
		})
	}
}
