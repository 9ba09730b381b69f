package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dandelionpier/dandelionpier/controld/internal/operator"
	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const (
	operatorKey = "operator-secret"
	callerKey   = "caller-secret"
)

// fakeControl implements Submitter and Querier on a state machine that is not replicated. It redirects to
// leader if that is set.
type fakeControl struct {
	mu      sync.Mutex
	leader  string
	machine *control.Machine
	members []session.Member
}

func newFakeControl() *fakeControl {
	q := &fakeControl{machine: control.NewMachine()}
	q.commitChanges(
		configuration.Change{Workspace: &configuration.Workspace{Name: "shop", KeyHashes: []string{language.HashKey(callerKey)}}},
		configuration.Change{Model: &configuration.Model{Name: "oak", Version: "2"}},
	)
	return q
}

func (q *fakeControl) commitChanges(changes ...configuration.Change) {
	expected := q.machine.Configuration().Revision
	q.apply(control.SubmitRequest{CommandID: fmt.Sprint("setup-", expected), Expected: expected, Changes: changes})
}

func (q *fakeControl) apply(r control.SubmitRequest) control.SubmitReply {
	data, err := control.Command{Time: 1, Submit: &r}.Encode()
	if err != nil {
		panic(err)
	}
	return q.machine.Apply(0, data).(control.SubmitReply)
}

func (q *fakeControl) Submit(_ context.Context, r control.SubmitRequest) (control.SubmitReply, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.leader != "":
		return control.SubmitReply{NotLeader: true, Leader: q.leader}, nil
	case r.Check:
		return q.machine.Check(r), nil
	default:
		return q.apply(r), nil
	}
}

func (q *fakeControl) Query(_ context.Context, request control.QueryRequest) (control.QueryReply, error) {
	if q.leader != "" {
		return control.QueryReply{NotLeader: true, Leader: q.leader}, nil
	}
	state := q.machine.Configuration()
	return control.QueryReply{
		Configuration: &state, Revision: state.Revision, History: q.machine.History(10), Members: q.members,
		Accounts: q.machine.Accounts(request), Kept: q.machine.Retention(),
	}, nil
}

// fakePeers handles Dispatch.Endpoints; it sees only the cell of a request.
type fakePeers func(ctx context.Context, address, cell string, reply *dispatch.EndpointsReply) error

func (p fakePeers) Call(ctx context.Context, address, _ string, args, reply any) error {
	return p(ctx, address, args.(dispatch.EndpointsRequest).Cell, reply.(*dispatch.EndpointsReply))
}

func newAPI(q *fakeControl, p operator.Caller, leaderAddress string, log *bytes.Buffer) *operator.API {
	logger := zap.NewNop()
	if log != nil {
		logger = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "m"}), zapcore.AddSync(log), zap.DebugLevel))
	}
	return operator.New(operator.Config{
		Submitter: q, Querier: q, Peers: p, Now: time.Now, Logger: logger,
		Quorum:    &fakeQuorum{err: &consensus.Error{Kind: consensus.NotLeader, Err: &consensus.LeaderHint{Address: q.leader}}},
		Operators: []operator.Operator{{Name: "itziar", KeyHash: language.HashKey(operatorKey)}},
		LeaderAddress: func(peer string) string {
			if peer != "peer-of-leader" {
				return ""
			}
			return leaderAddress
		},
	})
}

