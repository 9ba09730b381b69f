package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/internal/porttest"
)

// fakeInstance simulates a control instance. It replies to each request with the next of its responses, and
// repeats the last one.
type fakeInstance struct {
	*httptest.Server
	mu        sync.Mutex
	responses []response
	commands  []language.CommandRequest
	keys      []string
}

type response struct {
	status int
	body   string
}

func newFakeInstance(t *testing.T, responses ...response) *fakeInstance {
	c := &fakeInstance{responses: responses}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request language.CommandRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.commands = append(c.commands, request)
		c.keys = append(c.keys, r.Header.Get("Authorization"))
		next := c.responses[0]
		if len(c.responses) > 1 {
			c.responses = c.responses[1:]
		}
		if next.status == 0 {
			panic(http.ErrAbortHandler) // the reply is lost
		}
		w.WriteHeader(next.status)
		_, _ = w.Write([]byte(next.body))
	}))
	t.Cleanup(c.Close)
	return c
}

func (c *fakeInstance) received() ([]language.CommandRequest, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands, c.keys
}

type result struct {
	code      int
	out, errs string
}

func run(t *testing.T, instances []*fakeInstance, in string, args ...string) result {
	t.Helper()
	var addresses []string
	for _, c := range instances {
		addresses = append(addresses, c.Listener.Addr().String())
	}
	return runAt(t, addresses, in, args...)
}

