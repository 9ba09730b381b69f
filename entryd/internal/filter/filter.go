// Package filter implements the HTTP middleware of the callers' API: authentication, limits and the access log.
package filter

import (
	"net/http"

	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
)

// Handler serves a request. Its error should be a refusal.Error; it is sent to the caller unless the
// response has already begun (x.Committed).
type Handler func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error

// Filter is a middleware: it wraps a handler.
type Filter func(next Handler) Handler

// Chain wraps the handler in the filters; the first filter runs first.
func Chain(handler Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}