func post(api http.Handler, path, key string, body any) (int, string) {
	data, _ := json.Marshal(body)
	request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	api.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

func command(t *testing.T, api http.Handler, id, text string, expected ...uint64) (int, language.CommandReply) {
	t.Helper()
	request := language.CommandRequest{Text: text, CommandID: id}
	if len(expected) > 0 {
		request.Expected = &expected[0]
	}
	code, body := post(api, "/v1/commands", operatorKey, request)
	var reply language.CommandReply
	if err := json.Unmarshal([]byte(body), &reply); err != nil {
		t.Fatal(body)
	}
	return code, reply
}

func query(t *testing.T, api http.Handler, text string) language.QueryReply {
	t.Helper()
	code, body := post(api, "/v1/queries", operatorKey, language.QueryRequest{Text: text})
	var reply language.QueryReply
	if err := json.Unmarshal([]byte(body), &reply); err != nil || code != http.StatusOK {
		t.Fatal(code, body)
	}
	return reply
}

// Guards against accepting callers' keys as operator keys, and against keys in logs and responses.
func TestKeys(t *testing.T) {
	var log bytes.Buffer
	api := newAPI(newFakeControl(), nil, "", &log)
	for key, want := range map[string]int{"": 401, callerKey: 401, language.HashKey(operatorKey): 401, operatorKey: 200} {
		is := is.New(t)
		code, body := post(api, "/v1/queries", key, language.QueryRequest{Text: "show models"})
		is.Equal(code, want)
		code, _ = post(api, "/v1/commands", key, language.CommandRequest{Text: "set model oak", CommandID: "command-" + language.HashKey(key)[:8]})
		is.Equal(code, want)
		for _, secret := range []string{operatorKey, callerKey} {
			is.True(!strings.Contains(log.String()+body, secret))
		}
	}
	is := is.New(t)
	code, reply := command(t, api, "same-key-1", "add key "+language.HashKey(operatorKey)+" to workspace shop")
	is.Equal(code, http.StatusUnprocessableEntity)
	is.True(strings.Contains(reply.Message, "operator"))
}

// Guards against a resent command that runs twice or gets another result than the first time, here one
// that can no longer be translated because its first run succeeded.
func TestResendGetsFirstResult(t *testing.T) {
	is := is.New(t)
	api := newAPI(newFakeControl(), nil, "", nil)
	code, first := command(t, api, "delete-shop", "unset workspace shop")
	is.Equal(code, http.StatusOK)
	code, second := command(t, api, "delete-shop", "unset workspace shop")
	is.Equal(code, http.StatusOK)
	is.Equal(first, second)
	code, other := command(t, api, "delete-again", "unset workspace shop")
	is.Equal(code, http.StatusUnprocessableEntity)
	is.True(strings.Contains(other.Message, `workspace "shop" does not exist`))
	code, other = command(t, api, "delete-shop", "unset workspace mill")
	is.Equal(code, http.StatusUnprocessableEntity)
	is.True(strings.Contains(other.Message, "command id was used before"))
}

// Guards against a lost update, and against the report of a conflict that does not say who changed what.
func TestConflict(t *testing.T) {
	is := is.New(t)
	api := newAPI(newFakeControl(), nil, "", nil)
	code, _ := command(t, api, "first-write", "set workspace shop priority 4", 1)
	is.Equal(code, http.StatusOK)
	code, reply := command(t, api, "second-write", "set workspace shop priority 5", 1)
	is.Equal(code, http.StatusConflict)
	is.Equal(len(reply.Since), 1)
	is.Equal(reply.Since[0].Author, "itziar")
	is.True(strings.Contains(reply.Since[0].Changes[0], "set workspace shop models none services none priority 4"))
}

// Guards against a history that shows the oldest revisions, or the lines of a revision out of order.
func TestHistory(t *testing.T) {
	is := is.New(t)
	api := newAPI(newFakeControl(), nil, "", nil)
	code, _ := command(t, api, "drain-one", "set endpoint e2 role a; drain endpoint e1")
	is.Equal(code, http.StatusOK)
	reply := query(t, api, "show history limit 2")
	is.Equal(reply.Total, 7)
	is.True(strings.Contains(string(reply.Rows[0]), `[2,"itziar"`))
	is.True(strings.Contains(string(reply.Rows[0]), "set endpoint e2 role a"))
	is.True(strings.Contains(string(reply.Rows[1]), "undrain endpoint e2"))
}

// Guards against a check that changes the configuration or does not show the change.
func TestCheck(t *testing.T) {
	is := is.New(t)
	q := newFakeControl()
	code, reply := command(t, newAPI(q, nil, "", nil), "check-only", "check\nset model oak replicas 3")
	is.Equal(code, http.StatusOK)
	is.Equal(reply.Status, string(control.Valid))
	is.Equal(len(reply.Changes), 2)
	is.True(strings.HasPrefix(reply.Changes[1], "+ set model oak version 2 adapters none replicas 3"))
	is.Equal(q.machine.Configuration().Revision, uint64(1))
}

// Guards against malformed requests that reach the quorum.
func TestMalformed(t *testing.T) {
	api := newAPI(newFakeControl(), nil, "", nil)
	for name, test := range map[string]struct {
		path string
		body any
	}{
		"query as command": {"/v1/commands", language.CommandRequest{Text: "show models", CommandID: "12345678"}},
		"command as query": {"/v1/queries", language.QueryRequest{Text: "set model a"}},
		"no command id":    {"/v1/commands", language.CommandRequest{Text: "set model a"}},
		"unknown field":    {"/v1/queries", map[string]string{"text": "show models", "limit": "1"}},
		"syntax error":     {"/v1/queries", language.QueryRequest{Text: "show modls"}},
		"body too large":   {"/v1/queries", language.QueryRequest{Text: strings.Repeat("#", 1<<20)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _ := post(api, test.path, operatorKey, test.body)
			is.Equal(code, http.StatusBadRequest)
		})
	}
}

// Guards against a follower that executes a request itself, or whose response does not tell pierctl the
// leader.
func TestNamesLeader(t *testing.T) {
	for path, body := range map[string]any{
		"/v1/commands": language.CommandRequest{Text: "set model oak replicas 9", CommandID: "12345678"},
		"/v1/queries":  language.QueryRequest{Text: "show models"},
		"/v1/quorum":   language.MemberRequest{ID: "c6", Address: "127.0.0.1:1"},
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			follower := newFakeControl()
			follower.leader = "peer-of-leader"
			before := follower.machine.Configuration()
			code, response := post(newAPI(follower, nil, "10.0.2.11:7120", nil), path, operatorKey, body)
			is.Equal(code, http.StatusServiceUnavailable)
			var reply language.ErrorReply
			is.NoErr(json.Unmarshal([]byte(response), &reply))
			is.Equal(reply.Leader, "10.0.2.11:7120")
			is.Equal(follower.machine.Configuration().Revision, before.Revision)
		})
	}
}

