package endpoint_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/porttest"
)

// Guards against a client that uses other paths or methods than the design page specifies, and against ids
// whose characters change the path.
func TestClientPaths(t *testing.T) {
	var seen []string
	record := func(response string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			seen = append(seen, r.Method+" "+r.URL.EscapedPath())
			_, _ = w.Write([]byte(response))
		}
	}
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/platform/holdings", record(`[{"id":"h","holder":"e","tokens":5,"ttl-ms":10}]`)).Methods(http.MethodGet)
	router.HandleFunc("/platform/state", record(`{"incarnation":"7","memory":9}`)).Methods(http.MethodGet)
	router.PathPrefix("/platform/").Handler(record(""))
	server := httptest.NewServer(router)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := endpoint.NewClient(endpoint.ClientConfig{})
	ctx := t.Context()

	is := is.New(t)
	is.NoErr(client.Create(ctx, address, endpoint.Holding{ID: "h"}))
	is.NoErr(client.Renew(ctx, address, "a/b", time.Second))
	is.NoErr(client.Delete(ctx, address, "h"))
	is.NoErr(client.Cancel(ctx, address, "attempt"))
	is.NoErr(client.Order(ctx, address, endpoint.Order{ID: "o"}))
	holdings, err := client.List(ctx, address)
	is.NoErr(err)
	is.Equal(holdings, []endpoint.Holding{{ID: "h", Holder: "e", Tokens: 5, TTL: 10}})
	state, err := client.State(ctx, address)
	is.NoErr(err)
	is.Equal(state.Memory, 9)
	is.Equal(seen, []string{
		"POST /platform/holdings", "POST /platform/holdings/a%2Fb/renew", "DELETE /platform/holdings/h",
		"DELETE /platform/requests/attempt", "POST /platform/orders", "GET /platform/holdings", "GET /platform/state",
	})
}

// Guards against failures that are reported as success or as errors of the wrong kind.
func TestClientErrors(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		body   string
		list   endpoint.Kind
		delete endpoint.Kind
	}{
		"no such id":     {http.StatusNotFound, "", endpoint.Refused, ""},
		"no memory":      {http.StatusConflict, "memory is taken", endpoint.Refused, endpoint.Refused},
		"broken payload": {http.StatusOK, "{", endpoint.Unexpected, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			client := endpoint.NewClient(endpoint.ClientConfig{})
			_, err := client.List(t.Context(), address)
			is.True(fault.Is(err, test.list))
			err = client.Delete(t.Context(), address, "h")
			is.Equal(err == nil, test.delete == "")
			is.True(err == nil || fault.Is(err, test.delete))
			server.Close()
			_, err = client.List(t.Context(), address)
			is.True(fault.Is(err, endpoint.Unreachable))
		})
	}
}

// Guards against a broken response that counts as done: one whose status is none, or that is cut.
func TestBrokenResponses(t *testing.T) {
	for name, response := range map[string]string{
		"status 000": "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n[]",
		"status 101": "HTTP/1.1 101 Odd\r\n\r\n[]",
		"cut body":   "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[]",
		"cut head":   "HTTP/1.1 200 OK\r\nContent-Length: 2",
	} {
		t.Run(name, func(t *testing.T) {
			address := porttest.Respond(t, response)
			client := endpoint.NewClient(endpoint.ClientConfig{})
			ctx := t.Context()
			_, listErr := client.List(ctx, address)
			_, stateErr := client.State(ctx, address)
			for call, err := range map[string]error{
				"create": client.Create(ctx, address, endpoint.Holding{ID: "h"}), "renew": client.Renew(ctx, address, "h", time.Second),
				"delete": client.Delete(ctx, address, "h"), "cancel": client.Cancel(ctx, address, "a"),
				"order": client.Order(ctx, address, endpoint.Order{ID: "o"}), "list": listErr, "state": stateErr,
			} {
				if !fault.Is(err, endpoint.Unreachable) {
					t.Errorf("%s: %v", call, err)
				}
			}
		})
	}
}
