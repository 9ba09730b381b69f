package completion

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/retry"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Hold is an amount reserved for one request, as ledger.Reservation is.
type Hold interface {
	Settle(spend ledger.Spend)
	Release()
}

// Budget reserves budget. Any error refuses the request; kind ledger.Exceeded means that the spending limit
// does not cover the amount.
type Budget interface {
	Reserve(ctx context.Context, workspace string, limit, amount int64) (Hold, error)
}

// Observer receives the service-level measurements. The length class is short, medium or long.
type Observer interface {
	Observe(workspace, lengthClass string, ttft, interToken time.Duration, ok bool)
	// LongStarted and LongEnded mark the start and the end of each long request, so that the slowdown of short
	// requests during long ones can be measured.
	LongStarted()
	LongEnded()
}

// Limits are the limits of model requests.
type Limits struct {
	// MaxAttempts bounds the endpoints that one request may use, including retries and resumptions.
	MaxAttempts int
	// An endpoint has FirstByteFactor times the estimated time, but at least MinFirstByte, for its first event.
	// PrefillRate and DecodeRate, in tokens a second, give an estimate where the dispatcher gave none.
	FirstByteFactor float64
	MinFirstByte    time.Duration
	PrefillRate     float64
	DecodeRate      float64
	// StallTimeout is the longest pause allowed between two events.
	StallTimeout time.Duration
	// MaxEvent and MaxResponse bound, in bytes, one event and a response that is not streamed.
	MaxEvent    int
	MaxResponse int
	// DefaultMaxTokens is the completion limit for a request without max_tokens.
	DefaultMaxTokens int
}

// Config configures a Server.
type Config struct {
	Region    string
	Cells     *cell.Client
	Budget    Budget
	View      func() (session.View, error)
	Transport http.RoundTripper
	// TLS is set when engines are called over HTTPS; the transport uses it to connect.
	TLS      *tls.Config
	Retries  *retry.Budget
	Observer Observer
	Limits   Limits
	Logger   *zap.Logger
}

// Server serves model requests. It is safe for concurrent use.
type Server struct {
	config Config
	// cancellations tracks the cancellations that are still being sent to engines.
	cancellations  sync.WaitGroup
	endpointClient *endpoint.Client
	// activities maps an endpoint to its activity.
	activities sync.Map
}

// activity holds the time of the last event that an endpoint sent to this entry.
type activity struct {
	lastEventNanos atomic.Int64
}

func (a *activity) record(now time.Time) {
	a.lastEventNanos.Store(now.UnixNano())
}

func (a *activity) within(d time.Duration) bool {
	return time.Since(time.Unix(0, a.lastEventNanos.Load())) < d
}

func (s *Server) activity(endpoint string) *activity {
	value, _ := s.activities.LoadOrStore(endpoint, &activity{})
	return value.(*activity)
}

// New returns a server.
func New(config Config) *Server {
	return &Server{config: config, endpointClient: endpoint.NewClient(endpoint.ClientConfig{Timeout: probeTimeout, Transport: config.Transport})}
}

// Wait returns when all cancellations have been sent. No request may be in flight.
func (s *Server) Wait() {
	s.cancellations.Wait()
}

