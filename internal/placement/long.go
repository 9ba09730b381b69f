package placement

import (
	"math"
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
	// tightObjective is the longest objective of requests that do not wait for others to be read.
	tightObjective = 500 * time.Millisecond
	// tightPause is the longest pause of streams that need engines of their own.
	tightPause = 300 * time.Millisecond
)

// long reports whether the prompt of a job is divided. One whose objective is tight is not, as long as one
// engine reads it in half of that time.
func (s *Scheduler) long(j *Job) bool {
	read := s.engine.ReadTime(j.Prompt, 1)
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

func (s *Scheduler) tryLong(now time.Time, w *waiter, usable []*replica) ReserveReply {
	j := &w.job
	if len(usable) == 0 {
		return s.rejected(now, "no engine takes work")
	}
	ideal, latest := s.ideal(now, j, usable)
	if latest+ideal > j.Left && ideal > j.Left {
		return s.rejected(now, tooLate(ideal, j.Left))
	}
	if first := s.firstWaiter(now, usable); first != w {
		if j.Waited+ideal > j.Objective && latest+s.ahead(now, w, usable) > hopelessWait {
			return ReserveReply{Status: Rejected, After: max(retryMin, j.Left/returnShare), Reason: "too many long prompts that can be in time go first"}
		}
		return s.wait(now, usable, "another long prompt goes first")
	}
	best, ok := s.divide(now, j, s.free(now, usable), s.engineWorth(now, w, usable))
	switch {
	case ok && s.costly(j, best):
		return s.postpone(now, j, ideal, usable)
	case ok && betterSoon(j, best, latest, latest+ideal):
		return s.wait(now, usable, "more engines are free soon")
	case ok:
		return ReserveReply{Status: Granted, Grant: s.place(now, *j, best)}
	case latest > 0:
		return s.wait(now, usable, "no engine is free")
	default:
		return s.full(now, "no engines have slots and memory for the request")
	}
}

// betterSoon reports whether a job should wait for all engines to be free, at latest, and have its first event
// at soon: when it is late now and would be in time then.
func betterSoon(j *Job, best choice, latest, soon time.Duration) bool {
	return latest > 0 && lateness(j, best.first) >= lateLoss && lateness(j, soon) < lateLoss
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

// returnShare is the part of the time left, as a divisor, after which a postponed caller should return.
const returnShare = 3

// comingLoss is the part of the loss of running streams that those which come in a second of reading lose.
const comingLoss = 2

// costly reports whether a choice takes more from the streams beside it, and from those that come while it
// reads, than the request is worth.
func (s *Scheduler) costly(j *Job, c choice) bool {
	read := s.engine.ReadTime(j.Prompt, len(c.replicas))
	return c.harm*(1+comingLoss*read.Seconds()) >= weight(j)*(1-min(1, lateness(j, c.first)))
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
	return s.engine.ReadTime(j.Prompt, parts) + s.engine.PassTime(1, j.Prompt/parts), latest
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
