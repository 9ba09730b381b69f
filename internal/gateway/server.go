package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	config    Config
	transport http.RoundTripper
	balance   *balance
	budgets   *budgets
	stopping  atomic.Bool
	attempts  atomic.Uint64
	// prefix makes the ids of attempts unique in the deployment.
	prefix   string
	inFlight gometrics.Counter
	// bodies is the size of all bodies in memory, in bytes.
	bodies atomic.Int64
	// prepared is when a declaration is expected at the latest; requests wait for the first one until then.
	prepared time.Time
}

// preparation is the time after the start in which an instance usually learns the declaration. Callers that come back
// after all instances were down are served then, where a refusal would be their last answer.
const preparation = 1500 * time.Millisecond

// New returns a gateway.
func New(config Config) *Gateway {
	return &Gateway{
		config: config, transport: newTransport(), balance: newBalance(),
		budgets:  newBudgets(config.Retries, func() int { return len(config.Fleet.Members()) }),
		prefix:   strconv.FormatUint(rand.Uint64(), 36) + "-",
		inFlight: config.Metrics.Counter("gateway_requests_in_flight"),
		prepared: time.Now().Add(preparation),
	}
}

// Stop refuses new requests from now on.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
}

// exchange is one request on its way.
type exchange struct {
	call      *Call
	table     *routing.Table
	route     routing.Route
	workspace routing.Workspace
	service   string
	engine    *routing.Engine
	arrived   time.Time
	// fingerprint identifies a request that is sent again.
	fingerprint uint64
	// tried are the ids of endpoints that failed the request, sent counts those that may have run it.
	tried []string
	sent  int
	// attempt is the id of the last attempt at a model engine.
	attempt string
	// pause is the longest time between two events of a stream.
	pause time.Duration
	log   *zap.Logger
}

// defaultBodyBytes bounds a body before a declaration says otherwise.
const defaultBodyBytes = 8 << 20

// ServeHTTP serves one request: admit it, then pass it on.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Inc(1)
	defer g.inFlight.Dec(1)
	size := bodySize(r)
	defer g.bodies.Add(-size)
	if g.bodies.Add(size) > maxBodies {
		g.shed(w, r)
		return
	}
	x, refusal := g.admit(w, r)
	if refusal != nil {
		g.refuse(w, x, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline())
	defer cancel()
	// A caller that does not read holds neither memory nor the connection for long.
	_ = http.NewResponseController(w).SetWriteDeadline(x.deadline().Add(writeGrace))
	if x.route.Stream {
		g.serveStream(ctx, w, x)
		return
	}
	g.serveWhole(ctx, w, x)
}

const (
	// maxBodies bounds the bodies that an instance holds in memory at a time, in bytes. The smallest instances
	// have 136 MiB.
	maxBodies = 32 << 20
	// unknownBody is what a body counts for whose length is not told.
	unknownBody = 256 << 10
)

func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return unknownBody
	}
	return r.ContentLength
}

// shed refuses a request whose body does not fit into memory beside the others. The body is read and dropped,
// so that the caller sees the answer.
func (g *Gateway) shed(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodies)); err != nil {
		g.config.Logger.Debug("Could not read the body of a request that is refused", zap.Error(err))
	}
	x := &exchange{arrived: time.Now(), table: g.config.Fleet.Table(), log: g.config.Logger}
	g.refuse(w, x, notRun("too many large requests at a time", soon))
}

// writeGrace is the time for the last bytes to a caller after the time limit of its request.
const writeGrace = time.Second

// admit reads a request and finds its route and workspace. The body is read first in any case: a connection
// that is closed with unread bytes is reset, and the caller does not see the answer.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*exchange, *Refusal) {
	x := &exchange{arrived: time.Now(), log: g.config.Logger}
	x.table = g.config.Fleet.Table()
	body, tooBig, err := readBody(w, r, x.table)
	if err != nil {
		// The caller has left or sends no HTTP; nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	call, err := g.config.Callers.Decode(r)
	if err != nil {
		return x, pointer(malformed(err))
	}
	x.call = call
	call.Body = body
	x.log = g.config.Logger.With(zap.String(logging.RequestID, call.ID))
	if x.table == nil {
		x.table = g.firstTable(r.Context(), x)
	}
	switch {
	case x.table == nil:
		return x, pointer(unprepared())
	case tooBig:
		return x, pointer(tooLarge())
	}
	return x, g.find(x)
}

