package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/entryd/internal/api"
	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/pagetest"
	"github.com/dandelionpier/dandelionpier/internal/program"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Guards against a graceful shutdown that cuts a stream, and against a draining entry that is still in the
// address lists or reported as ready.
func TestDrain(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	url := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) {
		e.chunk(0)
		close(entered)
		<-leave
		e.finish(1, 3)
	})
	s := startEntry(t, url)
	got := make(chan clientResponse, 1)
	go func() { got <- s.send(t, "POST", "/v1/chat/completions", streamRequest) }()
	<-entered
	end := make(chan error, 1)
	go func() { end <- s.stop() }()
	for !s.session.drained.Load() {
		_ = s.get(t, s.addresses.Metrics, "/ready")
	}
	is.True(strings.Contains(s.get(t, s.addresses.Metrics, "/ready"), "draining"))
	is.True(strings.Contains(s.get(t, s.addresses.Metrics, "/metrics"), "entry_requests_in_flight 1"))
	is.Equal(s.announce(t, announcement(t, nil)).Addresses, []string{})
	close(leave)
	response := <-got
	is.Equal(streamText(response.body), "w0w1w2")
	is.True(strings.HasSuffix(response.body, "[DONE]\n\n"))
	is.NoErr(<-end)
}

func (s *testEntry) get(t testing.TB, address, path string) string {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

func announcement(t testing.TB, change func(a *endpoint.Announcement)) string {
	t.Helper()
	a := endpoint.Announcement{
		Name: "e9", Incarnation: "1", Address: "127.0.0.1:9", DataCentre: "vitoria", Region: "norte",
		Type: endpoint.Engine, Models: []string{"oak"}, Memory: 100, State: endpoint.Ready,
	}
	if change != nil {
		change(&a)
	}
	data, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func (s *testEntry) announce(t testing.TB, body string) endpoint.AnnounceReply {
	t.Helper()
	response, err := http.Post("http://"+s.addresses.Platform+"/platform/announce", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var reply endpoint.AnnounceReply
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
			t.Fatal(err)
		}
	}
	return reply
}

// Guards against announcements that are lost, and against invalid ones that reach the dispatcher.
func TestAnnounce(t *testing.T) {
	is := is.New(t)
	s := startEntry(t)
	for _, bad := range []string{
		"", "{", "[]", `{"name":"x"}`, `{"unknown":1}`, announcement(t, nil) + "{}",
		announcement(t, func(a *endpoint.Announcement) { a.Address = "nowhere" }),
		announcement(t, func(a *endpoint.Announcement) { a.Type = "boat" }),
		announcement(t, func(a *endpoint.Announcement) { a.State = "idle" }),
		announcement(t, func(a *endpoint.Announcement) { a.Memory = -1 }),
		announcement(t, func(a *endpoint.Announcement) { a.Load.Running = -1 }),
		announcement(t, func(a *endpoint.Announcement) { a.Models = []string{""} }),
		announcement(t, func(a *endpoint.Announcement) { a.Version = strings.Repeat("v", 2<<20) }),
	} {
		is.Equal(s.announce(t, bad).Addresses, nil)
	}
	is.Equal(len(s.announce(t, announcement(t, nil)).Addresses), 1)
	<-s.dispatcher.announced
	is.NoErr(s.stop())
	is.Equal(len(s.dispatcher.announcements), 1)
	is.Equal(s.dispatcher.announcements[0].Name, "e9")
}

// Guards against address lists without a second data centre or with draining entries, and against requests
// for them that fail when the lease has expired.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	s := startEntry(t)
	s.session.change(func(v *session.View) {
		v.Members = append(v.Members, session.Member{Instance: "entry-3", DataCentre: "bilbao", Caller: "10.0.0.3:80"})
	})
	read := func() map[string]string {
		var got api.Addresses
		is.NoErr(json.Unmarshal([]byte(s.send(t, "GET", "/v1/addresses", "").body), &got))
		is.Equal(got.TTL, 30)
		centres := make(map[string]string)
		for _, a := range got.Addresses {
			centres[a.Address] = a.DataCentre
		}
		return centres
	}
	is.Equal(read(), map[string]string{s.addresses.Caller: "vitoria", "10.0.0.3:80": "bilbao"})
	s.session.mu.Lock()
	s.session.expired = true
	s.session.mu.Unlock()
	is.Equal(read(), map[string]string{"10.0.0.3:80": "bilbao"})
}

// Guards against a model list that includes models of other workspaces.
func TestModels(t *testing.T) {
	is := is.New(t)
	response := startEntry(t).send(t, "GET", "/v1/models", "")
	is.Equal(response.status, http.StatusOK)
	is.True(strings.Contains(response.body, `"oak"`))
	is.True(!strings.Contains(response.body, `"pine"`))
}

// Guards against commands that do not run and settings errors that are not reported.
func TestCommands(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const valid = "instance: a\ndata-centre: b\nregion: c\ncontrol: [127.0.0.1:1]\ncluster-key: 0123456789abcdef\n"
	good := write("good.yaml", valid)
	for name, test := range map[string]struct {
		args []string
		code int
		want string
	}{
		"version":               {[]string{"version"}, 0, "entryd"},
		"help":                  {[]string{"--help"}, 0, "check-settings"},
		"reference":             {[]string{"settings-reference"}, 0, "| `drain-time` | duration | `30s` |"},
		"good settings":         {[]string{"check-settings", "--settings", good}, 0, "valid"},
		"unknown key":           {[]string{"check-settings", "--settings", write("key.yaml", valid+"drain: 3s\n")}, 1, "key.yaml:6:1"},
		"out of bounds":         {[]string{"check-settings", "--settings", write("bound.yaml", valid+"max-attempts: 99\n")}, 1, "at most 10"},
		"limits conflict":       {[]string{"check-settings", "--settings", write("limit.yaml", valid+"max-time-limit: 10s\n")}, 1, "default-time-limit"},
		"no address for others": {[]string{"check-settings", "--settings", write("any.yaml", valid+"peer-listen: 0.0.0.0:1\n")}, 1, "advertise-peer"},
		"missing file":          {[]string{"run", "--settings", filepath.Join(directory, "none.yaml")}, 1, "settings file"},
		"no settings":           {[]string{"run"}, 1, "settings"},
		"unknown command":       {[]string{"walk"}, 1, "walk"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(execute(context.Background(), append([]string{"entryd"}, test.args...), &out, &out, nil), test.code)
			if !strings.Contains(out.String(), test.want) {
				t.Errorf("output %q lacks %q", out.String(), test.want)
			}
		})
	}
}

// Guards against a manual page or settings reference that is out of date.
func TestPages(t *testing.T) {
	pagetest.Reference(t, "settings-entryd.md", options.Reference())
	pagetest.Reference(t, "settings-gateway.md", options.GatewayReference())
	pagetest.Equal(t, "man/entryd.8", program.Manual(command(io.Discard, io.Discard, nil), 8))
}
