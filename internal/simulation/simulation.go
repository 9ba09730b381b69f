// Package simulation runs a day of requests against simulated engines in virtual time, with the placement decisions that
// an entry uses. It shows within milliseconds what a change of the decisions is worth under a load. It models no network
// beyond a constant delay, no lost messages and no processor time.
package simulation

import (
	"fmt"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/engine"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

const (
	// messageDelay is the time of a message between an entry, its dispatcher and an engine.
	messageDelay = time.Millisecond
	// responseDelay is the time in which a response reaches its caller, which counts towards the objective.
	responseDelay = 6 * time.Millisecond
	// returnDivisor bounds the pause before a refused caller returns: what is left of its time limit, divided by it.
	returnDivisor = 3
	// minEventTimeout is the least time without events after which a caller disconnects. For long objectives the timeout is
	// timeoutPerObjective times the objective or timeoutPerPause times the longest permitted pause.
	minEventTimeout     = 2 * time.Second
	timeoutPerObjective = 4
	timeoutPerPause     = 8
)

// entryName is the process that places all requests of a simulation.
const entryName = "entry"

// Arrival is one request of a day.
type Arrival struct {
	// At is the time since the start of the day.
	At   time.Duration
	Kind *Kind
	// Prompt and Output are in tokens. ExpectedOutput is the output length that the caller states.
	Prompt         int
	Output         int
	ExpectedOutput int
}

// Day is a deployment and its load.
type Day struct {
	Engine routing.Engine
	// Engines is the number of engines.
	Engines  int
	Arrivals []Arrival
	Slow     []Slowdown
}

// Slowdown makes an engine slow for a time.
type Slowdown struct {
	Engine   int
	From, To time.Duration
	// TimeFactor multiplies all times of the engine.
	TimeFactor float64
}

// Outcome is how a request ended.
type Outcome struct {
	Arrival
	// First is the time to the first event, Pause the longest pause between two events, as the caller saw them.
	First time.Duration
	Pause time.Duration
	// Complete says that all events arrived, Refused that the request was rejected for good.
	Complete bool
	Refused  bool
}

// request is a request in a running simulation.
type request struct {
	Outcome
	id        string
	attempt   int
	endpoint  string
	retried   bool
	ended     bool
	lastEvent time.Duration
	pauses    placement.PauseRecorder
	job       placement.Job
	// attemptStart is when the current attempt arrived.
	attemptStart time.Duration
}

// run is a running simulation.
type run struct {
	day         Day
	pool        *engine.Pool
	placer      Placer
	engineIndex map[string]int
	byAttempt   map[string]*request
	queue       eventQueue
	now         time.Duration
}

// epoch is the instant at which all simulated days begin.
var epoch = time.Unix(1_800_000_000, 0)

// Placer decides on requests; placement.Scheduler implements it.
type Placer interface {
	Update(now time.Time, records []registration.Record)
	Reserve(now time.Time, entry string, j placement.Job) placement.ReserveReply
	Report(now time.Time, entry string, e placement.Event)
}

// Run simulates a day to its end and returns the outcome of each arrival, in their order.
func Run(day Day, placer Placer) []Outcome {
	s := &run{
		day: day, pool: engine.NewPool(day.Engine, day.Engines), placer: placer,
		engineIndex: make(map[string]int), byAttempt: make(map[string]*request),
	}
	s.register()
	for _, slow := range day.Slow {
		s.schedule(slow.From, func() { s.pool.SetSlowdown(slow.Engine, slow.TimeFactor) })
		s.schedule(slow.To, func() { s.pool.SetSlowdown(slow.Engine, 1) })
	}
	requests := make([]*request, len(day.Arrivals))
	for i, a := range day.Arrivals {
		requests[i] = &request{Outcome: Outcome{Arrival: a}, id: fmt.Sprint("r", i)}
		s.schedule(a.At, func() { s.arrive(requests[i], a.At) })
	}
	s.processEvents()
	outcomes := make([]Outcome, len(requests))
	for i, r := range requests {
		outcomes[i] = r.Outcome
	}
	return outcomes
}

func (s *run) register() {
	var records []registration.Record
	for i := range s.day.Engines {
		id := fmt.Sprintf("engine-%03d", i)
		s.engineIndex[id] = i
		records = append(records, registration.Record{ID: id, Address: id, State: registration.Ready, Started: 1})
	}
	s.placer.Update(epoch, records)
}

// processEvents advances the time from one event to the next until nothing is scheduled and all engines are idle.
func (s *run) processEvents() {
	for {
		next, pending := s.queue.next()
		pass, busy := s.pool.Next()
		if !pending && !busy {
			return
		}
		if at := pass.Sub(epoch); busy && (!pending || at <= next) {
			s.now = at
			s.deliver(s.pool.Advance(pass))
			continue
		}
		s.now = next
		s.queue.pop()()
	}
}

func (s *run) currentTime() time.Time {
	return epoch.Add(s.now)
}

// schedule runs f after the given time has passed.
func (s *run) schedule(d time.Duration, f func()) {
	s.queue.push(s.now+d, f)
}

// arrive starts the first or a later attempt of a caller.
func (s *run) arrive(r *request, arrived time.Duration) {
	r.attempt++
	id := fmt.Sprint(r.id, "-", r.attempt)
	k := r.Kind
	r.attemptStart = s.now
	r.job = placement.Job{
		ID: id, Service: "model", Prompt: r.Prompt, Output: r.ExpectedOutput, Bound: 2 * r.ExpectedOutput, Objective: k.Objective,
		Rank: k.Rank, MaxPause: k.MaxPause, Left: k.Limit - (s.now - arrived),
	}
	s.byAttempt[id] = r
	s.schedule(messageDelay, func() { s.reserve(r, id) })
	s.schedule(k.eventTimeout(), func() { s.checkEventTimeout(r, id) })
	s.schedule(r.job.Left, func() { s.cancel(r, id) })
}

// eventTimeout returns how long a caller waits for the next event.
func (k *Kind) eventTimeout() time.Duration {
	return max(minEventTimeout, timeoutPerObjective*k.Objective, timeoutPerPause*k.MaxPause)
}

// checkEventTimeout cancels an attempt without a recent event, and otherwise schedules the next check.
func (s *run) checkEventTimeout(r *request, id string) {
	if r.ended || s.byAttempt[id] == nil {
		return
	}
	last := max(r.attemptStart, r.lastEvent)
	if silent := s.now - last; silent < r.Kind.eventTimeout() {
		s.schedule(r.Kind.eventTimeout()-silent, func() { s.checkEventTimeout(r, id) })
		return
	}
	s.cancel(r, id)
}

// cancel ends an attempt whose caller has disconnected.
func (s *run) cancel(r *request, id string) {
	if r.ended || s.byAttempt[id] == nil {
		return
	}
	r.ended = true
	delete(s.byAttempt, id)
	s.pool.Cancel(id)
	s.placer.Report(s.currentTime(), entryName, placement.Event{Type: placement.Left, Job: r.job})
}

func (s *run) reserve(r *request, id string) {
	if r.ended {
		return
	}
	j := r.job
	j.Waited = s.now - r.attemptStart
	j.Left -= j.Waited
	reply := s.placer.Reserve(s.currentTime(), entryName, j)
	switch reply.Status {
	case placement.Wait:
		s.schedule(reply.After+2*messageDelay, func() { s.reserve(r, id) })
	case placement.Granted:
		s.schedule(2*messageDelay, func() { s.send(r, id, reply.Grant) })
	case placement.Rejected:
		s.refuse(r, id, reply.After)
	}
}

// refuse ends an attempt that was rejected. Its caller retries once, if there is time.
func (s *run) refuse(r *request, id string, after time.Duration) {
	delete(s.byAttempt, id)
	left := r.Kind.Limit - (s.now - r.At)
	if r.retried || left <= 0 {
		r.ended, r.Refused = true, true
		return
	}
	r.retried = true
	s.schedule(min(after, left/returnDivisor), func() { s.arrive(r, r.At) })
}

func (s *run) send(r *request, id string, grant placement.Grant) {
	if r.ended {
		return
	}
	r.endpoint, r.pauses = grant.Members[0].Endpoint, placement.PauseRecorder{}
	var engines, holds []int
	for _, m := range grant.Members {
		engines = append(engines, s.engineIndex[m.Endpoint])
		holds = append(holds, m.Hold)
	}
	s.pool.Send(s.currentTime(), engine.Request{
		ID: id, Prompt: r.Prompt, Output: r.Output, Urgency: grant.Urgency, Holds: holds[1:],
	}, engines[0], engines[1:])
}

// deliver passes events on to callers and reports them to the scheduler.
func (s *run) deliver(events []engine.Event) {
	for _, e := range events {
		r := s.byAttempt[e.ID]
		if r == nil {
			continue
		}
		if e.Count == 1 {
			r.First = s.now - r.At + responseDelay
			s.report(r, placement.FirstEvent)
		} else {
			r.Pause = max(r.Pause, s.now-r.lastEvent)
		}
		r.lastEvent = s.now
		r.pauses.RecordEvent(s.currentTime())
		if e.Last {
			r.ended, r.Complete = true, true
			delete(s.byAttempt, e.ID)
			s.report(r, placement.Finished)
		}
	}
}

func (s *run) report(r *request, kind placement.EventType) {
	e := placement.Event{Type: kind, Job: r.job, Endpoint: r.endpoint, Pause: r.pauses.UndisturbedPause()}
	s.schedule(2*messageDelay, func() { s.placer.Report(s.currentTime(), entryName, e) })
}
