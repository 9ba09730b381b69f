// Package simulation plays a day of requests against modelled engines in virtual time, with the placement decisions
// that an entry uses. It answers within milliseconds what a change of a decision is worth under a load, and has no
// network, no lost messages and no processor time in it.
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
	// hop is the time of a message between an entry, its dispatcher and an engine.
	hop = time.Millisecond
	// callerTime is the time of an answer to its caller, which counts towards the objective.
	callerTime = 6 * time.Millisecond
	// returnShare is the part of its time limit, as a divisor, for which a caller waits at most before it
	// returns after a refusal.
	returnShare = 3
	// leastPatience bounds how soon a caller leaves a stream without events; it is longer where the
	// objectives are.
	leastPatience     = 2 * time.Second
	patienceObjective = 4
	patiencePause     = 8
)

// entryName is the process that places all requests of a simulation.
const entryName = "entry"

// Arrival is one request of a day.
type Arrival struct {
	// At is the time since the start of the day.
	At   time.Duration
	Kind *Kind
	// Prompt and Output are in tokens. Hint is the length of the answer that the caller expects.
	Prompt int
	Output int
	Hint   int
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
	// Pace multiplies all times of the engine.
	Pace float64
}

// Outcome is how a request ended.
type Outcome struct {
	Arrival
	// First is the time to the first event, Pause the longest pause between two events, as the caller saw it.
	First time.Duration
	Pause time.Duration
	// Complete says that all events came, Refused that the request was turned away at last.
	Complete bool
	Refused  bool
}

// request is a request in a running simulation.
type request struct {
	Outcome
	id        string
	attempt   int
	endpoint  string
	returned  bool
	ended     bool
	lastEvent time.Duration
	rhythm    placement.Rhythm
	job       placement.Job
	// began is when the current attempt arrived.
	began time.Duration
}

// run is a running simulation.
type run struct {
	day       Day
	pool      *engine.Pool
	placer    Placer
	index     map[string]int
	byAttempt map[string]*request
	queue     queue
	now       time.Duration
}

// start is the instant at which all simulated days begin.
var start = time.Unix(1_800_000_000, 0)

// Placer decides on requests, as placement.Scheduler does.
type Placer interface {
	Update(now time.Time, records []registration.Record)
	Reserve(now time.Time, entry string, j placement.Job) placement.ReserveReply
	Report(now time.Time, entry string, e placement.Event)
}

// Run plays a day to its end and returns the outcome of each arrival, in their order.
func Run(day Day, placer Placer) []Outcome {
	s := &run{
		day: day, pool: engine.New(day.Engine, day.Engines), placer: placer,
		index: make(map[string]int), byAttempt: make(map[string]*request),
	}
	s.register()
	for _, slow := range day.Slow {
		s.after(slow.From, func() { s.pool.Slow(slow.Engine, slow.Pace) })
		s.after(slow.To, func() { s.pool.Slow(slow.Engine, 1) })
	}
	requests := make([]*request, len(day.Arrivals))
	for i, a := range day.Arrivals {
		requests[i] = &request{Outcome: Outcome{Arrival: a}, id: fmt.Sprint("r", i)}
		s.after(a.At, func() { s.arrive(requests[i], a.At) })
	}
	s.play()
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
		s.index[id] = i
		records = append(records, registration.Record{ID: id, Address: id, State: registration.Ready, Started: 1})
	}
	s.placer.Update(start, records)
}

// play moves the time from one thing that happens to the next.
func (s *run) play() {
	for {
		next, pending := s.queue.next()
		pass, busy := s.pool.Next()
		if !pending && !busy {
			return
		}
		if at := pass.Sub(start); busy && (!pending || at <= next) {
			s.now = at
			s.deliver(s.pool.Advance(pass))
			continue
		}
		s.now = next
		s.queue.pop()()
	}
}

func (s *run) instant() time.Time {
	return start.Add(s.now)
}

// after runs f when some time has passed from now.
func (s *run) after(d time.Duration, f func()) {
	s.queue.push(s.now+d, f)
}

