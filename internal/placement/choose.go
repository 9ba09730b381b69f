package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// lateLoss is the share of a request's worth that is lost when it misses its objective, missedLoss when
	// it misses its time limit.
	lateLoss   = 0.75
	missedLoss = 1.5
	// safeShare is the share of the objective up to which an expected time costs next to nothing.
	safeShare = 0.7
	// helperCost is what each further engine of a request costs, so that no more are taken than help.
	helperCost = 0.004
	// packing is the gain of an engine that writes already, filling that of one which is nearly full: streams on
	// few engines leave the others to long prompts. spreading is what a long prompt loses with each stream at
	// its engine, crossing the cost of an engine in another data centre.
	packing   = 0.2
	filling   = 0.4
	spreading = 0.05
	crossing  = 0.01
	// failureCost is the cost of an engine that fails all requests.
	failureCost = 3
	// retryMin and retryMax bound the pause that a rejected caller is asked for.
	retryMin = 100 * time.Millisecond
	retryMax = 5 * time.Second
)

// choice is the replicas for a request, the one that answers first.
type choice struct {
	replicas []*replica
	// memory and hold are in tokens, for each replica.
	memory []int
	hold   []int
	first  time.Duration
	// harm is the part of cost that other streams bear.
	harm float64
	// occupied is the part of cost that other long prompts bear.
	occupied float64
	cost     float64
}

// weight is what a request is worth in comparison to others: long prompts have waited for more.
func weight(j *Job) float64 {
	const perToken = 1.0 / 10_000
	return 1 + float64(j.Prompt)*perToken
}

// lateness is the share of a request's worth that is lost when its first event comes after first.
func lateness(j *Job, first time.Duration) float64 {
	if first > j.Left {
		return missedLoss
	}
	if j.Objective <= 0 {
		return 0
	}
	ratio := float64(first+j.Waited) / float64(j.Objective)
	switch {
	case ratio <= safeShare:
		return 0.02 * ratio
	case ratio <= 1:
		return 0.02 + lateLoss/2*(ratio-safeShare)/(1-safeShare)
	default:
		return lateLoss + min(0.2, 0.02*(ratio-1))
	}
}

// reserveShort places a short prompt on the engine with the least expected loss over it and what runs already.
// It answers a load of short prompts with tight pauses beside long prompts whose reading stops a pass for as long as it
// takes: short ones are packed on engines that write, and keep off those that read.
func (s *Scheduler) reserveShort(now time.Time, j Job) ReserveReply {
	usable := s.usable(now, &j)
	if len(usable) == 0 {
		return s.rejected(now, "no engine takes work")
	}
	best, ok := s.spread(now, &j, usable, 1)
	switch {
	case !ok:
		return s.full(now, "no engine has a slot and memory for the request")
	case best.first > j.Left:
		return s.rejected(now, tooLate(best.first, j.Left))
	}
	return ReserveReply{Status: Granted, Grant: s.place(now, j, best)}
}

func tooLate(first, left time.Duration) string {
	return fmt.Sprintf("the expected time of %v exceeds the time left of %v", first.Round(time.Millisecond), left.Round(time.Millisecond))
}

// usable returns the engines that a job may use.
func (s *Scheduler) usable(now time.Time, j *Job) []*replica {
	var usable []*replica
	for _, r := range s.order {
		if r.usable(now) && !slices.Contains(j.Exclude, r.record.ID) {
			usable = append(usable, r)
		}
	}
	return usable
}

// candidate is a replica with what a share of the request would cost there.
type candidate struct {
	replica *replica
	// ready is the time until the share is read.
	ready time.Duration
	// harm is the worth that the streams there lose, bias the cost of a stream there beside its lateness.
	harm float64
	bias float64
	// cost is the sum of all, by which candidates are compared.
	cost float64
}

