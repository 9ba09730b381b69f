package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	// minRemainingShare is the fraction of a prefill that counts as not done until its first token is
	// reported, even if the prefill is estimated to be complete.
	minRemainingShare = 0.05
	// rateSmoothing is the weight of a new measurement in an exponential moving average.
	rateSmoothing = 0.1
	// maxCorrection limits the factor by which measured times to first token correct the reported
	// prefill rate.
	maxCorrection = 4
	// minMeasuredPrefill is the shortest predicted prefill that is used to correct the rate; in shorter
	// ones the network takes a large part of the time.
	minMeasuredPrefill = 20 * time.Millisecond
	// reportWindow is the time for which a load report may still include this dispatcher's own work: the
	// age of a report plus the interval between two reports.
	reportWindow = 3 * endpoint.AnnounceInterval
)

// replica is the cell's view of one endpoint. "Own" work is that of this dispatcher's grants; "external"
// work, such as that of other dispatchers, is known only from load reports.
type replica struct {
	name         string
	announcement endpoint.Announcement
	// announced is false for an endpoint that is known only from adopted grants.
	announced bool
	// moved is true if the endpoint belongs to another cell of the model now. It stays known here only as
	// a member of groups that also have a member in this cell, and until endpoint.DeadAfter has passed since
	// its last announcement.
	moved     bool
	drained   bool
	lastSeen  time.Time
	indexSlot int
	// parts are the parts of all grants at this replica; queuedParts are those without a first token, in
	// ascending order of priority value, so that the next to run is first.
	parts       []*grantPart
	queuedParts []*grantPart
	// nonShortQueued counts the queued parts of medium and long prompts.
	nonShortQueued int
	// reservedTokens is the memory of own grants.
	reservedTokens int
	// decoding counts the grants that have a first token, by length class.
	decoding   [lengthClassCount]int
	advancedAt time.Time
	// externalPrefill and externalUsed are the queued prefill and the used memory, in tokens, that load
	// reports show beyond own grants. unmatchedHeld is the memory of holdings without a grant at the last
	// reconciliation.
	externalPrefill float64
	externalUsed    int
	unmatchedHeld   int
	ownPeaks        []ownPeak
	// rateCorrection is the moving average of the ratio of measured to predicted times to first token.
	rateCorrection float64
	decodeRate     float64
	lastGrant      time.Time
	breaker        breaker
	// connectionLostAt is when a connection to the endpoint was lost; zero once it has announced itself
	// again. An unhealthy replica has lost a connection or has an open circuit breaker. An ejected one gets
	// no work.
	connectionLostAt time.Time
	ejected          bool
	unhealthy        bool
	// unmatchedSince has the time at which each holding without a grant was first listed.
	unmatchedSince map[string]time.Time
	// distrustCacheUntil is set when the engine reported fewer cached tokens than expected. Until then
	// prompts do not count as cached just because they ran here.
	distrustCacheUntil time.Time
}

// ownPeak is the largest amount of own work within a span of time that begins at the given time.
type ownPeak struct {
	at      time.Time
	prefill float64
	used    int
}

// grantPart is the part of a grant at one replica: the only one, or one for each member of a group.
type grantPart struct {
	grant   *grant
	replica *replica
	tokens  int
	// prefill is the number of uncached prompt tokens of this part, remaining how many are not yet done.
	prefill   float64
	remaining float64
	holding   string
}

// remainingChunk returns the tokens that the engine processes before it can switch from this part to other
// work. Members of a group run its prefill in lockstep, together with a chunk of their own work, so the
// chunk counts twice.
func (p *grantPart) remainingChunk(s *Settings) float64 {
	chunk := min(p.remaining, float64(s.ChunkTokens))
	if len(p.grant.parts) > 1 {
		return 2 * chunk
	}
	return chunk
}

// nonShortCount returns 1 for medium and long prompts, 0 for short ones.
func (p *grantPart) nonShortCount() int {
	if p.grant.class == Short {
		return 0
	}
	return 1
}

func (r *replica) isEngine() bool {
	return r.announcement.Type != endpoint.Service
}

// acceptsWork reports whether the endpoint may get grants according to its own state and to operators.
func (r *replica) acceptsWork() bool {
	return r.announced && r.announcement.State == endpoint.Ready && !r.drained
}

func (r *replica) view(now time.Time) EndpointView {
	return EndpointView{
		Announcement: r.announcement, Grants: len(r.parts), GrantedTokens: r.reservedTokens,
		Age: now.Sub(r.lastSeen), Open: r.ejected,
	}
}

// hasAdapter reports whether an adapter is loaded; it is true if no adapter is asked for.
func (r *replica) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(r.announcement.Adapters, adapter)
}

func (r *replica) prefillRate(s *Settings) float64 {
	rate := r.announcement.Load.PrefillRate
	if rate <= 0 {
		rate = s.PrefillRate
	}
	return rate / r.rateCorrection
}

// streamRate returns the decode rate of one stream in tokens per second.
func (r *replica) streamRate(s *Settings) float64 {
	switch reported := r.announcement.Load.DecodeRate; {
	case r.decodeRate > 0:
		return r.decodeRate
	case reported > 0:
		return reported
	default:
		return s.DecodeRate
	}
}

