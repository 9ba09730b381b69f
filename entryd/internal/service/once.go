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

// KeyHeader names a call that may not be repeated.
const KeyHeader = "Idempotency-Key"

// maxKeyBytes bounds the caller's key; it is stored in the control quorum.
const maxKeyBytes = 255

// serveOnce makes a call that may not be repeated: claim, one dispatch, settle.
func (s *Server) serveOnce(ctx context.Context, x *exchange.Exchange, call Call) (Response, error) {
	key, err := idempotencyKey(call.Header.Values(KeyHeader))
	if err != nil {
		return Response{}, err
	}
	reserve := s.reservation(x, call)
	held := claim.Key{Workspace: x.Workspace.Name, IdempotencyKey: key}
	reply, err := s.open(ctx, claim.OpenRequest{
		Key: held, Fingerprint: reserve.Fingerprint, RequestID: x.RequestID, Entry: s.config.Entry,
	})
	if err != nil {
		// The claim may have been committed although the answer is lost; nothing was dispatched.
		s.settleLater(x.RequestID, claim.SettleRequest{Key: held, RequestID: x.RequestID, Release: true})
		return Response{}, refusal.New(http.StatusServiceUnavailable, "claim-unavailable", refusal.DidNotRun,
			"The control quorum did not answer.").WithRetryAfter(time.Second)
	}
	x.KeyUnused = reply.Status == claim.Granted || reply.Status == claim.Full
	if reply.Status != claim.Granted {
		return resent(reply)
	}
	// The caller's disconnect does not end the call: its outcome is worth more when it is known.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.Deadline)
	defer cancel()
	response, connected, err := s.attempt(ctx, x, call, s.once, &reserve)
	end := claim.SettleRequest{Key: held, RequestID: x.RequestID}
	switch {
	case err == nil:
		end.Outcome = outcome(response)
	case !connected:
		end.Release = true
	}
	s.settle(ctx, x.RequestID, end)
	return response, onceError(ctx, connected, err)
}

// openTimeout covers an election of the control leader.
const openTimeout = 4 * time.Second

func (s *Server) open(ctx context.Context, request claim.OpenRequest) (claim.OpenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return s.config.Claims.OpenClaim(ctx, request)
}

func onceError(ctx context.Context, connected bool, err error) error {
	if err == nil {
		return nil
	}
	var refused refusal.Error
	if !errors.As(err, &refused) {
		refused = failed(ctx)
	}
	return withOutcome(refused, connected)
}

func idempotencyKey(values []string) (string, error) {
	if len(values) == 0 || values[0] == "" {
		return "", refusal.New(http.StatusBadRequest, "idempotency-key-missing", refusal.DidNotRun,
			"This request may not be repeated and needs the header %s.", KeyHeader).WithParam(KeyHeader)
	}
	valid := len(values) == 1 && len(values[0]) <= maxKeyBytes
	for _, c := range []byte(values[0]) {
		valid = valid && c >= ' ' && c <= '~'
	}
	if !valid {
		return "", refusal.New(http.StatusBadRequest, "idempotency-key-invalid", refusal.DidNotRun,
			"The header %s must occur once, with at most %d printable ASCII characters.", KeyHeader, maxKeyBytes).WithParam(KeyHeader)
	}
	return values[0], nil
}

// retryInProgress is the wait asked of a caller whose call is still running.
const retryInProgress = time.Second

// resent answers a call whose claim another call has or had.
func resent(reply claim.OpenReply) (Response, error) {
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
			"A request with this %s is in progress.", KeyHeader).WithRetryAfter(retryInProgress)
	case claim.Unknown:
		return Response{}, refusal.New(http.StatusConflict, "outcome-unknown", refusal.MayHaveRun,
			"An earlier request with this %s may have run; its outcome is not known.", KeyHeader)
	case claim.Mismatch:
		return Response{}, refusal.New(http.StatusUnprocessableEntity, "idempotency-key-reused", refusal.DidNotRun,
			"This %s was used before for another request.", KeyHeader).WithParam(KeyHeader)
	default:
		return Response{}, refusal.New(http.StatusServiceUnavailable, "claim-unavailable", refusal.DidNotRun,
			"The claim was not granted (%s).", reply.Status).WithRetryAfter(time.Second)
	}
}

func outcome(response Response) *claim.Outcome {
	kept := &claim.Outcome{Status: response.Status, ContentType: response.ContentType, Body: response.Body}
	if len(response.Body) > claim.MaxOutcomeBytes {
		kept.Body = nil
		kept.Truncated = true
	}
	return kept
}

// settle ends a claim before the caller gets the response, or in the background when the quorum does
// not answer at once.
func (s *Server) settle(ctx context.Context, requestID string, end claim.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if _, err := s.config.Claims.SettleClaim(ctx, end); err != nil {
		s.settleLater(requestID, end)
	}
}

func (s *Server) settleLater(requestID string, end claim.SettleRequest) {
	s.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := s.config.Claims.SettleClaim(ctx, end); err == nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(settlePause):
			}
		}
		s.config.Logger.Warn("A claim could not be settled; it stays open", zap.String(logging.RequestID, requestID))
	})
}

// settlePause keeps the retries of many claims from flooding the quorum.
const settlePause = 250 * time.Millisecond
