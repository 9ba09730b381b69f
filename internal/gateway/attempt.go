package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/placement"
)

// attempt is one try of a request at an endpoint.
type attempt struct {
	hop     Hop
	started time.Time
	// job is set for requests to model engines.
	job   *placement.Job
	grant placement.Grant
	// holds is nil where no memory is reserved beforehand.
	holds *holds
}

// place finds an endpoint for the next attempt. It returns a refusal when there is none.
func (g *Gateway) place(ctx context.Context, x *exchange, after string) (*attempt, *Refusal) {
	p := &attempt{hop: Hop{Call: x.call, Workspace: x.workspace.Name, Urgency: -1, After: after}}
	if x.engine != nil {
		return g.placeJob(ctx, x, p)
	}
	records, _ := g.config.Fleet.Endpoints(x.service)
	record, ok := g.balance.pick(time.Now(), records, x.tried)
	if !ok {
		return nil, pointer(notRun("no endpoint of the service takes work", settling))
	}
	p.hop.Endpoint, p.hop.Address = record.ID, record.Address
	return p, nil
}

// id names an attempt at a model engine in the lines of its dispatcher; it is empty for plain services.
func (p *attempt) id() string {
	if p.job == nil {
		return ""
	}
	return p.job.ID
}

// placeJob asks for engines. A job that waits is given up with ctx.
func (g *Gateway) placeJob(ctx context.Context, x *exchange, p *attempt) (*attempt, *Refusal) {
	now := time.Now()
	output := x.call.Prompt.LikelyOutput
	if output <= 0 {
		output = x.engine.UsualOutput
	}
	p.job = &placement.Job{
		ID: g.attemptID(), Service: x.service, Prompt: x.call.Prompt.Tokens, Output: min(output, x.call.Prompt.MaxOutput),
		Bound: x.call.Prompt.MaxOutput, Objective: x.route.Objective, MaxPause: x.route.MaxPause,
		Waited: now.Sub(x.arrived), Left: x.left(now), Priority: x.workspace.Priority,
		DataCentre: g.config.DataCentre, Exclude: x.tried,
	}
	x.attempt = p.job.ID
	reply, err := g.config.Placer.Reserve(ctx, *p.job)
	if err != nil {
		return nil, pointer(g.ended(ctx, x))
	}
	if reply.Status != placement.Granted {
		return nil, pointer(notRun(reply.Reason, reply.After))
	}
	p.grant = reply.Grant
	head := reply.Grant.Members[0]
	p.hop.Endpoint, p.hop.Address, p.hop.Urgency = head.Endpoint, head.Address, reply.Grant.Urgency
	for _, m := range reply.Grant.Members[1:] {
		helper := Helper{Address: m.Address}
		if m.Hold > 0 {
			helper.Hold = p.job.ID
		}
		p.hop.Helpers = append(p.hop.Helpers, helper)
	}
	return p, nil
}

// ended is the answer at the end of the time limit.
func (g *Gateway) ended(ctx context.Context, x *exchange) Refusal {
	if x.callerLeft(ctx) {
		return callerGone()
	}
	if x.sent == 0 {
		return notRun("no endpoint was free within the time limit", soon)
	}
	return overdue()
}

// try sends the request to the endpoint of an attempt and reads the header of the answer. finish must follow.
func (g *Gateway) try(ctx context.Context, x *exchange, p *attempt) (*answer, error) {
	p.started = time.Now()
	if p.job != nil {
		if blamed, err := g.hold(ctx, x, p); err != nil {
			return &answer{reply: Reply{Fault: blamed}}, fault.Wrap(err, "reserve memory", NotRun, blamed)
		}
	}
	p.hop.Left = x.left(time.Now())
	a, err := g.send(ctx, p.hop)
	if !fault.Is(err, NotRun) && !fault.Is(err, Unreached) {
		x.sent++
	}
	x.log.Debug("Sent a request", zap.String(logging.AttemptID, p.id()), zap.String(logging.Endpoint, p.hop.Endpoint), zap.Int("helpers", len(p.hop.Helpers)),
		zap.Duration("left", p.hop.Left), zap.Duration("expected", p.grant.First), zap.Error(err))
	return a, err
}

// finish gives back what an attempt has taken and notes how the endpoint did. a is the answer, if its header came.
func (g *Gateway) finish(ctx context.Context, x *exchange, p *attempt, a *answer, err error, pause time.Duration) {
	if p.holds != nil {
		// Nothing waits for the release.
		go p.holds.end()
	}
	kind := kindOf(err)
	left := ctx.Err() != nil || fault.Is(err, Gone)
	blamed := p.hop.Endpoint
	if kind == NotRun && a != nil && a.reply.Fault != "" {
		blamed = a.reply.Fault
	}
	if kind != "" && !left {
		x.exclude(blamed)
		g.logFailure(x, p, blamed, err)
	}
	if p.job == nil {
		if left {
			kind = ""
		}
		g.balance.done(time.Now(), p.hop.Endpoint, kind)
	} else {
		g.config.Placer.Report(placement.Event{
			Type: endOf(kind, left), Job: *p.job, Endpoint: blamed, Elapsed: time.Since(p.started), Pause: pause,
		})
	}
	if kind == Broken && !left {
		g.suspect(x, p.hop)
	}
}

func (g *Gateway) logFailure(x *exchange, p *attempt, blamed string, err error) {
	x.log.Info("An attempt failed", zap.String(logging.AttemptID, p.id()), zap.String(logging.Endpoint, blamed), zap.String("address", p.hop.Address),
		zap.Int("sent", x.sent), zap.Duration("after", time.Since(p.started)), zap.Error(err))
}

// kindOf returns the kind of an error of send or of reading an answer; it is empty for nil.
func kindOf(err error) Kind {
	switch {
	case err == nil:
		return ""
	case fault.Is(err, NotRun):
		return NotRun
	case fault.Is(err, Unreached):
		return Unreached
	default:
		return Broken
	}
}

func endOf(kind Kind, left bool) placement.EventType {
	switch {
	case left:
		return placement.Left
	case kind == NotRun:
		return placement.Declined
	case kind == Unreached:
		return placement.Unreached
	case kind == Broken:
		return placement.Failed
	default:
		return placement.Finished
	}
}

// again reports whether a failed request may go to another endpoint: when it has not run, or when it may run
// twice and the budget allows it.
func (g *Gateway) again(ctx context.Context, x *exchange, err error) bool {
	if ctx.Err() != nil || fault.Is(err, Gone) || !x.mayTry() {
		return false
	}
	switch kindOf(err) {
	case Unreached:
		return true
	case NotRun:
		return g.budgets.of(x.service).Take()
	default:
		return x.route.RetryPolicy.Retryable() && g.budgets.of(x.service).Take()
	}
}

// failure is the answer after the last attempt.
func (g *Gateway) failure(ctx context.Context, x *exchange, err error) Refusal {
	switch {
	case fault.Is(err, Gone):
		return callerGone()
	case ctx.Err() != nil:
		return g.ended(ctx, x)
	case x.sent == 0:
		return notRun("the endpoints that were asked did not run the request", soon)
	default:
		return mayHaveRun(err.Error())
	}
}
