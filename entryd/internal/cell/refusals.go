package cell

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// httpStatus maps the dispatcher's reasons for a refusal to HTTP status codes.
var httpStatus = map[dispatch.Reason]int{
	dispatch.NoEndpoint:     http.StatusServiceUnavailable,
	dispatch.TooLarge:       http.StatusRequestEntityTooLarge,
	dispatch.TooLate:        http.StatusServiceUnavailable,
	dispatch.Overloaded:     http.StatusTooManyRequests,
	dispatch.Quarantined:    http.StatusUnprocessableEntity,
	dispatch.NoSafeEndpoint: http.StatusServiceUnavailable,
}

func refusedError(reply dispatch.ReserveReply) refusal.Error {
	status, ok := httpStatus[reply.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	message := reply.Message
	if message == "" {
		message = "The request was refused: " + string(reply.Reason) + "."
	}
	return refusal.New(status, string(reply.Reason), refusal.DidNotRun, "%s", message).WithRetryAfter(reply.RetryAfter)
}

// unreachableRetryAfter is the time that the next dispatcher needs to receive announcements of its
// endpoints.
const unreachableRetryAfter = time.Second

func unreachableError(cell string) refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, "no-endpoint", refusal.DidNotRun,
		"No endpoint of %s is known and its dispatcher did not answer.", cell).WithRetryAfter(unreachableRetryAfter)
}

// contextError distinguishes a time limit that passed from a caller that disconnected.
func contextError(ctx context.Context) refusal.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, "time-limit", refusal.DidNotRun,
			"The time limit passed while the request waited for an endpoint.")
	}
	return refusal.New(StatusClientClosedRequest, "caller-left", refusal.DidNotRun, "The caller closed the connection.")
}

// StatusClientClosedRequest is the status in the access log for a request whose caller closed the connection.
// It is never sent. 499 is nginx's "client closed request".
const StatusClientClosedRequest = 499
