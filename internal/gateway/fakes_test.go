package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/gateway"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/porttest"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// codec is a form of requests and answers for tests.
type codec struct{}

func (codec) Decode(r *http.Request) (*gateway.Call, error) {
	header := r.Header.Clone()
	gateway.StripConnection(header)
	return &gateway.Call{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Header: header,
		Key: r.Header.Get("Key"), After: r.Header.Get("After"), Prompt: gateway.Prompt{Tokens: 5000, MaxOutput: 100},
	}, nil
}

func (codec) Refuse(w http.ResponseWriter, refusal gateway.Refusal) {
	w.Header().Set("Retry-After", refusal.RetryAfter.String())
	http.Error(w, refusal.Message, refusal.Status)
}

type hopCodec struct{}

func (hopCodec) Encode(h http.Header, hop gateway.Hop) {
	h.Set("After", hop.After)
	h.Set("Workspace", hop.Workspace)
	h.Del("Key")
}

func (hopCodec) Decode(answer *http.Response) gateway.Reply {
	return gateway.Reply{
		ID: answer.Header.Get("Id"), Genuine: answer.Header.Get("Proof") != "", NotRun: answer.Header.Get("Not-Run") != "",
	}
}

// fakeSession is a session that never changes.
type fakeSession struct{ view session.View }

func (s fakeSession) View() (session.View, error) { return s.view, nil }
func (s fakeSession) Changed() <-chan struct{}    { return nil }

// fakePlacer grants the endpoints in turn, and none that a job excludes.
type fakePlacer struct {
	mu      sync.Mutex
	members []placement.Member
	// helpers are part of each grant.
	helpers []placement.Member
	events  []placement.EventType
}

func (p *fakePlacer) Reserve(_ context.Context, job placement.Job) (placement.ReserveReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !contains(job.Exclude, m.Endpoint) {
			return placement.ReserveReply{Status: placement.Granted, Grant: placement.Grant{Members: append([]placement.Member{m}, p.helpers...)}}, nil
		}
	}
	return placement.ReserveReply{Status: placement.Rejected, Reason: "none is left", After: time.Second}, nil
}

func (p *fakePlacer) Report(e placement.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e.Type)
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

// deployment is a gateway before fake endpoints. Each endpoint counts the requests that reached it.
type deployment struct {
	server  *httptest.Server
	gateway *gateway.Gateway
	placer  *fakePlacer
	memory  *switchedMemory
	mu      sync.Mutex
	reached map[string]int
	headers []http.Header
}

// switchedMemory is set by the tests that need it.
type switchedMemory struct{ gateway.Memory }

func (d *deployment) useMemory(m gateway.Memory) { d.memory.Memory = m }

// behaviour is what an endpoint does with a request.
type behaviour func(w http.ResponseWriter, r *http.Request)

func deploy(t *testing.T, endpoints map[string]behaviour, changes ...func(*routing.Config)) *deployment {
	t.Helper()
	d := &deployment{placer: &fakePlacer{}, memory: &switchedMemory{}, reached: make(map[string]int)}
	var records []registration.Record
	for id, act := range endpoints {
		address := d.endpoint(t, id, act)
		for _, service := range []string{"desk", "model"} {
			records = append(records, registration.Record{ID: id, Service: service, Address: address, State: registration.Ready})
		}
		d.placer.members = append(d.placer.members, placement.Member{Endpoint: id, Address: address})
	}
	list := registration.List{Version: 1, Records: make(map[string]registration.Record)}
	for _, r := range records {
		list.Records[r.ID+r.Service] = r
	}
	document, err := declaration.New(7, []byte("7"))
	if err != nil {
		t.Fatal(err)
	}
	fleet := gateway.NewFleet(gateway.FleetConfig{
		Session: fakeSession{session.View{
			Declaration: document, Endpoints: list, Quarantined: map[uint64]bool{},
			MembershipVersion: 1, Members: []session.Member{{Instance: "entry"}},
		}},
		Decode: func(declaration.Document) (*routing.Table, error) {
			config := declared()
			for _, change := range changes {
				change(&config)
			}
			return routing.New(config)
		},
		Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := fleet.Run(ctx); err != nil {
		t.Fatal(err)
	}
	d.gateway = gateway.New(gateway.Config{
		Fleet: fleet, Callers: codec{}, Endpoints: hopCodec{}, Placer: d.placer, Memory: d.memory, Metrics: metrics.NewRegistry(),
		Retries: gateway.RetryConfig{Ratio: 1, Slack: 1000, Window: time.Second}, Logger: zap.NewNop(),
	})
	d.server = httptest.NewServer(d.gateway)
	t.Cleanup(d.server.Close)
	return d
}

func declared() routing.Config {
	route := func(name string, repeat routing.RetryPolicy, service string) routing.Route {
		return routing.Route{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", RetryPolicy: repeat, Timeout: 20 * time.Second, Attempts: 2,
			Stream: service == "model", Targets: []routing.Target{{Service: service, Weight: 1}}, Objective: time.Second,
		}
	}
	short := route("short", routing.Idempotent, "desk")
	short.Timeout = 30 * time.Millisecond
	return routing.Config{
		Version: 7,
		Routes: []routing.Route{
			route("read", routing.Idempotent, "desk"), route("file", routing.Once, "desk"),
			route("ask", routing.Resumable, "model"), route("tell", routing.Once, "model"), short,
		},
		Services:   []routing.Service{{Name: "desk"}, {Name: "model", Engine: &routing.Engine{Slots: 4, UsualOutput: 50}}},
		Workspaces: []routing.Workspace{{Name: "shop", Keys: []string{"k"}}},
		Limits:     routing.Limits{MaxBodyBytes: 1000},
	}
}

func (d *deployment) endpoint(t *testing.T, id string, act behaviour) string {
	if act == nil {
		return porttest.Refusing(t)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.reached[id]++
		d.headers = append(d.headers, r.Header.Clone())
		d.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Proof", id)
		act(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (d *deployment) total() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, n := range d.reached {
		sum += n
	}
	return sum
}

func (d *deployment) call(t *testing.T, method, path, body string, header map[string]string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, d.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "k")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

func good(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "whole") }

func status(code int) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = fmt.Fprint(w, "part")
}

func crossed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "request-0")
	_, _ = fmt.Fprint(w, "of another request")
}

func unproven(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("Proof")
	_, _ = fmt.Fprint(w, "of somebody")
}

func encoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = fmt.Fprint(w, "squeezed")
}
