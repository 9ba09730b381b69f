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

// Purse reserves budget. Any error refuses the request; one of kind ledger.Exceeded says that the limit
// does not cover the amount.
type Purse interface {
	Reserve(ctx context.Context, workspace string, limit, amount int64) (Hold, error)
}

// Observer receives the service-level observations. The length class is short, medium or long.
type Observer interface {
	Observe(workspace, lengthClass string, ttft, interToken time.Duration, ok bool)
	// LongStarted and LongEnded frame each long request, so that the slowdown of short ones can be told.
	LongStarted()
	LongEnded()
}

// Limits are the limits of model requests.
type Limits struct {
	// MaxAttempts bounds the endpoints that one request may use, retries and resumptions included.
	MaxAttempts int
	// FirstByteFactor times the estimate, but at least MinFirstByte, is the time that an endpoint has
	// for its first event. PrefillRate and DecodeRate, in tokens a second, give an estimate where the
	// dispatcher gave none.
	FirstByteFactor float64
	MinFirstByte    time.Duration
	PrefillRate     float64
	DecodeRate      float64
	// Stall is the longest pause between two events.
	Stall time.Duration
	// MaxEvent and MaxResponse bound one event and a response without stream, in bytes.
	MaxEvent    int
	MaxResponse int
	// DefaultMaxTokens is what engines complete at most for a request without max_tokens.
	DefaultMaxTokens int
}

// Config sets up a Server.
type Config struct {
	Region    string
	Cells     *cell.Client
	Purse     Purse
	View      func() (session.View, error)
	Transport http.RoundTripper
	// TLS says that engines are called by https; the transport connects by it.
	TLS      *tls.Config
	Retries  *retry.Budget
	Observer Observer
	Limits   Limits
	Logger   *zap.Logger
}

// Server serves model requests. It is safe for concurrent use.
type Server struct {
	config Config
	// cancels are the cancellations that are still being sent to engines.
	cancels  sync.WaitGroup
	platform *endpoint.Client
	// pulses are by endpoint.
	pulses sync.Map
}

// pulse is the time of the last event that an endpoint sent to this entry.
type pulse struct {
	last atomic.Int64
}

func (p *pulse) beat(now time.Time) {
	p.last.Store(now.UnixNano())
}

func (p *pulse) within(d time.Duration) bool {
	return time.Since(time.Unix(0, p.last.Load())) < d
}

func (s *Server) pulse(endpoint string) *pulse {
	p, _ := s.pulses.LoadOrStore(endpoint, &pulse{})
	return p.(*pulse)
}

// New returns a server.
func New(config Config) *Server {
	return &Server{config: config, platform: endpoint.NewClient(endpoint.ClientConfig{Timeout: probeTimeout, Transport: config.Transport})}
}

// Wait returns when all cancellations have been sent. No request may be in flight.
func (s *Server) Wait() {
	s.cancels.Wait()
}

// Serve answers one model request. Errors are of type refusal.Error; when x.Committed is set, the
// caller has already been told.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, path string, x *exchange.Exchange, body []byte) error {
	request, err := Parse(path, body)
	if err != nil {
		return err
	}
	x.Model = request.Model
	x.PromptTokens = request.PromptTokens
	model, adapter, ok := resolve(x.View.Configuration, request.Model)
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
		server: s, ctx: ctx, w: w, flusher: http.NewResponseController(w), x: x, path: path, body: body,
		bound: boundField(request, maxTokens),
		model: model, stream: request.Stream,
		reserve: dispatch.ReserveRequest{
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
	long := dispatch.LengthClassOf(x.PromptTokens) == dispatch.Long
	if long {
		s.config.Observer.LongStarted()
	}
	err = c.run()
	if long {
		s.config.Observer.LongEnded()
	}
	c.settle(hold)
	s.observe(c, err)
	return err
}

// resolve finds a model by its name or by that of one of its adapters.
func resolve(c configuration.Configuration, name string) (model configuration.Model, adapter string, ok bool) {
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

// Fingerprint identifies equal requests: it is the hash of workspace, path and body.
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

// maxTokens is the bound of the completion, for which the worst-case cost is held.
func (s *Server) maxTokens(request Request, model configuration.Model) (int, error) {
	prompt := request.PromptTokens
	left := model.MaxContext - prompt
	switch {
	case model.MaxContext > 0 && max(1, request.MaxTokens) > left:
		return 0, refusal.New(http.StatusBadRequest, "context-length-exceeded", refusal.DidNotRun,
			"The prompt has about %d tokens and max_tokens is %d; model %s takes at most %d together.",
			prompt, request.MaxTokens, model.Name, model.MaxContext)
	case request.MaxTokens > 0:
		return request.MaxTokens, nil
	case model.MaxContext > 0:
		return min(left, s.config.Limits.DefaultMaxTokens), nil
	default:
		return s.config.Limits.DefaultMaxTokens, nil
	}
}

func (s *Server) reserveBudget(ctx context.Context, w configuration.Workspace, model configuration.Model, prompt, output int) (Hold, error) {
	worst := model.PromptPrice*int64(prompt) + model.OutputPrice*int64(output)
	hold, err := s.config.Purse.Reserve(ctx, w.Name, w.SpendLimit, worst)
	switch {
	case err == nil:
		return hold, nil
	case fault.Is(err, ledger.Exceeded):
		return nil, refusal.New(http.StatusPaymentRequired, "spending-limit", refusal.DidNotRun,
			"The request may cost up to %d micro-cents, which the spending limit of the workspace does not cover.", worst)
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
	var between time.Duration
	if c.forwarded > 1 {
		between = c.lastEvent.Sub(c.firstEvent) / time.Duration(c.forwarded-1)
	}
	s.config.Observer.Observe(c.x.Workspace.Name, dispatch.LengthClassOf(c.x.PromptTokens).String(), c.x.FirstToken, between, err == nil)
}
