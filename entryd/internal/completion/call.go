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
	server  *Server
	ctx     context.Context
	w       http.ResponseWriter
	flusher *http.ResponseController
	x       *exchange.Exchange
	path    string
	// body is the caller's, bound the field that is added to it for the engine.
	bound   []byte
	body    []byte
	model   configuration.Model
	stream  bool
	reserve dispatch.ReserveRequest

	ids      int
	attempts int
	// reached says that an endpoint may have received the request, began that one responded to it.
	reached bool
	began   bool
	// forwarded counts the events that the caller has received.
	forwarded  int
	firstEvent time.Time
	lastEvent  time.Time
	// cost is what the attempts used, in micro-cents.
	cost int64
}

// run makes attempts until one completes the response or no further one is allowed.
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

// failure is why an attempt failed.
type failure struct {
	// event is what the dispatcher is told.
	event dispatch.EventType
	// final says that another endpoint would not do better.
	final bool
	// cancel says that the endpoint may still be working on the attempt.
	cancel bool
	err    error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

func (c *call) attempt() error {
	grant, err := c.server.config.Cells.Reserve(c.ctx, c.reserve, c.nextAttempt)
	if err != nil {
		return err
	}
	run := c.server.config.Cells.Start(c.reserve, grant)
	if _, err := c.server.config.View(); err != nil {
		run.End(dispatch.Cancelled, stream.Usage{})
		return leaseExpired()
	}
	c.attempts++
	c.x.Attempts = append(c.x.Attempts, grant.ID)
	c.x.Endpoint = grant.Members[0].Endpoint
	for _, member := range grant.Members {
		c.reserve.Exclude = append(c.reserve.Exclude, member.Endpoint)
	}
	usage, err := c.exchangeWithEngine(grant, run)
	c.account(usage)
	var failed *failure
	switch {
	case err == nil:
		run.End(dispatch.Finished, usage)
	case errors.As(err, &failed):
		c.server.config.Logger.Info("An attempt failed", zap.String(logging.RequestID, c.x.RequestID),
			zap.String(logging.AttemptID, grant.ID), zap.String(logging.Endpoint, c.x.Endpoint), zap.Error(failed.err))
		run.End(failed.event, usage)
		if failed.cancel {
			c.server.cancel(grant)
		}
	}
	return err
}

func (c *call) exchangeWithEngine(grant dispatch.Grant, run *cell.Run) (stream.Usage, error) {
	a := newAttempt(c, grant, run)
	defer a.close()
	if c.stream {
		return a.stream()
	}
	return a.whole()
}

func (c *call) nextAttempt() string {
	c.ids++
	return fmt.Sprintf("%s-%d", c.x.RequestID, c.ids)
}

// flushTimeout bounds how long a retry waits until the dispatcher has heard why; it selects the next
// endpoint by that.
const flushTimeout = 50 * time.Millisecond

// retry reports whether another attempt may be made, and tells the dispatcher of the last one first.
func (c *call) retry(err error) bool {
	var failed *failure
	if !errors.As(err, &failed) || failed.final || c.ctx.Err() != nil {
		return false
	}
	if reason := c.refuseRetry(failed); reason != "" {
		c.server.config.Logger.Info("Not retried", zap.String(logging.RequestID, c.x.RequestID),
			zap.String("reason", reason), zap.Int("attempts", c.attempts))
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, flushTimeout)
	defer cancel()
	c.server.config.Cells.Flush(ctx)
	return true
}

// refuseRetry returns why no other attempt may be made, or nothing.
func (c *call) refuseRetry(failed *failure) string {
	// A resumption continues work that was admitted and is not multiplied by callers that resend. After a
	// lost connection the endpoint no longer does the work, and a death strikes all requests there at
	// once: four deaths in one second exceeded the budget of a young entry. Neither is charged.
	charged := !c.x.Committed && failed.event != dispatch.ConnectionLost
	switch {
	case c.attempts >= c.server.config.Limits.MaxAttempts:
		return "attempts used up"
	case charged && !c.server.config.Retries.Take():
		return "retry budget used up"
	default:
		return ""
	}
}

// fail turns the last error into what the caller sees, with the outcome of all attempts.
func (c *call) fail(err error) error {
	var refused refusal.Error
	var failed *failure
	passedOn := errors.As(err, &refused)
	if !passedOn || c.attempts > 0 && !errors.As(err, &failed) && refused.Code == string(dispatch.NoEndpoint) {
		refused = refusal.New(http.StatusBadGateway, "endpoint-failed", refusal.DidNotRun,
			"The endpoint failed before the response was complete, and no other one could take over.")
	}
	switch {
	case c.ctx.Err() != nil:
		refused = c.ended()
	case c.x.Committed:
		refused.Status = http.StatusBadGateway
	}
	switch {
	case c.began:
		refused.Outcome = refusal.FailedWhileRunning
	case c.reached:
		refused.Outcome = refusal.MayHaveRun
	}
	if c.stream && c.x.Committed && !errors.Is(c.ctx.Err(), context.Canceled) {
		c.sendError(refused)
	}
	return refused
}

func (c *call) ended() refusal.Error {
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, "time-limit", refusal.DidNotRun,
			"The time limit passed before the response was complete.")
	}
	return refusal.New(cell.StatusCallerLeft, "caller-left", refusal.DidNotRun, "The caller closed the connection.")
}

