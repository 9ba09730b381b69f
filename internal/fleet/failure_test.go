package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/control"
)

// Guards against a graceful stop that aborts a request in flight: each kind of process is stopped while
// callers stream, and no request may fail.
func TestGracefulStopCutsNothing(t *testing.T) {
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 4, engines: 4, services: 2})
	streams := d.startStreams(12)
	for _, name := range []string{"entry-1", "engine-2", "service-0", fmt.Sprint("control-", d.leader()), "entry-3", "engine-0"} {
		if err := d.stop(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	is.True(streams.end() > 12) // requests completed while the processes stopped
	d.awaitMemoryReleased()
}

// Guards against failed requests, cancelled grants and leaked memory when the number of a model's cells
// changes while callers stream.
func TestCellsChangeUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 4, engines: 6, services: 1})
	streams := d.startStreams(12)
	for i := range 2 {
		streams.group.Go(func() {
			// A group, which needs more than one engine.
			prompt := fmt.Sprint("group ", i) + strings.Repeat("oak ", 450_000)
			if result := d.complete(context.Background(), d.callers[i], prompt, 400); result.err != nil {
				streams.results <- result.err.Error()
			}
		})
	}
	for _, replicas := range []int{64, 128, 1} {
		d.submit(configuration.Change{Model: &configuration.Model{Name: model, Version: "v1", Replicas: replicas, MaxContext: 1_200_000}})
		pause(4 * time.Second)
	}
	is.True(streams.end() > 12)
	d.awaitMemoryReleased()
}

// streams are callers that each stream one completion after another. A result is the text of a failure, or
// empty for success.
type streams struct {
	t       testing.TB
	cancel  context.CancelFunc
	group   sync.WaitGroup
	results chan string
	// collected has all results once the channel is closed. Callers that are refused at once make thousands of them.
	collected chan []string
}

func (d *deployment) startStreams(callers int) *streams {
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(cancel)
	s := &streams{t: d.t, cancel: cancel, results: make(chan string), collected: make(chan []string, 1)}
	go func() {
		var results []string
		for result := range s.results {
			results = append(results, result)
		}
		s.collected <- results
	}()
	for i := range callers {
		s.group.Go(func() { stream(ctx, &caller{d: d}, i, s.results) })
	}
	return s
}

// end lets the callers finish their current streams, reports failures and returns the number of results.
func (s *streams) end() (count int) {
	s.cancel()
	s.group.Wait()
	close(s.results)
	results := <-s.collected
	for _, result := range results {
		if result != "" {
			s.t.Error(result)
		}
	}
	return len(results)
}

// stream sends completions one after another until ctx ends, and finishes the last one.
func stream(ctx context.Context, c *caller, seed int, results chan<- string) {
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("caller %d asks %d ", seed, n) + strings.Repeat("saw ", 500)
		result := firstReachable(c, func(address string) callResult {
			return c.d.complete(context.Background(), address, prompt, 40)
		})
		if result.err != nil {
			results <- fmt.Sprintf("caller %d, request %d: %v", seed, n, result.err)
			continue
		}
		results <- ""
	}
}

// firstReachable tries the caller's addresses in order until a connection succeeds. A failed connection is
// safe to retry, since nothing was sent.
func firstReachable(c *caller, call func(address string) callResult) callResult {
	last := callResult{err: errors.New("no address")}
	for _, address := range c.currentAddresses() {
		last = call(address)
		var dial *net.OpError
		if errors.As(last.err, &dial) && dial.Op == "dial" {
			continue
		}
		return last
	}
	return last
}

