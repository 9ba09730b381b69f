package filter

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/entryd/internal/service"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// InstrumentConfig configures Instrument.
type InstrumentConfig struct {
	// Access receives one line for each request.
	Access  *zap.Logger
	Metrics *metrics.Registry
	// Draining reports whether the entry drains. If so, responses carry "Connection: close", so that callers
	// connect to another entry for their next request.
	Draining func() bool
}

// Instrument returns a function that turns a Handler into an http.Handler, which assigns the request ID,
// sends the handler's error to the caller, and writes the access log and the metrics.
func Instrument(config InstrumentConfig) func(Handler) http.Handler {
	var inFlight atomic.Int64
	config.Metrics.GaugeFunc("entry_requests_in_flight", inFlight.Load)
	return func(handler Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			inFlight.Add(1)
			defer inFlight.Add(-1)
			x := &exchange.Exchange{
				RequestID: newRequestID(),
				Start:     time.Now(),
				Keyed:     r.Header.Get(service.IdempotencyKeyHeader) != "",
			}
			w.Header().Set(endpoint.HeaderRequestID, x.RequestID)
			if config.Draining() {
				w.Header().Set("Connection", "close")
			}
			err := callRecovering(config.Access, handler, w, r, x)
			if !x.BodyRead && r.ContentLength != 0 {
				discardBody(w, r, x)
			}
			writeOutcome(w, x, err)
			config.Access.Info("Request", x.LogFields(time.Now())...)
			updateMetrics(config.Metrics, x)
		})
	}
}

const (
	// discardIdleTimeout and discardTimeout limit the time for reading the body of a refused request: a caller
	// that stops sending must not delay the response for long.
	discardIdleTimeout = 500 * time.Millisecond
	discardTimeout     = 2 * time.Second
	// discardAfterDeadline limits it after the deadline of the request. It is shorter than writeGrace, so that
	// the response to a body that did not arrive in time can still be written.
	discardAfterDeadline = 200 * time.Millisecond
	// maxDiscardBytes is more than the largest body that the default settings allow.
	maxDiscardBytes  = 16 << 20
	discardChunkSize = 256 << 10
)

// discardBody reads the rest of the body of a refused request. Closing a connection with unread data resets
// it, and the caller loses the response. net/http itself reads at most 256 KiB of the rest, and nothing on a
// connection that it closes.
func discardBody(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) {
	if r.Header.Get("Expect") != "" {
		return // with "Expect: 100-continue", the caller sends the body only once it is read
	}
	controller := http.NewResponseController(w)
	end := time.Now().Add(discardTimeout)
	if afterDeadline := x.Deadline.Add(discardAfterDeadline); !x.Deadline.IsZero() && afterDeadline.Before(end) {
		end = afterDeadline
	}
	for range maxDiscardBytes / discardChunkSize {
		deadline := time.Now().Add(discardIdleTimeout)
		if end.Before(deadline) {
			deadline = end
		}
		_ = controller.SetReadDeadline(deadline)
		if _, err := io.CopyN(io.Discard, r.Body, discardChunkSize); err != nil {
			return
		}
	}
}

// callRecovering calls the handler and turns a panic into an error, so that one request cannot end the process.
func callRecovering(logger *zap.Logger, handler Handler, w http.ResponseWriter, r *http.Request, x *exchange.Exchange) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			logger.Error("A handler panicked", zap.String(logging.RequestID, x.RequestID), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
			err = refusal.New(http.StatusInternalServerError, "internal", refusal.MayHaveRun, "The entry failed to handle the request.")
		}
	}()
	return handler(w, r, x)
}

// writeOutcome sets the outcome of the exchange and writes the error, unless the response has already begun.
func writeOutcome(w http.ResponseWriter, x *exchange.Exchange, err error) {
	if err == nil {
		x.Outcome = "ok"
		return
	}
	var refusalErr refusal.Error
	if !errors.As(err, &refusalErr) {
		refusalErr = refusal.New(http.StatusInternalServerError, "internal", refusal.MayHaveRun, "The entry failed to handle the request.")
	}
	if x.Keyed && !x.KeyUnused && refusalErr.Outcome == refusal.DidNotRun && transient(refusalErr.Status) {
		refusalErr.Outcome = refusal.MayHaveRun
		refusalErr.Message += " An earlier request with the same " + service.IdempotencyKeyHeader + " may have run; send this one again."
	}
	x.Outcome, x.Code = string(refusalErr.Outcome), refusalErr.Code
	if x.Committed {
		return
	}
	x.Status = refusalErr.Status
	if refusalErr.Status != cell.StatusClientClosedRequest {
		refusalErr.Write(w)
	}
}

// transient reports whether the same request may be accepted later. Such a refusal of a request with an
// idempotency key does not prove that nothing ran: it may repeat a request whose response was lost, and the
// claim that would show this has not been looked up.
func transient(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

func updateMetrics(registry *metrics.Registry, x *exchange.Exchange) {
	registry.Counter("entry_requests_total", "outcome", x.Outcome, "code", x.Code).Inc(1)
	registry.Counter("entry_attempts_total").Inc(int64(len(x.Attempts)))
	registry.Counter("entry_output_tokens_total").Inc(int64(x.OutputTokens))
	if x.FirstToken > 0 {
		registry.Histogram("entry_time_to_first_token_microseconds").Update(x.FirstToken.Microseconds())
	}
}

const requestIDBytes = 12

func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
