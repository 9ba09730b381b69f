package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Scheduler holds the state of the engines of one service and decides on all requests to them. Its methods do no I/O
// and take the time as an argument. It is not safe for concurrent use.
type Scheduler struct {
	engine   routing.Engine
	replicas map[string]*replica
	// sortedReplicas are the replicas sorted by id, so that decisions do not depend on map order.
	sortedReplicas []*replica
	jobs           map[string]*job
	// waiting are the long prompts that wait for free engines, by job id.
	waiting map[string]*waitingJob
	// reservation keeps engines for one of the waiting prompts; nil if none needs them.
	reservation *advanceReservation
	// wideShare and otherShare are moving averages of the shares of long prompts that were placed: of those that need many
	// engines, and of the others.
	wideShare, otherShare float64
	// lastHeard is when each entry last made a call, lastQueried when it was last asked for its jobs.
	lastHeard   map[string]time.Time
	lastQueried map[string]time.Time
	// ownJobsOnly says that the scheduler sees the requests of one entry only.
	ownJobsOnly bool
	// startedAt is the time of the first update.
	startedAt time.Time
}

// NewScheduler returns a scheduler without engines.
func NewScheduler(engine routing.Engine) *Scheduler {
	return &Scheduler{engine: engine.WithDefaults(), replicas: make(map[string]*replica), jobs: make(map[string]*job), waiting: make(map[string]*waitingJob), wideShare: 1, otherShare: 1, lastHeard: make(map[string]time.Time), lastQueried: make(map[string]time.Time)}
}

// UseEngine replaces the declared times of the engines.
func (s *Scheduler) UseEngine(engine routing.Engine) {
	s.engine = engine.WithDefaults()
}

// Update replaces the registered endpoints of the service. Jobs on an endpoint that is gone or was restarted have ended.
func (s *Scheduler) Update(now time.Time, records []registration.Record) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	known := make(map[string]bool, len(records))
	for _, record := range records {
		known[record.ID] = true
		r := s.replicas[record.ID]
		if r == nil || r.record.Started != record.Started {
			s.removeReplica(now, record.ID)
			r = &replica{slowdown: 1, backlogEnd: now}
			r.cold.creditFrom = s.startedAt.Add(coldWindow)
			s.replicas[record.ID] = r
		}
		r.cold.learn(now, r.record, record)
		r.record = record
	}
	for id := range s.replicas {
		if !known[id] {
			s.removeReplica(now, id)
		}
	}
	s.sortedReplicas = s.sortedReplicas[:0]
	for _, r := range s.replicas {
		s.sortedReplicas = append(s.sortedReplicas, r)
	}
	slices.SortFunc(s.sortedReplicas, func(a, b *replica) int { return cmp.Compare(a.record.ID, b.record.ID) })
	for i, r := range s.sortedReplicas {
		r.position = float64(i) / float64(len(s.sortedReplicas))
	}
}

func (s *Scheduler) removeReplica(now time.Time, id string) {
	r := s.replicas[id]
	if r == nil {
		return
	}
	for _, part := range slices.Clone(r.jobParts) {
		s.endJob(now, part.job)
	}
	delete(s.replicas, id)
}

// Reserve places a job, tells it when to ask again, or rejects it if it cannot be served in its time. A job that is
// already placed is placed again, because its grant was lost on the way.
func (s *Scheduler) Reserve(now time.Time, entry string, j Job) ReserveReply {
	s.lastHeard[entry] = now
	s.expireJobs(now)
	if old := s.jobs[j.ID]; old != nil {
		s.endJob(now, old)
	}
	reply := s.reserve(now, j)
	if placed := s.jobs[j.ID]; placed != nil {
		placed.entry = entry
	}
	return reply
}

func (s *Scheduler) reserve(now time.Time, j Job) ReserveReply {
	if s.isLongPrompt(&j) {
		return s.reserveLong(now, j)
	}
	return s.reserveShort(now, j)
}

// place adds the parts of a job to the replicas of an assignment and returns its grant.
func (s *Scheduler) place(now time.Time, j Job, c assignment) Grant {
	placed := &job{
		Job: j, replicas: c.replicas, grantedAt: now,
		firstEventDue: now.Add(j.Objective - j.Waited), expires: now.Add(j.Left),
	}
	s.jobs[j.ID] = placed
	grant := Grant{Urgency: urgency(j), First: c.timeToFirstEvent}
	parts := len(c.replicas)
	for i, r := range c.replicas {
		part := &jobPart{
			job: placed, primary: i == 0, divided: parts > 1, memory: c.memory[i], context: j.Prompt/parts + j.Output/2,
			prefillTime: s.prefillTimeAt(r, j.Prompt, parts),
			reading:     reading{unread: j.Prompt / parts, perToken: s.engine.PrefillTimePerToken(j.Prompt)},
		}
		s.advancePasses(now, r)
		r.add(now, part)
		r.cold.record(now)
		grant.Members = append(grant.Members, Member{Endpoint: r.record.ID, Started: r.record.Started, Address: r.record.Address, Hold: c.reserved[i]})
	}
	s.markMissedObjectives(now, c.replicas)
	count, context := c.replicas[0].decoding()
	grant.Pass = c.replicas[0].scaleBySlowdown(s.engine.DecodePassTime(count+1, context+j.Prompt/parts))
	return grant
}

// markMissedObjectives marks the jobs whose streams are paused for too long by the prefill at some replicas.
func (s *Scheduler) markMissedObjectives(now time.Time, replicas []*replica) {
	for _, r := range replicas {
		pause := s.expectedPause(now, r, 0)
		for _, part := range r.jobParts {
			if part.primary && !part.prefilling && part.job.MaxPause > 0 && pause > part.job.MaxPause {
				part.job.objectiveMissed = true
			}
		}
	}
}

