package cli

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

type errorBody struct {
	Error struct {
		Code    string          `json:"code"`
		Param   string          `json:"param"`
		Outcome refusal.Outcome `json:"outcome"`
	} `json:"error"`
}

func decodeError(t testing.TB, a clientResponse) errorBody {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal([]byte(a.body), &body); err != nil {
		t.Fatalf("status %d with body %q: %v", a.status, a.body, err)
	}
	return body
}

// Guards against invalid input that is accepted, is refused without a clear reason, reaches an engine, or
// breaks the request after it.
func TestBadInput(t *testing.T) {
	var runs atomic.Int64
	url := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) {
		runs.Add(1)
		e.finish(0, 1)
	})
	s := startEntry(t, url)
	const chat, text = "/v1/chat/completions", "/v1/completions"
	message := `"messages":[{"role":"user","content":"a"}]`
	for name, test := range map[string]struct {
		method, path, body string
		headers            []string
		status             int
		code, param        string
	}{
		"unknown path":            {"POST", "/v1/nothing", "{}", nil, 404, "path-not-found", ""},
		"unknown method":          {"DELETE", chat, "{}", nil, 405, "method-not-allowed", ""},
		"not JSON":                {"POST", chat, `{"model":`, nil, 400, "invalid-request", ""},
		"empty body":              {"POST", chat, "", nil, 400, "invalid-request", ""},
		"not an object":           {"POST", chat, `[1]`, nil, 400, "invalid-request", ""},
		"trailing data":           {"POST", chat, `{"model":"oak",` + message + `} {}`, nil, 400, "invalid-request", ""},
		"no model":                {"POST", chat, `{` + message + `}`, nil, 400, "invalid-request", "model"},
		"model is a number":       {"POST", chat, `{"model":3,` + message + `}`, nil, 400, "invalid-request", "model"},
		"duplicate model":         {"POST", chat, `{"model":"oak","model":"pine",` + message + `}`, nil, 400, "invalid-request", "model"},
		"escaped duplicate":       {"POST", chat, `{"model":"oak","mod\u0065l":"pine",` + message + `}`, nil, 400, "invalid-request", "model"},
		"unknown model":           {"POST", chat, `{"model":"elm",` + message + `}`, nil, 404, "model-not-found", "model"},
		"foreign model":           {"POST", chat, `{"model":"pine",` + message + `}`, nil, 404, "model-not-found", "model"},
		"no messages":             {"POST", chat, `{"model":"oak"}`, nil, 400, "invalid-request", "messages"},
		"empty messages":          {"POST", chat, `{"model":"oak","messages":[ ]}`, nil, 400, "invalid-request", "messages"},
		"messages is a string":    {"POST", chat, `{"model":"oak","messages":"a"}`, nil, 400, "invalid-request", "messages"},
		"message is a string":     {"POST", chat, `{"model":"oak","messages":["a"]}`, nil, 400, "invalid-request", "messages"},
		"prompt is a list":        {"POST", text, `{"model":"oak","prompt":["a"]}`, nil, 400, "invalid-request", "prompt"},
		"empty prompt":            {"POST", text, `{"model":"oak","prompt":""}`, nil, 400, "invalid-request", "prompt"},
		"stream is a string":      {"POST", chat, `{"model":"oak","stream":"yes",` + message + `}`, nil, 400, "invalid-request", "stream"},
		"negative max_tokens":     {"POST", chat, `{"model":"oak","max_tokens":-1,` + message + `}`, nil, 400, "invalid-request", "max_tokens"},
		"zero max_tokens":         {"POST", chat, `{"model":"oak","max_tokens":0,` + message + `}`, nil, 400, "invalid-request", "max_tokens"},
		"absurd max_tokens":       {"POST", chat, `{"model":"oak","max_tokens":99999999999999999999,` + message + `}`, nil, 400, "invalid-request", "max_tokens"},
		"fractional max_tokens":   {"POST", chat, `{"model":"oak","max_tokens":1.5,` + message + `}`, nil, 400, "invalid-request", "max_tokens"},
		"above the context":       {"POST", chat, `{"model":"oak","max_tokens":2000000,` + message + `}`, nil, 400, "context-length-exceeded", ""},
		"several completions":     {"POST", chat, `{"model":"oak","n":2,` + message + `}`, nil, 400, "invalid-request", "n"},
		"negative time limit":     {"POST", chat, streamRequest, []string{"X-Time-Limit", "-1"}, 400, "invalid-time-limit", "X-Time-Limit"},
		"absurd time limit":       {"POST", chat, streamRequest, []string{"X-Time-Limit", "1e300"}, 400, "invalid-time-limit", "X-Time-Limit"},
		"time limit not a number": {"POST", chat, streamRequest, []string{"X-Time-Limit", "NaN"}, 400, "invalid-time-limit", "X-Time-Limit"},
		"wrong key":               {"POST", chat, streamRequest, []string{"Authorization", "Bearer nobody"}, 401, "invalid-key", ""},
		"no key":                  {"POST", chat, streamRequest, []string{"Authorization", ""}, 401, "invalid-key", ""},
		"other scheme":            {"POST", chat, streamRequest, []string{"Authorization", "Basic " + testKey}, 401, "invalid-key", ""},
		"hash as key":             {"POST", chat, streamRequest, []string{"Authorization", "Bearer " + hashKey(testKey)}, 401, "invalid-key", ""},
		"body over the limit":     {"POST", chat, strings.Repeat(" ", 8<<20+1), nil, 413, "body-too-large", ""},
		"unknown service":         {"GET", "/v1/services/saw/x", "", nil, 404, "service-not-found", ""},
		"platform path":           {"GET", "/v1/services/counter/x/..%2f../platform/runs", "", nil, 404, "path-reserved", ""},
		"method in lower case":    {"post", "/v1/services/counter/x", "", nil, 400, "idempotency-key-missing", "Idempotency-Key"},
		"no idempotency key":      {"POST", "/v1/services/counter/x", "", nil, 400, "idempotency-key-missing", "Idempotency-Key"},
		"long idempotency key":    {"POST", "/v1/services/counter/x", "", []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400, "idempotency-key-invalid", "Idempotency-Key"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response := s.send(t, test.method, test.path, test.body, test.headers...)
			got := decodeError(t, response)
			is.Equal(response.status, test.status)
			is.Equal(got.Error.Code, test.code)
			is.Equal(got.Error.Param, test.param)
			is.Equal(got.Error.Outcome, refusal.DidNotRun)
			is.Equal(runs.Load(), int64(0))
			is.True(response.header.Get("X-Request-Id") != "")
		})
	}
	is.New(t).Equal(s.send(t, "POST", chat, streamRequest).status, http.StatusOK)
	is.New(t).Equal(s.budget.held, int64(0))
}

