package cli

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Guards against a stream that reaches the caller altered or without its end, is charged a wrong price, or
// forwards the caller's key to the engine.
func TestStream(t *testing.T) {
	is := is.New(t)
	var got http.Header
	url := startEngine(t, func(_ http.ResponseWriter, r *http.Request, e eventWriter) {
		got = r.Header.Clone()
		e.finish(0, 3)
	})
	s := startEntry(t, url)
	response := s.send(t, http.MethodPost, "/v1/chat/completions", streamRequest)
	is.Equal(response.status, http.StatusOK)
	is.Equal(strings.Count(response.body, "data: "), 5)
	is.True(strings.HasSuffix(response.body, "data: [DONE]\n\n"))
	id := response.header.Get(endpoint.HeaderRequestID)
	is.Equal(got.Get(endpoint.HeaderRequestID), id)
	is.Equal(got.Get(endpoint.HeaderPriority), "7")
	is.Equal(got.Get("Authorization"), "")
	is.NoErr(s.stop())
	is.Equal(s.dispatcher.eventTypes(id+"-1"), []dispatch.EventType{dispatch.FirstToken, dispatch.Finished})
	is.Equal(s.budget.held, int64(0))
	is.Equal(s.budget.spends[0].Amount, int64(15*10+5*1+3*100))
	is.Equal(s.observer.ok.Load(), int64(1))
}

// Guards against a plain service call that is lost between claim, dispatch and settlement.
func TestServiceCall(t *testing.T) {
	is := is.New(t)
	calls := 0
	url := startEngine(t, func(w http.ResponseWriter, r *http.Request, _ eventWriter) {
		calls++
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write([]byte(r.Method + " " + r.URL.String()))
	})
	s := startEntry(t, url)
	first := s.send(t, http.MethodPost, "/v1/services/counter/bookings/a%2Fb?shop=3", "{}", "Idempotency-Key", "k1")
	is.Equal(first.status, http.StatusOK)
	is.Equal(first.body, "POST /bookings/a%2Fb?shop=3")
	again := s.send(t, http.MethodPost, "/v1/services/counter/bookings/a%2Fb?shop=3", "{}", "Idempotency-Key", "k1")
	is.Equal(again.body, first.body)
	is.Equal(again.header.Get("Idempotent-Replay"), "true")
	is.Equal(calls, 1)
}
