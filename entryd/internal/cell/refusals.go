package cell

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// statuses are the HTTP status codes of the dispatcher's refusals.
var statuses = map[dispatch.Reason]int{
	dispatch.NoEndpoint:     http.StatusServiceUnavailable,
	dispatch.TooLarge:       http.StatusRequestEntityTooLarge,
	dispatch.TooLate:        http.StatusServiceUnavailable,
	dispatch.Overloaded:     http.StatusTooManyRequests,
	dispatch.Quarantined:    http.StatusUnprocessableEntity,
	dispatch.NoSafeEndpoint: http.StatusServiceUnavailable,
}

func refused(reply dispatch.ReserveReply) refusal.Error {
	status, ok := statuses[reply.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	message := reply.Message
	if message == "" {
		message = "The request was refused: " + string(reply.Reason) + "."
	}
	return refusal.New(status, string(reply.Reason), refusal.DidNotRun, "%s", message).WithRetryAfter(reply.RetryAfter)
}

// retryUnreachable is the time that the next dispatcher needs to hear of its endpoints.
const retryUnreachable = time.Second

func unreachable(cell string) refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, "no-endpoint", refusal.DidNotRun,
		"No endpoint of %s is known and its dispatcher did not answer.", cell).WithRetryAfter(retryUnreachable)
}

// timeLimit tells the end of the time limit from a caller that left.
func timeLimit(ctx context.Context) refusal.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, "time-limit", refusal.DidNotRun,
			"The time limit passed while the request waited for an endpoint.")
	}
	return refusal.New(StatusCallerLeft, "caller-left", refusal.DidNotRun, "The caller closed the connection.")
}

// StatusCallerLeft is the status in the access log of a request whose caller closed the connection;
// it is never sent. Web servers commonly use this number.
const StatusCallerLeft = 499
