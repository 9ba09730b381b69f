package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// longPrefill is the prefill time from which a prompt disturbs the streams beside it and is divided.
	longPrefill = 60 * time.Millisecond
	// maxParts bounds the engines that prefill one prompt, including the primary.
	maxParts = 16
	// minPartTokens is the smallest part of a prompt: each step of an engine has a fixed cost.
	minPartTokens = 8_000
	// idleThreshold is the prefill backlog up to which an engine counts as free.
	idleThreshold = 10 * time.Millisecond
	// tightObjective is the longest objective of requests that do not wait behind the prefill of others.
	tightObjective = 500 * time.Millisecond
	// tightPause is the longest permitted pause of streams that must not share an engine with long prefills.
	tightPause = 300 * time.Millisecond
)

// isLongPrompt reports whether the prompt of a job is divided. A prompt with a tight objective is not, as long as one
// engine can prefill it in half of that time.
func (s *Scheduler) isLongPrompt(j *Job) bool {
	prefill := s.engine.PrefillTime(j.Prompt, 1)
	if j.Objective > 0 && j.Objective <= tightObjective {
		return prefill > j.Objective/2
	}
	return prefill > longPrefill
}

// reserveLong places long prompts one after the other, each divided over the engines that are free. Engines prefill the
// part that arrived last first, so in a burst, prompts that share engines would all end late, while in turn most of them
// end in time. Among those that can still be in time the shortest goes first.
func (s *Scheduler) reserveLong(now time.Time, j Job) ReserveReply {
	w := s.enqueue(now, j)
	s.updateReservation(now)
	reply := s.tryLong(now, w, s.usable(now, &j))
	if reply.Status != Wait {
		s.recordPlaced(w, reply.Status == Granted)
		s.dequeue(w)
	}
	if reply.Status == Rejected {
		reply.Engines = s.countEngines(now, &j)
	}
	return reply
}

func (s *Scheduler) tryLong(now time.Time, w *waitingJob, usable []*replica) ReserveReply {
	j := &w.job
	if len(usable) == 0 {
		return s.rejection(now, s.noEngineReason(now))
	}
	if s.reservation != nil && s.reservation.job == w {
		return s.tryReserved(now, w, usable)
	}
	if s.yields(now, j, usable) {
		return s.yieldRejection(j)
	}
	// Reserved engines count: they are free again in the time of most prompts.
	soonest := s.soonestFirstEvent(now, j, usable)
	if latest := s.latestFirstEvent(j); soonest > latest {
		return s.rejection(now, tooLateReason(soonest, latest))
	}
	usable = s.unreserved(now, j, usable)
	ideal, untilAllIdle := s.idealFirstEvent(now, j, usable)
	if next := s.nextWaitingJob(now, usable); next != w {
		if j.Waited+ideal > j.Objective && untilAllIdle+s.backlogAhead(now, w, usable) > maxBacklogWhenLate {
			return ReserveReply{Status: Rejected, After: max(minRetryAfter, j.Left/returnDivisor), Reason: "too many long prompts that can be in time go first"}
		}
		return s.waitReply(now, usable, "another long prompt goes first")
	}
	idle := s.idleReplicas(now, usable)
	best, ok := s.divide(now, j, idle, s.engineValue(now, w, usable))
	switch {
	case ok && s.costExceedsValue(j, best):
		return s.postpone(now, j, soonest, usable)
	case ok && s.betterLater(j, best, min(soonest+maxPollInterval, untilAllIdle+ideal)):
		return s.waitReply(now, usable, "more engines are free soon")
	case ok:
		return ReserveReply{Status: Granted, Grant: s.place(now, *j, best)}
	case untilAllIdle > 0 || len(idle) == 0:
		return s.waitReply(now, usable, "no engine is free")
	default:
		return s.fullRejection(now, "no engines have slots and memory for the request")
	}
}

// tryReserved places the prompt with the advance reservation as soon as its engines are free. It may use other idle engines
// as well.
func (s *Scheduler) tryReserved(now time.Time, w *waitingJob, usable []*replica) ReserveReply {
	j := &w.job
	reservation := s.reservation
	soonest, latest := s.soonestFirstEvent(now, j, usable), s.latestFirstEvent(j)
	if soonest > latest {
		return s.rejection(now, tooLateReason(soonest, latest))
	}
	if reservation.start.Sub(now) > idleThreshold {
		return s.waitReply(now, usable, "the reserved engines are not free yet")
	}
	best, ok := s.divide(now, j, s.idleReplicas(now, usable), idleEngineValue)
	if !ok {
		return s.waitReply(now, usable, "the reserved engines have no memory yet")
	}
	return ReserveReply{Status: Granted, Grant: s.place(now, *j, best)}
}

// betterLater reports whether a job should wait for more engines: if it is late with the best assignment now, and in time
// with its first event at firstEventThen. A prompt that is late on few engines would keep them from others for long.
func (s *Scheduler) betterLater(j *Job, best assignment, firstEventThen time.Duration) bool {
	return s.delayPenalty(j, best.timeToFirstEvent) >= missedObjectivePenalty && s.delayPenalty(j, firstEventThen) < missedObjectivePenalty
}

