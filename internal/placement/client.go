package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Caller makes net/rpc calls; peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Dispatcher is an instance that can dispatch for a service.
type Dispatcher struct {
	Instance string
	Address  string
}

// ClientConfig holds the settings and dependencies of a Client.
type ClientConfig struct {
	// Instance is the name of this instance.
	Instance string
	// Dispatchers returns the instances that can dispatch for a service, in order of preference.
	Dispatchers func(service string) []Dispatcher
	// Local is the dispatcher in this process.
	Local  *Service
	Fleet  Fleet
	Caller Caller
	Logger *zap.Logger
}

const (
	// dispatchTimeout bounds one call to a dispatcher.
	dispatchTimeout = 80 * time.Millisecond
	// reportTimeout bounds one report; it is longer because no request waits for it.
	reportTimeout = 300 * time.Millisecond
	// minDispatcherBackOff and maxDispatcherBackOff bound the time for which a dispatcher that failed to reply is skipped.
	minDispatcherBackOff = 250 * time.Millisecond
	maxDispatcherBackOff = 2 * time.Second
	// batchDelay is how long events are collected into one batch.
	batchDelay = 3 * time.Millisecond
	// maxPending bounds the events that wait to be reported.
	maxPending = 4096
)

// Client places jobs for an entry. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	// fallback places jobs while no dispatcher replies. It knows only the jobs of this entry.
	fallback *schedulers

	mu       sync.Mutex
	running  map[string]*runningJob
	pending  []pendingEvent
	backOffs map[string]backOff
	// active is the dispatcher of each service that replied last, with its incarnation.
	active map[string]activeDispatcher
	// needsFullReport has the dispatchers that have not yet received the list of all running jobs.
	needsFullReport map[Dispatcher]bool
	// syncedSince has the dispatchers that receive the list of all running jobs, with the time of the first one.
	syncedSince map[Dispatcher]time.Time
	wake        chan struct{}
}

// pendingEvent is an event that is yet to be reported to the dispatchers.
type pendingEvent struct {
	Event
	// knownBy is the instance that already knows of the event; empty if none does.
	knownBy string
}

type runningJob struct {
	job        Job
	grant      Grant
	deadline   time.Time
	prefilling bool
}

type backOff struct {
	until  time.Time
	length time.Duration
}

// activeDispatcher is a dispatcher and its incarnation, by which a restart is detected.
type activeDispatcher struct {
	dispatcher  Dispatcher
	incarnation uint64
}

// NewClient returns a client. Events are reported only while Run is running.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, fallback: newSchedulers(config.Fleet), running: make(map[string]*runningJob),
		backOffs: make(map[string]backOff), active: make(map[string]activeDispatcher), needsFullReport: make(map[Dispatcher]bool), syncedSince: make(map[Dispatcher]time.Time), wake: make(chan struct{}, 1),
	}
}

// Reserve places a job, and waits as long as the dispatcher asks it to. After Granted, the end of the job must be
// reported with Report. The status of the reply is Granted or Rejected; the error is that of ctx.
func (c *Client) Reserve(ctx context.Context, job Job) (ReserveReply, error) {
	started := time.Now()
	for {
		j := job
		j.Waited += time.Since(started)
		j.Left -= time.Since(started)
		reply, decidedBy := c.requestPlacement(ctx, j)
		if ctx.Err() != nil {
			c.Report(Event{Type: Left, Job: job})
			return reply, ctx.Err()
		}
		if reply.Status == Wait {
			task.Pause(ctx, reply.After)
			continue
		}
		if reply.Status == Granted {
			c.startJob(j, reply.Grant, decidedBy)
		}
		return reply, nil
	}
}

// requestPlacement asks the dispatchers in turn, and decides locally when none replies. It returns the instance that
// decided, empty for a local decision.
func (c *Client) requestPlacement(ctx context.Context, job Job) (reply ReserveReply, decidedBy string) {
	for _, d := range c.dispatchersByPreference(job.Service) {
		reply, err := c.reserve(ctx, d, job)
		if ctx.Err() != nil {
			return reply, d.Instance
		}
		c.recordReachable(d.Instance, err == nil)
		if err != nil {
			c.config.Logger.Info("A dispatcher did not answer", zap.String("dispatcher", d.Instance),
				zap.String(logging.AttemptID, job.ID), zap.Error(err))
			continue
		}
		c.setActive(job.Service, d, reply.Life)
		return reply, d.Instance
	}
	reply = ReserveReply{Status: Rejected, After: minRetryAfter, Reason: "the service has no engines"}
	c.fallback.withScheduler(job.Service, func(now time.Time, s *Scheduler) { reply = s.Reserve(now, c.config.Instance, job) })
	return reply, ""
}

