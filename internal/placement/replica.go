package placement

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

const (
	// slowdownSmoothing is the weight of a new measurement in the moving average of an engine's slowdown.
	slowdownSmoothing = 0.25
	// maxSlowdown bounds the slowdown; 1 means that the engine is as fast as declared.
	maxSlowdown = 16
	// failureSmoothing is the weight of a new outcome in the moving average of an engine's failures.
	failureSmoothing = 0.25
	// minEngineBackOff and maxEngineBackOff bound the time for which an engine that could not be reached gets no work; it
	// doubles with each consecutive failure.
	minEngineBackOff = 500 * time.Millisecond
	maxEngineBackOff = 8 * time.Second
)

// replica is what the scheduler knows of one engine: its registration, the work placed there and how it performed.
type replica struct {
	record   registration.Record
	jobParts []*jobPart
	// backlogEnd is when the prefill that is placed here is expected to end.
	backlogEnd time.Time
	// memory is in tokens, for all parts placed here.
	memory int
	// slowdown is the ratio of measured to declared times.
	slowdown float64
	// failures is the moving average of outcomes: 0 when all are good, 1 when all fail.
	failures float64
	// consecutiveUnreached counts consecutive failures to reach the engine; until avoidedUntil it gets no work.
	consecutiveUnreached int
	avoidedUntil         time.Time
	// leaving says that the engine has announced in a response that it takes no more requests. Its registration may
	// still say that it is ready.
	leaving bool
	cold    coldLimit
	pass    passModel
	// position is the place in the sorted list of engines, from 0 to 1.
	position float64
}

// jobPart is the part of a job at one engine.
type jobPart struct {
	job *job
	// prefillTime is how long the prefill takes, prefillEnd when it is expected to end.
	prefillTime time.Duration
	prefillEnd  time.Time
	// memory and context are in tokens.
	memory     int
	context    int
	primary    bool
	prefilling bool
	// divided says that other engines prefill parts of the same prompt.
	divided bool
	reading reading
}

// job is a placed job.
type job struct {
	Job
	// entry is the process that serves the job's caller.
	entry     string
	replicas  []*replica
	grantedAt time.Time
	// firstEventDue is when the first event is due by the objective, expires when the time limit ends the job.
	firstEventDue time.Time
	expires       time.Time
	firstEventAt  time.Time
	// objectiveMissed says that the objective can no longer be met, so that further delay costs little.
	objectiveMissed bool
}

func (r *replica) usable(now time.Time) bool {
	return r.record.State == registration.Ready && !r.leaving && !now.Before(r.avoidedUntil)
}

// decoding returns the number of requests that are decoding here, and the length of their context in tokens.
func (r *replica) decoding() (count, context int) {
	for _, part := range r.jobParts {
		if part.primary && !part.prefilling {
			count++
			context += part.context
		}
	}
	return count, context
}

// primaryCount returns the number of requests of which this is the primary engine.
func (r *replica) primaryCount() int {
	count := 0
	for _, part := range r.jobParts {
		if part.primary {
			count++
		}
	}
	return count
}

const (
	// overduePrefillRemaining is the time for which overdue prefill is expected to go on. The engine does not count as
	// free, because it would prefill another part first and the old one last.
	overduePrefillRemaining = 15 * time.Millisecond
	// overduePrefillLimit is how long after the expected end of prefill the first event may come before the engine counts
	// as free nevertheless.
	overduePrefillLimit = 4 * time.Second
)

// backlog returns the time until the prefill that is placed here ends.
func (r *replica) backlog(now time.Time) time.Duration {
	remaining := max(0, r.backlogEnd.Sub(now))
	for _, part := range r.jobParts {
		if late := now.Sub(part.prefillEnd); part.prefilling && late > -overduePrefillRemaining && late < overduePrefillLimit {
			remaining = max(remaining, overduePrefillRemaining)
		}
	}
	return remaining
}

func (r *replica) scaleBySlowdown(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.slowdown)
}

// add places a part. Engines prefill the parts of divided prompts ahead of everything else.
func (r *replica) add(now time.Time, part *jobPart) {
	part.prefilling = part.prefillTime > 0
	part.prefillEnd = now.Add(r.backlog(now) + part.prefillTime)
	r.backlogEnd = part.prefillEnd
	if part.divided {
		part.prefillEnd = now.Add(part.prefillTime)
		for _, other := range r.jobParts {
			if other.prefilling {
				other.prefillEnd = other.prefillEnd.Add(part.prefillTime)
			}
		}
	}
	r.jobParts = append(r.jobParts, part)
	r.memory += part.memory
}

func (r *replica) remove(now time.Time, part *jobPart) {
	r.endPrefill(now, part)
	r.jobParts = slices.DeleteFunc(r.jobParts, func(other *jobPart) bool { return other == part })
	r.memory -= part.memory
}

// endPrefill ends the prefill of a part. The expected end of what is queued behind it shifts by the difference between
// the actual and the expected end.
func (r *replica) endPrefill(now time.Time, part *jobPart) {
	part.reading = reading{done: true}
	if !part.prefilling {
		return
	}
	part.prefilling = false
	queuedBehind := false
	shift := now.Sub(part.prefillEnd)
	for _, other := range r.jobParts {
		if other.prefilling && !other.prefillEnd.Before(part.prefillEnd) {
			queuedBehind = true
			other.prefillEnd = other.prefillEnd.Add(shift)
		}
	}
	if !queuedBehind {
		r.backlogEnd = now
		return
	}
	r.backlogEnd = r.backlogEnd.Add(shift)
}

// updateSlowdown updates the moving average with the ratio of a measured time to the declared one.
func (r *replica) updateSlowdown(measured, declared time.Duration) {
	if measured <= 0 || declared <= 0 {
		return
	}
	ratio := min(maxSlowdown, max(1, measured.Seconds()/declared.Seconds()))
	r.slowdown += slowdownSmoothing * (ratio - r.slowdown)
}

func (r *replica) recordSuccess() {
	r.failures -= failureSmoothing * r.failures
	r.consecutiveUnreached = 0
	r.avoidedUntil = time.Time{}
}

func (r *replica) recordFailure() {
	r.failures += failureSmoothing * (1 - r.failures)
}

func (r *replica) recordUnreached(now time.Time) {
	r.recordFailure()
	pause := min(maxEngineBackOff, minEngineBackOff<<min(r.consecutiveUnreached, 10))
	r.consecutiveUnreached++
	r.avoidedUntil = now.Add(pause)
}
