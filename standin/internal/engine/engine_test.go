package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/standin/internal/engine"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
	"github.com/dandelionpier/dandelionpier/standin/internal/weights"
)

func settings() options.Engine {
	o := options.DefaultEngine()
	o.Models = []string{"oak"}
	o.Version = "1"
	o.NotifyInterval = 0
	return o
}

// network is an http.RoundTripper that calls handlers by address.
type network map[string]http.Handler

func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, found := n[r.URL.Host]
	if !found {
		return nil, fmt.Errorf("%s is unreachable", r.URL.Host)
	}
	return serve(handler, r).Result(), nil
}

// simulate runs a test in a synctest bubble, with one engine for each of the settings. They are reachable as e0,
// e1 and so on.
func simulate(t *testing.T, list []options.Engine, test func(t *testing.T, n network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := network{}
		for i, o := range list {
			e := engine.New(engine.Config{
				Options: o,
				Logger:  zap.NewNop(),
				Client:  &http.Client{Transport: n},
				Crash:   func() { panic(http.ErrAbortHandler) },
			})
			go e.Run(ctx)
			n["e"+strconv.Itoa(i)] = e.Handler()
		}
		synctest.Wait()
		test(t, n)
		cancel()
		synctest.Wait()
	})
}

// serve calls a handler and recovers from the panic by which it closes the connection.
func serve(h http.Handler, r *http.Request) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	h.ServeHTTP(w, r)
	return w
}

func call(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return serve(h, r)
}

const streamingBody = `{"model":"oak","prompt":"how many teeth","max_tokens":5,"stream":true}`

// events returns the data of each SSE event.
func events(w *httptest.ResponseRecorder) []string {
	var list []string
	for event := range strings.SplitSeq(w.Body.String(), "\n\n") {
		if data, found := strings.CutPrefix(event, "data: "); found {
			list = append(list, data)
		}
	}
	return list
}

func streamEvents(h http.Handler, headers ...string) []string {
	headers = append(headers, endpoint.HeaderRequestID, "r", endpoint.HeaderAttemptID, "a")
	return events(call(h, http.MethodPost, "/v1/completions", streamingBody, headers...))
}

// Guards against events without IDs, index or usage, and against a stream that cannot be resumed on
// another engine at every event.
func TestStream(t *testing.T) {
	simulate(t, []options.Engine{settings(), settings()}, func(t *testing.T, n network) {
		is := is.New(t)
		whole := streamEvents(n["e0"])
		is.Equal(len(whole), 7) // 5 tokens, usage, [DONE]
		for i, data := range whole[:6] {
			var event struct {
				RequestID string `json:"request_id"`
				AttemptID string `json:"attempt_id"`
				Index     int    `json:"index"`
				Usage     *struct {
					PromptTokens     int `json:"prompt_tokens"`
					CompletionTokens int `json:"completion_tokens"`
				} `json:"usage"`
			}
			is.NoErr(json.Unmarshal([]byte(data), &event))
			is.Equal(event.RequestID, "r")
			is.Equal(event.AttemptID, "a")
			is.Equal(event.Index, i)
			is.Equal(event.Usage != nil, i == 5)
			if event.Usage != nil {
				is.Equal(event.Usage.PromptTokens, 4)
				is.Equal(event.Usage.CompletionTokens, 5)
			}
		}
		is.Equal(whole[6], "[DONE]")
		for from := range 6 {
			is.Equal(streamEvents(n["e1"], endpoint.HeaderResumeFrom, strconv.Itoa(from)), whole[from:])
		}
	})
}

// Guards against a first event that waits for more than the first token, and against a resumed stream that does
// not continue at the same token if events have several tokens.
func TestStreamWithSeveralTokensPerEvent(t *testing.T) {
	several := settings()
	several.TokensPerEvent = 3
	simulate(t, []options.Engine{settings(), several, several}, func(t *testing.T, n network) {
		is := is.New(t)
		single, whole := streamEvents(n["e0"]), streamEvents(n["e1"])
		is.Equal(whole[0], single[0])
		is.Equal(len(whole), 5) // 1, 3 and 1 tokens, usage, [DONE]
		for from := range whole[:4] {
			is.Equal(streamEvents(n["e2"], endpoint.HeaderResumeFrom, strconv.Itoa(from)), whole[from:])
		}
	})
}

