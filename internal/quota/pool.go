package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/dandelionpier/dandelionpier/internal/session"
)

// permitPool holds the permits of one workspace at one entry.
type permitPool struct {
	// owner is as of membershipVersion; ownerKnown is false before the first lookup.
	owner             session.Member
	ownerKnown        bool
	membershipVersion uint64

	permits int
	// validFrom is when the last call with a reply was sent; the permits and the share expire relative to it.
	validFrom time.Time
	// replyLatency is how long that reply took.
	replyLatency time.Duration
	// share is the rate that the owner granted for the time in which it does not reply.
	share float64
	// demand counts requests with exponential decay over demandWindow, as of demandTime.
	demand     float64
	demandTime time.Time
	// exhaustedUntil is the end of the back-off after the owner's bucket was empty.
	exhaustedUntil time.Time

	// inFlight is the call in progress to the current owner, or nil.
	inFlight *ownerCall
	waiters  int
	// unresponsive means that the owner did not reply in time, nextProbe is when to call it again.
	unresponsive bool
	nextProbe    time.Time
	// fallbackLimiter is used while the owner is unresponsive.
	fallbackLimiter *rate.Limiter
}

// ownerCall is a call to the owner; done is closed when it ends.
type ownerCall struct {
	done chan struct{}
}

// updateOwner looks the owner up again when the membership has changed.
func (p *permitPool) updateOwner(view session.View, workspace string) {
	if p.ownerKnown && p.membershipVersion == view.MembershipVersion {
		return
	}
	previous := p.owner.Instance
	p.owner, _ = view.Owner(workspace)
	p.ownerKnown, p.membershipVersion = true, view.MembershipVersion
	if p.owner.Instance != previous {
		p.unresponsive, p.exhaustedUntil, p.nextProbe, p.inFlight = false, time.Time{}, time.Time{}, nil
	}
}

// recordDemand adds a request to the demand.
func (p *permitPool) recordDemand(now time.Time) {
	p.demand = p.demand*math.Exp(-now.Sub(p.demandTime).Seconds()/demandWindow.Seconds()) + 1
	p.demandTime = now
}

// target returns the number of permits that the pool should hold: the demand of prefetchPeriod, at least one.
func (p *permitPool) target(limit float64) int {
	use := p.demand / demandWindow.Seconds() * prefetchPeriod.Seconds()
	return min(max(1, int(math.Ceil(use))), burst(limit))
}

// take uses one permit and reports whether there was one.
func (p *permitPool) take(now time.Time) bool {
	p.expire(now)
	if p.permits == 0 {
		return false
	}
	p.permits--
	return true
}

// expire drops permits that the owner may no longer count.
func (p *permitPool) expire(now time.Time) {
	switch age := now.Sub(p.validFrom); {
	case age > lastPermitTTL:
		p.permits = 0
	case age > sparePermitTTL:
		p.permits = min(p.permits, 1)
	}
}

// mayCall reports whether the owner may be called now.
func (p *permitPool) mayCall(now time.Time) bool {
	return p.inFlight == nil && !now.Before(p.exhaustedUntil) && !now.Before(p.nextProbe)
}

// needsRefill reports whether it is time to prefetch permits.
func (p *permitPool) needsRefill(limit float64) bool {
	return p.permits <= p.target(limit)/2
}

// nextRequest returns the permits held and those to ask for, which cover the target and the waiting requests.
func (p *permitPool) nextRequest(now time.Time, limit float64) (held, want int) {
	p.expire(now)
	return p.permits, max(1, p.target(limit)-p.permits+p.waiters)
}

// applyReply applies the reply to a request that was sent at the given time.
func (p *permitPool) applyReply(reply TakeReply, sent, now time.Time) {
	if reply.Elsewhere {
		p.markUnresponsive(now)
		return
	}
	p.expire(now)
	p.permits += reply.Granted
	p.validFrom, p.replyLatency = sent, now.Sub(sent)
	p.share = reply.Share
	p.unresponsive, p.nextProbe = false, time.Time{}
	p.exhaustedUntil = now.Add(reply.Wait)
}

// replyWait returns how long a request waits for permits: twice the latency of the last reply, between
// minReplyWait and maxReplyWait. An owner in another region does not count as unresponsive because of the
// network latency alone.
func (p *permitPool) replyWait() time.Duration {
	return min(max(minReplyWait, 2*p.replyLatency), maxReplyWait)
}

// markUnresponsive records that the owner did not reply.
func (p *permitPool) markUnresponsive(now time.Time) {
	p.unresponsive, p.nextProbe = true, now.Add(probeInterval)
}

// allowFallback admits without the owner, at the larger of the share granted within shareTTL and an equal
// part of the rate for each entry. The shares granted by an owner add up to at most the rate, and so do the
// equal parts.
func (p *permitPool) allowFallback(now time.Time, limit float64, entries int) bool {
	share := limit / float64(max(1, entries))
	if now.Sub(p.validFrom) <= shareTTL {
		share = max(share, p.share)
	}
	if p.fallbackLimiter == nil {
		p.fallbackLimiter = rate.NewLimiter(rate.Limit(share), burst(share))
	}
	p.fallbackLimiter.SetLimitAt(now, rate.Limit(share))
	p.fallbackLimiter.SetBurstAt(now, burst(share))
	return p.fallbackLimiter.AllowN(now, 1)
}