// runAt runs pierctl with the given addresses of control instances.
func runAt(t *testing.T, addresses []string, in string, args ...string) result {
	t.Helper()
	directory := t.TempDir()
	t.Setenv("XDG_CONFIG_HOME", directory)
	key := filepath.Join(directory, "key")
	if err := os.WriteFile(key, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	all := []string{"pierctl", "--key-file", key, "--timeout", "1m"}
	for _, address := range addresses {
		all = append(all, "--address", address)
	}
	var out, errs bytes.Buffer
	p := program{in: strings.NewReader(in), out: &out, errOut: &errs, makeHTTPClient: newHTTPClient, backOff: func(context.Context, time.Duration) bool { return false }}
	code := p.run(t.Context(), append(all, args...))
	return result{code, out.String(), errs.String()}
}

const (
	accepted = `{"status":"accepted","revision":8,"in-force":true}`
	conflict = `{"status":"conflict","revision":8,"since":[{"revision":8,"author":"itziar","time":"2026-12-04T05:00:00Z","changes":["set model oak replicas 3"]}]}`
	rejected = `{"status":"rejected","revision":7,"message":"workspace \"a\" does not exist"}`
	rows     = `{"columns":[{"name":"model","type":"text"},{"name":"adapters","type":"list"},{"name":"cost","type":"cents"}],"rows":[["oak",["x","y"],1.5],["a\u001bb",null,12345678901234567]],"total":5,"revision":7}`
	kept     = `{"columns":[{"name":"period","type":"text"}],"rows":[],"total":0,"revision":7,"kept":"spending by workspace since 2025-11"}`
	partial  = `{"columns":[{"name":"cell","type":"text"}],"rows":[],"total":0,"revision":7,"missing":[{"part":"cell oak/north","error":"deadline exceeded"}]}`
)

// Guards against changes of exit codes and output formats, which scripts rely on.
func TestExitCodesAndOutput(t *testing.T) {
	for name, test := range map[string]struct {
		response response
		args     []string
		code     int
		out      string
		errs     string
	}{
		"accepted":      {response{200, accepted}, []string{"run", "set model oak"}, 0, "accepted, revision 8, in force\n", ""},
		"accepted json": {response{200, accepted}, []string{"--output", "json", "run", "set model oak"}, 0, accepted + "\n", ""},
		"accepted csv":  {response{200, accepted}, []string{"--output", "csv", "run", "set model oak"}, 0, "status,revision,in-force,message\naccepted,8,true,\n", ""},
		"conflict": {
			response{409, conflict},
			[]string{"run", "set model oak"},
			3, "conflict, revision 8\nrevision 8 by itziar at 2026-12-04T05:00:00Z:\n  set model oak replicas 3\n", "",
		},
		"rejected":       {response{422, rejected}, []string{"run", "unset workspace a"}, 4, "rejected, revision 7\nworkspace \"a\" does not exist\n", ""},
		"denied":         {response{401, `{"error":"no operator key"}`}, []string{"query", "show models"}, 4, "", "no operator key"},
		"quorum add":     {response{200, `{"status":"accepted"}`}, []string{"quorum", "add", "c6", "127.0.0.1:1"}, 0, "accepted \n", ""},
		"quorum refused": {response{422, `{"status":"rejected","message":"not caught up"}`}, []string{"quorum", "remove", "c6"}, 4, "rejected not caught up\n", ""},
		"parse error":    {response{200, accepted}, []string{"run", "st model oak"}, 2, "", "1:1: unexpected \"st\"; did you mean \"set\"?"},
		"usage error":    {response{200, accepted}, []string{"run", "--unknown"}, 2, "", "unknown"},
		"unknown verb":   {response{200, accepted}, []string{"runn"}, 2, "", "unknown command"},
		"wrong format":   {response{200, accepted}, []string{"--output", "xml", "query", "show models"}, 2, "", "table json csv"},
		"unavailable":    {response{503, `{"error":"no quorum"}`}, []string{"run", "--command-id", "12345678", "set model oak"}, 5, "", "--command-id 12345678"},
		"query as table": {response{200, rows}, []string{"query", "show models"}, 0, "MODEL     ADAPTERS  COST\noak       x, y      1.5\n\"a\\x1bb\"  -         12345678901234567\n", "2 of 5 rows"},
		"query as json":  {response{200, rows}, []string{"--output", "json", "query", "show models"}, 0, `{"model":"oak","adapters":["x","y"],"cost":1.5}` + "\n" + `{"model":"a\u001bb","adapters":null,"cost":12345678901234567}` + "\n", "2 of 5 rows"},
		"query as csv":   {response{200, rows}, []string{"--output", "csv", "query", "show models"}, 0, "model,adapters,cost\noak,\"x, y\",1.5\na\x1bb,,12345678901234567\n", "2 of 5 rows"},
		"kept months":    {response{200, kept}, []string{"query", "show costing"}, 0, "PERIOD\n", "kept: spending by workspace since 2025-11\n"},
		"partial answer": {response{200, partial}, []string{"query", "show running"}, 6, "CELL\n", "missing: cell oak/north: deadline exceeded"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := run(t, []*fakeInstance{newFakeInstance(t, test.response)}, "", test.args...)
			is.Equal(got.code, test.code)
			is.Equal(got.out, test.out)
			is.True(strings.Contains(got.errs, test.errs))
			is.True(!strings.Contains(got.out+got.errs, "secret"))
		})
	}
}

// Guards against a burn-rate report without its plot or its objectives, or one that hides that entries are
// missing or have different objectives.
func TestReportBurn(t *testing.T) {
	is := is.New(t)
	c := newFakeInstance(t, response{200, `{"report":{"time":"2026-12-04T05:00:00Z","mixed":true,"objectives":[{"class":"short","ttft-ns":330000000,"target":0.9,"success-target":0.99}],` +
		`"series":[{"workspace":"(all)","class":"short","metric":"ttft","windows":[{"total":20,"bad":4},{"total":10,"bad":1},{"total":0,"bad":0},{"total":40,"bad":2}]}]},` +
		`"missing":[{"part":"instance b","error":"refused"}]}`})
	plot := filepath.Join(t.TempDir(), "burn.png")
	got := run(t, []*fakeInstance{c}, "", "report", "burn", "--total", "--plot", plot)
	is.Equal(got.code, 6)
	is.Equal(got.out, "WORKSPACE  CLASS  METRIC  BOUND  TARGET  OBJECTIVE  5m    1h    6h    3d    REQUESTS\n"+
		"(all)      short  ttft    330ms  0.9     class      2.00  1.00  0.00  0.50  40\n")
	is.True(strings.Contains(got.errs, "missing: instance b: refused"))
	is.True(strings.Contains(got.errs, "objectives of the entries differ"))
	data, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(bytes.HasPrefix(data, []byte("\x89PNG")))
}

