package quota

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Caller makes net/rpc calls, as peer.Pool does.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// LimiterConfig holds the settings and dependencies of a Limiter.
type LimiterConfig struct {
	Instance string
	// Local serves the workspaces that this entry owns, without a network call.
	Local   *Owner
	Caller  Caller
	Metrics *metrics.Registry
	Logger  *zap.Logger
}

// Limiter admits requests at one entry. It is safe for concurrent use.
type Limiter struct {
	config      LimiterConfig
	mu          sync.Mutex
	pools       map[string]*permitPool
	lastCleanup time.Time
	calls       sync.WaitGroup
}

// NewLimiter returns a limiter that holds no permits.
func NewLimiter(config LimiterConfig) *Limiter {
	return &Limiter{config: config, pools: make(map[string]*permitPool), lastCleanup: time.Now()}
}

// Run waits until ctx ends and then for the calls in progress.
func (l *Limiter) Run(ctx context.Context) error {
	<-ctx.Done()
	l.calls.Wait()
	return nil
}

// maxRounds bounds the permit calls that one request waits for: one already in progress, its own, and one
// more because later requests may have used the permits of its own.
const maxRounds = 3

// Admit reports whether a request of the workspace may run now under the limit in requests per second. It
// waits for the owner only when the entry holds no permit, for each call at most 50 ms for a near owner
// and 250 ms for a distant one.
func (l *Limiter) Admit(ctx context.Context, view session.View, workspace string, limit float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	p := l.pool(workspace, now)
	p.updateOwner(view, workspace)
	p.recordDemand(now)
	for range maxRounds {
		if p.take(now) {
			if p.needsRefill(limit) {
				l.requestPermits(p, workspace, limit)
			}
			return true
		}
		if now.Before(p.exhaustedUntil) {
			return false
		}
		l.requestPermits(p, workspace, limit)
		switch {
		case p.permits > 0 || now.Before(p.exhaustedUntil):
			// The owner is in this process and has replied.
		case p.unresponsive || p.inFlight == nil:
			return l.admitByShare(p, now, limit, len(view.Members))
		case !l.waitForReply(ctx, p):
			return false
		}
		now = time.Now()
	}
	return false
}

func (l *Limiter) pool(workspace string, now time.Time) *permitPool {
	if now.Sub(l.lastCleanup) >= cleanupInterval {
		l.lastCleanup = now
		maps.DeleteFunc(l.pools, func(_ string, p *permitPool) bool {
			return p.inFlight == nil && p.waiters == 0 && now.Sub(p.demandTime) > lastPermitTTL
		})
	}
	p := l.pools[workspace]
	if p == nil {
		p = &permitPool{}
		l.pools[workspace] = p
	}
	return p
}

// waitForReply waits until the call in progress ends, at most for p.replyWait, and releases l.mu meanwhile.
// It reports false when ctx has ended.
func (l *Limiter) waitForReply(ctx context.Context, p *permitPool) bool {
	done := p.inFlight.done
	p.waiters++
	timer := time.NewTimer(p.replyWait())
	defer timer.Stop()
	l.mu.Unlock()
	late := false
	select {
	case <-done:
	case <-timer.C:
		late = true
	case <-ctx.Done():
	}
	l.mu.Lock()
	p.waiters--
	p.unresponsive = p.unresponsive || late && p.inFlight != nil && p.inFlight.done == done
	return ctx.Err() == nil
}

// admitByShare admits by this entry's share of the rate, without the owner.
func (l *Limiter) admitByShare(p *permitPool, now time.Time, limit float64, entries int) bool {
	admitted := p.allowFallback(now, limit, entries)
	if admitted {
		l.config.Metrics.Counter("entry_rate_local_share_total").Inc(1)
	}
	return admitted
}

// requestPermits asks the owner for permits, unless a call is in progress or the back-off has not ended.
// An owner in this process has replied when it returns. The caller holds l.mu.
func (l *Limiter) requestPermits(p *permitPool, workspace string, limit float64) {
	now := time.Now()
	if !p.mayCall(now) {
		return
	}
	held, want := p.nextRequest(now, limit)
	request := TakeRequest{Entry: l.config.Instance, Workspace: workspace, Held: held, Want: want}
	switch p.owner.Instance {
	case "":
		p.markUnresponsive(now)
	case l.config.Instance:
		var reply TakeReply
		_ = l.config.Local.Take(request, &reply)
		p.applyReply(reply, now, now)
	default:
		p.inFlight = &ownerCall{done: make(chan struct{})}
		owner, call := p.owner, p.inFlight
		l.calls.Go(func() { l.callOwner(p, call, owner, request, now) })
	}
}

func (l *Limiter) callOwner(p *permitPool, c *ownerCall, owner session.Member, request TakeRequest, sent time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply TakeReply
	err := l.config.Caller.Call(ctx, owner.Peer, takeMethod, request, &reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(c.done)
	if p.inFlight == c {
		p.inFlight = nil
	}
	outcome := "answered"
	if err != nil {
		outcome = "lost"
		l.config.Logger.Debug("The owner of a workspace's rate limit did not reply", zap.String(logging.Workspace, request.Workspace),
			zap.String("home", owner.Instance), zap.Error(err))
	}
	l.config.Metrics.Counter("entry_rate_slices_total", "outcome", outcome).Inc(1)
	switch {
	case p.owner.Instance != owner.Instance:
		// The owner has changed. Permits from the old owner are valid; its share and back-off are not.
		p.permits += reply.Granted
	case err != nil:
		p.markUnresponsive(time.Now())
	default:
		p.applyReply(reply, sent, time.Now())
	}
}
