package service_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
	"github.com/dandelionpier/dandelionpier/standin/internal/service"
)

// Guards against a request that is counted without being executed, or executed without being counted:
// tests of at-most-once calls rely on the count.
func TestRuns(t *testing.T) {
	for name, test := range map[string]struct {
		fault     string
		method    string
		runs      int
		responded bool
	}{
		"post":                      {"", http.MethodPost, 1, true},
		"get":                       {"", http.MethodGet, 0, true},
		"closed after reading":      {faults.CloseAfterRead, http.MethodPost, 1, false},
		"closed before reading":     {faults.CloseBeforeRead, http.MethodPost, 0, false},
		"fault for another request": {faults.CloseAfterRead + "/other", http.MethodPost, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := options.Service{Services: []string{"bookings"}}
			if kind, marker, _ := strings.Cut(test.fault, "/"); kind != "" {
				o.Faults = []options.Fault{{Kind: kind, Marker: marker}}
			}
			server := httptest.NewServer(service.New(o).Handler())
			defer server.Close()
			request, err := http.NewRequest(test.method, server.URL+"/shops/7/bookings", strings.NewReader(`{"reference":"b-1"}`))
			is.NoErr(err)
			request.Header.Set(endpoint.HeaderRequestID, "r-1")
			// Without keep-alive: the transport retries a request whose idle connection was closed.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(request)
			is.Equal(err == nil, test.responded)
			if err == nil {
				is.NoErr(response.Body.Close())
			}
			response, err = http.Get(server.URL + "/platform/runs")
			is.NoErr(err)
			payload, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			var runs service.Runs
			is.NoErr(json.Unmarshal(payload, &runs))
			is.Equal(runs.Requests["r-1"], test.runs)
			is.Equal(runs.References["b-1"], test.runs)
		})
	}
}
