package gateway

import (
	"net/http"
	"time"
)

// Refusal is an answer of the system's own. Statuses 503 and 429 promise that the request has not run and
// never will.
type Refusal struct {
	Status  int
	Message string
	// RetryAfter is when the caller may return; 0 when it makes no difference.
	RetryAfter time.Duration
}

const (
	// soon is the pause of callers that another instance or endpoint can serve at once.
	soon = 100 * time.Millisecond
	// settling is the pause of callers of an instance that does not know the declaration yet.
	settling = 500 * time.Millisecond
)

func malformed(err error) Refusal {
	return Refusal{Status: http.StatusBadRequest, Message: err.Error()}
}

func tooLarge() Refusal {
	return Refusal{Status: http.StatusRequestEntityTooLarge, Message: "the body is larger than the limit"}
}

func noRoute() Refusal {
	return Refusal{Status: http.StatusNotFound, Message: "no route matches"}
}

func unknownKey() Refusal {
	return Refusal{Status: http.StatusUnauthorized, Message: "the key is not that of a workspace"}
}

func unprepared() Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Message: "this instance knows no declaration yet", RetryAfter: settling}
}

func stopping() Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Message: "this instance stops", RetryAfter: soon}
}

// notRun refuses a request that has reached no endpoint that ran it.
func notRun(message string, after time.Duration) Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Message: message, RetryAfter: max(soon, after)}
}

// mayHaveRun ends a request whose outcome is not known.
func mayHaveRun(message string) Refusal {
	return Refusal{Status: http.StatusBadGateway, Message: message}
}

// overdue ends a request that may have run when its time is over.
func overdue() Refusal {
	return Refusal{Status: http.StatusGatewayTimeout, Message: "no endpoint has answered within the time limit"}
}

// callerGone ends a request whose caller has left; nothing is answered.
func callerGone() Refusal {
	return Refusal{Message: "the caller has left"}
}
