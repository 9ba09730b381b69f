// Package service serves calls to plain services. Calls that may not be repeated are dispatched at
// most once, under a claim in the control quorum.
package service

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/completion"
	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/retry"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Claims reaches the claims in the control quorum, as control.Client does.
type Claims interface {
	OpenClaim(ctx context.Context, request claim.OpenRequest) (claim.OpenReply, error)
	SettleClaim(ctx context.Context, request claim.SettleRequest) (claim.SettleReply, error)
}

// Config sets up a Server.
type Config struct {
	// Entry is the holder of claims: instance/incarnation.
	Entry   string
	Region  string
	Cells   *cell.Client
	Claims  Claims
	View    func() (session.View, error)
	Retries *retry.Budget
	// MaxAttempts bounds the endpoints tried for a repeatable call, MaxResponse the response in bytes.
	MaxAttempts int
	MaxResponse int
	// TLS is the configuration of connections to services; nil means that they are plain.
	TLS    *tls.Config
	Logger *zap.Logger
}

// Server serves calls to plain services. It is safe for concurrent use.
type Server struct {
	config     Config
	once       http.RoundTripper
	repeatable http.RoundTripper
	// settling are the claims whose end the quorum has not confirmed yet.
	settling sync.WaitGroup
}

// New returns a server.
func New(config Config) *Server {
	return &Server{config: config, once: onceTransport(config.TLS), repeatable: repeatableTransport(config.TLS)}
}

// Wait returns when all claims are settled or given up. No call may be in flight.
func (s *Server) Wait() {
	s.settling.Wait()
}

// Call is one call as the caller sent it.
type Call struct {
	Service string
	Method  string
	// Path is the escaped path and query at the service, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is what the service answered.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed says that it is the stored outcome of an earlier call.
	Replayed bool
}

// Serve makes one call. Errors are of type refusal.Error.
func (s *Server) Serve(ctx context.Context, x *exchange.Exchange, call Call) (Response, error) {
	x.Service = call.Service
	service, ok := x.View.Configuration.Services[call.Service]
	if !ok || !slices.Contains(x.Workspace.Services, call.Service) {
		return Response{}, refusal.New(http.StatusNotFound, "service-not-found", refusal.DidNotRun,
			"The service %.64q does not exist or the workspace may not use it.", call.Service)
	}
	if reserved(call.Path) {
		return Response{}, refusal.New(http.StatusNotFound, "path-reserved", refusal.DidNotRun,
			"Paths below /platform are not open to callers.")
	}
	if unrepeatable(service, call.Method) {
		return s.serveOnce(ctx, x, call)
	}
	return s.serveRepeatable(ctx, x, call)
}

// reserved reports whether a path is of the interface between endpoints and the system.
func reserved(escaped string) bool {
	escaped, _, _ = strings.Cut(escaped, "?")
	clear, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	clear = strings.ToLower(path.Clean(clear))
	return clear == "/platform" || strings.HasPrefix(clear, "/platform/")
}

var defaultUnrepeatable = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func unrepeatable(service configuration.Service, method string) bool {
	methods := service.UnrepeatableMethods
	if len(methods) == 0 {
		methods = defaultUnrepeatable
	}
	// Some servers take methods in any case.
	return slices.ContainsFunc(methods, func(m string) bool { return strings.EqualFold(m, method) })
}

// serveRepeatable tries endpoints in turn, within the retry budget.
func (s *Server) serveRepeatable(ctx context.Context, x *exchange.Exchange, call Call) (Response, error) {
	s.config.Retries.RecordRequest()
	reserve := s.reservation(x, call)
	reached := false
	for {
		response, connected, err := s.attempt(ctx, x, call, s.repeatable, &reserve)
		reached = reached || connected
		if err == nil {
			return response, nil
		}
		var refused refusal.Error
		if errors.As(err, &refused) {
			return Response{}, withOutcome(refused, reached)
		}
		more := len(x.Attempts) < s.config.MaxAttempts && ctx.Err() == nil && s.config.Retries.Take()
		if !more {
			return Response{}, withOutcome(failed(ctx), reached)
		}
	}
}

func withOutcome(refused refusal.Error, reached bool) refusal.Error {
	if reached {
		refused.Outcome = refusal.MayHaveRun
	}
	return refused
}

func failed(ctx context.Context) refusal.Error {
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, "time-limit", refusal.DidNotRun,
			"The time limit passed before the service had answered.")
	}
	return refusal.New(http.StatusBadGateway, "endpoint-failed", refusal.DidNotRun, "The service did not answer.")
}

func (s *Server) reservation(x *exchange.Exchange, call Call) dispatch.ReserveRequest {
	return dispatch.ReserveRequest{
		RequestID:    x.RequestID,
		Cell:         dispatch.FirstCell(call.Service, s.config.Region),
		Workspace:    x.Workspace.Name,
		Weight:       max(1, x.Workspace.Weight),
		Priority:     x.Workspace.Priority,
		PromptTokens: 1,
		Fingerprint:  completion.Fingerprint(x.Workspace.Name, call.Method+" "+call.Service+call.Path, call.Body),
	}
}

// attempt reserves an endpoint, checks the lease and dispatches. connected says whether any byte may
// have reached the endpoint.
func (s *Server) attempt(ctx context.Context, x *exchange.Exchange, call Call, transport http.RoundTripper, reserve *dispatch.ReserveRequest) (response Response, connected bool, err error) {
	grant, err := s.config.Cells.Reserve(ctx, *reserve, func() string {
		return fmt.Sprintf("%s-%d", x.RequestID, len(x.Attempts)+1)
	})
	if err != nil {
		return Response{}, false, err
	}
	run := s.config.Cells.Start(*reserve, grant)
	if _, err := s.config.View(); err != nil {
		run.End(dispatch.Cancelled, stream.Usage{})
		return Response{}, false, refusal.New(http.StatusServiceUnavailable, "lease-expired", refusal.DidNotRun,
			"This entry has lost the connection to the control quorum; use another address.")
	}
	member := grant.Members[0]
	x.Attempts = append(x.Attempts, grant.ID)
	x.Endpoint = member.Endpoint
	reserve.Exclude = append(reserve.Exclude, member.Endpoint)
	response, connected, err = s.dispatch(ctx, x, call, transport, grant)
	run.End(how(ctx, connected, err), stream.Usage{})
	if err != nil {
		s.config.Logger.Info("A call to a service failed", zap.String(logging.RequestID, x.RequestID),
			zap.String(logging.AttemptID, grant.ID), zap.String(logging.Endpoint, member.Endpoint), zap.Error(err))
	}
	return response, connected, err
}

func how(ctx context.Context, connected bool, err error) dispatch.EventType {
	switch {
	case err == nil:
		return dispatch.Finished
	case ctx.Err() != nil:
		return dispatch.Cancelled
	case connected && fault.Is(err, NoResponse):
		return dispatch.ConnectionLost
	default:
		return dispatch.Failed
	}
}

// settleTimeout bounds how long a response waits for its claim to be settled; settling goes on in the
// background for settleLimit.
const (
	settleTimeout = 2 * time.Second
	settleLimit   = 2 * time.Minute
)
