package completion

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// call is one model request with its attempts.
type call struct {
	server   *Server
	ctx      context.Context
	writer   http.ResponseWriter
	flusher  *http.ResponseController
	exchange *exchange.Exchange
	path     string
	// body is the caller's body; maxTokensField is the field that is added to it for the engine.
	maxTokensField []byte
	body           []byte
	model          configuration.Model
	streaming      bool
	reservation    dispatch.ReserveRequest

	lastAttemptNumber int
	attempts          int
	// endpointReached means that an endpoint may have received the request, responseStarted that one responded to it.
	endpointReached bool
	responseStarted bool
	// forwardedEvents counts the chunk events that were written to the caller.
	forwardedEvents int
	firstEvent      time.Time
	lastEvent       time.Time
	// cost is the price of what the attempts used, in micro-cents.
	cost int64
}

// run makes attempts until one completes the response or no further attempt is allowed.
func (c *call) run() error {
	c.server.config.Retries.RecordRequest()
	for {
		err := c.attempt()
		if err == nil {
			return nil
		}
		if !c.retry(err) {
			return c.fail(err)
		}
	}
}

// failure describes why an attempt failed.
type failure struct {
	// event is reported to the dispatcher.
	event dispatch.EventType
	// final means that another endpoint would not do better.
	final bool
	// cancel means that the endpoint may still be working on the attempt.
	cancel bool
	err    error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

func (c *call) attempt() error {
	grant, err := c.server.config.Cells.Reserve(c.ctx, c.reservation, c.nextAttemptID)
	if err != nil {
		return err
	}
	activeGrant := c.server.config.Cells.TrackGrant(c.reservation, grant)
	if _, err := c.server.config.View(); err != nil {
		activeGrant.End(dispatch.Cancelled, stream.Usage{})
		return leaseExpiredError()
	}
	c.attempts++
	c.exchange.Attempts = append(c.exchange.Attempts, grant.ID)
	c.exchange.Endpoint = grant.Members[0].Endpoint
	for _, member := range grant.Members {
		c.reservation.Exclude = append(c.reservation.Exclude, member.Endpoint)
	}
	usage, err := c.exchangeWithEngine(grant, activeGrant)
	c.addUsage(usage)
	var failed *failure
	switch {
	case err == nil:
		activeGrant.End(dispatch.Finished, usage)
	case errors.As(err, &failed):
		c.server.config.Logger.Info("An attempt failed", zap.String(logging.RequestID, c.exchange.RequestID),
			zap.String(logging.AttemptID, grant.ID), zap.String(logging.Endpoint, c.exchange.Endpoint), zap.Error(failed.err))
		activeGrant.End(failed.event, usage)
		if failed.cancel {
			c.server.cancel(grant)
		}
	}
	return err
}

func (c *call) exchangeWithEngine(grant dispatch.Grant, activeGrant *cell.ActiveGrant) (stream.Usage, error) {
	a := newAttempt(c, grant, activeGrant)
	defer a.close()
	if c.streaming {
		return a.receiveStream()
	}
	return a.receiveResponse()
}

func (c *call) nextAttemptID() string {
	c.lastAttemptNumber++
	return fmt.Sprintf("%s-%d", c.exchange.RequestID, c.lastAttemptNumber)
}

// flushTimeout bounds how long a retry waits until the dispatcher has received the reason of the failure,
// which it uses to select the next endpoint.
const flushTimeout = 50 * time.Millisecond

// retry reports whether another attempt may be made. If so, it reports the last attempt to the dispatcher first.
func (c *call) retry(err error) bool {
	var failed *failure
	if !errors.As(err, &failed) || failed.final || c.ctx.Err() != nil {
		return false
	}
	if reason := c.retryRefusalReason(failed); reason != "" {
		c.server.config.Logger.Info("Not retried", zap.String(logging.RequestID, c.exchange.RequestID),
			zap.String("reason", reason), zap.Int("attempts", c.attempts))
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, flushTimeout)
	defer cancel()
	c.server.config.Cells.Flush(ctx)
	return true
}

// retryRefusalReason returns why no other attempt may be made, or "".
func (c *call) retryRefusalReason(failed *failure) string {
	// A resumption continues work that was admitted and is not multiplied by callers that resend. After a lost
	// connection the endpoint no longer does the work, and a crash of an endpoint affects all its requests at
	// once: four crashes in one second exceeded the budget of an entry that had just started. Neither is charged.
	charged := !c.exchange.Committed && failed.event != dispatch.ConnectionLost
	switch {
	case c.attempts >= c.server.config.Limits.MaxAttempts:
		return "attempts used up"
	case charged && !c.server.config.Retries.Take():
		return "retry budget used up"
	default:
		return ""
	}
}

// fail converts the last error into the error for the caller, with the outcome of all attempts.
func (c *call) fail(err error) error {
	var refused refusal.Error
	var failed *failure
	isRefusal := errors.As(err, &refused)
	if !isRefusal || c.attempts > 0 && !errors.As(err, &failed) && refused.Code == string(dispatch.NoEndpoint) {
		refused = refusal.New(http.StatusBadGateway, "endpoint-failed", refusal.DidNotRun,
			"The endpoint failed before the response was complete, and no other one could take over.")
	}
	switch {
	case c.ctx.Err() != nil:
		refused = c.contextError()
	case c.exchange.Committed:
		refused.Status = http.StatusBadGateway
	}
	switch {
	case c.responseStarted:
		refused.Outcome = refusal.FailedWhileRunning
	case c.endpointReached:
		refused.Outcome = refusal.MayHaveRun
	}
	if c.streaming && c.exchange.Committed && !errors.Is(c.ctx.Err(), context.Canceled) {
		c.sendError(refused)
	}
	return refused
}

func (c *call) contextError() refusal.Error {
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, "time-limit", refusal.DidNotRun,
			"The time limit passed before the response was complete.")
	}
	return refusal.New(cell.StatusClientClosedRequest, "caller-left", refusal.DidNotRun, "The caller closed the connection.")
}