func leaseExpired() refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, "lease-expired", refusal.DidNotRun,
		"This entry has lost the connection to the control quorum; use another address.")
}

// sendError ends a stream that has begun: clients of the OpenAI protocol take an event with an error
// as the failure of the stream, and [DONE] does not follow.
func (c *call) sendError(refused refusal.Error) {
	payload, err := refused.MarshalJSON()
	if err != nil {
		return
	}
	_, _ = c.w.Write([]byte("data: " + string(payload) + "\n\n"))
	_ = c.flusher.Flush()
}

// account adds what an attempt used.
func (c *call) account(usage stream.Usage) {
	cached := min(usage.CachedTokens, usage.PromptTokens)
	c.cost += int64(usage.PromptTokens-cached)*c.model.PromptPrice + int64(cached)*c.model.CachedPrice +
		int64(usage.CompletionTokens)*c.model.OutputPrice
	c.x.OutputTokens += usage.CompletionTokens
	if usage.Known {
		c.x.PromptTokens = usage.PromptTokens
		c.x.CachedTokens = usage.CachedTokens
	}
}

// settle books the cost. The hold cuts it to the reserved amount.
func (c *call) settle(hold Hold) {
	if c.cost == 0 && !c.began {
		hold.Release()
		return
	}
	hold.Settle(ledger.Spend{
		Workspace:   c.x.Workspace.Name,
		Model:       c.model.Name,
		LengthClass: dispatch.LengthClassOf(c.x.PromptTokens).String(),
		Amount:      c.cost,
		Requests:    1,
		Tokens:      int64(c.x.PromptTokens + c.x.OutputTokens),
	})
}

// reader returns the body for the engine: the caller's own bytes, and behind its last field the bound
// of the completion where the caller gave none (or null, which the later field overrides). Without it
// the engine could complete more than the memory and the budget that are reserved.
func (c *call) reader() io.Reader {
	end := bytes.LastIndexByte(c.body, '}')
	return io.MultiReader(bytes.NewReader(c.body[:end]), bytes.NewReader(c.bound), bytes.NewReader(c.body[end:]))
}

// boundField is the field that reader adds for a request without max_tokens.
func boundField(request Request, maxTokens int) []byte {
	if request.MaxTokens > 0 {
		return nil
	}
	return fmt.Appendf(nil, `,"max_tokens":%d`, maxTokens)
}
