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
	// Dispatchers returns the instances that can dispatch for a cell, in order of preference.
	Dispatchers func(cell Cell) []Dispatcher
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
	// active is the dispatcher of each cell that replied last, with its incarnation.
	active map[Cell]activeDispatcher
	// needsFullReport has the dispatchers that have not yet received the list of all running jobs.
	needsFullReport map[Dispatcher]bool
	// syncedSince has the dispatchers of each cell that know its running jobs, with the time of the first full report.
	syncedSince map[cellDispatcher]time.Time
	wake        chan struct{}
}

// pendingEvent is an event that is yet to be reported to the dispatchers.
type pendingEvent struct {
	Event
	// knownBy is the instance that already knows of the event; empty if none does.
	knownBy string
}

type runningJob struct {
	job Job
	// cells are those of its engines: one, or several after the number of cells has changed.
	cells      []Cell
	grant      Grant
	deadline   time.Time
	prefilling bool
}

type backOff struct {
	until  time.Time
	length time.Duration
}

// cellDispatcher is a dispatcher of a cell. An instance may dispatch for several cells.
type cellDispatcher struct {
	cell       Cell
	dispatcher Dispatcher
}

// activeDispatcher is a dispatcher and its incarnation, by which a restart is detected.
type activeDispatcher struct {
	dispatcher  Dispatcher
	incarnation uint64
}

// NewClient returns a client. Events are reported only while Run is running.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, fallback: newSchedulers(config.Fleet, true), running: make(map[string]*runningJob),
		backOffs: make(map[string]backOff), active: make(map[Cell]activeDispatcher), needsFullReport: make(map[Dispatcher]bool), syncedSince: make(map[cellDispatcher]time.Time), wake: make(chan struct{}, 1),
	}
}

// Reserve places a job, and waits as long as the dispatchers ask it to. After Granted, the end of the job must be reported
// with Report. The status of the reply is Granted or Rejected; the error is that of ctx.
func (c *Client) Reserve(ctx context.Context, job Job) (ReserveReply, error) {
	started := time.Now()
	choice := c.chooseCells(job.Service)
	for {
		j := job
		j.Cell = choice.next()
		j.Waited += time.Since(started)
		j.Left -= time.Since(started)
		reply, decidedBy := c.requestPlacement(ctx, j)
		switch {
		case ctx.Err() != nil:
			c.leave(j, choice.cells)
			return reply, ctx.Err()
		case reply.Status == Granted:
			c.startJob(j, reply.Grant, decidedBy)
			c.leave(j, choice.others())
			return reply, nil
		case reply.Status == Rejected:
			if choice.reject(reply) {
				return choice.rejection, nil
			}
		default:
			pause, left := choice.wait(reply.After)
			c.leave(j, left)
			task.Pause(ctx, pause)
		}
		if c.cellCount(job.Service) != choice.next().Count {
			choice = c.chooseCells(job.Service)
		}
	}
}

func (c *Client) chooseCells(service string) *cellChoice {
	records, _ := c.config.Fleet.Endpoints(service)
	return newCellChoice(service, records)
}

// cellCount returns the number of cells of a service.
func (c *Client) cellCount(service string) int {
	records, _ := c.config.Fleet.Endpoints(service)
	return CellCount(len(records))
}

// leave gives up the places that a job holds in the queues of cells.
func (c *Client) leave(job Job, cells []Cell) {
	for _, cell := range cells {
		job.Cell = cell
		e := Event{Type: Left, Job: job}
		c.fallback.withScheduler(cell, func(now time.Time, s *Scheduler) { s.Report(now, c.config.Instance, e) })
		c.mu.Lock()
		c.enqueue(pendingEvent{Event: e})
		c.mu.Unlock()
	}
}

