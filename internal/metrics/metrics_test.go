package metrics_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/metrics"
)

// Guards against output that a Prometheus scraper rejects: series of one name that are not
// adjacent, missing types, unescaped label values.
func TestWriteText(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	r.Counter("requests_total", "outcome", "ok").Inc(2)
	r.Counter("requests_total_other").Inc(1)
	r.Counter("requests_total", "outcome", `a"b`).Inc(1)
	r.Gauge("in_flight").Update(7)
	r.GaugeFunc("age", func() int64 { return 9 })
	r.Histogram("wait", "class", "short").Update(4)
	var out strings.Builder
	is.NoErr(r.WriteText(&out))
	is.Equal(out.String(), `# TYPE age gauge
age 9
# TYPE in_flight gauge
in_flight 7
# TYPE requests_total counter
requests_total{outcome="a\"b"} 1
requests_total{outcome="ok"} 2
# TYPE requests_total_other counter
requests_total_other 1
# TYPE wait summary
wait{class="short",quantile="0.5"} 4
wait{class="short",quantile="0.9"} 4
wait{class="short",quantile="0.99"} 4
wait_sum{class="short"} 4
wait_count{class="short"} 1
`)
}

// Guards against a process that is reported ready while it refuses work, or dead while it drains.
func TestHandler(t *testing.T) {
	draining := errors.New("draining")
	for name, test := range map[string]struct {
		path  string
		ready error
		want  int
	}{
		"ready":              {"/ready", nil, http.StatusOK},
		"draining":           {"/ready", draining, http.StatusServiceUnavailable},
		"alive and draining": {"/health", draining, http.StatusOK},
		"metrics":            {"/metrics", draining, http.StatusOK},
		"unknown path":       {"/nothing", nil, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handler := metrics.Handler(metrics.HandlerConfig{
				Registry: metrics.NewRegistry(),
				Ready:    func() error { return test.ready },
			})
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, test.path, nil))
			is.Equal(recorder.Code, test.want)
		})
	}
}
