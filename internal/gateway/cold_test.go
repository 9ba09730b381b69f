package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Guards against requests of many entries to cold endpoints of a plain service, which has no dispatcher that could limit
// them, and against services without a limit that are refused.
func TestColdEndpointsOfPlainServices(t *testing.T) {
	cold := func(r *registration.Record) { r.Cold = time.Hour }
	limited := func(c *routing.Config) { c.Services[0].ColdRate = 5 }
	unlimited := func(*routing.Config) {}
	cases := map[string]struct {
		declared func(*routing.Config)
		// cold are the endpoints that are cold.
		cold   []string
		status int
		// reached says whether the first endpoint is used.
		reached bool
	}{
		"one is cold":          {limited, []string{"a"}, http.StatusOK, false},
		"all are cold":         {limited, []string{"a", "b"}, http.StatusServiceUnavailable, false},
		"none is cold":         {limited, nil, http.StatusOK, true},
		"no limit is declared": {unlimited, []string{"a", "b"}, http.StatusOK, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"a": respondOK, "b": respondOK}, c.declared)
			for _, id := range c.cold {
				d.changeRecord(t, id, cold)
			}
			for range 20 {
				is.Equal(d.call(t, http.MethodPost, "/read/x", "", nil).StatusCode, c.status)
			}
			is.Equal(d.requestsAt("a") > 0, c.reached)
		})
	}
}
