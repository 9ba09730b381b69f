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

	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/gateway"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/porttest"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// callerCodec decodes requests and encodes refusals in a format for tests.
type callerCodec struct{}

func (callerCodec) Decode(r *http.Request) (*gateway.Call, error) {
	header := r.Header.Clone()
	gateway.RemoveHopByHopHeaders(header)
	return &gateway.Call{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Header: header,
		Key: r.Header.Get("Key"), LastEventID: r.Header.Get("After"),
		Prompt: gateway.Prompt{Tokens: 5000, MaxOutput: 100, Parts: strings.Fields(r.Header.Get("Parts"))},
	}, nil
}

func (callerCodec) Refuse(w http.ResponseWriter, refusal gateway.Refusal) {
	w.Header().Set("Retry-After", refusal.RetryAfter.String())
	http.Error(w, refusal.Message, refusal.Status)
}

type endpointCodec struct{}

func (endpointCodec) Encode(h http.Header, outgoing gateway.EndpointRequest) {
	h.Set("After", outgoing.LastEventID)
	h.Set("Workspace", outgoing.Workspace)
	h.Del("Key")
}

func (endpointCodec) Decode(response *http.Response) gateway.ResponseInfo {
	pause, _ := time.ParseDuration(response.Header.Get("Pause"))
	return gateway.ResponseInfo{
		RequestID: response.Header.Get("Id"), Genuine: response.Header.Get("Proof") != "", NotRun: response.Header.Get("Not-Run") != "",
		Leaving: response.Header.Get("Leaving") != "", Pause: pause,
	}
}

// fakeSession is a session whose view changes only when the fleet is not running.
type fakeSession struct{ view session.View }

func (s *fakeSession) View() (session.View, error) { return s.view, nil }
func (s *fakeSession) Changed() <-chan struct{}    { return nil }

// fakePlacer grants the first endpoint that the job does not exclude.
type fakePlacer struct {
	mu      sync.Mutex
	members []placement.Member
	// helpers are added to each grant.
	helpers []placement.Member
	// outdated is the number of grants that disregard the excluded endpoints.
	outdated int
	// ignoreExcluded has for each endpoint the number of grants in which it counts as not excluded.
	ignoreExcluded map[string]int
	// onDeclined is called when a grant is declined, if it is not nil.
	onDeclined func()
	// last is the job that was asked for last.
	last   placement.Job
	events []placement.EventType
	// leaving has the endpoints that were reported as leaving.
	leaving []string
}

func (p *fakePlacer) Reserve(_ context.Context, job placement.Job) (placement.ReserveReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = job
	for _, m := range p.members {
		ignored := p.ignoreExcluded[m.Endpoint] > 0
		if ignored {
			p.ignoreExcluded[m.Endpoint]--
		}
		if !contains(job.Exclude, m.Endpoint) || p.outdated > 0 || ignored {
			p.outdated--
			return placement.ReserveReply{Status: placement.Granted, Grant: placement.Grant{Members: append([]placement.Member{m}, p.helpers...)}}, nil
		}
	}
	return placement.ReserveReply{Status: placement.Rejected, Reason: "none is left", After: time.Second}, nil
}

func (p *fakePlacer) Report(e placement.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e.Type)
	if e.Type == placement.Declined && p.onDeclined != nil {
		p.onDeclined()
	}
	if e.Leaving {
		p.leaving = append(p.leaving, e.Endpoint)
	}
}

func (p *fakePlacer) lastJob() placement.Job {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// count returns the number of events of a type.
func (p *fakePlacer) count(eventType placement.EventType) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.events {
		if e == eventType {
			n++
		}
	}
	return n
}

// fakeWitness records what it is told.
type fakeWitness struct {
	reports chan crash.Report
	mu      sync.Mutex
	written []string
	served  []uint64
}

func (w *fakeWitness) RecordServed(fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.served = append(w.served, fingerprint)
}

func (w *fakeWitness) ReportCrash(report crash.Report, _ uint64) { w.reports <- report }

// maxReportTime is the time without a report after which a test fails.
const maxReportTime = 10 * time.Second

// nextReport returns the next report of a crash.
func (w *fakeWitness) nextReport(t *testing.T) crash.Report {
	t.Helper()
	select {
	case report := <-w.reports:
		return report
	case <-time.After(maxReportTime):
		t.Fatal("no crash was reported")
		return crash.Report{}
	}
}

