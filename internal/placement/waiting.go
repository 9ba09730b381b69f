package placement

import (
	"slices"
	"time"
)

const (
	// waitMin and waitMax bound the pause between two questions of a job that waits.
	waitMin = 20 * time.Millisecond
	waitMax = 60 * time.Millisecond
	// forgetWaiter is the silence after which a waiting job is forgotten.
	forgetWaiter = 4 * waitMax
)

// waiter is a long prompt that waits for engines.
type waiter struct {
	job Job
	// asked is when the job was asked for last, read the time in which one engine reads its prompt.
	asked time.Time
	read  time.Duration
}

// waited is the time since the arrival of the request.
func (w *waiter) waited(now time.Time) time.Duration {
	return w.job.Waited + now.Sub(w.asked)
}

// enqueue notes that a job waits, with what is left of its time.
func (s *Scheduler) enqueue(now time.Time, j Job) *waiter {
	for id, w := range s.waiting {
		if now.Sub(w.asked) > forgetWaiter {
			delete(s.waiting, id)
		}
	}
	w := s.waiting[j.ID]
	if w == nil {
		w = &waiter{read: s.engine.ReadTime(j.Prompt, 1)}
		s.waiting[j.ID] = w
	}
	w.job, w.asked = j, now
	return w
}

// firstWaiter returns the job that gains most for each second of reading.
func (s *Scheduler) firstWaiter(now time.Time, usable []*replica) *waiter {
	var first *waiter
	best := -1.0
	for _, id := range sortedIDs(s.waiting) {
		w := s.waiting[id]
		if gain := s.gain(now, w, usable); gain > best {
			first, best = w, gain
		}
	}
	return first
}

const (
	// lastChance is the time before the latest start of a job from which it goes first, and chanceGain how
	// much it gains by that.
	lastChance = 1500 * time.Millisecond
	chanceGain = 4
	// readFloor is added to reading times that are compared.
	readFloor = 20 * time.Millisecond
)

// gain is the worth of a job for each second of reading: less when its objective cannot be met any more, more
// when it is served soon or never.
func (s *Scheduler) gain(now time.Time, w *waiter, usable []*replica) float64 {
	ideal, _ := s.ideal(now, &w.job, usable)
	worth := weight(&w.job)
	if w.waited(now)+ideal > w.job.Objective {
		worth *= 1 - lateLoss
		if left := w.job.Left - now.Sub(w.asked) - ideal; left < lastChance {
			worth *= chanceGain
		}
	}
	return worth / (w.read + readFloor).Seconds()
}

func sortedIDs(waiting map[string]*waiter) []string {
	ids := make([]string, 0, len(waiting))
	for id := range waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// hopelessWait is the reading ahead of a job that is late already from which it is not kept waiting.
const hopelessWait = 3 * time.Second

// ahead is the time in which the engines read the waiting jobs that gain more.
func (s *Scheduler) ahead(now time.Time, w *waiter, usable []*replica) time.Duration {
	readers := 0
	for _, r := range usable {
		if r.tight() == 0 {
			readers++
		}
	}
	own := s.gain(now, w, usable)
	var sum time.Duration
	for _, o := range s.waiting {
		if o != w && s.gain(now, o, usable) > own {
			sum += o.read
		}
	}
	return sum / time.Duration(max(1, readers))
}

const (
	// idleWorth is the worth of a second of an engine while no other long prompt waits.
	idleWorth = 0.05
	// waitingShare is the share of what the next prompt gains in a second of reading.
	waitingShare = 0.15
)

// engineWorth is the worth of a second of one engine to the prompts that wait behind one.
func (s *Scheduler) engineWorth(now time.Time, next *waiter, usable []*replica) float64 {
	worth := idleWorth
	for _, w := range s.waiting {
		if w != next {
			worth = max(worth, waitingShare*s.gain(now, w, usable))
		}
	}
	return worth
}

// wait tells a job to ask again when the next engine is expected to be free.
func (s *Scheduler) wait(now time.Time, usable []*replica, reason string) ReserveReply {
	next := waitMax
	for _, r := range usable {
		if b := r.backlog(now); b > 0 {
			next = min(next, b)
		}
	}
	return ReserveReply{Status: Wait, After: min(waitMax, max(waitMin, next)), Reason: reason}
}
