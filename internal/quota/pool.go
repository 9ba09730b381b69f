package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/dandelionpier/dandelionpier/internal/session"
)

// pool is what one entry holds of the rate of one workspace.
type pool struct {
	// home is valid for the version of the membership.
	home    session.Member
	homed   bool
	version uint64

	held int
	// answered is when the last request that the home answered was sent.
	answered time.Time
	// latency is how long that answer took.
	latency time.Duration
	// share is the rate that the home named for the time without it.
	share float64
	// demand counts requests, decayed over useTime, as of demanded.
	demand   float64
	demanded time.Time
	// closed is the time before which the home has nothing to give.
	closed time.Time

	// flight is the call to the present home under way; nil when there is none.
	flight  *flight
	waiting int
	// lost says that the home did not answer in time, probe when to call it again.
	lost  bool
	probe time.Time
	// local is the bucket used while the home is lost.
	local *rate.Limiter
}

// flight is a call to the home; done is closed at its end.
type flight struct {
	done chan struct{}
}

// locate finds the home again when the membership has changed.
func (p *pool) locate(view session.View, workspace string) {
	if p.homed && p.version == view.MembershipVersion {
		return
	}
	before := p.home.Instance
	p.home, _ = view.Home(workspace)
	p.homed, p.version = true, view.MembershipVersion
	if p.home.Instance != before {
		p.lost, p.closed, p.probe, p.flight = false, time.Time{}, time.Time{}, nil
	}
}

// count adds a request to the demand.
func (p *pool) count(now time.Time) {
	p.demand = p.demand*math.Exp(-now.Sub(p.demanded).Seconds()/useTime.Seconds()) + 1
	p.demanded = now
}

// target is what the pool should hold: the use of aheadTime, at least one request.
func (p *pool) target(limit float64) int {
	use := p.demand / useTime.Seconds() * aheadTime.Seconds()
	return min(max(1, int(math.Ceil(use))), burst(limit))
}

// take spends one request of what is held.
func (p *pool) take(now time.Time) bool {
	p.expire(now)
	if p.held == 0 {
		return false
	}
	p.held--
	return true
}

// expire drops what the home no longer counts.
func (p *pool) expire(now time.Time) {
	switch age := now.Sub(p.answered); {
	case age > holdTime:
		p.held = 0
	case age > spareTime:
		p.held = min(p.held, 1)
	}
}

// mayAsk reports whether the home may be called now.
func (p *pool) mayAsk(now time.Time) bool {
	return p.flight == nil && !now.Before(p.closed) && !now.Before(p.probe)
}

// low reports whether the next slice should be asked for.
func (p *pool) low(limit float64) bool {
	return p.held <= p.target(limit)/2
}

// request is what to ask for: the target and the requests that wait.
func (p *pool) request(now time.Time, limit float64) (held, want int) {
	p.expire(now)
	return p.held, max(1, p.target(limit)-p.held+p.waiting)
}

// accept takes over an answer to a request that was sent at the given time.
func (p *pool) accept(reply TakeReply, sent, now time.Time) {
	if reply.Elsewhere {
		p.fail(now)
		return
	}
	p.expire(now)
	p.held += reply.Granted
	p.answered, p.latency = sent, now.Sub(sent)
	p.share = reply.Share
	p.lost, p.probe = false, time.Time{}
	p.closed = now.Add(reply.Wait)
}

// patience is how long a request waits for a slice: twice the time of the last answer where that is more
// than answerTimeout. A home in another region is not lost because it is far.
func (p *pool) patience() time.Duration {
	return min(max(answerTimeout, 2*p.latency), maxPatience)
}

// fail notes that the home did not answer.
func (p *pool) fail(now time.Time) {
	p.lost, p.probe = true, now.Add(probeInterval)
}

// allow admits by the local share: what the home named lately, at least an equal part for each of the
// entries. The shares that a home names sum up to the rate, and so do the equal parts.
func (p *pool) allow(now time.Time, limit float64, entries int) bool {
	share := limit / float64(max(1, entries))
	if now.Sub(p.answered) <= shareTime {
		share = max(share, p.share)
	}
	if p.local == nil {
		p.local = rate.NewLimiter(rate.Limit(share), burst(share))
	}
	p.local.SetLimitAt(now, rate.Limit(share))
	p.local.SetBurstAt(now, burst(share))
	return p.local.AllowN(now, 1)
}
