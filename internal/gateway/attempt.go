package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/placement"
)

// attempt is one attempt to serve a request at an endpoint.
type attempt struct {
	outgoing EndpointRequest
	started  time.Time
	// job is set for requests to model engines.
	job   *placement.Job
	grant placement.Grant
	// reservation is nil when the attempt reserves no engine memory.
	reservation *memoryReservation
	// declined are engines that were granted but get no new requests from this entry.
	declined []string
	// leaving is set if the response says that the endpoint is leaving.
	leaving bool
	// begun is set once the endpoint has sent the first event of a stream.
	begun bool
}

// nextAttempt selects an endpoint for the next attempt. It returns a refusal if there is none.
func (g *Gateway) nextAttempt(ctx context.Context, x *exchange, lastEventID string) (*attempt, *Refusal) {
	a := &attempt{outgoing: EndpointRequest{Call: x.call, Workspace: x.workspace.Name, Urgency: -1, LastEventID: lastEventID}}
	if refusal := g.refuseCrashing(x, time.Now()); refusal != nil {
		return nil, refusal
	}
	if refusal := g.refuseStopping(time.Now(), x, a.grant); refusal != nil {
		return nil, refusal
	}
	if refusal := g.chooseEndpoints(ctx, x, a); refusal != nil {
		return nil, refusal
	}
	return a, nil
}

// chooseEndpoints sets the endpoints of an attempt. It returns a refusal if there are none.
func (g *Gateway) chooseEndpoints(ctx context.Context, x *exchange, a *attempt) *Refusal {
	if refusal := g.refuseDrained(x); refusal != nil {
		return refusal
	}
	if x.engine != nil {
		return g.placeAtEngines(ctx, x, a)
	}
	now := time.Now()
	records, _ := g.config.Fleet.Endpoints(x.service)
	available := g.availableRecords(now, records)
	if x.coldRate > 0 {
		var untilWarm time.Duration
		if available, untilWarm = g.balancer.warm(now, available); len(available) == 0 && untilWarm > 0 {
			return pointer(notRun("all endpoints of the service are cold", untilWarm))
		}
	}
	record, ok := g.balancer.pick(now, available, x.tried)
	if !ok {
		return pointer(notRun("no endpoint of the service takes work", g.pauseLeft(now, records, startupRetryAfter)))
	}
	a.outgoing.Endpoint, a.outgoing.Started, a.outgoing.Address = record.ID, record.Started, record.Address
	return nil
}

// dispatchID returns the id under which the dispatcher logs an attempt at a model engine. It is empty for plain
// services.
func (a *attempt) dispatchID() string {
	if a.job == nil {
		return ""
	}
	return a.job.ID
}

// placeAtEngines asks the dispatcher for engines until it grants some that are all available. It stops waiting in the
// dispatcher's queue when ctx ends, or when the instance stops too soon for the request.
func (g *Gateway) placeAtEngines(ctx context.Context, x *exchange, a *attempt) *Refusal {
	runTime := min(g.expectedRunTime(x, a.grant), x.timeLeft(time.Now()))
	ctx, cancel := g.shutdown.whileWaiting(ctx, runTime, x.possibleRuns > 0)
	defer cancel()
	for {
		refusal := g.reserveEngines(ctx, x, a)
		if refusal != nil {
			return refusal
		}
		// An engine may have become unavailable to this entry while the job waited for its grant.
		if unavailable := g.unavailableMembers(time.Now(), a.grant); len(unavailable) > 0 {
			g.decline(x, a, unavailable)
			continue
		}
		if refusal := g.refuseStopping(time.Now(), x, a.grant); refusal != nil {
			g.config.Placer.Report(placement.Event{Type: placement.Left, Job: *a.job, Endpoint: a.grant.Members[0].Endpoint})
			return refusal
		}
		a.outgoing.setEngines(a.grant, a.job.ID)
		return nil
	}
}

