package service

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// IdempotencyKeyHeader is the header with the caller's idempotency key. Calls that may not be repeated must
// have one.
const IdempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes bounds the caller's key, which is stored in the control quorum.
const maxKeyBytes = 255

// serveOnce makes a call that may not be repeated: it opens a claim, dispatches the call once and settles
// the claim.
func (s *Server) serveOnce(ctx context.Context, x *exchange.Exchange, call Call) (Response, error) {
	key, err := idempotencyKey(call.Header.Values(IdempotencyKeyHeader))
	if err != nil {
		return Response{}, err
	}
	reservation := s.newReserveRequest(x, call)
	claimKey := claim.Key{Workspace: x.Workspace.Name, IdempotencyKey: key}
	reply, err := s.openClaim(ctx, claim.OpenRequest{
		Key: claimKey, Fingerprint: reservation.Fingerprint, RequestID: x.RequestID, Entry: s.config.Entry,
	})
	if err != nil {
		// The claim may have been committed although the reply was lost. The claim is released, because nothing
		// was dispatched.
		s.settleLater(x.RequestID, claim.SettleRequest{Key: claimKey, RequestID: x.RequestID, Release: true})
		return Response{}, refusal.New(http.StatusServiceUnavailable, "claim-unavailable", refusal.DidNotRun,
			"The control quorum did not answer.").WithRetryAfter(time.Second)
	}
	x.KeyUnused = reply.Status == claim.Granted || reply.Status == claim.Full
	if reply.Status != claim.Granted {
		return repeatedCallResponse(reply)
	}
	// The call continues when the caller disconnects, because stopping it would leave its outcome unknown.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.Deadline)
	defer cancel()
	response, connected, err := s.attempt(ctx, x, call, &reservation)
	settlement := claim.SettleRequest{Key: claimKey, RequestID: x.RequestID}
	switch {
	case err == nil:
		settlement.Outcome = claimOutcome(response)
	case !connected:
		settlement.Release = true
	}
	s.settleClaim(ctx, x.RequestID, settlement)
	return response, onceCallError(ctx, connected, err)
}

// openTimeout is long enough for an election of the control leader.
const openTimeout = 4 * time.Second

func (s *Server) openClaim(ctx context.Context, request claim.OpenRequest) (claim.OpenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return s.config.Claims.OpenClaim(ctx, request)
}

func onceCallError(ctx context.Context, connected bool, err error) error {
	if err == nil {
		return nil
	}
	var refused refusal.Error
	if !errors.As(err, &refused) {
		refused = failureError(ctx)
	}
	return withOutcome(refused, connected)
}

func idempotencyKey(values []string) (string, error) {
	if len(values) == 0 || values[0] == "" {
		return "", refusal.New(http.StatusBadRequest, "idempotency-key-missing", refusal.DidNotRun,
			"This request may not be repeated and needs the header %s.", IdempotencyKeyHeader).WithParam(IdempotencyKeyHeader)
	}
	valid := len(values) == 1 && len(values[0]) <= maxKeyBytes
	for _, c := range []byte(values[0]) {
		valid = valid && c >= ' ' && c <= '~'
	}
	if !valid {
		return "", refusal.New(http.StatusBadRequest, "idempotency-key-invalid", refusal.DidNotRun,
			"The header %s must occur once, with at most %d printable ASCII characters.", IdempotencyKeyHeader, maxKeyBytes).WithParam(IdempotencyKeyHeader)
	}
	return values[0], nil
}

// inProgressRetryAfter is the wait before the caller should ask again while its call is still running.
const inProgressRetryAfter = time.Second

// repeatedCallResponse returns the response to a call whose claim is or was held by another call.
func repeatedCallResponse(reply claim.OpenReply) (Response, error) {
	switch reply.Status {
	case claim.Done:
		if reply.Outcome.Truncated {
			return Response{}, refusal.New(http.StatusConflict, "outcome-not-kept", refusal.MayHaveRun,
				"The request ran and the service answered with status %d; the response was too large to keep.", reply.Outcome.Status)
		}
		return Response{
			Status: reply.Outcome.Status, ContentType: reply.Outcome.ContentType, Body: reply.Outcome.Body, Replayed: true,
		}, nil
	case claim.InProgress:
		return Response{}, refusal.New(http.StatusConflict, "in-progress", refusal.MayHaveRun,
			"A request with this %s is in progress.", IdempotencyKeyHeader).WithRetryAfter(inProgressRetryAfter)
	case claim.Unknown:
		return Response{}, refusal.New(http.StatusConflict, "outcome-unknown", refusal.MayHaveRun,
			"An earlier request with this %s may have run; its outcome is not known.", IdempotencyKeyHeader)
	case claim.Mismatch:
		return Response{}, refusal.New(http.StatusUnprocessableEntity, "idempotency-key-reused", refusal.DidNotRun,
			"This %s was used before for another request.", IdempotencyKeyHeader).WithParam(IdempotencyKeyHeader)
	default:
		return Response{}, refusal.New(http.StatusServiceUnavailable, "claim-unavailable", refusal.DidNotRun,
			"The claim was not granted (%s).", reply.Status).WithRetryAfter(time.Second)
	}
}

func claimOutcome(response Response) *claim.Outcome {
	stored := &claim.Outcome{Status: response.Status, ContentType: response.ContentType, Body: response.Body}
	if len(response.Body) > claim.MaxOutcomeBytes {
		stored.Body = nil
		stored.Truncated = true
	}
	return stored
}

// settleClaim settles a claim before the caller receives the response, or in the background when the quorum
// does not reply at once.
func (s *Server) settleClaim(ctx context.Context, requestID string, settlement claim.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if _, err := s.config.Claims.SettleClaim(ctx, settlement); err != nil {
		s.settleLater(requestID, settlement)
	}
}

func (s *Server) settleLater(requestID string, settlement claim.SettleRequest) {
	s.pendingSettlements.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleRetryTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := s.config.Claims.SettleClaim(ctx, settlement); err == nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(settleRetryInterval):
			}
		}
		s.config.Logger.Warn("A claim could not be settled; it stays open", zap.String(logging.RequestID, requestID))
	})
}

// settleRetryInterval keeps the retries of many claims from overloading the quorum.
const settleRetryInterval = 250 * time.Millisecond