func (c *Client) reserve(ctx context.Context, d Dispatcher, job Job) (ReserveReply, error) {
	var reply ReserveReply
	request := ReserveRequest{Entry: c.config.Instance, Job: job}
	if d.Instance == c.config.Instance {
		return reply, c.config.Local.Reserve(request, &reply)
	}
	ctx, cancel := context.WithTimeout(ctx, dispatchTimeout)
	defer cancel()
	err := c.config.Caller.Call(ctx, d.Address, ServiceName+".Reserve", request, &reply)
	if err != nil {
		return ReserveReply{}, fault.Wrap(err, "reserve", NoDispatcher, d.Instance)
	}
	return reply, nil
}

// syncTime is how long a dispatcher must have received the list of all running jobs before it replaces another one that
// replies. All entries report to it within that time.
const syncTime = 2 * time.Second

// dispatchersByPreference returns the dispatchers of a service that are not in back-off, in the order in which they are
// asked. The active one stays first until a preferred one knows all running jobs.
func (c *Client) dispatchersByPreference(service string) []Dispatcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var first, later []Dispatcher
	current := c.active[service].dispatcher
	for _, d := range c.config.Dispatchers(service) {
		since, synced := c.syncedSince[d]
		switch {
		case now.Before(c.backOffs[d.Instance].until):
		case d == current, synced && now.Sub(since) >= syncTime:
			first = append(first, d)
		default:
			later = append(later, d)
		}
	}
	return slices.Concat(first, later)
}

func (c *Client) recordReachable(instance string, replied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replied {
		delete(c.backOffs, instance)
		return
	}
	length := min(maxDispatcherBackOff, max(minDispatcherBackOff, 2*c.backOffs[instance].length))
	c.backOffs[instance] = backOff{until: time.Now().Add(length), length: length}
}

// setActive records the dispatcher that replied, and reports all running jobs to it if it is new.
func (c *Client) setActive(service string, d Dispatcher, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[service] == (activeDispatcher{d, incarnation}) {
		return
	}
	c.active[service] = activeDispatcher{d, incarnation}
	c.needsFullReport[d] = true
	c.config.Logger.Info("Using a dispatcher", zap.String("service", service), zap.String("dispatcher", d.Instance))
	now := time.Now()
	for _, r := range c.running {
		if r.job.Service != service {
			continue
		}
		j := r.job
		j.Left = r.deadline.Sub(now)
		c.enqueue(pendingEvent{Event: Event{Type: Adopted, Job: j, Grant: r.grant, Reading: r.prefilling}})
	}
}

// startJob records a job that an instance has placed. The standby dispatcher is told at once, so that it knows what runs
// when the active one is lost.
func (c *Client) startJob(job Job, grant Grant, decidedBy string) {
	adopted := Event{Type: Adopted, Job: job, Grant: grant, Reading: true}
	c.fallback.withScheduler(job.Service, func(now time.Time, s *Scheduler) { s.Report(now, c.config.Instance, adopted) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(pendingEvent{Event: adopted, knownBy: decidedBy})
	c.running[job.ID] = &runningJob{job: job, grant: grant, deadline: time.Now().Add(job.Left), prefilling: true}
}

// Report records an event of a job and queues it for the dispatchers.
func (c *Client) Report(e Event) {
	c.fallback.withScheduler(e.Job.Service, func(now time.Time, s *Scheduler) { s.Report(now, c.config.Instance, e) })
	c.addEvent(e)
}

func (c *Client) addEvent(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Type != FirstEvent {
		delete(c.running, e.Job.ID)
	} else if r := c.running[e.Job.ID]; r != nil {
		r.prefilling = false
	}
	c.enqueue(pendingEvent{Event: e})
}

// enqueue adds an event to the pending ones. The caller must hold c.mu.
func (c *Client) enqueue(e pendingEvent) {
	if len(c.pending) >= maxPending {
		// The dispatcher drops a job whose end is not reported when the job's time limit passes.
		c.pending = c.pending[1:]
	}
	c.pending = append(c.pending, e)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
