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

// RecordConfig sets up Record.
type RecordConfig struct {
	// Access receives one line for each request.
	Access  *zap.Logger
	Metrics *metrics.Registry
	// Draining asks callers to connect elsewhere for their next request.
	Draining func() bool
}

// Record returns a function that turns a handler into an http.Handler: it gives the request its id,
// sends the handler's error to the caller, and writes the access log and the metrics.
func Record(config RecordConfig) func(Handler) http.Handler {
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
			err := guarded(config.Access, handler, w, r, x)
			if !x.BodyRead && r.ContentLength != 0 {
				discard(w, r, x)
			}
			finish(w, x, err)
			config.Access.Info("Request", x.LogFields(time.Now())...)
			count(config.Metrics, x)
		})
	}
}

const (
	// discardIdle and discardTimeout bound the reading of a body that was refused: a caller that does not
	// send it must not hold the answer for long.
	discardIdle    = 500 * time.Millisecond
	discardTimeout = 2 * time.Second
	// discardLate bounds it after the time limit. It is shorter than writeGrace, so that the answer to a
	// body that did not arrive in time can still be written.
	discardLate = 200 * time.Millisecond
	// discardBytes is more than the largest body that the default settings allow.
	discardBytes = 16 << 20
	discardChunk = 256 << 10
)

// discard reads the rest of a body that was refused. A connection that is closed with unread data is
// reset, and the caller loses the answer; net/http reads at most 256 KiB, and nothing before it closes.
func discard(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) {
	if r.Header.Get("Expect") != "" {
		return // the caller sends the body only when it is read
	}
	control := http.NewResponseController(w)
	end := time.Now().Add(discardTimeout)
	if late := x.Deadline.Add(discardLate); !x.Deadline.IsZero() && late.Before(end) {
		end = late
	}
	for range discardBytes / discardChunk {
		deadline := time.Now().Add(discardIdle)
		if end.Before(deadline) {
			deadline = end
		}
		_ = control.SetReadDeadline(deadline)
		if _, err := io.CopyN(io.Discard, r.Body, discardChunk); err != nil {
			return
		}
	}
}

// guarded keeps a fault in the handling of one request from ending the process.
func guarded(logger *zap.Logger, handler Handler, w http.ResponseWriter, r *http.Request, x *exchange.Exchange) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			logger.Error("A handler panicked", zap.String(logging.RequestID, x.RequestID), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
			err = refusal.New(http.StatusInternalServerError, "internal", refusal.MayHaveRun, "The entry failed to handle the request.")
		}
	}()
	return handler(w, r, x)
}

func finish(w http.ResponseWriter, x *exchange.Exchange, err error) {
	if err == nil {
		x.Outcome = "ok"
		return
	}
	var refused refusal.Error
	if !errors.As(err, &refused) {
		refused = refusal.New(http.StatusInternalServerError, "internal", refusal.MayHaveRun, "The entry failed to handle the request.")
	}
	if x.Keyed && !x.KeyUnused && refused.Outcome == refusal.DidNotRun && transient(refused.Status) {
		refused.Outcome = refusal.MayHaveRun
		refused.Message += " An earlier request with the same " + service.IdempotencyKeyHeader + " may have run; send this one again."
	}
	x.Outcome, x.Code = string(refused.Outcome), refused.Code
	if x.Committed {
		return
	}
	x.Status = refused.Status
	if refused.Status != cell.StatusClientClosedRequest {
		refused.Write(w)
	}
}

// transient reports whether the same request may be accepted later. Such a refusal of a request with an
// idempotency key does not say that nothing ran: the caller may be resending one whose answer was lost,
// and the claim that would tell has not been looked up.
func transient(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

func count(registry *metrics.Registry, x *exchange.Exchange) {
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
