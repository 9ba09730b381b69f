package placement

import (
	"slices"
	"time"
)

const (
	// minPollInterval and maxPollInterval bound the pause before a waiting job asks again.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 60 * time.Millisecond
	// waitingJobExpiry is the time since its last request after which a waiting job is dropped.
	waitingJobExpiry = 4 * maxPollInterval
)

// waitingJob is a long prompt that waits for engines.
type waitingJob struct {
	job Job
	// lastRequest is when the job last asked for engines, prefillTime the time in which one engine prefills its prompt.
	lastRequest time.Time
	prefillTime time.Duration
	// reserved says that engines have been reserved for the job.
	reserved bool
}

// waited returns the time since the arrival of the request.
func (w *waitingJob) waited(now time.Time) time.Duration {
	return w.job.Waited + now.Sub(w.lastRequest)
}

// enqueue adds a job to the waiting ones or updates what is left of its time, and drops those that no longer ask.
func (s *Scheduler) enqueue(now time.Time, j Job) *waitingJob {
	for id, w := range s.waiting {
		if now.Sub(w.lastRequest) > waitingJobExpiry {
			s.leave(now, id)
		}
	}
	w := s.waiting[j.ID]
	if w == nil {
		w = &waitingJob{prefillTime: s.engine.PrefillTime(j.Prompt, 1)}
		s.waiting[j.ID] = w
	}
	w.job, w.lastRequest = j, now
	return w
}

// left returns the remainder of the time limit.
func (w *waitingJob) left(now time.Time) time.Duration {
	return w.job.Left - now.Sub(w.lastRequest)
}

// leave removes a job that asks no more from the waiting ones, if it is there. One that leaves before its time has passed
// waits in another cell, or its caller has disconnected: that says nothing about the engines here.
func (s *Scheduler) leave(now time.Time, id string) {
	w := s.waiting[id]
	if w == nil {
		return
	}
	if w.left(now) <= waitingJobExpiry {
		s.recordPlaced(w, false)
	}
	s.dequeue(w)
}

// dequeue removes a job from the waiting ones.
func (s *Scheduler) dequeue(w *waitingJob) {
	delete(s.waiting, w.job.ID)
	if s.reservation != nil && s.reservation.job == w {
		s.reservation = nil
	}
}

// nextWaitingJob returns the job with the highest value for each second of prefill.
func (s *Scheduler) nextWaitingJob(now time.Time, usable []*replica) *waitingJob {
	var first *waitingJob
	bestRate := -1.0
	for _, id := range sortedIDs(s.waiting) {
		w := s.waiting[id]
		if rate := s.valueRate(now, w, usable); rate > bestRate {
			first, bestRate = w, rate
		}
	}
	return first
}

const (
	// lastStartWindow is the time before the latest possible start of a job in which it is preferred, and lastStartFactor
	// the factor by which its value grows then.
	lastStartWindow = 1500 * time.Millisecond
	lastStartFactor = 4
	// prefillOffset is added to prefill times that are compared, so that very short ones do not dominate.
	prefillOffset = 20 * time.Millisecond
)

// valueRate returns the value of a job for each second of prefill. A job that can no longer meet its objective has less
// value, and more again when this is the last moment to serve it.
func (s *Scheduler) valueRate(now time.Time, w *waitingJob, usable []*replica) float64 {
	ideal, _ := s.idealFirstEvent(now, &w.job, usable)
	value := jobValue(&w.job)
	if w.waited(now)+ideal > w.job.Objective {
		value *= 1 - missedObjectivePenalty
		if w.left(now)-ideal < lastStartWindow {
			value *= lastStartFactor
		}
	}
	return value / (w.prefillTime + prefillOffset).Seconds()
}

func sortedIDs(waiting map[string]*waitingJob) []string {
	ids := make([]string, 0, len(waiting))
	for id := range waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// maxBacklogWhenLate is the prefill backlog ahead of a job beyond which it is rejected if it is already late.
const maxBacklogWhenLate = 3 * time.Second

// backlogAhead returns the time in which the engines prefill the waiting jobs with a higher value rate.
func (s *Scheduler) backlogAhead(now time.Time, w *waitingJob, usable []*replica) time.Duration {
	prefillers := 0
	for _, r := range usable {
		if r.tightStreams() == 0 {
			prefillers++
		}
	}
	ownRate := s.valueRate(now, w, usable)
	var sum time.Duration
	for _, other := range s.waiting {
		if other != w && s.valueRate(now, other, usable) > ownRate {
			sum += other.prefillTime
		}
	}
	return sum / time.Duration(max(1, prefillers))
}

const (
	// idleEngineValue is the value of a second of an engine while no other long prompt waits.
	idleEngineValue = 0.05
	// waitingValueShare is the share of a waiting prompt's value rate at which a second of an engine is valued.
	waitingValueShare = 0.15
)

// engineValue returns the value of a second of one engine to the prompts that wait behind one.
func (s *Scheduler) engineValue(now time.Time, next *waitingJob, usable []*replica) float64 {
	value := idleEngineValue
	for _, w := range s.waiting {
		if w != next {
			value = max(value, waitingValueShare*s.valueRate(now, w, usable))
		}
	}
	return value
}

// waitReply tells a job to ask again when the next engine is expected to be free.
func (s *Scheduler) waitReply(now time.Time, usable []*replica, reason string) ReserveReply {
	next := maxPollInterval
	for _, r := range usable {
		if b := r.backlog(now); b > 0 {
			next = min(next, b)
		}
	}
	return ReserveReply{Status: Wait, After: min(maxPollInterval, max(minPollInterval, next)), Reason: reason}
}