func members(names ...string) []session.Member {
	var list []session.Member
	for _, name := range names {
		list = append(list, session.Member{Instance: name, Region: "north", Peer: name + ":1"})
	}
	return list
}

// Guards against omitting parts of the fleet silently, and against a frozen entry that delays a query
// beyond its timeout.
func TestFleetNamesMissingParts(t *testing.T) {
	view := dispatch.EndpointsReply{Status: dispatch.Granted, Endpoints: []dispatch.EndpointView{
		{Announcement: endpoint.Announcement{Name: "e1", Models: []string{"oak"}, Version: "1", State: endpoint.Ready}, Grants: 2},
	}}
	for name, test := range map[string]struct {
		peers   fakePeers
		rows    string
		missing string
	}{
		"one dispatches": {func(_ context.Context, address, _ string, reply *dispatch.EndpointsReply) error {
			*reply = dispatch.EndpointsReply{Status: dispatch.Elsewhere}
			if address == "c:1" {
				*reply = view
			}
			return nil
		}, `[["oak","2","1",1,1]]`, ""},
		"all elsewhere": {func(_ context.Context, _, _ string, reply *dispatch.EndpointsReply) error {
			reply.Status = dispatch.Elsewhere
			return nil
		}, `[["oak","2","",0,0]]`, "none of 3 instances dispatches for it"},
		"unreachable": {func(context.Context, string, string, *dispatch.EndpointsReply) error {
			return errors.New("connection refused")
		}, `[["oak","2","",0,0]]`, "connection refused"},
		"frozen": {func(ctx context.Context, _, _ string, _ *dispatch.EndpointsReply) error {
			<-ctx.Done()
			return ctx.Err()
		}, `[["oak","2","",0,0]]`, "deadline exceeded"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := newFakeControl()
				q.members = members("a", "b", "c")
				started := time.Now()
				reply := query(t, newAPI(q, test.peers, "", nil), "show versions")
				is.True(time.Since(started) <= time.Second) // on the fake clock of synctest
				rows, err := json.Marshal(reply.Rows)
				is.NoErr(err)
				is.Equal(string(rows), test.rows)
				if test.missing == "" {
					is.Equal(len(reply.Missing), 0)
					return
				}
				is.Equal(reply.Missing[0].Part, "cell oak/north")
				is.True(strings.Contains(reply.Missing[0].Error, test.missing))
			})
		})
	}
}