// freeTokens returns the memory that no known work uses.
func (r *replica) freeTokens() int {
	return r.announcement.Memory - r.reservedTokens - max(r.externalUsed, r.unmatchedHeld)
}

// advancePrefill estimates the progress of the first queued prefill up to now. The next prefill does not
// start before the first token of this one is reported: otherwise, with a rate that is estimated 5 % too
// high, the estimated queue would become ever shorter than the engine's real one.
func (r *replica) advancePrefill(now time.Time, s *Settings) {
	elapsed := now.Sub(r.advancedAt)
	r.advancedAt = now
	if elapsed <= 0 || len(r.queuedParts) == 0 {
		return
	}
	first := r.queuedParts[0]
	done := elapsed.Seconds() * r.prefillRate(s)
	first.remaining = max(min(first.remaining, minRemainingShare*first.prefill), first.remaining-done)
}

func (r *replica) queuedPrefill() float64 {
	sum := 0.0
	for _, p := range r.queuedParts {
		sum += p.remaining
	}
	return sum
}

func (r *replica) addPart(p *grantPart, now time.Time) {
	r.parts = append(r.parts, p)
	r.reservedTokens += p.tokens
	if p.grant.prefilled {
		r.decoding[p.grant.class]++
	} else {
		at := len(r.queuedParts)
		for at > 0 && r.queuedParts[at-1].grant.priority > p.grant.priority {
			at--
			r.queuedParts[at].grant.overtaken = true
		}
		r.queuedParts = slices.Insert(r.queuedParts, at, p)
		r.nonShortQueued += p.nonShortCount()
	}
	r.recordPeak(now)
}

func (r *replica) removePart(p *grantPart) {
	r.parts = slices.DeleteFunc(r.parts, func(other *grantPart) bool { return other == p })
	r.reservedTokens -= p.tokens
	if p.grant.prefilled {
		r.decoding[p.grant.class]--
		return
	}
	r.nonShortQueued -= p.nonShortCount()
	r.queuedParts = slices.DeleteFunc(r.queuedParts, func(other *grantPart) bool { return other == p })
}

// markPrefilled moves a part from the queued prefills to the running streams. If it was estimated to
// have tokens remaining, the engine has processed them instead of other prefills that were estimated
// to progress, and these get the tokens back: engines do not always run prefills in priority order.
func (r *replica) markPrefilled(p *grantPart) {
	r.queuedParts = slices.DeleteFunc(r.queuedParts, func(other *grantPart) bool { return other == p })
	r.decoding[p.grant.class]++
	r.nonShortQueued -= p.nonShortCount()
	for _, other := range slices.Backward(r.queuedParts) {
		step := min(p.remaining, other.prefill-other.remaining)
		other.remaining += step
		p.remaining -= step
	}
}

// recordPeak records the largest amount of own work, so that a load report of that time does not count
// it as external work.
func (r *replica) recordPeak(now time.Time) {
	current := ownPeak{at: now, prefill: r.queuedPrefill(), used: r.reservedTokens}
	if n := len(r.ownPeaks); n > 0 && now.Sub(r.ownPeaks[n-1].at) < endpoint.AnnounceInterval/4 {
		last := &r.ownPeaks[n-1]
		last.prefill, last.used = max(last.prefill, current.prefill), max(last.used, current.used)
	} else {
		r.ownPeaks = append(r.ownPeaks, current)
	}
	for len(r.ownPeaks) > 1 && now.Sub(r.ownPeaks[1].at) > reportWindow {
		r.ownPeaks = r.ownPeaks[1:]
	}
}

// applyLoadReport derives the external work from a load report: the work beyond the largest own work in
// the period from which the report can be. It never lowers the own work.
func (r *replica) applyLoadReport(now time.Time) {
	r.recordPeak(now)
	prefill, used := 0.0, 0
	for _, p := range r.ownPeaks {
		prefill, used = max(prefill, p.prefill), max(used, p.used)
	}
	load := r.announcement.Load
	r.externalPrefill = max(0, float64(load.QueuedPrefill)-prefill)
	r.externalUsed = max(0, load.Used-used)
}

// correctPrefillRate adjusts the correction of the prefill rate with a measured time to first token.
func (r *replica) correctPrefillRate(predicted, measured time.Duration) {
	if predicted < minMeasuredPrefill || measured <= 0 {
		return
	}
	ratio := r.rateCorrection * measured.Seconds() / predicted.Seconds()
	next := math.Pow(r.rateCorrection, 1-rateSmoothing) * math.Pow(ratio, rateSmoothing)
	r.rateCorrection = min(maxCorrection, max(1.0/maxCorrection, next))
}

func (r *replica) updateDecodeRate(tokens int, took time.Duration) {
	// With fewer tokens the network dominates the measured time.
	const minTokens = 8
	if tokens < minTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	if r.decodeRate == 0 {
		r.decodeRate = rate
		return
	}
	r.decodeRate += rateSmoothing * (rate - r.decodeRate)
}
