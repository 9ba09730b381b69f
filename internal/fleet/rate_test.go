package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request rate that each entry process grants in full: three entries would admit a burst
// of 60 requests where 20 are allowed.
func TestRequestRateHoldsOverEntries(t *testing.T) {
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 3, engines: 1, services: 1})
	const rate, requests = 20, 300
	change := workspaceWithLimit(-1)
	change.Workspace.RequestRate = rate
	d.submit(change)
	var admitted atomic.Int64
	var callers sync.WaitGroup
	began := time.Now()
	for i := range 6 {
		callers.Go(func() {
			for n := range requests / 6 {
				result := d.call(context.Background(), d.callers[(i+n)%len(d.callers)], http.MethodGet, "/v1/models", "", nil)
				if result.err == nil {
					admitted.Add(1)
				}
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(began).Seconds()
	answered, local := 0, 0
	for i := range d.callers {
		answered += d.counter(i, `entry_rate_slices_total{outcome="answered"}`)
		local += d.counter(i, "entry_rate_local_share_total")
	}
	t.Logf("%d of %d admitted in %.2f s, %d slices from other entries, %d by local shares", admitted.Load(), requests, elapsed, answered, local)
	is.True(answered > 0)
	is.True(admitted.Load() >= rate)
	// Entries use local shares only when another entry does not reply in time, as on a stalled machine.
	is.True(float64(admitted.Load()) <= rate*elapsed+rate+float64(len(d.callers)+local))
}

var metricsAddress = regexp.MustCompile(`"metrics":"([^"]+)"`)

// counter reads a counter from the metrics of an entry; a counter that is not listed is 0.
func (d *deployment) counter(entry int, name string) int {
	d.t.Helper()
	log, err := os.ReadFile(filepath.Join(d.directory, fmt.Sprintf("entry-%d.log", entry)))
	is.New(d.t).NoErr(err)
	address := metricsAddress.FindSubmatch(log)
	if address == nil {
		d.t.Fatalf("entry %d has not logged its metrics address", entry)
	}
	text := d.call(context.Background(), string(address[1]), http.MethodGet, "/metrics", "", nil).body
	value := regexp.MustCompile("(?m)^" + regexp.QuoteMeta(name) + ` (\d+)$`).FindStringSubmatch(text)
	if value == nil {
		return 0
	}
	count, err := strconv.Atoi(value[1])
	is.New(d.t).NoErr(err)
	return count
}
