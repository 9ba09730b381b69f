package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// longRead is the reading time from which a prompt disturbs the streams beside it, and is divided.
	longRead = 60 * time.Millisecond
	// maxParts bounds the engines that read one prompt, the one that answers included.
	maxParts = 16
	// leastPart is the least part of a prompt, in tokens: each step of an engine has a cost of its own.
	leastPart = 8_000
	// freeWithin is the rest of reading with which an engine counts as free.
	freeWithin = 10 * time.Millisecond
	// waitMin and waitMax bound the pause between two questions of a job that waits.
	waitMin = 8 * time.Millisecond
	waitMax = 60 * time.Millisecond
	// forgetWaiter is the silence after which a waiting job is forgotten.
	forgetWaiter = 4 * waitMax
	// waitGain is the least loss to other streams that waiting must save.
	waitGain = 0.1
	// tightObjective is the longest objective of requests that do not wait for others to be read.
	tightObjective = 500 * time.Millisecond
	// tightPause is the longest pause of streams that need engines of their own.
	tightPause = 300 * time.Millisecond
)

// waiter is a long prompt that waits for engines.
type waiter struct {
	job   Job
	since time.Time
	asked time.Time
	read  time.Duration
}

// waited is the time since the arrival of the request.
func (w *waiter) waited(now time.Time) time.Duration {
	return w.job.Waited + now.Sub(w.asked)
}

// long reports whether the prompt of a job is divided. One whose objective is tight is not, as long as one
// engine reads it in half of that time.
func (s *Scheduler) long(j *Job) bool {
	read := s.profile.read(j.Prompt, 1)
	if j.Objective > 0 && j.Objective <= tightObjective {
		return read > j.Objective/2
	}
	return read > longRead
}

// reserveLong places long prompts one after the other, each divided over the engines that are free. It
// answers a burst of long prompts: engines read the part that came last first, so prompts that share engines
// all end late, while in turn most end in time. The shortest goes first among those that can be in time.
func (s *Scheduler) reserveLong(now time.Time, j Job) ReserveReply {
	w := s.enqueue(now, j)
	usable := s.usable(now, &j)
	reply := s.tryLong(now, w, usable)
	if reply.Status != Wait {
		delete(s.waiting, j.ID)
	}
	return reply
}

func (s *Scheduler) enqueue(now time.Time, j Job) *waiter {
	for id, w := range s.waiting {
		if now.Sub(w.asked) > forgetWaiter {
			delete(s.waiting, id)
		}
	}
	w := s.waiting[j.ID]
	if w == nil {
		w = &waiter{since: now, read: s.profile.read(j.Prompt, 1)}
		s.waiting[j.ID] = w
	}
	w.job, w.asked = j, now
	return w
}

func (s *Scheduler) tryLong(now time.Time, w *waiter, usable []*replica) ReserveReply {
	j := &w.job
	if len(usable) == 0 {
		return *s.rejected(now, "no engine takes work").reply
	}
	ideal, latest := s.ideal(now, j, usable)
	if latest+ideal > j.Left && ideal > j.Left {
		return *s.rejected(now, tooLate(ideal, j.Left)).reply
	}
	if first := s.firstWaiter(now, usable); first != w {
		if j.Waited+ideal > j.Objective && latest+s.ahead(now, w, usable) > hopelessWait {
			return ReserveReply{Status: Rejected, After: max(retryMin, j.Left/returnShare), Reason: "too many long prompts that can be in time go first"}
		}
		return s.wait(now, usable, "another long prompt goes first")
	}
	best, ok := s.divide(now, j, s.free(now, usable), s.engineWorth(now, w, usable))
	if ok && s.costly(j, best) {
		return s.postpone(now, j, ideal, usable)
	}
	soon := weight(j) * lateness(j, latest+ideal)
	switch {
	case ok && latest > 0 && best.harm > 0 && best.harm+weight(j)*lateness(j, best.first) > soon+waitGain:
		return s.wait(now, usable, "engines without streams are free soon")
	case ok && (lateness(j, best.first) < lateLoss || lateness(j, latest+ideal) >= lateLoss):
	case latest > 0:
		return s.wait(now, usable, "more engines are free soon")
	case !ok:
		return *s.rejected(now, "no engines have slots and memory for the request").reply
	}
	return ReserveReply{Status: Granted, Grant: s.place(now, *j, best)}
}

// postpone lets a job wait that would cost more than it is worth, as long as it can be in time. After that its
// caller is asked to return when the load may have changed, which leaves it as much time as waiting here.
func (s *Scheduler) postpone(now time.Time, j *Job, ideal time.Duration, usable []*replica) ReserveReply {
	const reason = "all engines write streams that the request would delay"
	after := j.Left / returnShare
	switch {
	case j.Waited+ideal <= j.Objective:
		return s.wait(now, usable, reason)
	case after+ideal+lastChance < j.Left || ideal+lastChance/2 > j.Left:
		return ReserveReply{Status: Rejected, After: max(retryMin, after), Reason: reason}
	default:
		return s.wait(now, usable, reason)
	}
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

// returnShare is the part of the time left, as a divisor, after which a postponed caller should return.
const returnShare = 3

// costly reports whether a choice takes more from the streams beside it, and from those that come while it
// reads, than the request is worth.
func (s *Scheduler) costly(j *Job, c choice) bool {
	read := s.profile.read(j.Prompt, len(c.replicas))
	return c.harm*(1+read.Seconds()) >= weight(j)*(1-min(1, lateness(j, c.first)))
}

// ideal returns the time to the first event with all engines that read long prompts, and the time until they
// are all free.
func (s *Scheduler) ideal(now time.Time, j *Job, usable []*replica) (first, latest time.Duration) {
	readers := 0
	for _, r := range usable {
		if r.tight() == 0 {
			readers++
			latest = max(latest, r.backlog(now))
		}
	}
	parts := max(1, min(readers, maxParts, j.Prompt/leastPart))
	return s.profile.read(j.Prompt, parts) + s.profile.pass(1, j.Prompt/parts), latest
}

// tight counts the streams of an engine that a long reading would delay beyond their objective.
func (r *replica) tight() int {
	count := 0
	for _, t := range r.shares {
		if t.head && !t.job.spoiled && t.job.MaxPause > 0 && t.job.MaxPause <= tightPause {
			count++
		}
	}
	return count
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

// free returns the engines that have read what was placed there.
func (s *Scheduler) free(now time.Time, usable []*replica) []*replica {
	var free []*replica
	for _, r := range usable {
		if r.backlog(now) <= freeWithin {
			free = append(free, r)
		}
	}
	return free
}

// divide returns the best number of engines for a prompt and which ones. worth is that of a second of one engine
// to other prompts: more engines end sooner, but each of them waits for passes and for the first event.
func (s *Scheduler) divide(now time.Time, j *Job, free []*replica, worth float64) (choice, bool) {
	best := choice{cost: math.Inf(1)}
	most := min(len(free), maxParts, max(1, j.Prompt/leastPart))
	for parts := 1; parts <= most; parts++ {
		c, ok := s.spread(now, j, free, parts)
		if !ok {
			continue
		}
		c.occupied = worth * float64(parts) * c.first.Seconds()
		c.cost += c.occupied
		if c.cost < best.cost {
			best = c
		}
	}
	return best, best.replicas != nil
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
