package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/availability"
	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Gateway serves the requests of callers. It is safe for concurrent use.
type Gateway struct {
	config       Config
	transport    http.RoundTripper
	balancer     *balancer
	availability *availability.Tracker
	retryBudgets *retryBudgets
	shutdown     *shutdown
	runTimes     *runTimes
	attemptCount atomic.Uint64
	// attemptPrefix makes attempt ids unique in the deployment.
	attemptPrefix string
	inFlight      gometrics.Counter
	// requestBytes is the total size of the request bodies held in memory, responseBytes that of the response bodies.
	requestBytes  byteBudget
	responseBytes byteBudget
	// declarationDue is the time until which requests wait for the first declaration.
	declarationDue time.Time
}

// declarationWait is the time after startup within which an instance usually receives the declaration. Waiting for it
// serves callers that retry after a restart of all instances; a refusal might be the last response to them.
const declarationWait = 1500 * time.Millisecond

// New returns a gateway. For declarationWait from now, its requests wait for the first declaration.
func New(config Config) *Gateway {
	return &Gateway{
		config: config, transport: newTransport(), balancer: newBalancer(), availability: availability.NewTracker(),
		shutdown: newShutdown(), runTimes: newRunTimes(),
		retryBudgets:   newRetryBudgets(config.Retries, func() int { return len(config.Fleet.Members()) }),
		attemptPrefix:  strconv.FormatUint(rand.Uint64(), 36) + "-",
		inFlight:       config.Metrics.Counter("gateway_requests_in_flight"),
		requestBytes:   byteBudget{limit: maxRequestBytesHeld},
		responseBytes:  byteBudget{limit: maxResponseBytesHeld},
		declarationDue: time.Now().Add(declarationWait),
	}
}

// exchange is the state of one request until its response is sent.
type exchange struct {
	call      *Call
	table     *routing.Table
	route     routing.Route
	workspace routing.Workspace
	service   string
	engine    *routing.Engine
	// coldRate is the rate that a cold endpoint of the service tolerates, 0 for any.
	coldRate float64
	arrived  time.Time
	// rank is the place of the request among those to its service by priority.
	rank routing.Rank
	// fingerprint is the same for repetitions of a request.
	fingerprint uint64
	// parts are the parts of the prompt of a request to an engine that other requests may hold.
	parts []string
	// tried has the ids of the endpoints that failed the request. possibleRuns counts the attempts that may have
	// run it.
	tried        []string
	possibleRuns int
	// attemptID is the id of the last attempt at a model engine.
	attemptID string
	// engineCounts is what the last rejection of a dispatcher was based on.
	engineCounts placement.EngineCounts
	// longestPause is the longest time between two events of a stream.
	longestPause time.Duration
	// heldBodies are the readers of the bodies of unknown size.
	heldBodies []*budgetedReader
	log        *zap.Logger
}

// ServeHTTP admits a request and forwards it to an endpoint.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Inc(1)
	defer g.inFlight.Dec(1)
	size := bodySize(r)
	defer g.requestBytes.held.Add(-size)
	if g.requestBytes.held.Add(size) > g.requestBytes.limit {
		g.shed(w, r)
		return
	}
	x, refusal := g.admit(w, r)
	defer x.releaseBodies()
	if refusal != nil {
		g.refuse(w, x, *refusal)
		return
	}
	serving, cancelServing := g.shutdown.whileServing(r.Context())
	defer cancelServing()
	ctx, cancel := context.WithDeadline(serving, x.deadline())
	defer cancel()
	// A caller that stops reading must not hold memory and a connection for long.
	_ = http.NewResponseController(w).SetWriteDeadline(x.deadline().Add(writeGrace))
	if x.route.Stream {
		g.serveStream(ctx, w, x)
		return
	}
	g.serveBuffered(ctx, w, x)
}

// writeGrace is the time to finish writing a response after the deadline of its request.
const writeGrace = time.Second

// admit reads a request and determines its route and workspace. It always reads the body first: closing a connection
// with unread bytes resets it, and the caller would not see the response.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*exchange, *Refusal) {
	x := &exchange{arrived: time.Now(), log: g.config.Logger}
	x.table = g.config.Fleet.Table()
	call, callErr := g.config.CallerCodec.Decode(r)
	if callErr == nil {
		x.call = call
		x.log = g.config.Logger.With(zap.String(logging.RequestID, call.ID))
	}
	body, err := g.readBody(w, r, x)
	switch {
	case errors.Is(err, errBodyTooLarge):
		// Checked again below: an instance without a declaration does not know the limit.
	case errors.Is(err, os.ErrDeadlineExceeded):
		return x, pointer(bodyTimedOut())
	case fault.Is(err, OutOfMemory):
		return x, pointer(tooManyBodies())
	case err != nil:
		// The caller has disconnected or does not send valid HTTP; it would not read a response.
		panic(http.ErrAbortHandler)
	case callErr != nil:
		return x, pointer(malformed(callErr))
	}
	if callErr != nil {
		return x, pointer(malformed(callErr))
	}
	call.Body = body
	if x.table == nil {
		x.table = g.awaitFirstTable(r.Context(), x)
	}
	switch {
	case x.table == nil:
		return x, pointer(noDeclaration())
	case err != nil:
		return x, pointer(tooLarge())
	}
	return x, g.resolve(x)
}

