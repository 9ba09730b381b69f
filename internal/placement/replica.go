package placement

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

const (
	// paceSmoothing is the share of a new measurement in the moving average of an engine's pace.
	paceSmoothing = 0.25
	// maxPace bounds the pace; a pace of 1 is that of the declaration.
	maxPace = 16
	// failureSmoothing is the share of a new outcome in the moving average of an engine's failures.
	failureSmoothing = 0.25
	// firstAvoidance and maxAvoidance bound the time for which an engine that could not be reached gets no
	// work; it doubles with each failure in a row.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 8 * time.Second
)

// replica is the view of one engine.
type replica struct {
	record registration.Record
	shares []*share
	// reads is when the reading that is placed here is expected to end.
	reads time.Time
	// memory is in tokens, of all shares here.
	memory int
	// pace is the ratio of measured to declared times.
	pace float64
	// failures is the moving average of outcomes: 0 when all are good, 1 when all fail.
	failures float64
	// unreached counts failures to reach the engine in a row; it is avoided until then.
	unreached    int
	avoidedUntil time.Time
}

// share is the part of a job at one engine.
type share struct {
	job *job
	// read is the time of reading, end when it is expected to be done.
	read time.Duration
	end  time.Time
	// memory and context are in tokens.
	memory  int
	context int
	head    bool
	reading bool
	// divided says that other engines read parts of the same prompt.
	divided bool
}

// job is a placed job.
type job struct {
	Job
	// entry is the process that has the job.
	entry    string
	replicas []*replica
	granted  time.Time
	// due is when the first event is due by the objective, expires when nothing can run any more.
	due     time.Time
	expires time.Time
	first   time.Time
	// spoiled says that the objective cannot be met any more, so that further delay costs little.
	spoiled bool
}

func (r *replica) usable(now time.Time) bool {
	return r.record.State == registration.Ready && !now.Before(r.avoidedUntil)
}

// writers counts the requests that write here, and their context in tokens.
func (r *replica) writers() (count, context int) {
	for _, t := range r.shares {
		if t.head && !t.reading {
			count++
			context += t.context
		}
	}
	return count, context
}

// heads counts the requests that are answered here.
func (r *replica) heads() int {
	count := 0
	for _, t := range r.shares {
		if t.head {
			count++
		}
	}
	return count
}

const (
	// overdueRest is the time that reading which should have ended is expected to go on: an engine that got
	// another part then would read that one first, and the old one last.
	overdueRest = 15 * time.Millisecond
	// overdueLimit is how long after the expected end of reading the first event may come before the engine
	// counts as free all the same.
	overdueLimit = 4 * time.Second
)

// backlog is the time for which reading that is placed here goes on.
func (r *replica) backlog(now time.Time) time.Duration {
	rest := max(0, r.reads.Sub(now))
	for _, t := range r.shares {
		if late := now.Sub(t.end); t.reading && late > -overdueRest && late < overdueLimit {
			rest = max(rest, overdueRest)
		}
	}
	return rest
}

func (r *replica) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.pace)
}

// add places a share. Engines read the parts of divided prompts ahead of everything else.
func (r *replica) add(now time.Time, t *share) {
	t.reading = t.read > 0
	t.end = now.Add(r.backlog(now) + t.read)
	r.reads = t.end
	if t.divided {
		t.end = now.Add(t.read)
		for _, o := range r.shares {
			if o.reading {
				o.end = o.end.Add(t.read)
			}
		}
	}
	r.shares = append(r.shares, t)
	r.memory += t.memory
}

func (r *replica) remove(now time.Time, t *share) {
	r.done(now, t)
	r.shares = slices.DeleteFunc(r.shares, func(o *share) bool { return o == t })
	r.memory -= t.memory
}

// done ends the reading of a share. What is queued behind it moves by the difference to its expected end.
func (r *replica) done(now time.Time, t *share) {
	if !t.reading {
		return
	}
	t.reading = false
	left := false
	shift := now.Sub(t.end)
	for _, o := range r.shares {
		if o.reading && !o.end.Before(t.end) {
			left = true
			o.end = o.end.Add(shift)
		}
	}
	if !left {
		r.reads = now
		return
	}
	r.reads = r.reads.Add(shift)
}

// measure moves the pace by a measured time and the declared one.
func (r *replica) measure(measured, declared time.Duration) {
	if measured <= 0 || declared <= 0 {
		return
	}
	ratio := min(maxPace, max(1, measured.Seconds()/declared.Seconds()))
	r.pace += paceSmoothing * (ratio - r.pace)
}

func (r *replica) succeeded() {
	r.failures -= failureSmoothing * r.failures
	r.unreached = 0
	r.avoidedUntil = time.Time{}
}

func (r *replica) failed() {
	r.failures += failureSmoothing * (1 - r.failures)
}

func (r *replica) notReached(now time.Time) {
	r.failed()
	avoid := min(maxAvoidance, firstAvoidance<<min(r.unreached, 10))
	r.unreached++
	r.avoidedUntil = now.Add(avoid)
}