// Serve serves one model request. Errors are of type refusal.Error. When x.Committed is set, the response
// has started and the error needs no further reply.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, path string, x *exchange.Exchange, body []byte) error {
	request, err := Parse(path, body)
	if err != nil {
		return err
	}
	x.Model = request.Model
	x.PromptTokens = request.PromptTokens
	model, adapter, ok := findModel(x.View.Configuration, request.Model)
	if !ok || !slices.Contains(x.Workspace.Models, model.Name) {
		return refusal.New(http.StatusNotFound, "model-not-found", refusal.DidNotRun,
			"The model %.64q does not exist or the workspace may not use it.", request.Model).WithParam("model")
	}
	fingerprint := Fingerprint(x.Workspace.Name, path, body)
	if x.View.Quarantined[fingerprint] {
		return refusal.New(http.StatusUnprocessableEntity, "quarantined", refusal.DidNotRun,
			"This request made endpoints crash and is refused for some minutes.")
	}
	maxTokens, err := s.maxTokens(request, model)
	if err != nil {
		return err
	}
	hold, err := s.reserveBudget(ctx, x.Workspace, model, x.PromptTokens, maxTokens)
	if err != nil {
		return err
	}
	c := &call{
		server: s, ctx: ctx, writer: w, flusher: http.NewResponseController(w), exchange: x, path: path, body: body,
		maxTokensField: formatMaxTokensField(request, maxTokens),
		model:          model, streaming: request.Stream,
		reservation: dispatch.ReserveRequest{
			RequestID:    x.RequestID,
			Cell:         dispatch.FirstCell(model.Name, s.config.Region),
			Adapter:      adapter,
			Workspace:    x.Workspace.Name,
			Weight:       max(1, x.Workspace.Weight),
			Priority:     x.Workspace.Priority,
			PromptTokens: x.PromptTokens,
			MaxTokens:    maxTokens,
			Blocks:       request.Blocks,
			Fingerprint:  fingerprint,
		},
	}
	isLong := dispatch.LengthClassOf(x.PromptTokens) == dispatch.Long
	if isLong {
		s.config.Observer.LongStarted()
	}
	err = c.run()
	if isLong {
		s.config.Observer.LongEnded()
	}
	c.settle(hold)
	s.observe(c, err)
	return err
}

// findModel finds a model by its name or by the name of one of its adapters.
func findModel(c configuration.Configuration, name string) (model configuration.Model, adapter string, ok bool) {
	if model, ok = c.Models[name]; ok {
		return model, "", true
	}
	for _, model := range c.Models {
		if slices.Contains(model.Adapters, name) {
			return model, name, true
		}
	}
	return configuration.Model{}, "", false
}

// Fingerprint identifies identical requests: it is the hash of workspace, path and body.
func Fingerprint(workspace, path string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// maxTokens returns the limit of the completion, for which the worst-case cost is reserved.
func (s *Server) maxTokens(request Request, model configuration.Model) (int, error) {
	prompt := request.PromptTokens
	remaining := model.MaxContext - prompt
	switch {
	case model.MaxContext > 0 && max(1, request.MaxTokens) > remaining:
		return 0, refusal.New(http.StatusBadRequest, "context-length-exceeded", refusal.DidNotRun,
			"The prompt has about %d tokens and max_tokens is %d; model %s takes at most %d together.",
			prompt, request.MaxTokens, model.Name, model.MaxContext)
	case request.MaxTokens > 0:
		return request.MaxTokens, nil
	case model.MaxContext > 0:
		return min(remaining, s.config.Limits.DefaultMaxTokens), nil
	default:
		return s.config.Limits.DefaultMaxTokens, nil
	}
}

func (s *Server) reserveBudget(ctx context.Context, workspace configuration.Workspace, model configuration.Model, prompt, output int) (Hold, error) {
	maxCost := model.PromptPrice*int64(prompt) + model.OutputPrice*int64(output)
	hold, err := s.config.Budget.Reserve(ctx, workspace.Name, workspace.SpendLimit, maxCost)
	switch {
	case err == nil:
		return hold, nil
	case fault.Is(err, ledger.Exceeded):
		return nil, refusal.New(http.StatusPaymentRequired, "spending-limit", refusal.DidNotRun,
			"The request may cost up to %d micro-cents, which the spending limit of the workspace does not cover.", maxCost)
	default:
		return nil, refusal.New(http.StatusServiceUnavailable, "budget-unavailable", refusal.DidNotRun,
			"The budget of the workspace cannot be reserved now.").WithRetryAfter(time.Second)
	}
}

func (s *Server) observe(c *call, err error) {
	var refused refusal.Error
	if errors.As(err, &refused) && refused.Status < http.StatusInternalServerError && refused.Status != http.StatusTooManyRequests {
		return
	}
	var interTokenLatency time.Duration
	if c.forwardedEvents > 1 {
		interTokenLatency = c.lastEvent.Sub(c.firstEvent) / time.Duration(c.forwardedEvents-1)
	}
	s.config.Observer.Observe(c.exchange.Workspace.Name, dispatch.LengthClassOf(c.exchange.PromptTokens).String(), c.exchange.FirstToken, interTokenLatency, err == nil)
}