// Guards against a lost reply that makes a command fail or run twice. The next instance must get the same
// command ID and text.
func TestLostReplyIsResent(t *testing.T) {
	is := is.New(t)
	first, second := newFakeInstance(t, response{}), newFakeInstance(t, response{200, accepted})
	got := run(t, []*fakeInstance{first, second}, "add key new to workspace shop\n", "run")
	is.Equal(got.code, 0)
	lost, _ := first.received()
	resent, keys := second.received()
	is.Equal(lost, resent)
	is.Equal(keys[0], "Bearer secret")
	// The key is shown; only its hash was sent.
	key := strings.TrimSpace(strings.SplitN(strings.SplitN(got.out, "\n", 2)[0], ": ", 2)[1])
	is.True(strings.Contains(resent[0].Text, language.HashKey(key)))
	is.True(!strings.Contains(resent[0].Text, key))
}

// Guards against a broken reply that is shown as the result of a command.
func TestBrokenReplyIsNoResult(t *testing.T) {
	body := rejected[:len(rejected)-1] + strings.Repeat(" ", 10) + "}"
	for name, reply := range map[string]string{
		"status 000": "HTTP/1.1 000 Odd\r\n\r\n" + body,
		"status 999": "HTTP/1.1 999 Odd\r\n\r\n" + body,
		"cut head":   "HTTP/1.1 200 OK\r\nContent-Type: application/json",
		"cut body":   "HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-1],
		"cut length": "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			second := newFakeInstance(t, response{200, accepted})
			got := runAt(t, []string{porttest.Respond(t, reply), second.Listener.Addr().String()}, "", "run", "set model oak")
			is.Equal(got.code, 0)
			is.Equal(got.out, "accepted, revision 8, in force\n")
		})
	}
}

// Guards against a client that ignores the leader address in a follower's reply.
func TestFollowsLeader(t *testing.T) {
	is := is.New(t)
	leader := newFakeInstance(t, response{200, accepted})
	follower := newFakeInstance(t, response{503, `{"error":"does not lead","leader":"` + leader.Listener.Addr().String() + `"}`})
	got := run(t, []*fakeInstance{follower}, "", "check", "set model oak")
	is.Equal(got.code, 0)
	commands, _ := leader.received()
	is.Equal(commands[0].Text, "check\nset model oak\n")
}

// Guards against an interactive mode that runs an incomplete transaction, splits one, or ends after an error.
func TestInteractive(t *testing.T) {
	is := is.New(t)
	c := newFakeInstance(t, response{200, accepted}, response{200, rows})
	got := run(t, []*fakeInstance{c}, "shw\n\nset model oak\nset model ash\n\nshow models\nset model lost\n", "interactive")
	is.Equal(got.code, 0)
	commands, _ := c.received()
	is.Equal(len(commands), 2)
	is.Equal(commands[0].Text, "set model oak\nset model ash\n")
	is.Equal(commands[1].Text, "show models")
	is.True(strings.Contains(got.errs, `did you mean "show"?`))
	is.True(strings.Contains(got.errs, "the last lines were not run"))
}

// Guards against a retry that generates and shows a new key although that of the first attempt may be in use.
// The retry must name the first key by its hash.
func TestResendNamesKeyByHash(t *testing.T) {
	is := is.New(t)
	lost := run(t, []*fakeInstance{newFakeInstance(t, response{503, `{"error":"no quorum"}`})}, "", "run", "add key new to workspace shop")
	is.Equal(lost.code, 5)
	key := strings.TrimSpace(strings.SplitN(lost.out, ": ", 2)[1])
	is.True(strings.Contains(lost.errs, "add key "+language.HashKey(key)+" to workspace shop"))
	again := run(t, []*fakeInstance{newFakeInstance(t, response{200, accepted})}, "", "run", "--command-id", "12345678", "add key new to workspace shop")
	is.Equal(again.code, 2)
}
