package cli

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/completion"
	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const testKey = "sk-test"

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fakeSession is a ControlSession whose view and lease are set by the test.
type fakeSession struct {
	mu      sync.Mutex
	view    session.View
	expired bool
	drained atomic.Bool
	// viewsUntilExpiry, when set, is the number of calls of View after which the lease expires.
	viewsUntilExpiry int
	// viewed receives a value for each call of View, unless its buffer is full.
	viewed chan struct{}
}

func (s *fakeSession) View() (session.View, error) {
	select {
	case s.viewed <- struct{}{}:
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.viewsUntilExpiry > 0 {
		s.viewsUntilExpiry--
		s.expired = s.viewsUntilExpiry == 0
	}
	if s.expired {
		return s.view, fault.New("check lease", session.Expired, "the lease has run out")
	}
	return s.view, nil
}

func (s *fakeSession) Drain() { s.drained.Store(true) }

func (s *fakeSession) change(change func(*session.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.view)
	s.view.Configuration.Revision++
}

// fakeBudget records what is held and spent.
type fakeBudget struct {
	mu     sync.Mutex
	limit  int64
	held   int64
	spends []ledger.Spend
}

type fakeHold struct {
	budget *fakeBudget
	amount int64
}

func (b *fakeBudget) Reserve(_ context.Context, _ string, _, amount int64) (completion.Hold, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+amount > b.limit {
		return nil, fault.New("reserve", ledger.Exceeded, "the limit is reached")
	}
	b.held += amount
	return &fakeHold{budget: b, amount: amount}, nil
}

func (h *fakeHold) Settle(spend ledger.Spend) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.held -= h.amount
	spend.Amount = min(spend.Amount, h.amount)
	h.budget.spends = append(h.budget.spends, spend)
}

func (h *fakeHold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.held -= h.amount
}

// fakeClaims stores claims as the control quorum does.
type fakeClaims struct {
	mu      sync.Mutex
	claims  map[claim.Key]*fakeClaim
	failing bool
}

type fakeClaim struct {
	request claim.OpenRequest
	status  claim.Status
	outcome claim.Outcome
}

func (c *fakeClaims) OpenClaim(_ context.Context, request claim.OpenRequest) (claim.OpenReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		return claim.OpenReply{}, io.ErrUnexpectedEOF
	}
	held := c.claims[request.Key]
	switch {
	case held == nil:
		c.claims[request.Key] = &fakeClaim{request: request, status: claim.InProgress}
		return claim.OpenReply{Status: claim.Granted}, nil
	case held.request.Fingerprint != request.Fingerprint:
		return claim.OpenReply{Status: claim.Mismatch}, nil
	default:
		return claim.OpenReply{Status: held.status, Outcome: held.outcome}, nil
	}
}

func (c *fakeClaims) SettleClaim(_ context.Context, request claim.SettleRequest) (claim.SettleReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.claims[request.Key]
	switch {
	case held == nil || held.request.RequestID != request.RequestID:
		return claim.SettleReply{}, nil
	case request.Release:
		delete(c.claims, request.Key)
	case request.Outcome != nil:
		held.status, held.outcome = claim.Done, *request.Outcome
	default:
		held.status = claim.Unknown
	}
	return claim.SettleReply{Accepted: true}, nil
}

func (c *fakeClaims) status(key string) claim.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.claims[claim.Key{Workspace: "norte", IdempotencyKey: key}]; held != nil {
		return held.status
	}
	return ""
}

// fakeDispatcher grants the first endpoint that is not excluded.
type fakeDispatcher struct {
	mu        sync.Mutex
	endpoints []dispatch.GrantMember
	reply     *dispatch.ReserveReply
	// estimates are the expected times to first token, by endpoint.
	estimates     map[string]time.Duration
	reserved      []dispatch.ReserveRequest
	events        []dispatch.Event
	announcements []endpoint.Announcement
	announced     chan struct{}
}