// reserveEngines obtains one grant for an attempt.
func (g *Gateway) reserveEngines(ctx context.Context, x *exchange, a *attempt) *Refusal {
	now := time.Now()
	records, _ := g.config.Fleet.Endpoints(x.service)
	unavailable := g.unavailableEngines(now, x.service, records)
	a.job = &placement.Job{
		ID: g.newAttemptID(), Service: x.service, Prompt: x.call.Prompt.Tokens, Output: x.expectedOutput(),
		Bound: x.call.Prompt.MaxOutput, Objective: x.route.Objective, MaxPause: x.route.MaxPause,
		Waited: now.Sub(x.arrived), Left: x.timeLeft(now), Priority: x.workspace.Priority, Rank: x.rank,
		DataCentre: g.config.DataCentre, Exclude: slices.Concat(x.tried, unavailable, a.declined),
	}
	x.attemptID = a.job.ID
	reply, err := g.config.Placer.Reserve(ctx, *a.job)
	if err != nil {
		return pointer(g.timeLimitRefusal(ctx, x))
	}
	if reply.Status != placement.Granted {
		x.engineCounts = reply.Engines
		after := reply.After
		if len(unavailable) >= len(records) {
			after = g.pauseLeft(now, records, after)
		}
		return pointer(notRun(reply.Reason, after))
	}
	a.grant = reply.Grant
	return nil
}

// expectedOutput returns the expected length of the response of an engine, in tokens.
func (x *exchange) expectedOutput() int {
	output := x.call.Prompt.LikelyOutput
	if output <= 0 {
		output = x.engine.UsualOutput
	}
	return min(output, x.call.Prompt.MaxOutput)
}

// setEngines sets the engines of a request to those of a grant.
func (r *EndpointRequest) setEngines(grant placement.Grant, reservationID string) {
	primary := grant.Members[0]
	r.Endpoint, r.Started, r.Address, r.Urgency = primary.Endpoint, primary.Started, primary.Address, grant.Urgency
	for _, m := range grant.Members[1:] {
		helper := Helper{Address: m.Address}
		if m.Hold > 0 {
			helper.ReservationID = reservationID
		}
		r.Helpers = append(r.Helpers, helper)
	}
}

// timeLimitRefusal returns the refusal for a request that got no response before its caller left, its time limit
// passed or the instance stopped.
func (g *Gateway) timeLimitRefusal(ctx context.Context, x *exchange) Refusal {
	if endedByStop(ctx) {
		return x.stopRefusal()
	}
	if x.callerLeft(ctx) {
		return callerGone()
	}
	if x.possibleRuns == 0 {
		return notRun("no endpoint was free within the time limit", shortRetryAfter)
	}
	return timedOut()
}

// sendAttempt sends the request to the endpoint of an attempt and reads the header of the response. The caller must
// call finishAttempt afterwards.
func (g *Gateway) sendAttempt(ctx context.Context, x *exchange, a *attempt) (*endpointResponse, error) {
	a.started = time.Now()
	if a.job != nil {
		if faultyEndpoint, err := g.reserveMemory(ctx, x, a); err != nil {
			return &endpointResponse{info: ResponseInfo{FaultyEndpoint: faultyEndpoint}}, fault.Wrap(err, "reserve memory", NotRun, faultyEndpoint)
		}
	}
	a.outgoing.TimeLeft = x.timeLeft(time.Now())
	resp, err := g.send(ctx, a.outgoing)
	g.recordAvailability(x, a, resp)
	if !fault.Is(err, NotRun) && !fault.Is(err, Unreached) {
		x.possibleRuns++
	}
	x.log.Debug("Sent a request", zap.String(logging.AttemptID, a.dispatchID()), zap.String(logging.Endpoint, a.outgoing.Endpoint), zap.Int("helpers", len(a.outgoing.Helpers)),
		zap.Duration("left", a.outgoing.TimeLeft), zap.Duration("expected", a.grant.First), zap.Error(err))
	return resp, err
}

