package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// wideParts is the number of engines from which a prompt gets an advance reservation if it needs them to be in time.
	wideParts = 5
	// reservableDivisor gives the most engines that an advance reservation keeps: the usable ones divided by it. Where these
	// are fewer than wideParts, there are none: the prompt would be late nevertheless, and others would wait for it.
	reservableDivisor = 3
	// maxReservedIdle is the sum of idle times up to which an advance reservation is made.
	maxReservedIdle = 4 * time.Second
	// reservationLife is the longest time for which engines are kept for one prompt.
	reservationLife = 5 * time.Second
	// overdueStreamRemaining is the time for which a stream that is longer than expected is assumed to go on.
	overdueStreamRemaining = 100 * time.Millisecond
)

// advanceReservation keeps engines for the waiting prompt that needs many of them at one moment, and that would otherwise
// never find them: each engine that gets free goes to a prompt that needs one. Other prompts are prefilled there only if
// that ends before the expected start (backfill). There is one at a time.
type advanceReservation struct {
	job      *waitingJob
	replicas []*replica
	// start is when all engines are expected to be free of prefill, and of streams that the prompt would pause for too long.
	start time.Time
	// idle is the sum of the times for which engines are kept idle until then.
	idle time.Duration
	// expires is when the reservation ends in any case: engines that cannot be used must not wait longer.
	expires time.Time
}

// updateReservation renews the advance reservation, or makes one while too few wide prompts are placed. A prompt gets one
// once.
func (s *Scheduler) updateReservation(now time.Time) {
	if s.reservation != nil && !now.Before(s.reservation.expires) {
		s.reservation = nil
	}
	if s.reservation != nil {
		s.chooseReserved(now, s.reservation)
		return
	}
	if s.wideShare >= minWideShare*s.otherShare {
		return
	}
	w := s.nextWideJob(now)
	if w == nil {
		return
	}
	reservation := &advanceReservation{job: w, expires: now.Add(reservationLife)}
	s.chooseReserved(now, reservation)
	if len(reservation.replicas) >= wideParts && reservation.idle <= maxReservedIdle && s.othersHaveRoom(reservation) {
		s.reservation, w.reserved = reservation, true
	}
}

const (
	// minWideShare is the share of wide prompts that are placed, relative to the share of the other long ones, below which
	// reservations are made. Above it, engines that wait for one prompt would cost the others more than they gain it.
	minWideShare = 0.9
	// maxOccupancy is the share of the slots of the engines that are not reserved up to which a reservation is made.
	maxOccupancy = 0.35
	// shareSmoothing is the weight of a new outcome in the moving averages of the placed shares.
	shareSmoothing = 0.1
)

// othersHaveRoom reports whether the engines that are not reserved can take the streams of all, so that a burst of short
// prompts is not put on fewer engines.
func (s *Scheduler) othersHaveRoom(reservation *advanceReservation) bool {
	streams := 0
	for _, r := range s.sortedReplicas {
		streams += r.primaryCount()
	}
	slots := (len(s.sortedReplicas) - len(reservation.replicas)) * s.engine.Slots
	return float64(streams) <= maxOccupancy*float64(slots)
}

// recordPlaced records whether a long prompt was placed, or rejected or kept waiting until its time had passed.
func (s *Scheduler) recordPlaced(w *waitingJob, placed bool) {
	share := &s.otherShare
	if s.isWide(&w.job) {
		share = &s.wideShare
	}
	value := 0.0
	if placed {
		value = 1
	}
	*share += shareSmoothing * (value - *share)
}

// nextWideJob returns the wide prompt without a reservation so far that has the highest claim to one, or nil if none waits.
func (s *Scheduler) nextWideJob(now time.Time) *waitingJob {
	var next *waitingJob
	for _, id := range sortedIDs(s.waiting) {
		w := s.waiting[id]
		if s.isWide(&w.job) && !w.reserved && (next == nil || s.claim(now, w) > s.claim(now, next)) {
			next = w
		}
	}
	return next
}

// claim returns how much a wide prompt is owed a reservation: it grows with its waiting and with the engines that it needs.
func (s *Scheduler) claim(now time.Time, w *waitingJob) time.Duration {
	return w.waited(now) * time.Duration(s.partsInTime(&w.job))
}

// isWide reports whether a prompt needs so many engines to be in time that it seldom finds them free at one moment.
func (s *Scheduler) isWide(j *Job) bool {
	return j.Objective > 0 && s.partsInTime(j) >= wideParts
}

// partsInTime returns the number of engines that prefill a prompt in half of its objective.
func (s *Scheduler) partsInTime(j *Job) int {
	for parts := 1; parts < maxParts; parts++ {
		if s.engine.PrefillTime(j.Prompt, parts) <= j.Objective/2 {
			return parts
		}
	}
	return maxParts
}

// chooseReserved reserves the engines that are free first.
func (s *Scheduler) chooseReserved(now time.Time, reservation *advanceReservation) {
	j := &reservation.job.job
	usable := s.usable(now, j)
	count := min(len(usable), s.partsInTime(j), len(usable)/reservableDivisor)
	pause := s.engine.PrefillTime(j.Prompt, max(1, count))
	free := make(map[*replica]time.Duration, len(usable))
	for _, r := range usable {
		free[r] = s.untilFree(now, r, pause)
	}
	slices.SortStableFunc(usable, func(a, b *replica) int { return cmp.Compare(free[a], free[b]) })
	reservation.replicas, reservation.start = usable[:count], now
	reservation.idle = 0
	for _, r := range reservation.replicas {
		reservation.idle += free[usable[count-1]] - free[r]
	}
	if count > 0 {
		reservation.start = now.Add(free[usable[count-1]])
	}
}

// untilFree returns the time until an engine has no prefill and no streams that permit no pause of the given length, if it
// gets no further ones.
func (s *Scheduler) untilFree(now time.Time, r *replica, pause time.Duration) time.Duration {
	until := r.backlog(now)
	count, context := r.decoding()
	pass := r.scaleBySlowdown(s.engine.DecodePassTime(max(1, count), context))
	for _, part := range r.jobParts {
		if !part.permitsOnly(pause) {
			continue
		}
		passes := part.job.Output/s.engine.EventTokens + 1
		end := part.prefillEnd.Add(time.Duration(passes) * pass)
		until = max(until, end.Sub(now), overdueStreamRemaining)
	}
	return until
}

// reservedFrom returns the engines that an advance reservation keeps from a job.
func (s *Scheduler) reservedFrom(now time.Time, j *Job) []*replica {
	reservation := s.reservation
	if reservation == nil || reservation.job.job.ID == j.ID || now.Sub(reservation.job.lastRequest) > waitingJobExpiry {
		return nil
	}
	if s.isLongPrompt(j) && !now.Add(s.engine.PrefillTime(j.Prompt, 1)).After(reservation.start) {
		return nil
	}
	return reservation.replicas
}

// unreserved returns the engines that a job may use: all but those that are kept for another one.
func (s *Scheduler) unreserved(now time.Time, j *Job, usable []*replica) []*replica {
	reserved := s.reservedFrom(now, j)
	if len(reserved) == 0 {
		return usable
	}
	return slices.DeleteFunc(slices.Clone(usable), func(r *replica) bool { return slices.Contains(reserved, r) })
}
