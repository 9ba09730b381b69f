package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Scheduler is the view of the engines of one service and all decisions on them. Its methods do no I/O and
// take the time as an argument. It is not safe for concurrent use.
type Scheduler struct {
	engine   routing.Engine
	replicas map[string]*replica
	// order has the replicas by id, so that decisions do not depend on the order of maps.
	order []*replica
	jobs  map[string]*job
	// waiting are long prompts that wait for engines to be free.
	waiting map[string]*waiter
	// heard is when each entry was last heard of, asked when it was asked for its jobs.
	heard map[string]time.Time
	asked map[string]time.Time
}

// NewScheduler returns a scheduler without engines.
func NewScheduler(engine routing.Engine) *Scheduler {
	return &Scheduler{engine: engine.WithDefaults(), replicas: make(map[string]*replica), jobs: make(map[string]*job), waiting: make(map[string]*waiter), heard: make(map[string]time.Time), asked: make(map[string]time.Time)}
}

// UseEngine replaces the declared times of the engines.
func (s *Scheduler) UseEngine(engine routing.Engine) {
	s.engine = engine.WithDefaults()
}

// Update takes the registered endpoints of the service. What runs on one that is gone has ended.
func (s *Scheduler) Update(now time.Time, records []registration.Record) {
	known := make(map[string]bool, len(records))
	for _, record := range records {
		known[record.ID] = true
		r := s.replicas[record.ID]
		if r == nil || r.record.Started != record.Started {
			s.forget(now, record.ID)
			r = &replica{pace: 1, reads: now}
			s.replicas[record.ID] = r
		}
		r.record = record
	}
	for id := range s.replicas {
		if !known[id] {
			s.forget(now, id)
		}
	}
	s.order = s.order[:0]
	for _, r := range s.replicas {
		s.order = append(s.order, r)
	}
	slices.SortFunc(s.order, func(a, b *replica) int { return cmp.Compare(a.record.ID, b.record.ID) })
}

func (s *Scheduler) forget(now time.Time, id string) {
	r := s.replicas[id]
	if r == nil {
		return
	}
	for _, t := range slices.Clone(r.shares) {
		s.end(now, t.job)
	}
	delete(s.replicas, id)
}

// Reserve places a job, or says when to ask again, or that it cannot be served in its time. A job that is
// placed already, whose grant was lost on its way, is placed anew.
func (s *Scheduler) Reserve(now time.Time, entry string, j Job) ReserveReply {
	s.heard[entry] = now
	s.expire(now)
	if old := s.jobs[j.ID]; old != nil {
		s.end(now, old)
	}
	reply := s.reserve(now, j)
	if placed := s.jobs[j.ID]; placed != nil {
		placed.entry = entry
	}
	return reply
}

func (s *Scheduler) reserve(now time.Time, j Job) ReserveReply {
	if s.long(&j) {
		return s.reserveLong(now, j)
	}
	return s.reserveShort(now, j)
}

// place adds the shares of a job to the replicas of a choice and returns its grant.
func (s *Scheduler) place(now time.Time, j Job, c choice) Grant {
	placed := &job{
		Job: j, replicas: c.replicas, granted: now,
		due: now.Add(j.Objective - j.Waited), expires: now.Add(j.Left),
	}
	s.jobs[j.ID] = placed
	grant := Grant{Urgency: urgency(j), First: c.first}
	parts := len(c.replicas)
	for i, r := range c.replicas {
		t := &share{
			job: placed, head: i == 0, divided: parts > 1, memory: c.memory[i], context: j.Prompt/parts + j.Output/2,
			read: s.occupied(r, j.Prompt, parts),
		}
		r.add(now, t)
		grant.Members = append(grant.Members, Member{Endpoint: r.record.ID, Address: r.record.Address, Hold: c.hold[i]})
	}
	s.spoil(now, c.replicas)
	count, context := c.replicas[0].writers()
	grant.Pass = c.replicas[0].scaled(s.engine.PassTime(count+1, context+j.Prompt/parts))
	return grant
}

// spoil marks the jobs whose streams the reading at some replicas delays beyond their objective.
func (s *Scheduler) spoil(now time.Time, replicas []*replica) {
	for _, r := range replicas {
		pass := s.passWith(now, r, 0)
		for _, t := range r.shares {
			if t.head && !t.reading && t.job.MaxPause > 0 && pass > t.job.MaxPause {
				t.job.spoiled = true
			}
		}
	}
}