// finishAttempt releases the reserved memory of an attempt and records its outcome. resp is the response, or nil if
// its header was not received.
func (g *Gateway) finishAttempt(ctx context.Context, x *exchange, a *attempt, resp *endpointResponse, err error, eventPause time.Duration) {
	if a.reservation != nil {
		// The release runs in the background, because nothing depends on its result.
		go a.reservation.cancel()
	}
	kind := errorKind(err)
	callerLeft := ctx.Err() != nil || fault.Is(err, Disconnected)
	faultyEndpoint := a.outgoing.Endpoint
	if kind == NotRun && resp != nil && resp.info.FaultyEndpoint != "" {
		faultyEndpoint = resp.info.FaultyEndpoint
	}
	if kind != "" && !callerLeft {
		x.exclude(faultyEndpoint)
		g.logFailure(x, a, faultyEndpoint, err)
	}
	if a.job == nil {
		if callerLeft {
			kind = ""
		}
		if err == nil {
			g.runTimes.record(x.route.Name, time.Since(a.started))
		}
		g.balancer.done(time.Now(), a.outgoing.Endpoint, kind)
	} else {
		g.config.Placer.Report(placement.Event{
			Type: eventType(kind, callerLeft), Job: *a.job, Endpoint: faultyEndpoint, Elapsed: time.Since(a.started), Pause: eventPause,
			Started: a.outgoing.Started, Leaving: a.leaving && faultyEndpoint == a.outgoing.Endpoint,
		})
	}
	if kind == BadResponse && !callerLeft {
		g.reportIfCrashed(x, a)
	}
}

func (g *Gateway) logFailure(x *exchange, a *attempt, faultyEndpoint string, err error) {
	x.log.Info("An attempt failed", zap.String(logging.AttemptID, a.dispatchID()), zap.String(logging.Endpoint, faultyEndpoint), zap.String("address", a.outgoing.Address),
		zap.Int("sent", x.possibleRuns), zap.Bool("begun", a.begun), zap.Strings("parts", x.call.Prompt.Parts), zap.Duration("after", time.Since(a.started)), zap.Error(err))
}

// errorKind returns the kind of an error from sending a request or reading its response. It is empty for nil.
func errorKind(err error) Kind {
	switch {
	case err == nil:
		return ""
	case fault.Is(err, NotRun):
		return NotRun
	case fault.Is(err, Unreached):
		return Unreached
	default:
		return BadResponse
	}
}

func eventType(kind Kind, callerLeft bool) placement.EventType {
	switch {
	case callerLeft:
		return placement.Left
	case kind == NotRun:
		return placement.Declined
	case kind == Unreached:
		return placement.Unreached
	case kind == BadResponse:
		return placement.Failed
	default:
		return placement.Finished
	}
}

// mayRetry reports whether a failed request may be sent to another endpoint. One that did not reach its endpoint
// needs no retry budget; one that its endpoint did not run does; one that may have run must also be repeatable.
func (g *Gateway) mayRetry(ctx context.Context, x *exchange, err error) bool {
	if ctx.Err() != nil || fault.Is(err, Disconnected) || !x.hasAttemptsLeft() {
		return false
	}
	switch errorKind(err) {
	case Unreached:
		return true
	case NotRun:
		return g.retryBudgets.forService(x.service).Take()
	default:
		return x.route.RetryPolicy.Retryable() && g.retryBudgets.forService(x.service).Take()
	}
}

// finalRefusal returns the refusal for a request whose last attempt failed with err.
func (g *Gateway) finalRefusal(ctx context.Context, x *exchange, err error) Refusal {
	switch {
	case fault.Is(err, Disconnected):
		return callerGone()
	case ctx.Err() != nil:
		return g.timeLimitRefusal(ctx, x)
	case x.possibleRuns == 0:
		return notRun("the endpoints that were asked did not run the request", shortRetryAfter)
	default:
		return mayHaveRun(err.Error())
	}
}