// firstTable waits for the declaration of an instance that has just started. It returns nil if none comes in time.
func (g *Gateway) firstTable(ctx context.Context, x *exchange) *routing.Table {
	wait := time.Until(g.prepared)
	if wait <= 0 || g.stopping.Load() {
		return nil
	}
	x.log.Debug("Waiting for the first declaration", zap.Duration("at-most", wait))
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

// find fills in what the declaration says of a request.
func (g *Gateway) find(x *exchange) *Refusal {
	var ok bool
	if x.route, ok = x.table.Match(x.call.Host, x.call.Path); !ok {
		return pointer(noRoute())
	}
	if x.workspace, ok = x.table.Admit(x.route, x.call.Key); !ok {
		return pointer(unknownKey())
	}
	x.service = x.route.Target(rand.Float64())
	service, _ := x.table.Service(x.service)
	x.engine = service.Engine
	x.fingerprint = fingerprint(x)
	switch {
	case g.stopping.Load():
		return pointer(stopping())
	case g.config.Fleet.Quarantined(x.fingerprint):
		return pointer(notRun("the request crashes endpoints", quarantineRetry))
	}
	return nil
}

// quarantineRetry is the pause of callers whose request crashes endpoints.
const quarantineRetry = time.Minute

// fingerprint is the hash of workspace, path and body.
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

func readBody(w http.ResponseWriter, r *http.Request, table *routing.Table) (body []byte, tooBig bool, err error) {
	limit := int64(defaultBodyBytes)
	if table != nil && table.Limits().MaxBodyBytes > 0 {
		limit = table.Limits().MaxBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, false, nil
	}
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, true, nil
	}
	return body, false, err
}

// deadline is when the caller gets an answer at the latest: at the end of its own time or of the route's.
func (x *exchange) deadline() time.Time {
	limit := x.route.Timeout
	if x.call.Wait > 0 {
		limit = min(limit, x.call.Wait)
	}
	return x.arrived.Add(limit)
}

// left is how long an endpoint's answer is of use.
func (x *exchange) left(now time.Time) time.Duration {
	return x.deadline().Sub(now)
}

// mayTry reports whether the request may go to one more endpoint. Endpoints that did not run it do not count
// as attempts, but neither is it offered to all of them.
func (x *exchange) mayTry() bool {
	const maxDeclined = 3
	return x.sent < x.route.Attempts && len(x.tried) < x.route.Attempts+maxDeclined
}

func (x *exchange) exclude(endpoint string) {
	if endpoint != "" && !slices.Contains(x.tried, endpoint) {
		x.tried = append(x.tried, endpoint)
	}
}

// refuse answers with a refusal and logs the decision.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, refusal Refusal) {
	g.config.Metrics.Counter("gateway_refusals_total", "status", strconv.Itoa(refusal.Status)).Inc(1)
	x.log.Info("Refused a request", zap.String(logging.AttemptID, x.attempt), zap.Int("status", refusal.Status), zap.String("reason", refusal.Message),
		zap.Duration("retry-after", refusal.RetryAfter), zap.String("route", x.route.Name), zap.Uint64("declaration", versionOf(x.table)),
		zap.Int("sent", x.sent), zap.Strings("tried", x.tried), zap.Duration("after", time.Since(x.arrived)))
	if refusal.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	g.config.Callers.Refuse(w, refusal)
}

func versionOf(table *routing.Table) uint64 {
	if table == nil {
		return 0
	}
	return table.Version()
}

// finished logs a request that got an endpoint's answer.
func (g *Gateway) finished(x *exchange, endpoint string, status int) {
	took := time.Since(x.arrived)
	g.config.Metrics.Counter("gateway_answers_total", "status", strconv.Itoa(status)).Inc(1)
	g.config.Metrics.Histogram("gateway_latency_microseconds", "service", x.service).Update(took.Microseconds())
	x.log.Info("Answered a request", zap.Int("status", status), zap.String("route", x.route.Name),
		zap.String("service", x.service), zap.String(logging.Endpoint, endpoint), zap.Int("sent", x.sent),
		zap.Strings("tried", x.tried), zap.Duration("after", took), zap.Duration("longest-pause", x.pause))
}

// attemptID returns an id that no other attempt of the deployment has.
func (g *Gateway) attemptID() string {
	return g.prefix + strconv.FormatUint(g.attempts.Add(1), 36)
}
