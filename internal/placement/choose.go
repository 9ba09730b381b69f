package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// missedObjectivePenalty is the share of a request's value that is lost when it misses its objective,
	// missedLimitPenalty when it misses its time limit.
	missedObjectivePenalty = 0.75
	missedLimitPenalty     = 1.5
	// safeObjectiveShare is the share of the objective up to which an expected time costs almost nothing.
	safeObjectiveShare = 0.7
	// helperCost is the cost of each helper engine, so that a request takes no more of them than pay off.
	helperCost = 0.004
	// packingGain rewards an engine in proportion to its occupied slots, nearlyFullGain in proportion to their
	// square: packing streams on few engines leaves the others to long prompts. longStreamPenalty is the cost to a
	// long prompt of each stream that decodes at its engine, crossDataCentrePenalty that of an engine in another
	// data centre.
	packingGain            = 0.2
	nearlyFullGain         = 0.4
	longStreamPenalty      = 0.05
	crossDataCentrePenalty = 0.01
	// positionPreference is how much short prompts prefer the first engine of the list to the last one, and long prompts the
	// last one to the first. A burst of short prompts then leaves streams on few of the engines that long prompts need.
	positionPreference = 1
	// failureCost is the cost of an engine that fails all requests.
	failureCost = 3
	// minRetryAfter and maxRetryAfter bound the pause after which a rejected caller is asked to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// assignment is a set of replicas for a request. The first one is the primary, which decodes the response; the
// others are helpers, which prefill parts of the prompt.
type assignment struct {
	replicas []*replica
	// memory and reserved are in tokens, one for each replica: memory is what the scheduler counts as used, reserved
	// what the engine must reserve before the request arrives.
	memory           []int
	reserved         []int
	timeToFirstEvent time.Duration
	// interference is the part of cost that other streams bear.
	interference float64
	// opportunityCost is the part of cost that other long prompts bear.
	opportunityCost float64
	cost            float64
}

// jobValue returns the relative value of a request. It grows with the prompt, because more waiting is lost with a long
// one than with a short one, and falls with its rank.
func jobValue(j *Job) float64 {
	const perToken = 1.0 / 10_000
	return (1 + float64(j.Prompt)*perToken) * rankWeight(j)
}

// delayPenalty returns the share of a request's value that is lost when its first event comes after a delay of first.
func (s *Scheduler) delayPenalty(j *Job, first time.Duration) float64 {
	if first > s.latestFirstEvent(j) {
		return missedLimitPenalty
	}
	if j.Objective <= 0 {
		return 0
	}
	ratio := float64(first+j.Waited) / float64(j.Objective)
	switch {
	case ratio <= safeObjectiveShare:
		return 0.02 * ratio
	case ratio <= 1:
		return 0.02 + missedObjectivePenalty/2*(ratio-safeObjectiveShare)/(1-safeObjectiveShare)
	default:
		return missedObjectivePenalty + min(0.2, 0.02*(ratio-1))
	}
}

// reserveShort places a short prompt on the engine with the lowest expected cost to it and to the streams that already
// run there. Short prompts have tight limits on pauses, and the prefill of a long prompt beside them pauses decoding
// for as long as it takes. So short prompts are packed on engines that are decoding and kept off those in prefill.
func (s *Scheduler) reserveShort(now time.Time, j Job) ReserveReply {
	usable := s.usable(now, &j)
	if len(usable) == 0 {
		return s.rejection(now, s.noEngineReason(now))
	}
	if s.yields(now, &j, usable) {
		return s.yieldRejection(&j)
	}
	best, ok := s.bestAssignment(now, &j, s.unreserved(now, &j, usable), 1)
	if !ok || s.delayPenalty(&j, best.timeToFirstEvent) >= missedObjectivePenalty {
		best, ok = s.bestAssignment(now, &j, usable, 1)
	}
	switch {
	case !ok:
		return s.fullRejection(now, "no engine has a slot and memory for the request")
	case best.timeToFirstEvent > j.Left:
		return s.rejection(now, tooLateReason(best.timeToFirstEvent, j.Left))
	}
	return ReserveReply{Status: Granted, Grant: s.place(now, j, best)}
}

// noEngineReason explains that no engine is usable.
func (s *Scheduler) noEngineReason(now time.Time) string {
	if cold := s.countCold(now); cold > 0 {
		return fmt.Sprintf("no engine takes work; %d of %d are cold", cold, len(s.sortedReplicas))
	}
	return "no engine takes work"
}

func tooLateReason(first, left time.Duration) string {
	return fmt.Sprintf("the expected time of %v exceeds the time left of %v", first.Round(time.Millisecond), left.Round(time.Millisecond))
}