// spread returns the best choice of a number of engines for a request.
func (s *Scheduler) spread(now time.Time, j *Job, usable []*replica, parts int) (choice, bool) {
	candidates := make([]candidate, 0, len(usable))
	for _, r := range usable {
		if parts > 1 || s.fits(r, j) {
			candidates = append(candidates, s.candidate(now, j, r, parts))
		}
	}
	if len(candidates) < parts {
		return choice{}, false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return s.assemble(j, candidates[:parts])
}

// need is the memory of a job in tokens. Estimates of the answer are often too low.
func need(j *Job) int {
	return j.Prompt + min(j.Bound, j.Output+j.Output/2)
}

// fits reports whether a replica has a slot and memory for a request that it answers.
func (s *Scheduler) fits(r *replica, j *Job) bool {
	return r.heads() < s.engine.Slots && (s.engine.Memory == 0 || r.memory+need(j) <= s.engine.Memory)
}

func (s *Scheduler) candidate(now time.Time, j *Job, r *replica, parts int) candidate {
	read := s.occupied(r, j.Prompt, parts)
	c := candidate{replica: r, ready: r.backlog(now) + read, harm: s.harm(now, r, read)}
	c.bias = failureCost * r.failures * r.failures
	if r.record.DataCentre != j.DataCentre {
		c.bias += crossing
	}
	writers, _ := r.writers()
	if s.long(j) {
		c.bias += spreading * float64(writers)
	} else {
		taken := float64(r.heads()) / float64(s.engine.Slots)
		c.bias -= packing*taken + filling*taken*taken
	}
	c.cost = c.harm + c.bias + weight(j)*lateness(j, c.ready+s.firstPass(r))
	return c
}

// occupied is the time for which a part of a prompt keeps a replica from reading the next one: the reading,
// and the pass in which streams are written beside it.
func (s *Scheduler) occupied(r *replica, prompt, parts int) time.Duration {
	read := s.engine.ReadTime(prompt, parts)
	if count, context := r.writers(); count > 0 && read > longRead/2 {
		read += s.engine.PassTime(count, context)
	}
	return r.scaled(read)
}

// firstPass is the time from the end of reading to the first event, and the rest of the pass before it.
func (s *Scheduler) firstPass(r *replica) time.Duration {
	count, context := r.writers()
	pass := r.scaled(s.engine.PassTime(count+1, context))
	if count > 0 {
		pass += pass / 2
	}
	return pass
}

// passWith is the pause that the streams at a replica see while it reads what is placed there and more.
func (s *Scheduler) passWith(now time.Time, r *replica, more time.Duration) time.Duration {
	count, context := r.writers()
	return r.scaled(s.engine.PassTime(count, context)) + r.backlog(now) + more
}

// harm is the worth that is lost at the streams of a replica when it reads more.
func (s *Scheduler) harm(now time.Time, r *replica, read time.Duration) float64 {
	pass := s.passWith(now, r, read)
	sum := 0.0
	for _, t := range r.shares {
		if t.job.spoiled || !t.head {
			continue
		}
		delayed := t.reading && t.end.Add(read).After(t.job.due)
		paused := !t.reading && t.job.MaxPause > 0 && pass > t.job.MaxPause
		if delayed || paused {
			sum += weight(&t.job.Job) * lateLoss
		}
	}
	return sum
}

// assemble makes a choice of candidates: the cheapest one with a slot and memory answers. A prompt that no
// engine can hold is stored at several of them.
func (s *Scheduler) assemble(j *Job, candidates []candidate) (choice, bool) {
	head := slices.IndexFunc(candidates, func(c candidate) bool { return s.fits(c.replica, j) })
	if head < 0 {
		return s.assembleHolds(j, candidates)
	}
	candidates[0], candidates[head] = candidates[head], candidates[0]
	c := s.combine(j, candidates)
	c.memory[0] = need(j)
	return c, true
}

// combine is the choice of all candidates, of which the first one answers, without its memory.
func (s *Scheduler) combine(j *Job, candidates []candidate) choice {
	parts := len(candidates)
	c := choice{
		replicas: make([]*replica, parts), memory: make([]int, parts), hold: make([]int, parts),
		cost: helperCost*float64(parts-1) + candidates[0].bias,
	}
	var ready time.Duration
	for i, candidate := range candidates {
		c.replicas[i] = candidate.replica
		c.harm += candidate.harm
		ready = max(ready, candidate.ready)
	}
	c.first = ready + s.firstPass(c.replicas[0])
	c.cost += c.harm + weight(j)*lateness(j, c.first)
	return c
}

// memoryMargin is the share of an engine's memory that reservations leave, because reports of it are late.
const memoryMargin = 0.04

// assembleHolds divides the memory of a prompt: the engine that answers takes what it has free, the rest is
// reserved at the others, at as few as possible.
func (s *Scheduler) assembleHolds(j *Job, candidates []candidate) (choice, bool) {
	if need(j) <= s.engine.Memory || s.engine.Memory == 0 {
		return choice{}, false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.replica.memory, b.replica.memory) })
	head := slices.IndexFunc(candidates, func(c candidate) bool { return c.replica.heads() < s.engine.Slots })
	if head < 0 {
		return choice{}, false
	}
	candidates[0], candidates[head] = candidates[head], candidates[0]
	c := s.combine(j, candidates)
	rest := need(j)
	for i, r := range c.replicas {
		free := int(float64(s.engine.Memory)*(1-memoryMargin)) - r.memory
		take := max(0, min(rest, free))
		c.memory[i] = take
		if i > 0 {
			c.hold[i] = take
		}
		rest -= take
	}
	return c, rest == 0
}

// rejected returns the reply for a job that cannot be served, with the time at which an engine is expected
// to have read what it has.
func (s *Scheduler) rejected(now time.Time, reason string) ReserveReply {
	after := retryMax
	for _, r := range s.order {
		if r.usable(now) {
			after = min(after, r.backlog(now))
		}
	}
	if len(s.order) == 0 {
		after = retryMin
	}
	return ReserveReply{Status: Rejected, After: min(retryMax, max(retryMin, after)), Reason: reason}
}

// full is the reply for a job that finds all slots or all memory taken.
func (s *Scheduler) full(now time.Time, reason string) ReserveReply {
	reply := s.rejected(now, reason)
	reply.Full = true
	return reply
}