// Guards against asking an unreachable entry that is draining or in another region before the cell's
// dispatcher, which ends the search with an error.
func TestFleetAsksOwnRegionFirst(t *testing.T) {
	is := is.New(t)
	q := newFakeControl()
	for i := range 20 {
		far := session.Member{Instance: fmt.Sprint("far", i), Region: "south", Peer: "down:1"}
		drained := session.Member{Instance: fmt.Sprint("drained", i), Region: "north", Peer: "down:1", Draining: true}
		q.members = append(q.members, far, drained)
	}
	q.members = append(q.members, members("a")...)
	api := newAPI(q, fakePeers(func(_ context.Context, address, cell string, _ *dispatch.EndpointsReply) error {
		if address == "down:1" {
			return errors.New("connection refused")
		}
		return nil
	}), "", nil)
	reply := query(t, api, "show versions")
	is.Equal(len(reply.Missing), 1) // the cell of the other region
	is.Equal(reply.Missing[0].Part, "cell oak/south")
}

// Guards against reporting a part of the fleet as complete to the controllers.
func TestEndpoints(t *testing.T) {
	is := is.New(t)
	q := newFakeControl()
	q.commitChanges(configuration.Change{Model: &configuration.Model{Name: "ash"}})
	failing, entries := "", members("a")
	fleet := operator.NewFleet(operator.FleetConfig{
		Configuration: q.machine.Configuration,
		Members:       func() []session.Member { return entries },
		Peers: fakePeers(func(_ context.Context, _, cell string, reply *dispatch.EndpointsReply) error {
			if cell == failing {
				return errors.New("connection refused")
			}
			reply.Endpoints = []dispatch.EndpointView{{Announcement: endpoint.Announcement{Name: "e1", Models: []string{"oak", "ash"}}}}
			return nil
		}),
	})
	views, complete := fleet.Endpoints(t.Context())
	is.Equal(len(views), 1) // e1 is in two cells
	is.True(complete)
	failing = "oak/north"
	_, complete = fleet.Endpoints(t.Context())
	is.True(!complete)
	entries = nil
	_, complete = fleet.Endpoints(t.Context())
	is.True(!complete)
}

// Guards against a cached fleet that keeps endpoints that have left, misses changes, or mixes the replies of
// two incarnations of a dispatcher.
func TestFleetFollowsChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	newDispatcher := func() *dispatch.Dispatcher {
		return dispatch.New(dispatch.Config{Settings: dispatch.DefaultSettings(), Clock: func() time.Time { return now }})
	}
	d := newDispatcher()
	announce := func(name string, state endpoint.State, running int) {
		_ = d.Announce(t.Context(), dispatch.AnnounceRequest{Announcements: []endpoint.Announcement{{
			Name: name, Incarnation: "1", Region: "north", Type: endpoint.Engine, Models: []string{"oak"}, State: state,
			Load: endpoint.Load{Running: running},
		}}})
	}
	sent := 0
	fleet := operator.NewFleet(operator.FleetConfig{
		Configuration: newFakeControl().machine.Configuration,
		Members:       func() []session.Member { return members("a") },
		Peers: dispatcherFunc(func(request dispatch.EndpointsRequest, reply *dispatch.EndpointsReply) {
			*reply, _ = d.Endpoints(t.Context(), request)
			sent = len(reply.Endpoints)
		}),
	})
	listStates := func() (states string) {
		views, complete := fleet.Endpoints(t.Context())
		is.True(complete)
		for _, v := range views {
			states += v.Announcement.Name + " " + string(v.Announcement.State) + ";"
		}
		return states
	}
	announce("e1", endpoint.Ready, 0)
	announce("e2", endpoint.Ready, 0)
	is.Equal(listStates(), "e1 ready;e2 ready;")
	announce("e1", endpoint.Ready, 7)
	is.Equal(listStates(), "e1 ready;e2 ready;")
	is.Equal(sent, 0) // the load of an engine without a role does not count as a change
	announce("e1", endpoint.Draining, 7)
	is.Equal(listStates(), "e1 draining;e2 ready;")
	is.Equal(sent, 1)
	d = newDispatcher()
	announce("e3", endpoint.Ready, 0)
	is.Equal(listStates(), "e3 ready;")
}