func leaseExpiredError() refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, "lease-expired", refusal.DidNotRun,
		"This entry has lost the connection to the control quorum; use another address.")
}

// sendError ends a stream that has begun: clients of the OpenAI protocol treat an event with an error as the
// failure of the stream, and no [DONE] follows.
func (c *call) sendError(refused refusal.Error) {
	payload, err := refused.MarshalJSON()
	if err != nil {
		return
	}
	_, _ = c.writer.Write([]byte("data: " + string(payload) + "\n\n"))
	_ = c.flusher.Flush()
}

// addUsage adds the usage of an attempt to the cost and the token counts of the request.
func (c *call) addUsage(usage stream.Usage) {
	cached := min(usage.CachedTokens, usage.PromptTokens)
	c.cost += int64(usage.PromptTokens-cached)*c.model.PromptPrice + int64(cached)*c.model.CachedPrice +
		int64(usage.CompletionTokens)*c.model.OutputPrice
	c.exchange.OutputTokens += usage.CompletionTokens
	if usage.Known {
		c.exchange.PromptTokens = usage.PromptTokens
		c.exchange.CachedTokens = usage.CachedTokens
	}
}

// settle charges the cost to the budget. The hold limits it to the reserved amount.
func (c *call) settle(hold Hold) {
	if c.cost == 0 && !c.responseStarted {
		hold.Release()
		return
	}
	hold.Settle(ledger.Spend{
		Workspace:   c.exchange.Workspace.Name,
		Model:       c.model.Name,
		LengthClass: dispatch.LengthClassOf(c.exchange.PromptTokens).String(),
		Amount:      c.cost,
		Requests:    1,
		Tokens:      int64(c.exchange.PromptTokens + c.exchange.OutputTokens),
	})
}

// engineBody returns the body for the engine: the caller's own bytes with max_tokens appended as the last
// field where the caller gave none (or null, which the later field overrides). Without it the engine could
// complete more than the memory and the budget that are reserved.
func (c *call) engineBody() io.Reader {
	end := bytes.LastIndexByte(c.body, '}')
	return io.MultiReader(bytes.NewReader(c.body[:end]), bytes.NewReader(c.maxTokensField), bytes.NewReader(c.body[end:]))
}

// formatMaxTokensField returns the field that engineBody adds for a request without max_tokens.
func formatMaxTokensField(request Request, maxTokens int) []byte {
	if request.MaxTokens > 0 {
		return nil
	}
	return fmt.Appendf(nil, `,"max_tokens":%d`, maxTokens)
}