// Guards against a chunked body that exceeds the limit, against a truncated body that is run, and against
// waiting beyond the time limit for a body that never arrives.
func TestBrokenBodies(t *testing.T) {
	s := startEntry(t)
	for name, test := range map[string]struct {
		raw   string
		close bool
		want  string
	}{
		"chunked over the limit": {
			"Transfer-Encoding: chunked\r\n\r\n" + "900000\r\n" + strings.Repeat(" ", 0x900000) + "\r\n0\r\n\r\n",
			true, "HTTP/1.1 413",
		},
		"truncated":                 {"Content-Length: 100\r\n\r\n{}", true, "HTTP/1.1 400"},
		"refused before it arrives": {"X-Time-Limit: -1\r\nContent-Length: 100\r\n\r\n", false, "HTTP/1.1 400"},
		"never arrives":             {"X-Time-Limit: 0.2\r\nContent-Length: 100\r\n\r\n{}", false, "HTTP/1.1 408"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", s.addresses.Caller)
			is.NoErr(err)
			defer conn.Close()
			go func() {
				_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testKey+"\r\n"+test.raw)
				if test.close {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}()
			line, err := bufio.NewReader(conn).ReadString('\n')
			is.NoErr(err)
			is.True(strings.HasPrefix(line, test.want))
		})
	}
}

// Guards against requests that are admitted without a lease, above a workspace's limits or without budget, and
// against refusals of the dispatcher whose reason is lost.
func TestRefusals(t *testing.T) {
	url := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.finish(0, 1) })
	for name, test := range map[string]struct {
		prepare func(s *testEntry)
		status  int
		code    string
	}{
		"lease expired":              {func(s *testEntry) { s.session.expired = true }, 503, "lease-expired"},
		"lease ends before dispatch": {func(s *testEntry) { s.session.viewsUntilExpiry = 5 }, 503, "lease-expired"},
		"spending limit":             {func(s *testEntry) { s.budget.limit = 100 }, 402, "spending-limit"},
		"rate limit": {func(s *testEntry) {
			s.session.change(func(v *session.View) { setWorkspace(v, 1, 0) })
			s.send(t, "POST", "/v1/chat/completions", streamRequest)
		}, 429, "rate-limit"},
		"dispatcher refuses": {func(s *testEntry) {
			s.dispatcher.reply = &dispatch.ReserveReply{Status: dispatch.Refused, Reason: dispatch.TooLarge, Message: "At most 7 tokens fit."}
		}, 413, "too-large"},
		"no endpoint": {func(s *testEntry) { s.dispatcher.endpoints = nil }, 503, "no-endpoint"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEntry(t, url)
			test.prepare(s)
			response := s.send(t, "POST", "/v1/chat/completions", streamRequest)
			got := decodeError(t, response)
			is.Equal(response.status, test.status)
			is.Equal(got.Error.Code, test.code)
			is.Equal(got.Error.Outcome, refusal.DidNotRun)
			is.NoErr(s.stop())
			is.Equal(s.budget.held, int64(0))
		})
	}
}