// dispatcherFunc handles Dispatch.Endpoints; unlike fakePeers it sees the full request.
type dispatcherFunc func(request dispatch.EndpointsRequest, reply *dispatch.EndpointsReply)

func (f dispatcherFunc) Call(_ context.Context, _, _ string, args, reply any) error {
	f(args.(dispatch.EndpointsRequest), reply.(*dispatch.EndpointsReply))
	return nil
}

// fakeQuorum records the learners that are added and returns err from each change.
type fakeQuorum struct {
	err   error
	added []consensus.Server
}

func (v *fakeQuorum) AddLearner(_ context.Context, server consensus.Server) error {
	v.added = append(v.added, server)
	return v.err
}

func (v *fakeQuorum) Remove(context.Context, string) error { return v.err }

// Guards against a follower that reports a membership change as done, and against a refusal with a status
// code that makes pierctl try the next instance.
func TestQuorum(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		code int
		body string
	}{
		"made":       {nil, http.StatusOK, "accepted"},
		"refused":    {fault.New("add learner", consensus.Refused, "not caught up"), http.StatusUnprocessableEntity, "not caught up"},
		"not leader": {fault.New("add learner", consensus.NotLeader, "follower"), http.StatusServiceUnavailable, "follower"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := &fakeQuorum{err: test.err}
			api := operator.New(operator.Config{
				Quorum: q, Logger: zap.NewNop(), Operators: []operator.Operator{{Name: "itziar", KeyHash: language.HashKey(operatorKey)}},
			})
			code, body := post(api, "/v1/quorum", operatorKey, language.MemberRequest{ID: "c6", Address: "127.0.0.1:1"})
			is.Equal(code, test.code)
			is.True(strings.Contains(body, test.body))
			is.Equal(q.added, []consensus.Server{{ID: "c6", Address: "127.0.0.1:1"}})
			code, _ = post(api, "/v1/quorum", callerKey, language.MemberRequest{ID: "c6", Address: "127.0.0.1:1"})
			is.Equal(code, http.StatusUnauthorized)
		})
	}
}

type fakeBurnPeers map[string]burn.Report

func (p fakeBurnPeers) Call(_ context.Context, address, method string, _, reply any) error {
	report, ok := p[address]
	if !ok || method != burn.ReportMethod {
		return errors.New("connection refused")
	}
	reply.(*burn.ReportReply).Report = report
	return nil
}

// Guards against a burn report that silently omits some entries.
func TestBurnReport(t *testing.T) {
	is := is.New(t)
	q := newFakeControl()
	q.members = members("a", "b", "c")
	line := burn.Series{Workspace: "shop", Class: "short", Metric: "ttft"}
	line.Windows[0] = burn.Count{Total: 10, Bad: 1}
	report := burn.Report{Time: time.Unix(1, 0), Objectives: burn.DefaultObjectives(), Series: []burn.Series{line}}
	api := newAPI(q, fakeBurnPeers{"a:1": report, "c:1": report}, "", nil)
	request := httptest.NewRequest(http.MethodGet, "/v1/reports/burn?workspace=shop", nil)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	recorder := httptest.NewRecorder()
	api.ServeHTTP(recorder, request)
	var reply language.BurnReply
	is.NoErr(json.NewDecoder(recorder.Body).Decode(&reply))
	is.Equal(reply.Report.Series[0].Windows[0], burn.Count{Total: 20, Bad: 2})
	is.Equal(reply.Missing, []language.MissingPart{{Part: "instance b", Error: "connection refused"}})
}

