package placement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// fakeFleet has one service with the given engines.
type fakeFleet struct{ records []registration.Record }

func (f fakeFleet) Engine(string) (routing.Engine, bool) { return testEngine(), true }

func (f fakeFleet) Endpoints(string) ([]registration.Record, uint64) {
	return f.records, uint64(len(f.records))
}

// growingFleet is a fleet whose engines change.
type growingFleet struct {
	mu      sync.Mutex
	current fakeFleet
}

func (f *growingFleet) Engine(string) (routing.Engine, bool) { return testEngine(), true }

func (f *growingFleet) Endpoints(service string) ([]registration.Record, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.Endpoints(service)
}

func (f *growingFleet) set(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.records = engines(count)
}

// network calls dispatchers by address; those that are down do not reply.
type network struct {
	services map[string]*Service
	mu       sync.Mutex
	down     map[string]bool
}

func (n *network) set(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

func (n *network) isDown(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[address]
}

var errDown = errors.New("no reply")

func (n *network) Call(ctx context.Context, address, _ string, args, reply any) error {
	if n.isDown(address) {
		<-ctx.Done()
		return errDown
	}
	if request, ok := args.(ReserveRequest); ok {
		return n.services[address].Reserve(request, reply.(*ReserveReply))
	}
	return n.services[address].Report(args.(ReportRequest), reply.(*ReportReply))
}

func startClient(t *testing.T, instance string, n *network, fleet Fleet) *Client {
	return startClientOf(t, instance, n, fleet, func(Cell) []Dispatcher { return []Dispatcher{{"a", "a"}, {"b", "b"}} })
}

func startClientOf(t *testing.T, instance string, n *network, fleet Fleet, dispatchers func(Cell) []Dispatcher) *Client {
	c := NewClient(ClientConfig{
		Instance: instance, Local: NewService(ServiceConfig{Fleet: fleet, Logger: zap.NewNop()}), Fleet: fleet, Caller: n, Logger: zap.NewNop(),
		Dispatchers: dispatchers,
	})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-end
	})
	return c
}

func jobsAt(s *Service) int {
	count := 0
	s.schedulers.forEach(func(_ time.Time, s *Scheduler) { count += s.Running() })
	return count
}

// Guards against a dispatcher that takes over and places jobs as if nothing were running, and against one that becomes
// active again and still counts jobs that ended in the meantime.
func TestDispatchersTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeFleet{engines(4)}
		n := &network{services: map[string]*Service{"a": NewService(ServiceConfig{Fleet: fleet, Logger: zap.NewNop()}), "b": NewService(ServiceConfig{Fleet: fleet, Logger: zap.NewNop()})}, down: map[string]bool{}}
		entries := []*Client{startClient(t, "entry-1", n, fleet), startClient(t, "entry-2", n, fleet)}
		reserve := func(entry, id int) Job {
			j := short(fmt.Sprint(entry, "-", id))
			j.Left = time.Minute
			reply, err := entries[entry].Reserve(t.Context(), j)
			is.NoErr(err)
			is.Equal(reply.Status, Granted)
			return j
		}
		first := []Job{reserve(0, 0), reserve(1, 0)}
		time.Sleep(100 * time.Millisecond)
		is.Equal(jobsAt(n.services["a"]), 2)
		is.Equal(jobsAt(n.services["b"]), 2) // b is the standby and knows both jobs

		n.set("a", true)
		reserve(0, 1)
		time.Sleep(100 * time.Millisecond)
		is.Equal(jobsAt(n.services["b"]), 3)
		entries[0].Report(Event{Type: Finished, Job: first[0]})
		time.Sleep(100 * time.Millisecond)
		is.Equal(jobsAt(n.services["b"]), 2)

		n.set("a", false)
		time.Sleep(100 * time.Millisecond)
		reserve(0, 2)
		time.Sleep(100 * time.Millisecond)
		is.Equal(jobsAt(n.services["b"]), 3) // b stays active until a knows all running jobs
		time.Sleep(maxDispatcherBackOff + syncTime + 2*fullReportInterval)
		reserve(0, 3)
		reserve(1, 1)
		time.Sleep(3 * time.Second)
		is.Equal(jobsAt(n.services["a"]), 5)
		is.Equal(jobsAt(n.services["b"]), 5)
		is.Equal(entries[0].active[Cell{Service: "model", Count: 1}].dispatcher.Instance, "a")
	})
}

// Guards against requests that wait for dispatchers although none is reachable.
func TestEntryDecidesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeFleet{engines(4)}
		n := &network{down: map[string]bool{"a": true, "b": true}}
		c := startClient(t, "entry", n, fleet)
		started := time.Now()
		reply, err := c.Reserve(t.Context(), short("j"))
		is.NoErr(err)
		is.Equal(reply.Status, Granted)
		is.True(time.Since(started) <= 2*dispatchTimeout)
		started = time.Now()
		_, err = c.Reserve(t.Context(), short("k"))
		is.NoErr(err)
		is.Equal(time.Since(started), time.Duration(0)) // both are skipped during back-off
	})
}

