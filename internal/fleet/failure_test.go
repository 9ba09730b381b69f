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

// Guards against a planned stop that cuts a request in flight: each kind of process is stopped while
// callers stream, and no request may fail.
func TestGracefulStopCutsNothing(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{controls: 3, entries: 4, engines: 4, services: 2})
	streams := d.startStreams(12)
	for _, name := range []string{"entry-1", "engine-2", "service-0", fmt.Sprint("control-", d.leader()), "entry-3", "engine-0"} {
		if err := d.stop(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	is.True(streams.end() > 12) // the callers worked while the processes stopped
	d.awaitMemory()
}

// Guards against requests that fail, grants that are cancelled and memory that is lost when the number of a
// model's cells changes while callers stream.
func TestCellsChangeUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, size{controls: 3, entries: 4, engines: 6, services: 1})
	streams := d.startStreams(12)
	for i := range 2 {
		streams.group.Go(func() {
			// A group, which needs more than one engine.
			prompt := fmt.Sprint("group ", i) + strings.Repeat("oak ", 450_000)
			if a := d.complete(context.Background(), d.callers[i], prompt, 400); a.err != nil {
				streams.results <- a.err.Error()
			}
		})
	}
	for _, replicas := range []int{64, 128, 1} {
		d.submit(configuration.Change{Model: &configuration.Model{Name: model, Version: "v1", Replicas: replicas, MaxContext: 1_200_000}})
		wait(4 * time.Second)
	}
	is.True(streams.end() > 12)
	d.awaitMemory()
}

// streams are callers that stream one completion after the other. A result is empty or a failure.
type streams struct {
	t       testing.TB
	cancel  context.CancelFunc
	group   sync.WaitGroup
	results chan string
}

func (d *deployment) startStreams(callers int) *streams {
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(cancel)
	s := &streams{t: d.t, cancel: cancel, results: make(chan string, 1024)}
	for i := range callers {
		s.group.Go(func() { stream(ctx, &caller{d: d}, i, s.results) })
	}
	return s
}

// end lets the callers finish what they stream, reports failures and returns the number of results.
func (s *streams) end() (count int) {
	s.cancel()
	s.group.Wait()
	close(s.results)
	for result := range s.results {
		count++
		if result != "" {
			s.t.Error(result)
		}
	}
	return count
}

// stream sends completions, one after the other, until ctx ends; the last one is finished.
func stream(ctx context.Context, c *caller, seed int, results chan<- string) {
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("caller %d asks %d ", seed, n) + strings.Repeat("saw ", 500)
		a := firstReachable(c, func(address string) answer {
			return c.d.complete(context.Background(), address, prompt, 40)
		})
		if a.err != nil {
			results <- fmt.Sprintf("caller %d, request %d: %v", seed, n, a.err)
			continue
		}
		results <- ""
	}
}

// firstReachable tries the caller's addresses in order while no connection can be made: nothing was
// sent then.
func firstReachable(c *caller, call func(address string) answer) answer {
	last := answer{err: errors.New("no address")}
	for _, address := range c.list() {
		last = call(address)
		var dial *net.OpError
		if errors.As(last.err, &dial) && dial.Op == "dial" {
			continue
		}
		return last
	}
	return last
}

// Guards against a booking that runs twice, or that ran although the last answer said that it did
// not: entries, services and control leaders are killed while callers book and resend through other
// entries. A system that claims nothing, or gives a claim to the next request after a timeout, fails it.
func TestUnrepeatableRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{controls: 3, entries: 3, engines: 1, services: 3})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	final := make(map[string]answer)
	var bookers sync.WaitGroup
	for i := range 8 {
		random := rand.New(rand.NewPCG(20261204, uint64(i)))
		bookers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				reference := fmt.Sprintf("job-%d-%d", i, n)
				a := d.book(reference, random)
				mu.Lock()
				final[reference] = a
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
			// A killed service loses its own count; a frozen one keeps it.
			d.signal(name, syscall.SIGSTOP)
			wait(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			d.signal(name, syscall.SIGCONT)
			continue
		}
		d.killOne(name)
		wait(time.Duration(random.IntN(1500)) * time.Millisecond)
		d.restart(name)
	}
	cancel()
	bookers.Wait()
	wait(time.Second)
	runs := d.runs()
	done := 0
	for reference, a := range final {
		switch count := runs[reference]; {
		case count > 1:
			t.Errorf("%s ran %d times", reference, count)
		case count == 1 && a.outcome == "did-not-run":
			t.Errorf("%s ran and the last answer says that it did not: %s", reference, a.body)
		case count == 0 && a.err == nil:
			t.Errorf("%s was answered and did not run", reference)
		case count == 1:
			done++
		}
	}
	is.True(done > 0)
	t.Logf("%d of %d bookings ran once", done, len(final))
}

// wait pauses between two faults; the verdict does not depend on its length.
func wait(d time.Duration) {
	<-time.After(d)
}

