package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// ServiceName is the name under which Service is registered on a peer server.
const ServiceName = "Placement"

// Fleet provides the declared engines and the registered endpoints.
type Fleet interface {
	// Engine returns the declaration of the engines of a service.
	Engine(service string) (routing.Engine, bool)
	// Endpoints returns the endpoints of a service. The version changes whenever a result of Engine or Endpoints does.
	Endpoints(service string) (records []registration.Record, version uint64)
}

// schedulers holds a scheduler for each cell. It is safe for concurrent use.
type schedulers struct {
	fleet Fleet
	// ownJobsOnly says that the schedulers see the requests of this entry only.
	ownJobsOnly bool
	mu          sync.Mutex
	byCell      map[Cell]*versionedScheduler
}

// versionedScheduler is a scheduler with the version of the fleet that it was last updated to.
type versionedScheduler struct {
	scheduler *Scheduler
	version   uint64
	lastUse   time.Time
}

// unusedSchedulerLife is how long the scheduler of a cell is kept that nobody asks, as after a change of the number of
// cells. Its jobs have ended or are known to the new cells by then.
const unusedSchedulerLife = 10 * time.Second

func newSchedulers(fleet Fleet, ownJobsOnly bool) *schedulers {
	return &schedulers{fleet: fleet, ownJobsOnly: ownJobsOnly, byCell: make(map[Cell]*versionedScheduler)}
}

// withScheduler updates the scheduler of a cell to the fleet and runs f on it. It returns false for a service without
// engines.
func (m *schedulers) withScheduler(cell Cell, f func(now time.Time, s *Scheduler)) bool {
	engine, ok := m.fleet.Engine(cell.Service)
	if !ok {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	versioned := m.byCell[cell]
	if versioned == nil {
		m.dropUnused(now)
		versioned = &versionedScheduler{scheduler: NewScheduler(engine)}
		versioned.scheduler.ownJobsOnly = m.ownJobsOnly
		m.byCell[cell] = versioned
	}
	versioned.lastUse = now
	if records, version := m.fleet.Endpoints(cell.Service); version != versioned.version {
		versioned.scheduler.UseEngine(engine)
		versioned.scheduler.Update(now, cell.filter(records))
		versioned.version = version
	}
	f(now, versioned.scheduler)
	return true
}

// dropUnused removes the schedulers that nobody has asked for a while. The caller must hold m.mu.
func (m *schedulers) dropUnused(now time.Time) {
	for cell, versioned := range m.byCell {
		if now.Sub(versioned.lastUse) > unusedSchedulerLife {
			delete(m.byCell, cell)
		}
	}
}

// forEach runs f on all schedulers.
func (m *schedulers) forEach(f func(now time.Time, s *Scheduler)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, versioned := range m.byCell {
		f(now, versioned.scheduler)
	}
}

// ServiceConfig holds the dependencies of a Service.
type ServiceConfig struct {
	Fleet Fleet
	// Peer returns the peer address of an entry.
	Peer   func(instance string) (address string, ok bool)
	Caller Caller
	Logger *zap.Logger
}

// Service is the dispatcher of this instance, called by entries over net/rpc.
type Service struct {
	config      ServiceConfig
	incarnation uint64
	schedulers  *schedulers
	queries     chan entryQuery
}

// NewService returns a dispatcher that knows of no running jobs. Silent entries are queried only while Run is running.
func NewService(config ServiceConfig) *Service {
	return &Service{
		config: config, incarnation: rand.Uint64(), schedulers: newSchedulers(config.Fleet, false), queries: make(chan entryQuery, maxQueries),
	}
}

// Reserve places a job.
func (s *Service) Reserve(request ReserveRequest, reply *ReserveReply) error {
	ok := s.schedulers.withScheduler(request.Job.cell(), func(now time.Time, scheduler *Scheduler) {
		*reply = scheduler.Reserve(now, request.Entry, request.Job)
		if reply.Full && s.querySilentEntries(now, scheduler, request.Job.cell()) {
			*reply = ReserveReply{Status: Wait, After: recheckDelay, Reason: "entries that may be gone hold slots"}
		}
	})
	if !ok {
		*reply = ReserveReply{Status: Rejected, After: minRetryAfter, Reason: "this instance knows no such service"}
	}
	reply.Life = s.incarnation
	s.config.Logger.Debug("Decided on a job", zap.String(logging.AttemptID, request.Job.ID), zap.Stringer("cell", request.Job.cell()), zap.Int("prompt", request.Job.Prompt),
		zap.Duration("waited", request.Job.Waited), zap.String("status", string(reply.Status)), zap.String("reason", reply.Reason),
		zap.Strings("engines", reply.Grant.endpoints()), zap.Duration("expected", reply.Grant.First), zap.Duration("after", reply.After))
	return nil
}

// querySilentEntries queues queries to the silent entries and reports whether replies are outstanding.
func (s *Service) querySilentEntries(now time.Time, scheduler *Scheduler, cell Cell) bool {
	entries, expected := scheduler.EntriesToQuery(now)
	for _, entry := range entries {
		select {
		case s.queries <- entryQuery{cell, entry}:
		default:
			return false
		}
	}
	return expected
}

// Report applies events of jobs.
func (s *Service) Report(request ReportRequest, reply *ReportReply) error {
	for _, e := range request.Events {
		s.schedulers.withScheduler(e.Job.cell(), func(now time.Time, scheduler *Scheduler) { scheduler.Report(now, request.Entry, e) })
	}
	if request.Whole {
		s.schedulers.forEach(func(now time.Time, scheduler *Scheduler) {
			scheduler.RetainRunning(now, request.Entry, request.Running)
		})
	}
	reply.Life = s.incarnation
	return nil
}