// Guards against a chat or completion response with an incomplete output.
func TestWholeResponse(t *testing.T) {
	simulate(t, []options.Engine{settings()}, func(t *testing.T, n network) {
		is := is.New(t)
		text := call(n["e0"], http.MethodPost, "/v1/completions", `{"model":"oak","prompt":"x","max_tokens":3}`)
		is.Equal(text.Code, http.StatusOK)
		var completion struct{ Choices []struct{ Text string } }
		is.NoErr(json.Unmarshal(text.Body.Bytes(), &completion))
		is.Equal(len(completion.Choices[0].Text), 16+2*5) // digest, then tokens of a space and 4 digits

		w := call(n["e0"], http.MethodPost, "/v1/chat/completions",
			`{"model":"oak","max_completion_tokens":3,"messages":[{"role":"user","content":"x"}]}`)
		var chat struct {
			Choices []struct{ Message struct{ Content string } }
		}
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &chat))
		is.Equal(len(chat.Choices[0].Message.Content), 16+2*5)
	})
}

// Guards against invalid requests that are executed, or after which the engine no longer serves others.
func TestRefusals(t *testing.T) {
	past := strconv.FormatInt(time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli(), 10)
	for name, test := range map[string]struct {
		body    string
		headers []string
		status  int
	}{
		"not JSON":            {`{`, nil, http.StatusBadRequest},
		"no prompt":           {`{"model":"oak"}`, nil, http.StatusBadRequest},
		"empty prompt":        {`{"model":"oak","prompt":""}`, nil, http.StatusBadRequest},
		"negative limit":      {`{"model":"oak","prompt":"x","max_tokens":-1}`, nil, http.StatusBadRequest},
		"other model":         {`{"model":"elm","prompt":"x"}`, nil, http.StatusNotFound},
		"bad priority":        {streamingBody, []string{endpoint.HeaderPriority, "high"}, http.StatusBadRequest},
		"bad group":           {streamingBody, []string{endpoint.HeaderGroup, "e1"}, http.StatusBadRequest},
		"past deadline":       {streamingBody, []string{endpoint.HeaderDeadline, past}, http.StatusGatewayTimeout},
		"unknown holding":     {streamingBody, []string{endpoint.HeaderHolding, "h"}, http.StatusServiceUnavailable},
		"too many tokens":     {`{"model":"oak","prompt":"` + strings.Repeat("x", 2_000_000) + `"}`, nil, http.StatusRequestEntityTooLarge},
		"body over 8 MiB":     {`{"model":"oak","prompt":"` + strings.Repeat("x", 8<<20) + `"}`, nil, http.StatusBadRequest},
		"resume not a number": {streamingBody, []string{endpoint.HeaderResumeFrom, "x"}, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, []options.Engine{settings()}, func(t *testing.T, n network) {
				is := is.New(t)
				w := call(n["e0"], http.MethodPost, "/v1/completions", test.body, test.headers...)
				is.Equal(w.Code, test.status)
				is.Equal(w.Header().Get("X-Outcome"), "did-not-run")
				is.Equal(len(streamEvents(n["e0"])), 7) // still serves
			})
		})
	}
}

// Guards against a request that waits or runs beyond its deadline, or keeps its memory afterwards.
func TestDeadline(t *testing.T) {
	simulate(t, []options.Engine{settings()}, func(t *testing.T, n network) {
		is := is.New(t)
		start := time.Now()
		deadline := strconv.FormatInt(start.Add(time.Second).UnixMilli(), 10)
		body := `{"model":"oak","prompt":"` + strings.Repeat("x", 400_000) + `","stream":true}`
		w := call(n["e0"], http.MethodPost, "/v1/completions", body, endpoint.HeaderDeadline, deadline)
		is.Equal(w.Code, http.StatusGatewayTimeout)
		is.Equal(time.Since(start), time.Second)
		is.Equal(call(n["e0"], http.MethodGet, "/platform/holdings", "").Body.String(), "[]")
	})
}

// Guards against a stream that ends at its deadline as if it were complete, or without a reason.
func TestDeadlineInStream(t *testing.T) {
	simulate(t, []options.Engine{settings()}, func(t *testing.T, n network) {
		is := is.New(t)
		deadline := strconv.FormatInt(time.Now().Add(100*time.Millisecond).UnixMilli(), 10)
		got := streamEvents(n["e0"], endpoint.HeaderDeadline, deadline)
		is.Equal(len(got), 4) // tokens after 0.4, 33.7, 67.1 ms, then the error
		is.True(strings.Contains(got[3], `"code":"cancelled"`))
	})
}