// Guards against a booking that runs twice, or that ran although the last response said that it did not:
// entries and control leaders are killed and services are frozen while callers book and resend through
// other entries. A system without claims, or one that hands a claim to the next request after a timeout,
// fails the test.
func TestUnrepeatableRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 3, engines: 1, services: 3})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	finalResults := make(map[string]callResult)
	var bookers sync.WaitGroup
	for i := range 8 {
		random := rand.New(rand.NewPCG(20261204, uint64(i)))
		bookers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				reference := fmt.Sprintf("job-%d-%d", i, n)
				result := d.book(reference, random)
				mu.Lock()
				finalResults[reference] = result
				mu.Unlock()
			}
		})
	}
	random := rand.New(rand.NewPCG(20261204, 99))
	for range 6 {
		name := []string{
			fmt.Sprint("entry-", random.IntN(3)),
			fmt.Sprint("service-", 1+random.IntN(2)),
			fmt.Sprint("control-", d.leader()),
		}[random.IntN(3)]
		if strings.HasPrefix(name, "service") {
			// Services are frozen and not killed: a killed service would lose its run counts.
			d.signal(name, syscall.SIGSTOP)
			pause(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			d.signal(name, syscall.SIGCONT)
			continue
		}
		d.kill(name)
		pause(time.Duration(random.IntN(1500)) * time.Millisecond)
		d.restart(name)
	}
	cancel()
	bookers.Wait()
	pause(time.Second)
	runs := d.runCounts()
	ranOnce := 0
	for reference, result := range finalResults {
		switch count := runs[reference]; {
		case count > 1:
			t.Errorf("%s ran %d times", reference, count)
		case count == 1 && result.outcome == "did-not-run":
			t.Errorf("%s ran but the last response says that it did not: %s", reference, result.body)
		case count == 0 && result.err == nil:
			t.Errorf("%s succeeded but did not run", reference)
		case count == 1:
			ranOnce++
		}
	}
	is.True(ranOnce > 0)
	t.Logf("%d of %d bookings ran once", ranOnce, len(finalResults))
}

// pause waits between two faults; the test result does not depend on its length.
func pause(d time.Duration) {
	<-time.After(d)
}

// book sends a booking and resends it through random entries until it succeeds, at most three times.
func (d *deployment) book(reference string, random *rand.Rand) callResult {
	body := `{"reference":"` + reference + `"}`
	header := map[string]string{"Idempotency-Key": reference, "X-Time-Limit": "5"}
	var last callResult
	for range 4 {
		address := d.callers[random.IntN(len(d.callers))]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		result := d.call(ctx, address, http.MethodPost, "/v1/services/"+service+"/jobs", body, header)
		cancel()
		if result.status != 0 {
			last = result
		}
		if result.err == nil {
			return result
		}
		// Without a response, the outcome is unknown, so an earlier response no longer counts.
		if result.status == 0 {
			last = callResult{err: result.err}
		}
		pause(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	return last
}

// Guards against requests that hang, and memory that leaks, when entries are frozen or killed while
// they dispatch and stream.
func TestFrozenAndKilledEntries(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentSize{controls: 3, entries: 3, engines: 3, services: 1})
	for _, fault := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"entry-0", syscall.SIGSTOP},
		{"entry-1", syscall.SIGKILL},
		{"entry-2", syscall.SIGSTOP},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		var requests sync.WaitGroup
		for i := range 9 {
			address := d.callers[i%len(d.callers)]
			requests.Go(func() {
				prompt := fmt.Sprintf("%s %d ", fault.name, i) + strings.Repeat("saw ", 40_000)
				result := d.complete(ctx, address, prompt, 30)
				// Requests through the faulty entry may fail; the others must get a response or an error response.
				if result.err != nil && result.status == 0 && address != d.callers[processIndex(fault.name)] {
					t.Errorf("request through %s while %s is faulty: %v", address, fault.name, result.err)
				}
			})
		}
		pause(300 * time.Millisecond)
		d.signal(fault.name, fault.signal)
		pause(4 * time.Second)
		if fault.signal == syscall.SIGSTOP {
			d.signal(fault.name, syscall.SIGCONT)
		} else {
			_ = d.awaitExit(fault.name)
			d.restart(fault.name)
			// The next round would report a connection refused by this entry as a failure of a healthy one.
			d.eventually("the restart of "+fault.name, func() bool {
				return d.call(ctx, d.callers[processIndex(fault.name)], http.MethodGet, "/v1/models", "", nil).status != 0
			})
		}
		requests.Wait()
		cancel()
		d.awaitMemoryReleased()
	}
}

// processIndex returns the number at the end of a process name, such as 2 for entry-2.
func processIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name[strings.LastIndex(name, "-"):], "-%d", &i)
	return i
}