// book sends a booking and resends it through random entries until it has a final answer.
func (d *deployment) book(reference string, random *rand.Rand) answer {
	body := `{"reference":"` + reference + `"}`
	header := map[string]string{"Idempotency-Key": reference, "X-Time-Limit": "5"}
	var last answer
	for range 4 {
		address := d.callers[random.IntN(len(d.callers))]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		a := d.call(ctx, address, http.MethodPost, "/v1/services/"+service+"/jobs", body, header)
		cancel()
		if a.status != 0 {
			last = a
		}
		if a.err == nil {
			return a
		}
		// An answer that never came says nothing, so an earlier one does not stand.
		if a.status == 0 {
			last = answer{err: a.err}
		}
		wait(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	return last
}

// Guards against requests that hang, and memory that is lost, when entries are frozen or killed while
// they dispatch and stream.
func TestFrozenAndKilledEntries(t *testing.T) {
	t.Parallel()
	d := deploy(t, size{controls: 3, entries: 3, engines: 3, services: 1})
	for _, fault := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"entry-0", syscall.SIGSTOP},
		{"entry-1", syscall.SIGKILL},
		{"entry-2", syscall.SIGSTOP},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		var requests sync.WaitGroup
		for i := range 9 {
			address := d.callers[i%len(d.callers)]
			requests.Go(func() {
				prompt := fmt.Sprintf("%s %d ", fault.name, i) + strings.Repeat("saw ", 40_000)
				a := d.complete(ctx, address, prompt, 30)
				// Requests through the faulty entry may fail; the others must be answered or refused.
				if a.err != nil && a.status == 0 && address != d.callers[index(fault.name)] {
					t.Errorf("request through %s while %s is faulty: %v", address, fault.name, a.err)
				}
			})
		}
		wait(300 * time.Millisecond)
		d.signal(fault.name, fault.signal)
		wait(4 * time.Second)
		if fault.signal == syscall.SIGSTOP {
			d.signal(fault.name, syscall.SIGCONT)
		} else {
			_ = d.wait(fault.name)
			d.restart(fault.name)
			// The next round counts a refused connection to this entry as a fault of another one.
			d.eventually("the restart of "+fault.name, func() bool {
				return d.call(ctx, d.callers[index(fault.name)], http.MethodGet, "/v1/models", "", nil).status != 0
			})
		}
		requests.Wait()
		cancel()
		d.awaitMemory()
	}
}

func index(name string) int {
	var i int
	_, _ = fmt.Sscanf(name[strings.LastIndex(name, "-"):], "-%d", &i)
	return i
}

// Guards against a configuration that reverts: after hundreds of changes, with leaders killed and
// frozen between them and all control instances killed at once, the last accepted revision is what a
// query returns and what each entry serves under.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, size{controls: 3, entries: 2, engines: 1, services: 1})
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
	d.killOne(fmt.Sprint("control-", d.leader()))
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
		d.killOne(fmt.Sprint("control-", i))
	}
	for i := range d.controls {
		d.restart(fmt.Sprint("control-", i))
	}
	var reply control.QueryReply
	d.eventually("an answer after the restart of all", func() bool {
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

// Guards against a request that takes down the whole fleet: it is sent again and again through all
// entries, crashes at most two engines, and what ran beside it is answered.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{controls: 3, entries: 2, engines: 4, services: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	var innocents sync.WaitGroup
	for i := range 6 {
		innocents.Go(func() {
			for n := range 5 {
				a := d.complete(ctx, d.callers[i%2], fmt.Sprintf("innocent %d %d ", i, n)+strings.Repeat("saw ", 2000), 20)
				if a.err != nil {
					t.Errorf("innocent request: %v", a.err)
				}
			}
		})
	}
	refused := false
	for n := 0; n < 40 && !refused; n++ {
		a := d.complete(ctx, d.callers[n%2], "CRASHES-ENGINES "+strings.Repeat("saw ", 1000), 5)
		is.True(a.err != nil)
		refused = strings.Contains(a.body, "quarantined")
		wait(200 * time.Millisecond)
	}
	innocents.Wait()
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

// Guards against a spending limit that concurrent entries exceed, or that strands most of itself, when
// entries are killed while they hold slices of it. Entries that count on their own would spend the limit
// once each.
func TestSpendingLimitHolds(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{controls: 3, entries: 3, engines: 2, services: 1})
	// The prompts have 100 tokens and the completions 5. What awaitReady spent counts as well.
	const cost, limit = 105 * tokenPrice, 200 * 105 * tokenPrice
	d.submit(workspaceWithLimit(limit))
	var mu sync.Mutex
	answered := 0
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() {
			refusals := 0
			for n := 0; refusals < 5 && n < 500; n++ {
				prompt := fmt.Sprintf("%08d%08d", i, n) + strings.Repeat("saw ", 96)
				a := d.complete(context.Background(), d.callers[(i+n)%len(d.callers)], prompt, 5)
				mu.Lock()
				switch {
				case a.err == nil:
					answered++
				case a.status == http.StatusPaymentRequired:
					refusals++
				}
				mu.Unlock()
			}
		})
	}
	wait(300 * time.Millisecond)
	d.killOne("entry-1")
	d.restart("entry-1")
	callers.Wait()
	t.Logf("%d answers of %d micro-cents, limit %d", answered, cost, limit)
	is.True(answered*cost <= limit)
	is.True(answered*cost >= limit/2)
}