// Guards against injected faults without the configured effect, and against faults that affect further requests.
func TestFaults(t *testing.T) {
	for name, want := range map[string]func(is *is.I, got, whole []string){
		faults.Truncate:       func(is *is.I, got, whole []string) { is.Equal(got, whole[:2]) },
		faults.CloseAfterRead: func(is *is.I, got, _ []string) { is.Equal(len(got), 0) },
		faults.Duplicate:      func(is *is.I, got, _ []string) { is.Equal(got[2], got[3]) },
		faults.Reorder:        func(is *is.I, got, whole []string) { is.Equal(got[2:4], []string{whole[3], whole[2]}) },
		faults.Misroute:       func(is *is.I, got, _ []string) { is.True(strings.Contains(got[2], "another-request")) },
		faults.Malformed:      func(is *is.I, got, _ []string) { is.True(!json.Valid([]byte(got[2]))) },
		faults.Delay:          func(is *is.I, got, whole []string) { is.Equal(got, whole) },
	} {
		t.Run(name, func(t *testing.T) {
			o := settings()
			o.Faults = []options.Fault{{Kind: name, AfterEvents: 2, Count: 1, Marker: "teeth", Delay: time.Second}}
			simulate(t, []options.Engine{o, settings()}, func(t *testing.T, n network) {
				is := is.New(t)
				whole := streamEvents(n["e1"])
				start := time.Now()
				want(is, streamEvents(n["e0"]), whole)
				is.Equal(time.Since(start) > 5*time.Second, name == faults.Delay)
				is.Equal(streamEvents(n["e0"]), whole) // the fault affects one request only
			})
		})
	}
}

// Guards against a silent fault that ends the request before the client disconnects, or blocks after that.
func TestSilent(t *testing.T) {
	o := settings()
	o.Faults = []options.Fault{{Kind: faults.Silent}}
	simulate(t, []options.Engine{o}, func(t *testing.T, n network) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		start := time.Now()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(streamingBody))
		is.Equal(serve(n["e0"], r).Body.Len(), 0)
		is.Equal(time.Since(start), time.Hour)
	})
}

// Guards against an order of an old controller, or one past its deadline, that changes an engine. Only an engine
// that checks fencing tokens can refuse the former.
func TestOrders(t *testing.T) {
	order := func(id string, token int, version string) string {
		return fmt.Sprintf(`{"order-id":%q,"fencing-token":%d,"models":["oak"],"version":%q}`, id, token, version)
	}
	for name, test := range map[string]struct {
		checks bool
		status int
		want   string
	}{
		"checks fencing":  {true, http.StatusConflict, "2"},
		"ignores fencing": {false, http.StatusOK, "3"},
	} {
		t.Run(name, func(t *testing.T) {
			o := settings()
			o.ChecksFencing = test.checks
			simulate(t, []options.Engine{o}, func(t *testing.T, n network) {
				is := is.New(t)
				version := func() string {
					synctest.Wait()
					var state endpoint.PlatformState
					is.NoErr(json.Unmarshal(call(n["e0"], http.MethodGet, "/platform/state", "").Body.Bytes(), &state))
					return state.Version
				}
				is.Equal(call(n["e0"], http.MethodPost, "/platform/orders", order("a", 5, "2")).Code, http.StatusOK)
				is.Equal(version(), "2")
				is.Equal(call(n["e0"], http.MethodPost, "/platform/orders", order("b", 4, "3")).Code, test.status)
				is.Equal(version(), test.want)
				late := `{"order-id":"c","fencing-token":9,"models":["oak"],"version":"4","deadline":1}`
				is.Equal(call(n["e0"], http.MethodPost, "/platform/orders", late).Code, http.StatusGatewayTimeout)
				is.Equal(version(), test.want)
			})
		})
	}
}