// arrive is the first or a later attempt of a caller.
func (s *run) arrive(r *request, arrived time.Duration) {
	r.attempt++
	id := fmt.Sprint(r.id, "-", r.attempt)
	k := r.Kind
	r.began = s.now
	r.job = placement.Job{
		ID: id, Service: "model", Prompt: r.Prompt, Output: r.Hint, Bound: 2 * r.Hint, Objective: k.Objective,
		MaxPause: k.MaxPause, Left: k.Limit - (s.now - arrived),
	}
	s.byAttempt[id] = r
	s.after(hop, func() { s.ask(r, id) })
	s.after(k.patience(), func() { s.impatient(r, id) })
	s.after(r.job.Left, func() { s.leave(r, id) })
}

// patience is how long a caller waits for the next event.
func (k *Kind) patience() time.Duration {
	return max(leastPatience, patienceObjective*k.Objective, patiencePause*k.MaxPause)
}

// impatient ends an attempt without a recent event, and looks again later otherwise.
func (s *run) impatient(r *request, id string) {
	if r.ended || s.byAttempt[id] == nil {
		return
	}
	last := max(r.began, r.lastEvent)
	if silent := s.now - last; silent < r.Kind.patience() {
		s.after(r.Kind.patience()-silent, func() { s.impatient(r, id) })
		return
	}
	s.leave(r, id)
}

// leave ends an attempt without an answer.
func (s *run) leave(r *request, id string) {
	if r.ended || s.byAttempt[id] == nil {
		return
	}
	r.ended = true
	delete(s.byAttempt, id)
	s.pool.Cancel(id)
	s.placer.Report(s.instant(), entryName, placement.Event{Type: placement.Left, Job: r.job})
}

func (s *run) ask(r *request, id string) {
	if r.ended {
		return
	}
	j := r.job
	j.Waited = s.now - r.began
	j.Left -= j.Waited
	reply := s.placer.Reserve(s.instant(), entryName, j)
	switch reply.Status {
	case placement.Wait:
		s.after(reply.After+2*hop, func() { s.ask(r, id) })
	case placement.Granted:
		s.after(2*hop, func() { s.send(r, id, reply.Grant) })
	case placement.Rejected:
		s.refuse(r, id, reply.After)
	}
}

// refuse turns an attempt away. Its caller returns once, if there is time.
func (s *run) refuse(r *request, id string, after time.Duration) {
	delete(s.byAttempt, id)
	left := r.Kind.Limit - (s.now - r.At)
	if r.returned || left <= 0 {
		r.ended, r.Refused = true, true
		return
	}
	r.returned = true
	s.after(min(after, left/returnShare), func() { s.arrive(r, r.At) })
}

func (s *run) send(r *request, id string, grant placement.Grant) {
	if r.ended {
		return
	}
	r.endpoint, r.rhythm = grant.Members[0].Endpoint, placement.Rhythm{}
	var engines []int
	for _, m := range grant.Members {
		engines = append(engines, s.index[m.Endpoint])
	}
	s.pool.Send(s.instant(), engine.Request{ID: id, Prompt: r.Prompt, Output: r.Output, Urgency: grant.Urgency}, engines[0], engines[1:])
}

// deliver passes events on to callers and reports them to the scheduler.
func (s *run) deliver(events []engine.Event) {
	for _, e := range events {
		r := s.byAttempt[e.ID]
		if r == nil {
			continue
		}
		if e.Count == 1 {
			r.First = s.now - r.At + callerTime
			s.report(r, placement.FirstEvent)
		} else {
			r.Pause = max(r.Pause, s.now-r.lastEvent)
		}
		r.lastEvent = s.now
		r.rhythm.Beat(s.instant())
		if e.Last {
			r.ended, r.Complete = true, true
			delete(s.byAttempt, e.ID)
			s.report(r, placement.Finished)
		}
	}
}

func (s *run) report(r *request, kind placement.EventType) {
	e := placement.Event{Type: kind, Job: r.job, Endpoint: r.endpoint, Pause: r.rhythm.Undisturbed()}
	s.after(2*hop, func() { s.placer.Report(s.instant(), entryName, e) })
}
