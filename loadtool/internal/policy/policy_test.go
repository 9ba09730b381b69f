package policy_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/policy"
)

// Guards against baselines that are weaker than their names say, which would make the system look better
// than it is.
func TestChoose(t *testing.T) {
	loads := map[string]endpoint.Load{
		"a": {Running: 3, Queued: 1, QueuedPrefill: 10},
		"b": {Running: 1, Queued: 1, QueuedPrefill: 500},
		"c": {Running: 2, Queued: 5, QueuedPrefill: 20},
	}
	for name, test := range map[string]struct {
		policy string
		want   map[string]bool
		evenly bool
	}{
		"entries in turn":   {policy.Entry, map[string]bool{"a": true, "b": true, "c": true}, true},
		"round robin":       {policy.RoundRobin, map[string]bool{"a": true, "b": true, "c": true}, false},
		"least outstanding": {policy.LeastOutstanding, map[string]bool{"b": true}, false},
		// The engine with the longest prefill queue loses to every other engine.
		"power of two": {policy.PowerOfTwo, map[string]bool{"a": true, "c": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := policy.New(policy.Config{
				Policy: test.policy, Targets: []string{"a", "b", "c"}, Entries: 4, Seed: 1,
				Load: func(address string) endpoint.Load { return loads[address] },
			})
			is.NoErr(err)
			counts := make(map[string]int)
			for range 300 {
				counts[c.Choose()]++
			}
			for address, n := range counts {
				is.True(test.want[address])
				is.True(!test.evenly || n == 100)
			}
			is.Equal(len(counts), len(test.want))
		})
	}
	is := is.New(t)
	_, err := policy.New(policy.Config{Policy: "best"})
	is.True(fault.Is(err, policy.Unknown))
}

// Guards against losing announcements, and against an invalid one that stops the tool.
func TestLoadReports(t *testing.T) {
	is := is.New(t)
	loadReports := policy.NewLoadReports()
	for body, status := range map[string]int{
		`{"address":"a:1","load":{"running":4}}`: http.StatusOK,
		`{`:                                      http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		loadReports.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/platform/announce", strings.NewReader(body)))
		is.Equal(w.Code, status)
	}
	is.Equal(loadReports.EngineCount(), 1)
	is.Equal(loadReports.Load("a:1").Running, 4)
}
