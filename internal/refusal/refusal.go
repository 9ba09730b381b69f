// Package refusal defines the error responses that callers receive, in the JSON form of the OpenAI API.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether an endpoint may have executed the failed request.
type Outcome string

const (
	// DidNotRun means that no byte of the request reached an endpoint.
	DidNotRun Outcome = "did-not-run"
	// MayHaveRun means that an endpoint received the request and its result is unknown.
	MayHaveRun Outcome = "may-have-run"
	// FailedWhileRunning means that an endpoint ran the request and did not finish it.
	FailedWhileRunning Outcome = "failed-while-running"
)

// Error is an error response to a caller. It is used as a value; the With methods return modified copies.
type Error struct {
	Status     int
	Type       string
	Code       string
	Message    string
	Param      string
	Outcome    Outcome
	RetryAfter time.Duration
	Addresses  []string
}

// New returns an error with an HTTP status, a kebab-case code and a formatted message.
func New(status int, code string, outcome Outcome, format string, args ...any) Error {
	return Error{
		Status:  status,
		Type:    errorType(status),
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Outcome: outcome,
	}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// Error returns the message with its code and outcome.
func (e Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Outcome)
}

// WithRetryAfter returns a copy that asks the caller to wait before a retry.
func (e Error) WithRetryAfter(wait time.Duration) Error {
	e.RetryAfter = wait
	return e
}

// WithParam returns a copy that names the request field that caused the error.
func (e Error) WithParam(param string) Error {
	e.Param = param
	return e
}

// WithAddresses returns a copy that names other entry addresses to use.
func (e Error) WithAddresses(addresses []string) Error {
	e.Addresses = append([]string(nil), addresses...)
	return e
}

type envelope struct {
	Error body `json:"error"`
}

type body struct {
	Message   string   `json:"message"`
	Type      string   `json:"type"`
	Param     *string  `json:"param"`
	Code      string   `json:"code"`
	Outcome   Outcome  `json:"outcome"`
	Addresses []string `json:"addresses,omitempty"`
}

// MarshalJSON encodes the error in the form of the OpenAI API, with the outcome added.
func (e Error) MarshalJSON() ([]byte, error) {
	b := body{Message: e.Message, Type: e.Type, Code: e.Code, Outcome: e.Outcome, Addresses: e.Addresses}
	if e.Param != "" {
		b.Param = &e.Param
	}
	return json.Marshal(envelope{Error: b})
}

// Write sends the error as the whole response. The headers must not have been sent yet.
func (e Error) Write(w http.ResponseWriter) {
	payload, err := json.Marshal(e)
	if err != nil {
		http.Error(w, e.Message, e.Status)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Outcome", string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(payload)
}