// Guards against replies without a row limit at the 6,500 workspaces of the two-year target.
func TestManyWorkspaces(t *testing.T) {
	is := is.New(t)
	q := newFakeControl()
	var changes []configuration.Change
	for i := range 6500 {
		changes = append(changes, configuration.Change{Workspace: &configuration.Workspace{Name: fmt.Sprintf("w%04d", i), Priority: i % 10}})
	}
	q.commitChanges(changes...)
	api := newAPI(q, nil, "", nil)
	reply := query(t, api, "show workspaces")
	is.Equal(len(reply.Rows), 200)
	is.Equal(reply.Total, 6501)
	is.Equal(len(query(t, api, "show workspaces limit 20000").Rows), 6501)
	is.Equal(len(query(t, api, "show workspaces by priority").Rows), 10)
}

// BenchmarkQuery measures a query over the 6,500 workspaces of the two-year target.
func BenchmarkQuery(b *testing.B) {
	q := newFakeControl()
	var changes []configuration.Change
	for i := range 6500 {
		changes = append(changes, configuration.Change{Workspace: &configuration.Workspace{Name: fmt.Sprintf("w%04d", i), Priority: i % 10}})
	}
	q.commitChanges(changes...)
	api := newAPI(q, nil, "", nil)
	for _, text := range []string{"show workspaces where priority = 3", "show workspaces limit 10000", "show workspaces by priority"} {
		b.Run(text, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if code, body := post(api, "/v1/queries", operatorKey, language.QueryRequest{Text: text}); code != http.StatusOK {
					b.Fatal(body)
				}
			}
		})
	}
}

// Guards against costs of months that were not asked for, and against a reply that does not say which
// months are no longer kept.
func TestCostingMonths(t *testing.T) {
	q := newFakeControl()
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for i, period := range []string{"2026-12", "2026-11", "2026-10", "2024-01"} {
		data, err := control.Command{Time: now.UnixMilli(), SettleBudget: &ledger.SettleRequest{
			Entry: "e", Sequence: uint64(i + 1), Spent: []ledger.Spend{
				{Workspace: "shop", Model: "oak", LengthClass: "long", Period: period, Amount: 1_000_000, Requests: 1, Tokens: 5},
			},
		}}.Encode()
		is.New(t).NoErr(err)
		q.machine.Apply(0, data)
	}
	api := operator.New(operator.Config{
		Submitter: q, Querier: q, Operators: []operator.Operator{{Name: "amaia", KeyHash: language.HashKey(operatorKey)}},
		Now: func() time.Time { return now }, Logger: zap.NewNop(),
	})
	december := `["shop","oak","long","2026-12",1,5,1]`
	november := `["shop","oak","long","2026-11",1,5,1]`
	october := `["shop","(all)","(all)","2026-10",1,5,1]`
	for text, want := range map[string]struct {
		rows    []string
		missing int
	}{
		"show costing":                               {[]string{december}, 0},
		"show costing where period = 2026-11":        {[]string{november}, 0},
		"show costing since 2026-10":                 {[]string{october, november, december}, 0},
		"show costing since 40d until 2026-11":       {[]string{october, november}, 0},
		"show costing where period < 2026-12":        {[]string{october, november}, 0},
		"show costing since 2024-01 until 2026-10":   {[]string{october}, 1},
		"show costing where period = 2024-01":        {nil, 1},
		"show costing since 2026-10 by workspace":    {[]string{`["shop",3,3,15,3]`}, 0},
		"show costing where model = ash":             {nil, 0},
		"show costing where workspace = shop":        {[]string{december}, 0},
		"show costing where workspace = other":       {nil, 0},
		"show workspaces by spent":                   {[]string{`[1,1,0]`}, 0},
		"show costing until 2026-11 order by period": {[]string{october, november}, 0},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			body, err := json.Marshal(language.QueryRequest{Text: text})
			is.NoErr(err)
			request := httptest.NewRequest(http.MethodPost, "/v1/queries", bytes.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+operatorKey)
			recorder := httptest.NewRecorder()
			api.ServeHTTP(recorder, request)
			var reply language.QueryReply
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &reply))
			var rows []string
			for _, row := range reply.Rows {
				rows = append(rows, string(row))
			}
			is.Equal(rows, want.rows)
			is.Equal(len(reply.Missing), want.missing)
			if strings.HasPrefix(text, "show workspaces") {
				return
			}
			is.Equal(reply.Kept, "spending by model and length class since 2026-11, by workspace since 2025-11")
		})
	}
}