// urgency ranks a job at its engines: by priority first, then by the length of its prompt.
func urgency(j Job) int {
	const longest = 9
	rank := 2 * min(j.Priority, 3)
	switch {
	case j.Prompt > 100_000:
		rank += 2
	case j.Prompt > 20_000:
		rank++
	}
	return min(longest, rank)
}

// Report takes what an entry says of a job.
func (s *Scheduler) Report(now time.Time, entry string, e Event) {
	s.heard[entry] = now
	s.expire(now)
	if e.Type == Adopted {
		s.adopt(now, e)
		if placed := s.jobs[e.Job.ID]; placed != nil {
			placed.entry = entry
		}
		return
	}
	delete(s.waiting, e.Job.ID)
	j := s.jobs[e.Job.ID]
	if j == nil {
		s.judge(now, e)
		return
	}
	if e.Type == FirstEvent {
		s.firstEvent(now, j, e)
		return
	}
	s.judgePause(j, e)
	s.judge(now, e)
	s.end(now, j)
}

func (s *Scheduler) adopt(now time.Time, e Event) {
	if s.jobs[e.Job.ID] != nil || e.Job.Left <= 0 {
		return
	}
	c := choice{}
	for i, m := range e.Grant.Members {
		r := s.replicas[m.Endpoint]
		if r == nil {
			continue
		}
		c.replicas = append(c.replicas, r)
		c.memory = append(c.memory, m.Hold)
		c.hold = append(c.hold, m.Hold)
		if i == 0 && m.Hold == 0 {
			c.memory[0] = need(&e.Job)
		}
	}
	if len(c.replicas) == 0 {
		return
	}
	s.place(now, e.Job, c)
	if !e.Reading {
		s.read(now, s.jobs[e.Job.ID])
	}
}

// firstEvent notes that a prompt is read, and compares the time that it took with the declared one.
func (s *Scheduler) firstEvent(now time.Time, j *job, e Event) {
	if !j.first.IsZero() {
		return
	}
	j.first = now
	s.read(now, j)
	if now.After(j.due) {
		j.spoiled = true
	}
	if r := s.replicas[e.Endpoint]; r != nil {
		r.succeeded()
	}
}

// read ends the reading of all shares of a job.
func (s *Scheduler) read(now time.Time, j *job) {
	for _, r := range j.replicas {
		for _, t := range r.shares {
			if t.job == j {
				r.done(now, t)
			}
		}
	}
}

// judgePause compares the undisturbed pause of an ended stream with that which the writers at its engine explain.
func (s *Scheduler) judgePause(j *job, e Event) {
	r := s.replicas[e.Endpoint]
	if r == nil || e.Pause <= 0 || len(j.replicas) != 1 {
		return
	}
	count, context := r.writers()
	r.measure(e.Pause, s.engine.PassTime(max(1, count), context))
}

// judge notes how an engine ended a job.
func (s *Scheduler) judge(now time.Time, e Event) {
	r := s.replicas[e.Endpoint]
	if r == nil {
		return
	}
	switch e.Type {
	case Finished:
		r.succeeded()
	case Failed:
		r.failed()
	case Unreached:
		r.notReached(now)
	}
}

func (s *Scheduler) end(now time.Time, j *job) {
	for _, r := range j.replicas {
		for _, t := range slices.Clone(r.shares) {
			if t.job == j {
				r.remove(now, t)
			}
		}
	}
	delete(s.jobs, j.ID)
}

// expiryGrace is how long a job is kept after its time limit, for an end that is reported late.
const expiryGrace = 500 * time.Millisecond

// entrySilence is how long an entry is not heard of before its jobs count as ended: an entry that is killed
// closes its connections, and engines drop what they run for it.
const entrySilence = 3 * wholeInterval

// expire ends the jobs whose time is over, and those of entries that are gone.
func (s *Scheduler) expire(now time.Time) {
	for _, j := range s.jobs {
		if now.After(j.expires.Add(expiryGrace)) || now.Sub(s.heard[j.entry]) > entrySilence {
			s.end(now, j)
		}
	}
}

// keepGrace is the age of a job below which it is kept although its entry does not name it: the grant may
// still be on its way.
const keepGrace = 200 * time.Millisecond

// Keep ends the jobs of an entry that are not among those that run there. A dispatcher that was passed over
// for a while has not heard of their ends.
func (s *Scheduler) Keep(now time.Time, entry string, running []string) {
	s.heard[entry] = now
	for _, j := range s.jobs {
		if j.entry == entry && now.Sub(j.granted) > keepGrace && !slices.Contains(running, j.ID) {
			s.end(now, j)
		}
	}
}

// Running returns the number of jobs.
func (s *Scheduler) Running() int {
	return len(s.jobs)
}