func (d *fakeDispatcher) Reserve(request dispatch.ReserveRequest, reply *dispatch.ReserveReply) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reserved = append(d.reserved, request)
	if d.reply != nil {
		*reply = *d.reply
		return nil
	}
	for _, member := range d.endpoints {
		if !slices.Contains(request.Exclude, member.Endpoint) {
			*reply = dispatch.ReserveReply{Status: dispatch.Granted, Grant: dispatch.Grant{
				ID: request.AttemptID, Members: []dispatch.GrantMember{member}, Priority: 7,
				Estimate: d.estimates[member.Endpoint],
			}}
			return nil
		}
	}
	*reply = dispatch.ReserveReply{Status: dispatch.Refused, Reason: dispatch.NoEndpoint, Message: "The cell has no endpoint left."}
	return nil
}

func (d *fakeDispatcher) Await(dispatch.AwaitRequest, *dispatch.ReserveReply) error { return nil }

func (d *fakeDispatcher) Estimate(dispatch.ReserveRequest, *dispatch.Estimate) error {
	return nil
}

func (d *fakeDispatcher) Report(request dispatch.ReportRequest, _ *dispatch.ReportReply) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, request.Events...)
	return nil
}

func (d *fakeDispatcher) Announce(request dispatch.AnnounceRequest, _ *dispatch.AnnounceReply) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announcements = append(d.announcements, request.Announcements...)
	select {
	case d.announced <- struct{}{}:
	default:
	}
	return nil
}

func (d *fakeDispatcher) Endpoints(dispatch.EndpointsRequest, *dispatch.EndpointsReply) error {
	return nil
}

// eventTypes returns the types of the events reported for a grant, without keep-alives.
func (d *fakeDispatcher) eventTypes(grant string) []dispatch.EventType {
	d.mu.Lock()
	defer d.mu.Unlock()
	var types []dispatch.EventType
	for _, event := range d.events {
		if event.Grant == grant && event.Type != dispatch.KeepAlive {
			types = append(types, event.Type)
		}
	}
	return types
}

// fakeObserver counts the service-level observations.
type fakeObserver struct {
	ok, failed atomic.Int64
}

func (o *fakeObserver) Observe(_, _ string, _, _ time.Duration, ok bool) {
	if ok {
		o.ok.Add(1)
	} else {
		o.failed.Add(1)
	}
}

// testEntry is an entry under test and the fakes that it runs with.
type testEntry struct {
	session    *fakeSession
	budget     *fakeBudget
	claims     *fakeClaims
	dispatcher *fakeDispatcher
	observer   *fakeObserver
	options    *options.Options
	addresses  EntryAddresses
	stop       func() error
}

// startEntry runs an entry on free ports. The endpoints serve both the model and the service.
func startEntry(t testing.TB, endpoints ...string) *testEntry {
	t.Helper()
	s := newTestEntry(endpoints...)
	s.run(t)
	return s
}

// newTestEntry prepares an entry without starting it, so that the options can be changed.
func newTestEntry(endpoints ...string) *testEntry {
	s := &testEntry{
		session:    &fakeSession{},
		budget:     &fakeBudget{limit: 1 << 50},
		claims:     &fakeClaims{claims: make(map[claim.Key]*fakeClaim)},
		dispatcher: &fakeDispatcher{announced: make(chan struct{}, 1)},
		observer:   &fakeObserver{},
		options:    testOptions(),
	}
	for i, address := range endpoints {
		s.dispatcher.endpoints = append(s.dispatcher.endpoints, dispatch.GrantMember{
			Endpoint: "e" + strconv.Itoa(i+1), Address: strings.TrimPrefix(strings.TrimPrefix(address, "http://"), "https://"),
		})
	}
	return s
}

func testOptions() *options.Options {
	o := options.Default()
	o.Instance, o.DataCentre, o.Region = "entry-1", "vitoria", "norte"
	o.CallerListen, o.PlatformListen, o.PeerListen, o.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	o.ClusterKey = "0123456789abcdef"
	o.LogLevel = "error"
	o.DrainTime = 0
	return o
}

func testConfiguration() configuration.Configuration {
	return configuration.Configuration{
		Revision: 1,
		Workspaces: map[string]configuration.Workspace{
			"norte": {
				Name: "norte", KeyHashes: []string{hashKey(testKey)}, Models: []string{"oak"}, Services: []string{"counter"}, SpendLimit: -1,
			},
		},
		Models: map[string]configuration.Model{
			"oak":  {Name: "oak", PromptPrice: 10, CachedPrice: 1, OutputPrice: 100, MaxContext: 2_000_000},
			"pine": {Name: "pine"},
		},
		Services: map[string]configuration.Service{"counter": {Name: "counter"}},
	}
}

