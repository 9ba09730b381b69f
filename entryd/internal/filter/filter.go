// Package filter holds the steps that every request of a caller passes before its handler.
package filter

import (
	"net/http"

	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
)

// Handler answers a request. Its error is of type refusal.Error and is sent to the caller unless the
// response has begun (x.Committed).
type Handler func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error

// Filter adds a step before a handler.
type Filter func(next Handler) Handler

// Chain returns the handler behind the filters; the first filter runs first.
func Chain(handler Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}