// runningByCell returns the number of jobs that the schedulers of a number of cells count.
func runningByCell(s *Service, count int) (jobs int) {
	s.schedulers.mu.Lock()
	defer s.schedulers.mu.Unlock()
	for cell, versioned := range s.schedulers.byCell {
		if cell.Count == count {
			jobs += versioned.scheduler.Running()
		}
	}
	return jobs
}

// Guards against cells that place jobs as if nothing were running after the number of cells has changed, and against jobs
// whose end only the cells of before learn.
func TestJobsFollowTheNumberOfCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &growingFleet{current: fakeFleet{engines(70)}}
		dispatcher := func() *Service { return NewService(ServiceConfig{Fleet: fleet, Logger: zap.NewNop()}) }
		n := &network{services: map[string]*Service{"a": dispatcher(), "b": dispatcher()}, down: map[string]bool{}}
		entry := startClient(t, "entry", n, fleet)
		jobs := make([]Job, 0, 12)
		for i := range 12 {
			j := short(fmt.Sprint("j", i))
			if i < 2 {
				j = long(fmt.Sprint("j", i), 300_000)
			}
			j.Left = time.Minute
			reply, err := entry.Reserve(t.Context(), j)
			is.NoErr(err)
			is.Equal(reply.Status, Granted)
			jobs = append(jobs, j)
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(runningByCell(n.services["a"], 1), 12)
		for _, count := range []int{170, 70} {
			fleet.set(count)
			time.Sleep(2 * fullReportInterval)
			cells := CellCount(count)
			is.True(runningByCell(n.services["a"], cells) >= 12) // a divided prompt may count in several cells
			is.True(runningByCell(n.services["b"], cells) >= 12) // the standby
		}
		for _, j := range jobs {
			entry.Report(Event{Type: Finished, Job: j, Endpoint: "e00"})
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(runningByCell(n.services["a"], 1), 0)
		is.Equal(runningByCell(n.services["b"], 1), 0)
	})
}

// Guards against an entry that asks the dispatcher of one cell for engines of another one, where it only stands by, because
// it already reports to it.
func TestEachCellHasItsDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeFleet{engines(100)}
		n := &network{services: make(map[string]*Service), down: map[string]bool{}}
		for _, name := range []string{"d0", "d1", "d2"} {
			n.services[name] = NewService(ServiceConfig{Fleet: fleet, Logger: zap.NewNop()})
		}
		entry := startClientOf(t, "entry", n, fleet, func(cell Cell) []Dispatcher {
			if cell.Index == 0 {
				return []Dispatcher{{"d0", "d0"}, {"d1", "d1"}}
			}
			return []Dispatcher{{"d2", "d2"}, {"d0", "d0"}}
		})
		for i := range 8 {
			job := short(fmt.Sprint("j", i))
			job.Cell = Cell{Service: "model", Index: 0, Count: 2}
			entry.requestPlacement(t.Context(), job)
			time.Sleep(time.Second) // long enough for d0 and d1 to know all jobs of the first cell
		}
		job := short("k")
		job.Cell = Cell{Service: "model", Index: 1, Count: 2}
		_, decidedBy := entry.requestPlacement(t.Context(), job)
		is.Equal(decidedBy, "d2")
		job.ID, job.Cell.Index = "l", 0
		_, decidedBy = entry.requestPlacement(t.Context(), job)
		is.Equal(decidedBy, "d0")
	})
}

// Guards against a dispatcher that replaces the others of its cell, as after a cut between instances, and places jobs as if
// nothing were running, because entries tell it only with their next request.
func TestJobsFollowTheDispatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := fakeFleet{engines(4)}
		n := &network{services: make(map[string]*Service), down: map[string]bool{}}
		for _, name := range []string{"a", "b", "c", "d"} {
			n.services[name] = NewService(ServiceConfig{Fleet: fleet, Logger: zap.NewNop()})
		}
		var moved atomic.Bool
		dispatchers := func(Cell) []Dispatcher {
			if moved.Load() {
				return []Dispatcher{{"c", "c"}, {"d", "d"}}
			}
			return []Dispatcher{{"a", "a"}, {"b", "b"}}
		}
		entries := []*Client{startClientOf(t, "entry-1", n, fleet, dispatchers), startClientOf(t, "entry-2", n, fleet, dispatchers)}
		jobs := []Job{short("j0"), short("j1")}
		for i, entry := range entries {
			jobs[i].Left = time.Minute
			reply, err := entry.Reserve(t.Context(), jobs[i])
			is.NoErr(err)
			is.Equal(reply.Status, Granted)
		}
		moved.Store(true)
		time.Sleep(2 * followInterval)
		is.Equal(jobsAt(n.services["c"]), 2)
		is.Equal(jobsAt(n.services["d"]), 2)
		entries[0].Report(Event{Type: Finished, Job: jobs[0], Endpoint: "e00"})
		time.Sleep(2 * followInterval)
		is.Equal(jobsAt(n.services["c"]), 1)
	})
}