func (s *testEntry) run(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	started := make(chan EntryAddresses, 1)
	end := make(chan error, 1)
	newComponents := func(config ComponentConfig) (Components, error) {
		s.session.view = session.View{Configuration: testConfiguration(), Members: []session.Member{
			config.Member,
			{Instance: "entry-2", DataCentre: "vitoria", Caller: "10.0.0.2:80", Platform: "10.0.0.2:81", Draining: true},
		}}
		return Components{Session: s.session, Claims: s.claims, Budget: s.budget, Observer: s.observer, Dispatcher: s.dispatcher}, nil
	}
	go func() { end <- serve(ctx, s.options, newComponents, func(l EntryAddresses) { started <- l }) }()
	select {
	case s.addresses = <-started:
	case err := <-end:
		t.Fatal(err)
	}
	s.stop = sync.OnceValue(func() error {
		cancel()
		return <-end
	})
	t.Cleanup(func() {
		if err := s.stop(); err != nil {
			t.Error(err)
		}
	})
}

type clientResponse struct {
	status int
	header http.Header
	body   string
}

// send sends a request with the test key; headers are pairs of name and value.
func (s *testEntry) send(t testing.TB, method, path, body string, headers ...string) clientResponse {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+s.addresses.Caller+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for pair := range slices.Chunk(headers, 2) {
		request.Header.Set(pair[0], pair[1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(text)}
}

// startEngine starts a fake model engine and returns its URL. The eventWriter passed to respond carries the IDs
// of the request and the attempt.
func startEngine(t testing.TB, respond func(w http.ResponseWriter, r *http.Request, e eventWriter)) string {
	t.Helper()
	return startTLSEngine(t, nil, respond)
}

// startTLSEngine starts a fake model engine that serves TLS, unless the configuration is nil.
func startTLSEngine(t testing.TB, config *tls.Config, respond func(w http.ResponseWriter, r *http.Request, e eventWriter)) string {
	t.Helper()
	return startServer(t, config, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		e := eventWriter{w: w, context: r.Context(), request: r.Header.Get(endpoint.HeaderRequestID), attempt: r.Header.Get(endpoint.HeaderAttemptID)}
		w.Header().Set(endpoint.HeaderRequestID, e.request)
		w.Header().Set(endpoint.HeaderAttemptID, e.attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.Copy(io.Discard, r.Body)
		respond(w, r, e)
	})
}

func startServer(t testing.TB, config *tls.Config, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	if config == nil {
		server.Start()
	} else {
		server.TLS = config
		server.StartTLS()
	}
	t.Cleanup(server.Close)
	return server.URL
}

// eventWriter writes the event stream of an attempt.
type eventWriter struct {
	w                http.ResponseWriter
	context          context.Context
	request, attempt string
}

func (e eventWriter) chunk(index int) {
	e.write(fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"index":%d,"choices":[{"index":0,"delta":{"content":"w%d"}}]}`,
		e.request, e.attempt, index, index))
}

func (e eventWriter) usage(index, prompt, completion, cached int) {
	e.write(fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"index":%d,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"cached_tokens":%d}}`,
		e.request, e.attempt, index, prompt, completion, cached))
}

func (e eventWriter) write(data string) {
	_, _ = io.WriteString(e.w, "data: "+data+"\n\n")
	_ = http.NewResponseController(e.w).Flush()
}

func (e eventWriter) done() { e.write("[DONE]") }

// finish writes the chunks from index up to count, the usage and the end of the stream.
func (e eventWriter) finish(index, count int) {
	for i := index; i < count; i++ {
		e.chunk(i)
	}
	e.usage(count, 20, count, 5)
	e.done()
}

const streamRequest = `{"model":"oak","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"Which tooth angle?"}]}`

func (o *fakeObserver) LongStarted() {}

func (o *fakeObserver) LongEnded() {}