// usable returns the engines that are available to a job.
func (s *Scheduler) usable(now time.Time, j *Job) []*replica {
	var usable []*replica
	for _, r := range s.sortedReplicas {
		if r.usable(now) && s.allowsCold(now, r) && !slices.Contains(j.Exclude, r.record.ID) {
			usable = append(usable, r)
		}
	}
	return usable
}

// candidate is a replica with the cost of placing a part of the request there.
type candidate struct {
	replica *replica
	// timeToPrefilled is the time until the part is prefilled, timeToFirstEvent that to the first event if this is the only
	// engine.
	timeToPrefilled  time.Duration
	timeToFirstEvent time.Duration
	// interference is the value lost by the streams there, bias the cost of the replica apart from the delay.
	interference float64
	bias         float64
	// cost is the sum by which candidates are compared.
	cost float64
}

// bestAssignment returns the cheapest assignment of a request to the given number of engines.
func (s *Scheduler) bestAssignment(now time.Time, j *Job, usable []*replica, parts int) (assignment, bool) {
	candidates := make([]candidate, 0, len(usable))
	for _, r := range usable {
		if parts > 1 || s.fits(r, j) {
			candidates = append(candidates, s.candidate(now, j, r, parts))
		}
	}
	if len(candidates) < parts {
		return assignment{}, false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return s.assign(j, candidates[:parts])
}

// memoryNeed returns the memory of a job in tokens. It adds half to the expected output, because estimates of it are
// often too low.
func memoryNeed(j *Job) int {
	return j.Prompt + min(j.Bound, j.Output+j.Output/2)
}

// fits reports whether a replica has a slot and memory to be the primary of a request.
func (s *Scheduler) fits(r *replica, j *Job) bool {
	return r.primaryCount() < s.engine.Slots && (s.engine.Memory == 0 || r.memory+memoryNeed(j) <= s.engine.Memory)
}

func (s *Scheduler) candidate(now time.Time, j *Job, r *replica, parts int) candidate {
	prefill := s.prefillTimeAt(r, j.Prompt, parts)
	c := candidate{replica: r, bias: s.bias(j, r), timeToPrefilled: r.backlog(now) + prefill}
	if s.isLongPrompt(j) {
		c.interference = s.interference(now, r, prefill)
		c.timeToFirstEvent = c.timeToPrefilled + s.firstPassTime(r)
	} else {
		f := s.forecastShort(now, r, prefill)
		c.interference = s.interferenceOfShort(now, r, f)
		c.timeToFirstEvent = f.first
	}
	c.cost = c.interference + c.bias + jobValue(j)*s.delayPenalty(j, c.timeToFirstEvent)
	return c
}

// bias returns the cost of a replica to a job apart from delays.
func (s *Scheduler) bias(j *Job, r *replica) float64 {
	bias := failureCost * r.failures * r.failures
	if r.record.DataCentre != j.DataCentre {
		bias += crossDataCentrePenalty
	}
	if s.isLongPrompt(j) {
		streams, _ := r.decoding()
		return bias + longStreamPenalty*float64(streams) + positionPreference*(1-r.position)
	}
	occupancy := float64(r.primaryCount()) / float64(s.engine.Slots)
	return bias - packingGain*occupancy - nearlyFullGain*occupancy*occupancy + positionPreference*r.position
}

// prefillTimeAt returns the time for which a part of a prompt keeps a replica from starting the next prefill: the
// prefill itself, and the decode pass of the streams beside it.
func (s *Scheduler) prefillTimeAt(r *replica, prompt, parts int) time.Duration {
	prefill := s.engine.PrefillTime(prompt, parts)
	if count, context := r.decoding(); count > 0 && prefill > longPrefill/2 {
		prefill += s.engine.DecodePassTime(count, context)
	}
	return r.scaleBySlowdown(prefill)
}

// firstPassTime returns the time from the end of prefill to the first event, including the rest of the decode pass
// that runs when prefill ends.
func (s *Scheduler) firstPassTime(r *replica) time.Duration {
	count, context := r.decoding()
	pass := r.scaleBySlowdown(s.engine.DecodePassTime(count+1, context))
	if count > 0 {
		pass += pass / 2
	}
	return pass
}

// expectedPause returns the pause between events that the streams at a replica see while it prefills its backlog and
// an extra part that takes the given time.
func (s *Scheduler) expectedPause(now time.Time, r *replica, extra time.Duration) time.Duration {
	count, context := r.decoding()
	return r.scaleBySlowdown(s.engine.DecodePassTime(count, context)) + r.backlog(now) + extra
}

// interference returns the value lost by the streams of a replica when it takes on a further prefill. A request is
// affected if its own prefill ends too late for its objective, or a pause in its stream becomes too long. A stream that has
// missed its objective still has the rest of its value, until a pause ends it.
func (s *Scheduler) interference(now time.Time, r *replica, prefill time.Duration) float64 {
	pause := s.expectedPause(now, r, prefill)
	sum := 0.0
	for _, part := range r.jobParts {
		if !part.primary {
			continue
		}
		delayed := part.prefilling && part.prefillEnd.Add(prefill).After(part.job.firstEventDue)
		paused := !part.prefilling && part.job.MaxPause > 0 && pause > part.job.MaxPause
		if !part.job.objectiveMissed && (delayed || paused) {
			sum += jobValue(&part.job.Job) * missedObjectivePenalty
		}
		if !part.prefilling && s.endsStream(now, part.job, pause) {
			sum += jobValue(&part.job.Job) * (1 - missedObjectivePenalty)
		}
	}
	return sum
}

// assign makes an assignment of candidates: the cheapest one with a slot and memory is the primary. A prompt that
// fits into no single engine is stored at several of them.
func (s *Scheduler) assign(j *Job, candidates []candidate) (assignment, bool) {
	primaryIndex := slices.IndexFunc(candidates, func(c candidate) bool { return s.fits(c.replica, j) })
	if primaryIndex < 0 {
		return s.assignSplitMemory(j, candidates)
	}
	candidates[0], candidates[primaryIndex] = candidates[primaryIndex], candidates[0]
	c := s.combine(j, candidates)
	c.memory[0] = memoryNeed(j)
	return c, true
}

// combine returns the assignment of all candidates, of which the first one is the primary, with its memory unset.
func (s *Scheduler) combine(j *Job, candidates []candidate) assignment {
	parts := len(candidates)
	c := assignment{
		replicas: make([]*replica, parts), memory: make([]int, parts), reserved: make([]int, parts),
		cost: helperCost*float64(parts-1) + candidates[0].bias,
	}
	var ready time.Duration
	for i, candidate := range candidates {
		c.replicas[i] = candidate.replica
		c.interference += candidate.interference
		ready = max(ready, candidate.timeToPrefilled)
	}
	c.timeToFirstEvent = ready + s.firstPassTime(c.replicas[0])
	if parts == 1 {
		c.timeToFirstEvent = candidates[0].timeToFirstEvent
	}
	c.cost += c.interference + jobValue(j)*s.delayPenalty(j, c.timeToFirstEvent)
	return c
}

// memoryMargin is the share of an engine's memory that is never reserved, because memory reports arrive late.
const memoryMargin = 0.04

// assignSplitMemory divides the memory of a prompt between engines: the primary takes what it has free, and the rest is
// reserved at as few helpers as possible.
func (s *Scheduler) assignSplitMemory(j *Job, candidates []candidate) (assignment, bool) {
	if memoryNeed(j) <= s.engine.Memory || s.engine.Memory == 0 {
		return assignment{}, false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.replica.memory, b.replica.memory) })
	primaryIndex := slices.IndexFunc(candidates, func(c candidate) bool { return c.replica.primaryCount() < s.engine.Slots })
	if primaryIndex < 0 {
		return assignment{}, false
	}
	candidates[0], candidates[primaryIndex] = candidates[primaryIndex], candidates[0]
	c := s.combine(j, candidates)
	rest := memoryNeed(j)
	for i, r := range c.replicas {
		free := int(float64(s.engine.Memory)*(1-memoryMargin)) - r.memory
		take := max(0, min(rest, free))
		c.memory[i] = take
		if i > 0 {
			c.reserved[i] = take
		}
		rest -= take
	}
	return c, rest == 0
}

// rejection returns the reply for a job that cannot be served. Its caller is to retry when an engine is expected to
// have worked off its prefill backlog.
func (s *Scheduler) rejection(now time.Time, reason string) ReserveReply {
	after := maxRetryAfter
	for _, r := range s.sortedReplicas {
		if r.usable(now) {
			after = min(after, r.backlog(now))
		}
	}
	if len(s.sortedReplicas) == 0 {
		after = minRetryAfter
	}
	return ReserveReply{Status: Rejected, After: min(maxRetryAfter, max(minRetryAfter, after)), Reason: reason}
}

// fullRejection returns the reply for a job that finds all slots or all memory taken.
func (s *Scheduler) fullRejection(now time.Time, reason string) ReserveReply {
	reply := s.rejection(now, reason)
	reply.Full = true
	return reply
}