// Guards against a group whose members lose their holdings while it runs or keep them afterwards, and against a
// request that continues after the group has lost a member.
func TestGroup(t *testing.T) {
	for name, members := range map[string]string{"complete": "e1/h1", "member gone": "e9/h1", "no holding": "e1/h9"} {
		t.Run(name, func(t *testing.T) {
			o := settings()
			o.Memory = 200_000
			simulate(t, []options.Engine{o, o}, func(t *testing.T, n network) {
				is := is.New(t)
				for i := range 2 {
					hold := fmt.Sprintf(`{"id":"h%d","holder":"d","tokens":190000,"ttl-ms":5000}`, i)
					is.Equal(call(n["e"+strconv.Itoa(i)], http.MethodPost, "/platform/holdings", hold).Code, http.StatusCreated)
				}
				body := `{"model":"oak","prompt":"` + strings.Repeat("x", 1_400_000) + `","stream":true}`
				w := call(n["e0"], http.MethodPost, "/v1/completions", body,
					endpoint.HeaderHolding, "h0", endpoint.HeaderGroup, members)
				is.Equal(w.Code == http.StatusOK, name == "complete")
				time.Sleep(10 * time.Second)
				for _, h := range n {
					is.Equal(call(h, http.MethodGet, "/platform/holdings", "").Body.String(), "[]")
				}
			})
		})
	}
}

// Guards against weight loads that take no time, an engine that serves while it loads, and an order that is lost
// when it replaces the load of an earlier one.
func TestLoad(t *testing.T) {
	o := settings()
	o.Weights = "store:1"
	simulate(t, []options.Engine{o}, func(t *testing.T, n network) {
		is := is.New(t)
		n["store:1"] = weights.New(options.Weights{Rate: 1 << 20, Size: 10 << 20}).Handler()
		state := func() (s endpoint.PlatformState) {
			is.NoErr(json.Unmarshal(call(n["e0"], http.MethodGet, "/platform/state", "").Body.Bytes(), &s))
			return s
		}
		order := func(id, version string) {
			body := fmt.Sprintf(`{"order-id":%q,"models":["oak"],"version":%q}`, id, version)
			is.Equal(call(n["e0"], http.MethodPost, "/platform/orders", body).Code, http.StatusOK)
		}
		order("a", "2")
		time.Sleep(5 * time.Second)
		is.True(state().Loading)
		is.Equal(call(n["e0"], http.MethodPost, "/v1/completions", streamingBody).Code, http.StatusServiceUnavailable)
		order("b", "3")
		time.Sleep(16 * time.Second) // the store writes at most one more chunk of the cancelled download
		is.Equal(state().Version, "3")
		is.True(!state().Loading)
		is.Equal(len(streamEvents(n["e0"])), 7)
	})
}

// Guards against a KV cache transfer between engines that loses blocks or takes no time.
func TestTransfer(t *testing.T) {
	simulate(t, []options.Engine{settings(), settings()}, func(t *testing.T, n network) {
		is := is.New(t)
		body := `{"model":"oak","prompt":"` + strings.Repeat("x", 500_000) + `","max_tokens":1}`
		w := call(n["e0"], http.MethodPost, "/v1/completions", body, endpoint.HeaderAttemptID, "a")
		is.Equal(w.Code, http.StatusOK)
		start := time.Now()
		export := call(n["e0"], http.MethodGet, "/platform/kv/a", "")
		is.Equal(export.Code, http.StatusOK)
		is.Equal(time.Since(start), 124_928*time.Microsecond) // 122 blocks at a million tokens a second
		is.Equal(call(n["e1"], http.MethodPut, "/platform/kv/a", export.Body.String()).Body.String(), `{"blocks":122}`)
		w = call(n["e1"], http.MethodPost, "/v1/completions", body)
		is.True(strings.Contains(w.Body.String(), `"cached_tokens":124928`))
		is.Equal(call(n["e1"], http.MethodGet, "/platform/kv/unknown", "").Code, http.StatusNotFound)
	})
}

// Guards against fault injection in an engine without the setting admin, and against faults that stay active
// after they were removed.
func TestFaultInjector(t *testing.T) {
	const truncate = `{"kind":"truncate","after-events":2}`
	o := settings()
	o.Admin = true
	simulate(t, []options.Engine{settings(), o}, func(t *testing.T, n network) {
		is := is.New(t)
		is.Equal(call(n["e0"], http.MethodPost, "/standin/faults", truncate).Code, http.StatusNotFound)
		is.Equal(call(n["e1"], http.MethodPost, "/standin/faults", `{"kind":"trunkate"}`).Code, http.StatusBadRequest)
		is.Equal(call(n["e1"], http.MethodPost, "/standin/faults", truncate).Code, http.StatusOK)
		is.Equal(len(streamEvents(n["e1"])), 2)
		is.Equal(call(n["e1"], http.MethodDelete, "/standin/faults", "").Code, http.StatusOK)
		is.Equal(len(streamEvents(n["e1"])), 7)
	})
}
