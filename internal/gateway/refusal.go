package gateway

import (
	"net/http"
	"time"
)

// Refusal is a response by the gateway itself instead of an endpoint. Statuses 503 and 429 guarantee that the request
// has not run and never will.
type Refusal struct {
	Status  int
	Message string
	// RetryAfter is the time after which the caller may retry, or 0 to give no advice.
	RetryAfter time.Duration
}

const (
	// shortRetryAfter is for requests that another instance or endpoint can serve at once.
	shortRetryAfter = 100 * time.Millisecond
	// startupRetryAfter is for requests to an instance that has no declaration yet, or no endpoint for them.
	startupRetryAfter = 500 * time.Millisecond
)

func malformed(err error) Refusal {
	return Refusal{Status: http.StatusBadRequest, Message: err.Error()}
}

// targetNotForwarded refuses a request whose target would be changed on its way to an endpoint.
func targetNotForwarded() Refusal {
	return Refusal{Status: http.StatusBadRequest, Message: "the request target cannot be forwarded unchanged"}
}

func tooLarge() Refusal {
	return Refusal{Status: http.StatusRequestEntityTooLarge, Message: "the body is larger than the limit"}
}

// tooManyBodies refuses a request because the instance holds too many bytes of bodies.
func tooManyBodies() Refusal {
	return notRun("too many large requests at a time", shortRetryAfter)
}

// bodyTimedOut refuses a request whose body did not arrive in time.
func bodyTimedOut() Refusal {
	return Refusal{Status: http.StatusRequestTimeout, Message: "the body of the request did not arrive in time"}
}

func noRoute() Refusal {
	return Refusal{Status: http.StatusNotFound, Message: "no route matches"}
}

func unknownKey() Refusal {
	return Refusal{Status: http.StatusUnauthorized, Message: "the key is not that of a workspace"}
}

func noDeclaration() Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Message: "this instance knows no declaration yet", RetryAfter: startupRetryAfter}
}

func stopping() Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Message: "this instance stops", RetryAfter: shortRetryAfter}
}

// notRun refuses a request that no endpoint has run.
func notRun(message string, retryAfter time.Duration) Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Message: message, RetryAfter: max(shortRetryAfter, retryAfter)}
}

// mayHaveRun refuses a request that failed after an endpoint may have run it.
func mayHaveRun(message string) Refusal {
	return Refusal{Status: http.StatusBadGateway, Message: message}
}

// timedOut refuses a request that may have run and whose time limit has passed.
func timedOut() Refusal {
	return Refusal{Status: http.StatusGatewayTimeout, Message: "no endpoint has answered within the time limit"}
}

// callerGone ends a request whose caller has disconnected. Its zero status means that no response is sent.
func callerGone() Refusal {
	return Refusal{Message: "the caller has left"}
}