// requestPlacement asks the dispatchers of a job's cell in turn, and decides locally when none replies. It returns the
// instance that decided, empty for a local decision.
func (c *Client) requestPlacement(ctx context.Context, job Job) (reply ReserveReply, decidedBy string) {
	for _, d := range c.dispatchersByPreference(job.Cell) {
		reply, err := c.reserve(ctx, d, job)
		if ctx.Err() != nil {
			return reply, d.Instance
		}
		c.recordReachable(d, err == nil)
		if err != nil {
			c.config.Logger.Info("A dispatcher did not answer", zap.String("dispatcher", d.Instance),
				zap.Stringer("cell", job.Cell), zap.String(logging.AttemptID, job.ID), zap.Error(err))
			continue
		}
		c.setActive(job.Cell, d, reply.Life)
		return reply, d.Instance
	}
	reply = ReserveReply{Status: Rejected, After: minRetryAfter, Reason: "the service has no engines"}
	c.fallback.withScheduler(job.Cell, func(now time.Time, s *Scheduler) { reply = s.Reserve(now, c.config.Instance, job) })
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

// dispatchersByPreference returns the dispatchers of a cell that are not in back-off, in the order in which they are asked.
// The active one stays first until a preferred one knows all running jobs.
func (c *Client) dispatchersByPreference(cell Cell) []Dispatcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var first, later []Dispatcher
	current := c.active[cell].dispatcher
	for _, d := range c.config.Dispatchers(cell) {
		since, synced := c.syncedSince[cellDispatcher{cell, d}]
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

// recordReachable records whether a dispatcher replied. One that did not may count a job whose grant was lost, so it is sent
// the list of running jobs when it replies again.
func (c *Client) recordReachable(d Dispatcher, replied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replied {
		delete(c.backOffs, d.Instance)
		return
	}
	for key := range c.syncedSince {
		if key.dispatcher == d {
			delete(c.syncedSince, key)
		}
	}
	length := min(maxDispatcherBackOff, max(minDispatcherBackOff, 2*c.backOffs[d.Instance].length))
	c.backOffs[d.Instance] = backOff{until: time.Now().Add(length), length: length}
}

// setActive records the dispatcher that replied, and reports all running jobs to it if it is new.
func (c *Client) setActive(cell Cell, d Dispatcher, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[cell] == (activeDispatcher{d, incarnation}) {
		return
	}
	c.active[cell] = activeDispatcher{d, incarnation}
	c.needsFullReport[d] = true
	c.config.Logger.Info("Using a dispatcher", zap.Stringer("cell", cell), zap.String("dispatcher", d.Instance))
	for _, r := range c.running {
		if slices.Contains(r.cells, cell) {
			c.enqueueAdopted(r, cell)
		}
	}
}

// enqueueAdopted reports a running job to a cell. The caller must hold c.mu.
func (c *Client) enqueueAdopted(r *runningJob, cell Cell) {
	j := r.job
	j.Cell = cell
	j.Left = time.Until(r.deadline)
	c.enqueue(pendingEvent{Event: Event{Type: Adopted, Job: j, Grant: r.grant, Reading: r.prefilling}})
}

// startJob records a job that an instance has placed. The standby dispatcher is told at once, so that it knows what runs
// when the active one is lost.
func (c *Client) startJob(job Job, grant Grant, decidedBy string) {
	adopted := Event{Type: Adopted, Job: job, Grant: grant, Reading: true}
	c.fallback.withScheduler(job.Cell, func(now time.Time, s *Scheduler) { s.Report(now, c.config.Instance, adopted) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(pendingEvent{Event: adopted, knownBy: decidedBy})
	c.running[job.ID] = &runningJob{job: job, cells: []Cell{job.Cell}, grant: grant, deadline: time.Now().Add(job.Left), prefilling: true}
}

// Report records an event of a job and queues it for the dispatchers of the cells of its engines.
func (c *Client) Report(e Event) {
	for _, cell := range c.recordEvent(e) {
		e.Job.Cell = cell
		c.fallback.withScheduler(cell, func(now time.Time, s *Scheduler) { s.Report(now, c.config.Instance, e) })
		c.mu.Lock()
		c.enqueue(pendingEvent{Event: e})
		c.mu.Unlock()
	}
}

// recordEvent updates the running jobs and returns the cells that an event concerns.
func (c *Client) recordEvent(e Event) []Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[e.Job.ID]
	if e.Type != FirstEvent {
		delete(c.running, e.Job.ID)
	} else if r != nil {
		r.prefilling = false
	}
	if r == nil {
		return []Cell{CellOf(e.Job.Service, e.Endpoint, c.cellCount(e.Job.Service))}
	}
	return r.cells
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
