// Package service serves calls to plain services. Calls that may not be repeated are dispatched at most
// once, under a claim in the control quorum.
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

// Claims opens and settles the claims in the control quorum, as control.Client does.
type Claims interface {
	OpenClaim(ctx context.Context, request claim.OpenRequest) (claim.OpenReply, error)
	SettleClaim(ctx context.Context, request claim.SettleRequest) (claim.SettleReply, error)
}

// Config configures a Server.
type Config struct {
	// Entry identifies this process as the holder of claims: instance/incarnation.
	Entry   string
	Region  string
	Cells   *cell.Client
	Claims  Claims
	View    func() (session.View, error)
	Retries *retry.Budget
	// MaxAttempts bounds the endpoints that are tried for a repeatable call, MaxResponse the size of the
	// response in bytes.
	MaxAttempts int
	MaxResponse int
	// TLS is the configuration of connections to services; nil means that they are unencrypted.
	TLS    *tls.Config
	Logger *zap.Logger
}

// Server serves calls to plain services. It is safe for concurrent use.
type Server struct {
	config    Config
	transport http.RoundTripper
	// pendingSettlements counts the claims whose settlement the quorum has not confirmed yet.
	pendingSettlements sync.WaitGroup
}

// New returns a server.
func New(config Config) *Server {
	return &Server{config: config, transport: newTransport(config.TLS)}
}

// Wait returns when every claim has been settled or given up. No call may be in flight.
func (s *Server) Wait() {
	s.pendingSettlements.Wait()
}

// Call is a call as the caller sent it.
type Call struct {
	Service string
	Method  string
	// Path is the escaped path and query at the service, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is the response of the service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed means that the response is the stored outcome of an earlier call.
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
	if isReservedPath(call.Path) {
		return Response{}, refusal.New(http.StatusNotFound, "path-reserved", refusal.DidNotRun,
			"Paths below /platform are not open to callers.")
	}
	if isUnrepeatable(service, call.Method) {
		return s.serveOnce(ctx, x, call)
	}
	return s.serveRepeatable(ctx, x, call)
}

// isReservedPath reports whether a path belongs to the interface between endpoints and this system.
func isReservedPath(escaped string) bool {
	escaped, _, _ = strings.Cut(escaped, "?")
	unescaped, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	unescaped = strings.ToLower(path.Clean(unescaped))
	return unescaped == "/platform" || strings.HasPrefix(unescaped, "/platform/")
}

var defaultUnrepeatable = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func isUnrepeatable(service configuration.Service, method string) bool {
	methods := service.UnrepeatableMethods
	if len(methods) == 0 {
		methods = defaultUnrepeatable
	}
	// Some servers accept methods in any letter case.
	return slices.ContainsFunc(methods, func(m string) bool { return strings.EqualFold(m, method) })
}

// serveRepeatable tries one endpoint after another, within the retry budget.
func (s *Server) serveRepeatable(ctx context.Context, x *exchange.Exchange, call Call) (Response, error) {
	s.config.Retries.RecordRequest()
	reservation := s.newReserveRequest(x, call)
	reached := false
	for {
		response, connected, err := s.attempt(ctx, x, call, &reservation)
		reached = reached || connected
		if err == nil {
			return response, nil
		}
		var refused refusal.Error
		if errors.As(err, &refused) {
			return Response{}, withOutcome(refused, reached)
		}
		retryAllowed := len(x.Attempts) < s.config.MaxAttempts && ctx.Err() == nil && s.config.Retries.Take()
		if !retryAllowed {
			return Response{}, withOutcome(failureError(ctx), reached)
		}
	}
}

func withOutcome(refused refusal.Error, reached bool) refusal.Error {
	if reached {
		refused.Outcome = refusal.MayHaveRun
	}
	return refused
}

func failureError(ctx context.Context) refusal.Error {
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, "time-limit", refusal.DidNotRun,
			"The time limit passed before the service had answered.")
	}
	return refusal.New(http.StatusBadGateway, "endpoint-failed", refusal.DidNotRun, "The service did not answer.")
}

func (s *Server) newReserveRequest(x *exchange.Exchange, call Call) dispatch.ReserveRequest {
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

// attempt reserves an endpoint, checks the lease and dispatches the call. connected reports whether any byte
// may have reached the endpoint.
func (s *Server) attempt(ctx context.Context, x *exchange.Exchange, call Call, reservation *dispatch.ReserveRequest) (response Response, connected bool, err error) {
	grant, err := s.config.Cells.Reserve(ctx, *reservation, func() string {
		return fmt.Sprintf("%s-%d", x.RequestID, len(x.Attempts)+1)
	})
	if err != nil {
		return Response{}, false, err
	}
	activeGrant := s.config.Cells.TrackGrant(*reservation, grant)
	if _, err := s.config.View(); err != nil {
		activeGrant.End(dispatch.Cancelled, stream.Usage{})
		return Response{}, false, refusal.New(http.StatusServiceUnavailable, "lease-expired", refusal.DidNotRun,
			"This entry has lost the connection to the control quorum; use another address.")
	}
	member := grant.Members[0]
	x.Attempts = append(x.Attempts, grant.ID)
	x.Endpoint = member.Endpoint
	reservation.Exclude = append(reservation.Exclude, member.Endpoint)
	response, connected, err = s.dispatch(ctx, x, call, grant)
	activeGrant.End(eventType(ctx, connected, err), stream.Usage{})
	if err != nil {
		s.config.Logger.Info("A call to a service failed", zap.String(logging.RequestID, x.RequestID),
			zap.String(logging.AttemptID, grant.ID), zap.String(logging.Endpoint, member.Endpoint), zap.Error(err))
	}
	return response, connected, err
}

func eventType(ctx context.Context, connected bool, err error) dispatch.EventType {
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

// settleTimeout bounds how long a response waits for its claim to be settled. After it the settlement is
// retried in the background for up to settleRetryTimeout.
const (
	settleTimeout      = 2 * time.Second
	settleRetryTimeout = 2 * time.Minute
)
