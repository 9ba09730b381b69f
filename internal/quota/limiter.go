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

// LimiterConfig sets up a Limiter.
type LimiterConfig struct {
	Instance string
	// Local is the home in this process.
	Local   *Home
	Caller  Caller
	Metrics *metrics.Registry
	Logger  *zap.Logger
}

// Limiter admits requests at one entry. It is safe for concurrent use.
type Limiter struct {
	config LimiterConfig
	mu     sync.Mutex
	pools  map[string]*pool
	swept  time.Time
	calls  sync.WaitGroup
}

// NewLimiter returns a limiter that holds nothing.
func NewLimiter(config LimiterConfig) *Limiter {
	return &Limiter{config: config, pools: make(map[string]*pool), swept: time.Now()}
}

// Run waits for ctx and then for the calls under way.
func (l *Limiter) Run(ctx context.Context) error {
	<-ctx.Done()
	l.calls.Wait()
	return nil
}

// maxRounds bounds the slices that one request waits for: one that others have asked for, its own, and
// one more, since requests that came later may have taken that.
const maxRounds = 3

// Admit reports whether a request of the workspace may run now under the limit in requests a second. It
// waits for the home only when the entry holds nothing of the workspace's rate, at most 50 ms for each
// slice of a near home and 250 ms of a far one.
func (l *Limiter) Admit(ctx context.Context, view session.View, workspace string, limit float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	p := l.pool(workspace, now)
	p.locate(view, workspace)
	p.count(now)
	for range maxRounds {
		if p.take(now) {
			if p.low(limit) {
				l.ask(p, workspace, limit)
			}
			return true
		}
		if now.Before(p.closed) {
			return false
		}
		l.ask(p, workspace, limit)
		switch {
		case p.held > 0 || now.Before(p.closed):
			// The home is in this process and has answered.
		case p.lost || p.flight == nil:
			return l.fallback(p, now, limit, len(view.Members))
		case !l.wait(ctx, p):
			return false
		}
		now = time.Now()
	}
	return false
}

func (l *Limiter) pool(workspace string, now time.Time) *pool {
	if now.Sub(l.swept) >= sweepInterval {
		l.swept = now
		maps.DeleteFunc(l.pools, func(_ string, p *pool) bool {
			return p.flight == nil && p.waiting == 0 && now.Sub(p.demanded) > holdTime
		})
	}
	p := l.pools[workspace]
	if p == nil {
		p = &pool{}
		l.pools[workspace] = p
	}
	return p
}

// wait leaves the lock until the call under way has ended, at most for the pool's patience. It reports whether
// the request is still wanted.
func (l *Limiter) wait(ctx context.Context, p *pool) bool {
	done := p.flight.done
	p.waiting++
	timer := time.NewTimer(p.patience())
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
	p.waiting--
	p.lost = p.lost || late && p.flight != nil && p.flight.done == done
	return ctx.Err() == nil
}

// fallback admits by the local share.
func (l *Limiter) fallback(p *pool, now time.Time, limit float64, entries int) bool {
	admitted := p.allow(now, limit, entries)
	if admitted {
		l.config.Metrics.Counter("entry_rate_local_share_total").Inc(1)
	}
	return admitted
}

// ask asks the home for a slice, unless a call is under way or the home is not to be called yet. A home in
// this process has answered when ask returns. The caller holds l.mu.
func (l *Limiter) ask(p *pool, workspace string, limit float64) {
	now := time.Now()
	if !p.mayAsk(now) {
		return
	}
	held, want := p.request(now, limit)
	request := TakeRequest{Entry: l.config.Instance, Workspace: workspace, Held: held, Want: want}
	switch p.home.Instance {
	case "":
		p.fail(now)
	case l.config.Instance:
		var reply TakeReply
		_ = l.config.Local.Take(request, &reply)
		p.accept(reply, now, now)
	default:
		p.flight = &flight{done: make(chan struct{})}
		home, flight := p.home, p.flight
		l.calls.Go(func() { l.call(p, flight, home, request, now) })
	}
}

func (l *Limiter) call(p *pool, f *flight, home session.Member, request TakeRequest, sent time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply TakeReply
	err := l.config.Caller.Call(ctx, home.Peer, takeMethod, request, &reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(f.done)
	if p.flight == f {
		p.flight = nil
	}
	outcome := "answered"
	if err != nil {
		outcome = "lost"
		l.config.Logger.Debug("The home of a workspace did not answer", zap.String(logging.Workspace, request.Workspace),
			zap.String("home", home.Instance), zap.Error(err))
	}
	l.config.Metrics.Counter("entry_rate_slices_total", "outcome", outcome).Inc(1)
	switch {
	case p.home.Instance != home.Instance:
		// The home has changed. What the old one granted counts; what it says of its bucket does not.
		p.held += reply.Granted
	case err != nil:
		p.fail(time.Now())
	default:
		p.accept(reply, sent, time.Now())
	}
}