func (w *fakeWitness) RecordWritten(parts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = append(w.written, parts...)
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

// deployment is a gateway with fake endpoints. It counts the requests that reach each endpoint.
type deployment struct {
	server  *httptest.Server
	gateway *gateway.Gateway
	placer  *fakePlacer
	memory  *replaceableMemory
	witness *fakeWitness
	session *fakeSession
	fleet   *gateway.Fleet
	mu      sync.Mutex
	reached map[string]int
	headers []http.Header
}

// replaceableMemory lets a test set the memory client after the gateway was created.
type replaceableMemory struct{ gateway.MemoryClient }

func (d *deployment) setMemory(m gateway.MemoryClient) { d.memory.MemoryClient = m }

// endpointStarted is the start of all endpoints in Unix milliseconds.
const endpointStarted = 1_800_000_000_000

// endpointBehaviour handles a request at a fake endpoint.
type endpointBehaviour func(w http.ResponseWriter, r *http.Request)

func deploy(t *testing.T, endpoints map[string]endpointBehaviour, changes ...func(*routing.Config)) *deployment {
	t.Helper()
	return deployWith(t, nil, endpoints, changes...)
}

// deployWith deploys with a placer of the test's own, or with a fakePlacer if it is nil.
func deployWith(t *testing.T, placer gateway.Placer, endpoints map[string]endpointBehaviour, changes ...func(*routing.Config)) *deployment {
	t.Helper()
	d := &deployment{placer: &fakePlacer{}, memory: &replaceableMemory{}, witness: &fakeWitness{reports: make(chan crash.Report, 16)}, reached: make(map[string]int)}
	var records []registration.Record
	for id, behaviour := range endpoints {
		address := d.startEndpoint(t, id, behaviour)
		for _, service := range []string{"desk", "model"} {
			records = append(records, registration.Record{ID: id, Service: service, Address: address, Started: endpointStarted, State: registration.Ready})
		}
		d.placer.members = append(d.placer.members, placement.Member{Endpoint: id, Address: address, Started: endpointStarted})
	}
	list := registration.List{Version: 1, Records: make(map[string]registration.Record)}
	for _, r := range records {
		list.Records[r.ID+r.Service] = r
	}
	document, err := declaration.New(7, []byte("7"))
	if err != nil {
		t.Fatal(err)
	}
	d.session = &fakeSession{session.View{
		Declaration: document, Endpoints: list, Quarantined: map[uint64]bool{},
		MembershipVersion: 1, Members: []session.Member{{Instance: "entry"}},
	}}
	d.fleet = gateway.NewFleet(gateway.FleetConfig{
		Session: d.session,
		Decode: func(declaration.Document) (*routing.Table, error) {
			config := declaredConfig()
			for _, change := range changes {
				change(&config)
			}
			return routing.New(config)
		},
		Logger: zap.NewNop(),
	})
	d.updateFleet(t)
	if placer == nil {
		placer = d.placer
	}
	d.gateway = gateway.New(gateway.Config{
		Fleet: d.fleet, CallerCodec: callerCodec{}, EndpointCodec: endpointCodec{}, Placer: placer, Memory: d.memory, Witness: d.witness, Metrics: metrics.NewRegistry(),
		Retries: gateway.RetryConfig{Ratio: 1, Slack: 1000, Window: time.Second}, Logger: zap.NewNop(),
	})
	d.server = httptest.NewServer(d.gateway)
	t.Cleanup(d.server.Close)
	return d
}

// updateFleet lets the fleet take over the view of its session.
func (d *deployment) updateFleet(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.fleet.Run(ctx); err != nil {
		t.Fatal(err)
	}
}

func declaredConfig() routing.Config {
	route := func(name string, retryPolicy routing.RetryPolicy, service string) routing.Route {
		return routing.Route{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", RetryPolicy: retryPolicy, Timeout: 20 * time.Second, Attempts: 2,
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

func (d *deployment) startEndpoint(t *testing.T, id string, behaviour endpointBehaviour) string {
	if behaviour == nil {
		return porttest.Refusing(t)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.reached[id]++
		d.headers = append(d.headers, r.Header.Clone())
		d.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Proof", id)
		behaviour(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (d *deployment) requestCount() int {
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
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "whole") }

func status(code int) endpointBehaviour {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncateBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = fmt.Fprint(w, "part")
}

func respondToAnotherRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "request-0")
	_, _ = fmt.Fprint(w, "of another request")
}

func respondWithoutProof(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("Proof")
	_, _ = fmt.Fprint(w, "of somebody")
}

func respondEncoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = fmt.Fprint(w, "squeezed")
}