// awaitFirstTable waits for the first declaration after startup. It returns nil if none arrives in time.
func (g *Gateway) awaitFirstTable(ctx context.Context, x *exchange) *routing.Table {
	wait := time.Until(g.declarationDue)
	if wait <= 0 || g.shutdown.hasStopped() {
		return nil
	}
	x.log.Debug("Waiting for the first declaration", zap.Duration("at-most", wait))
	ctx, cancel := g.shutdown.whileWaiting(ctx, 0, false)
	defer cancel()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.config.Fleet.Declared():
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.config.Fleet.Table()
}

func pointer(r Refusal) *Refusal {
	return &r
}

// resolve sets the route, workspace and service of a request from the declaration. It returns a refusal if the request
// is not allowed.
func (g *Gateway) resolve(x *exchange) *Refusal {
	var ok bool
	if x.route, ok = x.table.Match(x.call.Host, x.call.Path); !ok {
		return pointer(noRoute())
	}
	if x.workspace, ok = x.table.Admit(x.route, x.call.Key); !ok {
		return pointer(unknownKey())
	}
	if !canForward(x.call.Target) {
		return pointer(targetNotForwarded())
	}
	x.service = x.route.Target(rand.Float64())
	service, _ := x.table.Service(x.service)
	x.engine, x.coldRate = service.Engine, service.ColdRate
	x.rank = x.table.Rank(x.service, x.route, x.workspace)
	x.fingerprint = fingerprint(x)
	if x.engine != nil {
		x.parts = crash.SharedParts(x.call.Prompt.Parts)
	}
	if g.shutdown.hasStopped() {
		return pointer(stopping())
	}
	return g.refuseCrashing(x, time.Now())
}

// fingerprint returns a hash of the workspace, method, host, target and body of a request.
func fingerprint(x *exchange) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{x.workspace.Name, x.call.Method, x.call.Host, x.call.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(x.call.Body)
	return digest.Sum64()
}

// deadline returns the time by which the caller gets a response: after the caller's timeout or the route's, whichever
// is shorter.
func (x *exchange) deadline() time.Time {
	limit := x.route.Timeout
	if x.call.Timeout > 0 {
		limit = min(limit, x.call.Timeout)
	}
	return x.arrived.Add(limit)
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft(now time.Time) time.Duration {
	return x.deadline().Sub(now)
}

// hasAttemptsLeft reports whether the request may be sent to another endpoint. Endpoints that did not run it do not
// count against the route's attempts, but at most maxNotRun of them are asked in addition.
func (x *exchange) hasAttemptsLeft() bool {
	const maxNotRun = 3
	return x.possibleRuns < x.route.Attempts && len(x.tried) < x.route.Attempts+maxNotRun
}

func (x *exchange) exclude(endpoint string) {
	if endpoint != "" && !slices.Contains(x.tried, endpoint) {
		x.tried = append(x.tried, endpoint)
	}
}

// refuse sends a refusal to the caller and logs it.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, refusal Refusal) {
	if x.possibleRuns > 0 && impliesNotRun(refusal.Status) {
		refusal = mayHaveRun(refusal.Message)
	}
	g.config.Metrics.Counter("gateway_refusals_total", "status", strconv.Itoa(refusal.Status)).Inc(1)
	x.log.Info("Refused a request", zap.String(logging.AttemptID, x.attemptID), zap.Int("status", refusal.Status), zap.String("reason", refusal.Message),
		zap.Duration("retry-after", refusal.RetryAfter), zap.String("route", x.route.Name), zap.Uint64("declaration", versionOf(x.table)),
		zap.Int("sent", x.possibleRuns), zap.Strings("tried", x.tried), zap.Duration("after", time.Since(x.arrived)),
		zap.Int("prompt", x.promptTokens()), zap.Any("rank", x.rank), zap.Stringer("engines", x.engineCounts))
	if refusal.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	g.config.CallerCodec.Refuse(w, refusal)
}

// promptTokens returns the length of the prompt, or 0 if the request has not been decoded.
func (x *exchange) promptTokens() int {
	if x.call == nil {
		return 0
	}
	return x.call.Prompt.Tokens
}

func versionOf(table *routing.Table) uint64 {
	if table == nil {
		return 0
	}
	return table.Version()
}

// recordResponse logs and counts a request that was served with an endpoint's response.
func (g *Gateway) recordResponse(x *exchange, endpoint string, status int) {
	if status < http.StatusMultipleChoices {
		g.config.Witness.RecordServed(x.fingerprint)
	}
	took := time.Since(x.arrived)
	g.config.Metrics.Counter("gateway_answers_total", "status", strconv.Itoa(status)).Inc(1)
	g.config.Metrics.Histogram("gateway_latency_microseconds", "service", x.service).Update(took.Microseconds())
	x.log.Info("Answered a request", zap.Int("status", status), zap.String("route", x.route.Name),
		zap.String("service", x.service), zap.String(logging.Endpoint, endpoint), zap.Int("sent", x.possibleRuns),
		zap.Strings("tried", x.tried), zap.Duration("after", took), zap.Duration("longest-pause", x.longestPause))
}

// newAttemptID returns an id that is unique in the deployment.
func (g *Gateway) newAttemptID() string {
	return g.attemptPrefix + strconv.FormatUint(g.attemptCount.Add(1), 36)
}
