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

// ServiceName is the name of Service on a peer server.
const ServiceName = "Placement"

// Fleet is what is declared and registered.
type Fleet interface {
	// Engine returns the declaration of the engines of a service.
	Engine(service string) (routing.Engine, bool)
	// Endpoints returns the endpoints of a service. The version changes with anything that Fleet returns.
	Endpoints(service string) (records []registration.Record, version uint64)
}

// schedulers holds a scheduler for each service. It is safe for concurrent use.
type schedulers struct {
	fleet     Fleet
	mu        sync.Mutex
	byService map[string]*versioned
}

// versioned is a scheduler with the version of the fleet that it has taken over.
type versioned struct {
	scheduler *Scheduler
	version   uint64
}

func newSchedulers(fleet Fleet) *schedulers {
	return &schedulers{fleet: fleet, byService: make(map[string]*versioned)}
}

// with runs f on the scheduler of a service, brought up to date. It returns false for a service without
// engines.
func (m *schedulers) with(service string, f func(now time.Time, s *Scheduler)) bool {
	engine, ok := m.fleet.Engine(service)
	if !ok {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	d := m.byService[service]
	if d == nil {
		d = &versioned{scheduler: NewScheduler(engine)}
		m.byService[service] = d
	}
	if records, version := m.fleet.Endpoints(service); version != d.version {
		d.scheduler.UseEngine(engine)
		d.scheduler.Update(now, records)
		d.version = version
	}
	f(now, d.scheduler)
	return true
}

// all runs f on all schedulers.
func (m *schedulers) all(f func(now time.Time, s *Scheduler)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, d := range m.byService {
		f(now, d.scheduler)
	}
}

// ServiceConfig sets up a Service.
type ServiceConfig struct {
	Fleet Fleet
	// Peer returns the peer address of an entry.
	Peer   func(instance string) (address string, ok bool)
	Caller Caller
	Logger *zap.Logger
}

// Service is the dispatcher of services, over net/rpc.
type Service struct {
	config     ServiceConfig
	life       uint64
	schedulers *schedulers
	questions  chan question
}

// NewService returns a dispatcher that knows of no running jobs; Run must run.
func NewService(config ServiceConfig) *Service {
	return &Service{
		config: config, life: rand.Uint64(), schedulers: newSchedulers(config.Fleet), questions: make(chan question, maxQuestions),
	}
}

// Reserve places a job.
func (s *Service) Reserve(request ReserveRequest, reply *ReserveReply) error {
	ok := s.schedulers.with(request.Job.Service, func(now time.Time, scheduler *Scheduler) {
		*reply = scheduler.Reserve(now, request.Entry, request.Job)
		if reply.Full && s.askSilent(now, scheduler, request.Job.Service) {
			*reply = ReserveReply{Status: Wait, After: recheck, Reason: "entries that may be gone hold slots"}
		}
	})
	if !ok {
		*reply = ReserveReply{Status: Rejected, After: retryMin, Reason: "this instance knows no such service"}
	}
	reply.Life = s.life
	s.config.Logger.Debug("Decided on a job", zap.String(logging.AttemptID, request.Job.ID), zap.Int("prompt", request.Job.Prompt),
		zap.Duration("waited", request.Job.Waited), zap.String("status", string(reply.Status)), zap.String("reason", reply.Reason),
		zap.Strings("engines", reply.Grant.endpoints()), zap.Duration("expected", reply.Grant.First), zap.Duration("after", reply.After))
	return nil
}

// askSilent has the silent entries asked for their jobs and reports whether answers are expected.
func (s *Service) askSilent(now time.Time, scheduler *Scheduler, service string) bool {
	entries, expected := scheduler.EntriesToAsk(now)
	for _, entry := range entries {
		select {
		case s.questions <- question{service, entry}:
		default:
			return false
		}
	}
	return expected
}

// Report takes events of jobs.
func (s *Service) Report(request ReportRequest, reply *ReportReply) error {
	for _, e := range request.Events {
		s.schedulers.with(e.Job.Service, func(now time.Time, scheduler *Scheduler) { scheduler.Report(now, request.Entry, e) })
	}
	if request.Whole {
		s.schedulers.all(func(now time.Time, scheduler *Scheduler) { scheduler.Keep(now, request.Entry, request.Running) })
	}
	reply.Life = s.life
	return nil
}