func setWorkspace(v *session.View, rate float64, inFlight int) {
	w := v.Configuration.Workspaces["norte"]
	w.RequestRate, w.MaxInFlight = rate, inFlight
	v.Configuration = testConfiguration()
	v.Configuration.Workspaces["norte"] = w
}

// Guards against requests above the workspace's limit of concurrent requests, and against a counter that is
// not decremented.
func TestInFlightLimit(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	url := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) {
		entered <- struct{}{}
		<-leave
		e.finish(0, 1)
	})
	s := startEntry(t, url)
	s.session.change(func(v *session.View) { setWorkspace(v, 0, 1) })
	first := make(chan clientResponse, 1)
	go func() { first <- s.send(t, "POST", "/v1/chat/completions", streamRequest) }()
	<-entered
	is.Equal(decodeError(t, s.send(t, "POST", "/v1/chat/completions", streamRequest)).Error.Code, "in-flight-limit")
	leave <- struct{}{}
	is.Equal((<-first).status, http.StatusOK)
	go func() { <-entered; leave <- struct{}{} }()
	is.Equal(s.send(t, "POST", "/v1/chat/completions", streamRequest).status, http.StatusOK)
}

// Guards against a request that is admitted under a configuration that was replaced while its body arrived.
func TestChangeDuringBody(t *testing.T) {
	url := startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.finish(0, 1) })
	for name, test := range map[string]struct {
		change func(v *session.View)
		code   string
	}{
		"key revoked": {func(v *session.View) {
			w := v.Configuration.Workspaces["norte"]
			w.KeyHashes = []string{hashKey("another")}
			v.Configuration = testConfiguration()
			v.Configuration.Workspaces["norte"] = w
		}, "invalid-key"},
		"model taken away": {func(v *session.View) {
			w := v.Configuration.Workspaces["norte"]
			w.Models = nil
			v.Configuration = testConfiguration()
			v.Configuration.Workspaces["norte"] = w
		}, "model-not-found"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEntry(t, url)
			s.session.viewed = make(chan struct{}, 8)
			reader, writer := io.Pipe()
			request, err := http.NewRequest(http.MethodPost, "http://"+s.addresses.Caller+"/v1/chat/completions", reader)
			is.NoErr(err)
			request.Header.Set("Authorization", "Bearer "+testKey)
			got := make(chan string, 1)
			go func() {
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					got <- err.Error()
					return
				}
				defer response.Body.Close()
				text, _ := io.ReadAll(response.Body)
				got <- string(text)
			}()
			_, err = io.WriteString(writer, streamRequest[:10])
			is.NoErr(err)
			// Wait until the filters for key and lease have both read the view.
			<-s.session.viewed
			<-s.session.viewed
			s.session.change(test.change)
			_, err = io.WriteString(writer, streamRequest[10:])
			is.NoErr(err)
			is.NoErr(writer.Close())
			is.True(strings.Contains(<-got, `"code":"`+test.code+`"`))
		})
	}
}

// Guards against a refusal that does not reach the caller, because the connection is reset while the caller
// still sends its prompt. net/http reads the rest of a body only on keep-alive connections, and at most 256 KiB.
func TestRefusalOfLongBodyArrives(t *testing.T) {
	s := startEntry(t, startEngine(t, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) { e.finish(0, 1) }))
	for name, test := range map[string]struct {
		keep bool
		size int
	}{
		"kept, 4 MiB":    {true, 4 << 20},
		"closed, 160 KB": {false, 160_000},
		"closed, 4 MiB":  {false, 4 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &http.Transport{DisableKeepAlives: !test.keep}
			defer transport.CloseIdleConnections()
			for range 20 {
				request, err := http.NewRequest(http.MethodPost, "http://"+s.addresses.Caller+"/v1/completions", strings.NewReader(strings.Repeat("a", test.size)))
				is.NoErr(err)
				request.GetBody = nil // no silent resend on another connection
				request.Header.Set("Authorization", "Bearer unknown")
				response, err := transport.RoundTrip(request)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusUnauthorized)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			}
		})
	}
}
