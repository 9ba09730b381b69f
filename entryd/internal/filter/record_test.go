package filter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// Guards against a refusal that a caller does not get because the connection is reset while it still
// sends the body. net/http does not read the rest of a body on a connection that it will close.
func TestRefusalReachesSender(t *testing.T) {
	is := is.New(t)
	refuse := func(http.ResponseWriter, *http.Request, *exchange.Exchange) error {
		return refusal.New(http.StatusServiceUnavailable, "lease-expired", refusal.DidNotRun, "no lease")
	}
	record := Record(RecordConfig{Access: zap.NewNop(), Metrics: metrics.NewRegistry(), Draining: func() bool { return false }})
	server := httptest.NewServer(record(refuse))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	body := strings.Repeat("saw ", 256<<10) // 1 MiB
	for range 5 {
		response, err := client.Post(server.URL, "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	}
}
