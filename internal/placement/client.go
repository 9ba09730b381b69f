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

// Caller makes net/rpc calls, as peer.Pool does.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Dispatcher is an instance that may dispatch for a service.
type Dispatcher struct {
	Instance string
	Address  string
}

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Instance is the name of this instance.
	Instance string
	// Dispatchers returns the instances that dispatch for a service, in the order in which they are asked.
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
	// reportTimeout bounds one report; it is longer because nobody waits for it.
	reportTimeout = 300 * time.Millisecond
	// firstSilence and maxSilence bound the time for which a dispatcher that did not answer is passed over.
	firstSilence = 250 * time.Millisecond
	maxSilence   = 2 * time.Second
	// reportDelay collects the events of one batch.
	reportDelay = 3 * time.Millisecond
	// maxPending bounds the events that wait for a dispatcher.
	maxPending = 4096
)

// Client places jobs for an entry. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	// own sees the jobs of this entry only; it places them while no dispatcher answers.
	own *schedulers

	mu      sync.Mutex
	running map[string]*running
	pending []outgoing
	silence map[string]silence
	// current is the dispatcher of each service that answered last, with its life.
	current map[string]inUse
	// fresh are dispatchers that have not been told yet of all jobs that run.
	fresh map[Dispatcher]bool
	// synced has the dispatchers that are told of all running jobs, with the time since when.
	synced map[Dispatcher]time.Time
	wake   chan struct{}
}

// outgoing is an event on its way to the dispatchers.
type outgoing struct {
	Event
	// knows is the instance that knows of it already; empty for none.
	knows string
}

type running struct {
	job     Job
	grant   Grant
	until   time.Time
	reading bool
}

type silence struct {
	until  time.Time
	length time.Duration
}

// inUse is a dispatcher that answers, with its life.
type inUse struct {
	dispatcher Dispatcher
	life       uint64
}

// NewClient returns a client; Run must run for events to be reported.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, own: newSchedulers(config.Fleet), running: make(map[string]*running),
		silence: make(map[string]silence), current: make(map[string]inUse), fresh: make(map[Dispatcher]bool), synced: make(map[Dispatcher]time.Time), wake: make(chan struct{}, 1),
	}
}

// Reserve places a job, waiting where the dispatcher says so. After Granted, Report must end the job. The
// status of the reply is Granted or Rejected; the error is that of ctx.
func (c *Client) Reserve(ctx context.Context, job Job) (ReserveReply, error) {
	started := time.Now()
	for {
		j := job
		j.Waited += time.Since(started)
		j.Left -= time.Since(started)
		reply, by := c.ask(ctx, j)
		if ctx.Err() != nil {
			c.Report(Event{Type: Left, Job: job})
			return reply, ctx.Err()
		}
		if reply.Status == Wait {
			task.Pause(ctx, reply.After)
			continue
		}
		if reply.Status == Granted {
			c.start(j, reply.Grant, by)
		}
		return reply, nil
	}
}

// ask asks the dispatchers in turn, and decides here when none answers. It returns the instance that decided,
// empty for this one on its own.
func (c *Client) ask(ctx context.Context, job Job) (reply ReserveReply, by string) {
	for _, d := range c.order(job.Service) {
		reply, err := c.reserve(ctx, d, job)
		if ctx.Err() != nil {
			return reply, d.Instance
		}
		c.note(d.Instance, err == nil)
		if err != nil {
			c.config.Logger.Info("A dispatcher did not answer", zap.String("dispatcher", d.Instance),
				zap.String(logging.AttemptID, job.ID), zap.Error(err))
			continue
		}
		c.follow(job.Service, d, reply.Life)
		return reply, d.Instance
	}
	reply = ReserveReply{Status: Rejected, After: retryMin, Reason: "the service has no engines"}
	c.own.with(job.Service, func(now time.Time, s *Scheduler) { reply = s.Reserve(now, c.config.Instance, job) })
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

// syncTime is how long a dispatcher must have been told of all running jobs before it is used again instead of
// another one that answers. All entries tell it within that time.
const syncTime = 2 * time.Second

// order returns the dispatchers of a service that are not silent, in the order in which they are asked. The
// one in use stays first until a better placed one knows what runs.
func (c *Client) order(service string) []Dispatcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var first, later []Dispatcher
	current := c.current[service].dispatcher
	for _, d := range c.config.Dispatchers(service) {
		since, synced := c.synced[d]
		switch {
		case now.Before(c.silence[d.Instance].until):
		case d == current, synced && now.Sub(since) >= syncTime:
			first = append(first, d)
		default:
			later = append(later, d)
		}
	}
	return slices.Concat(first, later)
}

func (c *Client) note(instance string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.silence, instance)
		return
	}
	length := min(maxSilence, max(firstSilence, 2*c.silence[instance].length))
	c.silence[instance] = silence{until: time.Now().Add(length), length: length}
}

// follow notes the dispatcher that answered, and tells a new one of what runs.
func (c *Client) follow(service string, d Dispatcher, life uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current[service] == (inUse{d, life}) {
		return
	}
	c.current[service] = inUse{d, life}
	c.fresh[d] = true
	c.config.Logger.Info("Using a dispatcher", zap.String("service", service), zap.String("dispatcher", d.Instance))
	now := time.Now()
	for _, r := range c.running {
		if r.job.Service != service {
			continue
		}
		j := r.job
		j.Left = r.until.Sub(now)
		c.push(outgoing{Event: Event{Type: Adopted, Job: j, Grant: r.grant, Reading: r.reading}})
	}
}

// start notes a job that an instance has placed. The dispatcher that stands by hears of it at once, so that it
// knows what runs when the other one is lost.
func (c *Client) start(job Job, grant Grant, by string) {
	adopted := Event{Type: Adopted, Job: job, Grant: grant, Reading: true}
	c.own.with(job.Service, func(now time.Time, s *Scheduler) { s.Report(now, c.config.Instance, adopted) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.push(outgoing{Event: adopted, knows: by})
	c.running[job.ID] = &running{job: job, grant: grant, until: time.Now().Add(job.Left), reading: true}
}

// Report says what happened to a job.
func (c *Client) Report(e Event) {
	c.own.with(e.Job.Service, func(now time.Time, s *Scheduler) { s.Report(now, c.config.Instance, e) })
	c.add(e)
}

func (c *Client) add(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Type != FirstEvent {
		delete(c.running, e.Job.ID)
	} else if r := c.running[e.Job.ID]; r != nil {
		r.reading = false
	}
	c.push(outgoing{Event: e})
}

// push queues an event. The caller holds c.mu.
func (c *Client) push(e outgoing) {
	if len(c.pending) >= maxPending {
		// The dispatcher lets go of what it is not told of at the end of its time limit.
		c.pending = c.pending[1:]
	}
	c.pending = append(c.pending, e)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