// Guards against a configuration that reverts: after hundreds of changes, with leaders killed and frozen in
// between and finally all control instances killed, a query must return the last accepted revision and all
// entries must serve.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 2, engines: 1, services: 1})
	last := uint64(0)
	change := func(n int) {
		revision := d.submit(configuration.Change{Model: &configuration.Model{Name: "probe", Replicas: n}})
		if revision <= last {
			t.Fatalf("revision %d was accepted after %d", revision, last)
		}
		last = revision
	}
	for n := range 120 {
		change(n)
	}
	d.kill(fmt.Sprint("control-", d.leader()))
	for n := range 60 {
		change(1000 + n)
	}
	for name, p := range d.processes {
		if p.command == nil {
			d.restart(name)
		}
	}
	frozen := fmt.Sprint("control-", d.leader())
	d.signal(frozen, syscall.SIGSTOP)
	for n := range 60 {
		change(2000 + n)
	}
	d.signal(frozen, syscall.SIGCONT)
	change(3000)
	for i := range d.controls {
		d.kill(fmt.Sprint("control-", i))
	}
	for i := range d.controls {
		d.restart(fmt.Sprint("control-", i))
	}
	var reply control.QueryReply
	d.eventually("a reply after the restart of all control instances", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		reply, err = d.client.Query(ctx, control.QueryRequest{Configuration: true})
		return err == nil
	})
	is.Equal(reply.Revision, last)
	is.Equal(reply.Configuration.Models["probe"].Replicas, 3000)
	change(4000)
	d.awaitReady()
}

// Guards against a request that crashes all engines: it is sent repeatedly through all entries and may
// crash at most two engines, and concurrent requests must succeed.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 2, engines: 4, services: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 2*eventTimeout)
	defer cancel()
	var otherRequests sync.WaitGroup
	for i := range 6 {
		otherRequests.Go(func() {
			for n := range 5 {
				result := d.complete(ctx, d.callers[i%2], fmt.Sprintf("innocent %d %d ", i, n)+strings.Repeat("saw ", 2000), 20)
				if result.err != nil {
					t.Errorf("another request: %v", result.err)
				}
			}
		})
	}
	refused := false
	for n := 0; n < 40 && !refused; n++ {
		result := d.complete(ctx, d.callers[n%2], "CRASHES-ENGINES "+strings.Repeat("saw ", 1000), 5)
		is.True(result.err != nil)
		refused = strings.Contains(result.body, "quarantined")
		pause(200 * time.Millisecond)
	}
	otherRequests.Wait()
	is.True(refused)
	crashed := 0
	for i := range d.engines {
		if d.processes[fmt.Sprint("engine-", i)].command.Process.Signal(syscall.Signal(0)) != nil || d.exited(i) {
			crashed++
		}
	}
	is.True(crashed <= 2)
}

// exited reports whether an engine no longer accepts connections.
func (d *deployment) exited(engine int) bool {
	conn, err := net.DialTimeout("tcp", d.engines[engine], time.Second)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// Guards against a spending limit that concurrent entries exceed, or of which most becomes unusable, when
// an entry is killed while it holds a slice of it. Entries that counted independently would each spend the
// whole limit.
func TestSpendingLimitHolds(t *testing.T) {
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 3, engines: 2, services: 1})
	// The prompts have 100 tokens and the completions 5. The requests of awaitReady count as well.
	const cost, limit = 105 * tokenPrice, 200 * 105 * tokenPrice
	d.submit(workspaceWithLimit(limit))
	var mu sync.Mutex
	completed := 0
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() {
			refusals := 0
			for n := 0; refusals < 5 && n < 500; n++ {
				prompt := fmt.Sprintf("%08d%08d", i, n) + strings.Repeat("saw ", 96)
				result := d.complete(context.Background(), d.callers[(i+n)%len(d.callers)], prompt, 5)
				mu.Lock()
				switch {
				case result.err == nil:
					completed++
				case result.status == http.StatusPaymentRequired:
					refusals++
				}
				mu.Unlock()
			}
		})
	}
	pause(300 * time.Millisecond)
	d.kill("entry-1")
	d.restart("entry-1")
	callers.Wait()
	t.Logf("%d completions at %d micro-cents, limit %d", completed, cost, limit)
	is.True(completed*cost <= limit)
	is.True(completed*cost >= limit/2)
}