// postpone defers a job that costs more than its value. It waits here as long as it can be in time; after that its
// caller is asked to return when the load may have changed, which leaves as much time as waiting here. A wide prompt waits
// on, because engines may be reserved for it.
func (s *Scheduler) postpone(now time.Time, j *Job, soonest time.Duration, usable []*replica) ReserveReply {
	const reason = "all engines write streams that the request would delay"
	after := j.Left / returnDivisor
	switch {
	case j.Waited+soonest <= j.Objective:
		return s.waitReply(now, usable, reason)
	case !s.isWide(j) && after+soonest+lastStartWindow < j.Left, soonest+lastStartWindow/2 > j.Left:
		return ReserveReply{Status: Rejected, After: max(minRetryAfter, after), Reason: reason}
	default:
		return s.waitReply(now, usable, reason)
	}
}

// returnDivisor gives the pause after which a postponed caller should return: the time left divided by it.
const returnDivisor = 3

// futureStreamPenalty is the loss of streams that start during prefill, for each second of it, as a multiple of the
// loss of the running streams.
const futureStreamPenalty = 1

// costExceedsValue reports whether an assignment costs the streams beside it, and those that start during its prefill,
// more than the request is worth.
func (s *Scheduler) costExceedsValue(j *Job, c assignment) bool {
	prefill := s.engine.PrefillTime(j.Prompt, len(c.replicas))
	return c.interference*(1+futureStreamPenalty*prefill.Seconds()) >= jobValue(j)*(1-min(1, s.delayPenalty(j, c.timeToFirstEvent)))
}

// idealFirstEvent returns the time to the first event with all engines that can prefill long prompts, and the time until
// they are all free.
func (s *Scheduler) idealFirstEvent(now time.Time, j *Job, usable []*replica) (first, untilAllIdle time.Duration) {
	prefillers := 0
	for _, r := range usable {
		if r.tightStreams() == 0 {
			prefillers++
			untilAllIdle = max(untilAllIdle, r.backlog(now))
		}
	}
	parts := max(1, min(prefillers, maxParts, j.Prompt/minPartTokens))
	return s.engine.PrefillTime(j.Prompt, parts) + s.engine.DecodePassTime(1, j.Prompt/parts), untilAllIdle
}

// countEngines counts the engines for a long prompt.
func (s *Scheduler) countEngines(now time.Time, j *Job) EngineCounts {
	usable := s.usable(now, j)
	counts := EngineCounts{Usable: len(usable), Idle: len(s.idleReplicas(now, usable))}
	for _, r := range usable {
		if r.tightStreams() == 0 {
			counts.WithoutTightStreams++
		}
	}
	counts.Parts = max(1, min(counts.WithoutTightStreams, maxParts, j.Prompt/minPartTokens))
	return counts
}

// soonestFirstEvent returns the least time to the first event, with any number of engines, if no more work is placed on
// them. What the engines decode and prefill at this moment ends within the time limit of most prompts.
func (s *Scheduler) soonestFirstEvent(now time.Time, j *Job, usable []*replica) time.Duration {
	free := make([]time.Duration, len(usable))
	for i, r := range usable {
		free[i] = s.untilFree(now, r, tightPause)
	}
	slices.Sort(free)
	soonest := time.Duration(math.MaxInt64)
	for parts := 1; parts <= min(len(free), maxParts, max(1, j.Prompt/minPartTokens)); parts++ {
		soonest = min(soonest, free[parts-1]+s.engine.PrefillTime(j.Prompt, parts)+s.engine.DecodePassTime(1, j.Prompt/parts))
	}
	return soonest
}

// tightStreams counts the streams of an engine that a long prefill would pause for longer than they permit.
func (r *replica) tightStreams() int {
	count := 0
	for _, part := range r.jobParts {
		if part.tight() {
			count++
		}
	}
	return count
}

// tight reports whether a part is a stream that a long prefill would pause for longer than it permits.
func (p *jobPart) tight() bool {
	return p.permitsOnly(tightPause)
}

// permitsOnly reports whether a part is a stream that permits no longer pause than the given one.
func (p *jobPart) permitsOnly(pause time.Duration) bool {
	if p.job.objectiveMissed {
		return p.primary && p.job.MaxPause > 0 && maxSilence(&p.job.Job) <= pause
	}
	return p.primary && p.job.MaxPause > 0 && p.job.MaxPause <= pause
}

// idleReplicas returns the engines that have no prefill backlog.
func (s *Scheduler) idleReplicas(now time.Time, usable []*replica) []*replica {
	var idle []*replica
	for _, r := range usable {
		if r.backlog(now) <= idleThreshold {
			idle = append(idle, r)
		}
	}
	return idle
}

// divide returns the cheapest assignment of a prompt to any number of engines. valuePerSecond is the value of a second
// of one engine to other prompts: with more engines the prompt ends sooner, but each of them is occupied while it waits
// for decode passes and for the first event.
func (s *Scheduler) divide(now time.Time, j *Job, idle []*replica, valuePerSecond float64) (assignment, bool) {
	best := assignment{cost: math.Inf(1)}
	partLimit := min(len(idle), maxParts, max(1, j.Prompt/minPartTokens))
	for parts := 1; parts <= partLimit; parts++ {
		c, ok := s.bestAssignment(now, j, idle, parts)
		if !ok {
			continue
		}
		c.opportunityCost = valuePerSecond * float64(parts) * c.timeToFirstEvent.Seconds()
		c.cost += c.opportunityCost
		if c.cost < best.cost {
			best = c
		}
	}
	return best, best.replicas != nil
}
