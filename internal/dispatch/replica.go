package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	// unfinishedShare of a prefill counts as still to do until its first token is reported, even when
	// the estimate says that it is done.
	minRemainingShare = 0.05
	// rateSmoothing is the share of a new measurement in a moving average.
	rateSmoothing = 0.1
	// maxCorrection bounds how far measured times to first token move the reported prefill rate.
	maxCorrection = 4
	// minMeasured is the shortest predicted prefill that is used to correct the rate; below it the
	// network takes a large part of the time.
	minMeasuredPrefill = 20 * time.Millisecond
	// reportWindow is how far back own work is looked for in a load report: the age of a report plus
	// the interval between two of them.
	reportWindow = 3 * endpoint.AnnounceInterval
)

// replica is the view of one endpoint.
type replica struct {
	name         string
	announcement endpoint.Announcement
	// announced is false for an endpoint that is known only from adopted grants.
	announced bool
	// moved says that the endpoint belongs to another cell of the model; it is known here only for the
	// members of groups that were reserved before.
	moved     bool
	drained   bool
	lastSeen  time.Time
	indexSlot int
	// parts are all grants here, queued those without their first token, by rising key.
	parts       []*grantPart
	queuedParts []*grantPart
	// occupied counts the queued parts of prompts that are not short.
	nonShortQueued int
	// reserved is the memory of own grants in tokens.
	reservedTokens int
	// decoding counts the grants with a first token by length class.
	decoding   [lengthClassCount]int
	advancedAt time.Time
	// foreignPrefill and foreignUsed are what load reports show beyond own grants; foreignHeld is the
	// memory of holdings without a grant, from the last comparison.
	externalPrefill float64
	externalUsed    int
	unmatchedHeld   int
	ownPeaks        []ownPeak
	// correction is the ratio of measured to predicted times to first token.
	rateCorrection float64
	decodeRate     float64
	lastGrant      time.Time
	breaker        breaker
	// unsure is when a connection to the endpoint was lost; zero once it has announced itself since.
	connectionLostAt time.Time
	ejected          bool
	unhealthy        bool
	// unknown has when a holding without a grant was first seen here.
	unmatchedSince map[string]time.Time
	// optimistic says that prompts count as cached after they ran; an engine that reported fewer
	// cached tokens than expected is believed only through its cache events until then.
	distrustCacheUntil time.Time
}

// peak is the largest own work in a span of time that ends at the given time.
type ownPeak struct {
	at      time.Time
	prefill float64
	used    int
}

// part is the share of a grant at one replica.
type grantPart struct {
	grant   *grant
	replica *replica
	tokens  int
	// prefill is the uncached share of the prompt, remaining what is left of it.
	prefill   float64
	remaining float64
	holding   string
}

// chunk is what remains of the part in tokens before its engine turns to other work. Members of a group
// run its prefill in step with each other, beside a chunk of their own work, so it counts twice.
func (p *grantPart) remainingChunk(s *Settings) float64 {
	chunk := min(p.remaining, float64(s.ChunkTokens))
	if len(p.grant.parts) > 1 {
		return 2 * chunk
	}
	return chunk
}

// occupies is 1 for prompts that are not short.
func (p *grantPart) nonShortCount() int {
	if p.grant.class == Short {
		return 0
	}
	return 1
}

func (r *replica) isEngine() bool {
	return r.announcement.Type != endpoint.Service
}

// takesWork says whether the endpoint may get grants as far as its own state and operators go.
func (r *replica) takesWork() bool {
	return r.announced && r.announcement.State == endpoint.Ready && !r.drained
}

func (r *replica) view(now time.Time) EndpointView {
	return EndpointView{
		Announcement: r.announcement, Grants: len(r.parts), GrantedTokens: r.reservedTokens,
		Age: now.Sub(r.lastSeen), Open: r.ejected,
	}
}

// has reports whether an adapter is loaded; no adapter always is.
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

// streamRate is the decode rate of one stream in tokens a second.
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

// free returns the memory in tokens that no known work holds.
func (r *replica) freeTokens() int {
	return r.announcement.Memory - r.reservedTokens - max(r.externalUsed, r.unmatchedHeld)
}

// advance lets the first queued prefill progress up to now. The next ones do not start before its
// first token is reported: otherwise a rate that is estimated 5 % too high makes the view fall behind
// the engine's queue without bound.
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

// prefilled moves a part from the queued prefills to the running streams. What was thought to remain
// of it was done instead of what was thought done of others, so that is still to do: engines do not
// always run prefills in the order of priority.
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

// notePeak keeps the largest own work, so that a load report from then is not taken for the work of
// others.
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

// takeLoad derives the work of others from a load report: what it shows beyond the largest own work
// in the time that the report can be from. It never lowers the own work.
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

// measurePrefill corrects the prefill rate by a time to first token.
func (r *replica) correctPrefillRate(predicted, measured time.Duration) {
	if predicted < minMeasuredPrefill || measured <= 0 {
		return
	}
	ratio := r.rateCorrection * measured.Seconds() / predicted.Seconds()
	next := math.Pow(r.rateCorrection, 1-rateSmoothing) * math.Pow(ratio, rateSmoothing)
	r.rateCorrection = min(maxCorrection, max(1.0/maxCorrection, next))
}

func (r *replica) updateDecodeRate(tokens int, took time.Duration) {
	// Fewer tokens than this say more about the network than about the engine.
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