// urgency returns the rank of a job at its engines: by priority first, then by the length of its prompt.
func urgency(j Job) int {
	const leastUrgent = 9
	rank := 2 * min(j.Priority, 3)
	switch {
	case j.Prompt > 100_000:
		rank += 2
	case j.Prompt > 20_000:
		rank++
	}
	return min(leastUrgent, rank)
}

// Report applies an event of a job that an entry reports.
func (s *Scheduler) Report(now time.Time, entry string, e Event) {
	s.lastHeard[entry] = now
	s.expireJobs(now)
	if e.Leaving {
		s.markLeaving(e)
	}
	if e.Type == Adopted {
		s.adopt(now, e)
		if placed := s.jobs[e.Job.ID]; placed != nil {
			placed.entry = entry
		}
		return
	}
	s.leave(now, e.Job.ID)
	j := s.jobs[e.Job.ID]
	if j == nil {
		s.recordOutcome(now, e)
		return
	}
	if e.Type == FirstEvent {
		s.firstEvent(now, j, e)
		return
	}
	s.measureSlowdown(j, e)
	s.recordOutcome(now, e)
	s.endJob(now, j)
}

// markLeaving takes the engine that an event names out of use, unless it has started anew since.
func (s *Scheduler) markLeaving(e Event) {
	if r := s.replicas[e.Endpoint]; r != nil && r.record.Started == e.Started {
		r.leaving = true
	}
}

func (s *Scheduler) adopt(now time.Time, e Event) {
	if s.jobs[e.Job.ID] != nil || e.Job.Left <= 0 {
		return
	}
	c := assignment{}
	for i, m := range e.Grant.Members {
		r := s.replicas[m.Endpoint]
		if r == nil {
			continue
		}
		c.replicas = append(c.replicas, r)
		c.memory = append(c.memory, m.Hold)
		c.reserved = append(c.reserved, m.Hold)
		if i == 0 && m.Hold == 0 {
			c.memory[0] = memoryNeed(&e.Job)
		}
	}
	if len(c.replicas) == 0 {
		return
	}
	s.place(now, e.Job, c)
	if !e.Reading {
		s.endJobPrefill(now, s.jobs[e.Job.ID])
	}
}

// firstEvent records that the prompt of a job is prefilled, and whether its objective was missed.
func (s *Scheduler) firstEvent(now time.Time, j *job, e Event) {
	if !j.firstEventAt.IsZero() {
		return
	}
	j.firstEventAt = now
	s.endJobPrefill(now, j)
	if now.After(j.firstEventDue) {
		j.objectiveMissed = true
	}
	if r := s.replicas[e.Endpoint]; r != nil {
		r.recordSuccess()
		s.syncPass(now, r)
	}
}

// endJobPrefill ends the prefill of all parts of a job.
func (s *Scheduler) endJobPrefill(now time.Time, j *job) {
	for _, r := range j.replicas {
		for _, part := range r.jobParts {
			if part.job == j {
				r.endPrefill(now, part)
			}
		}
	}
}

// measureSlowdown compares the undisturbed pause of an ended stream with the declared one for the streams that decode at
// its engine.
func (s *Scheduler) measureSlowdown(j *job, e Event) {
	r := s.replicas[e.Endpoint]
	if r == nil || e.Pause <= 0 || len(j.replicas) != 1 {
		return
	}
	count, context := r.decoding()
	r.updateSlowdown(e.Pause, s.engine.DecodePassTime(max(1, count), context))
}

// recordOutcome records whether an engine completed a job, failed or was not reached.
func (s *Scheduler) recordOutcome(now time.Time, e Event) {
	r := s.replicas[e.Endpoint]
	if r == nil {
		return
	}
	switch e.Type {
	case Finished:
		r.recordSuccess()
	case Failed:
		r.recordFailure()
	case Unreached:
		r.recordUnreached(now)
	}
}

func (s *Scheduler) endJob(now time.Time, j *job) {
	for _, r := range j.replicas {
		for _, part := range slices.Clone(r.jobParts) {
			if part.job == j {
				r.remove(now, part)
			}
		}
	}
	delete(s.jobs, j.ID)
}

// expiryGrace is how long a job is kept after its time limit, so that a late report of its end still finds it.
const expiryGrace = 500 * time.Millisecond

// maxEntrySilence is the silence of an entry after which its jobs count as ended: an entry that is killed closes its
// connections, and engines cancel what they run for it.
const maxEntrySilence = 3 * fullReportInterval

// expireJobs ends the jobs whose time limit has passed, and those of entries that are gone.
func (s *Scheduler) expireJobs(now time.Time) {
	for _, j := range s.jobs {
		if now.After(j.expires.Add(expiryGrace)) || now.Sub(s.lastHeard[j.entry]) > maxEntrySilence {
			s.endJob(now, j)
		}
	}
}

// keepGrace is the age of a job up to which it is kept although its entry does not name it: the grant may still be on
// its way.
const keepGrace = 200 * time.Millisecond

// RetainRunning ends the jobs of an entry that are not in its list of running jobs. A dispatcher that was skipped for a
// while missed the events that ended them.
func (s *Scheduler) RetainRunning(now time.Time, entry string, running []string) {
	s.lastHeard[entry] = now
	for _, j := range s.jobs {
		if j.entry == entry && now.Sub(j.grantedAt) > keepGrace && !slices.Contains(running, j.ID) {
			s.endJob(now, j)
		}
	}
}

// Running returns the number of jobs.
func (s *Scheduler) Running() int {
	return len(s.jobs)
}
