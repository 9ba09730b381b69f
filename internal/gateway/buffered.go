package gateway

import (
	"context"
	"net/http"
	"strconv"
)

// bufferedResponse is a completely read response of an endpoint.
type bufferedResponse struct {
	endpoint string
	status   int
	header   http.Header
	body     []byte
}

// serveBuffered serves a request whose response is forwarded after it has been read completely.
func (g *Gateway) serveBuffered(ctx context.Context, w http.ResponseWriter, x *exchange) {
	g.retryBudgets.forService(x.service).RecordRequest()
	var failedResponse *bufferedResponse
	for {
		a, refusal := g.nextAttempt(ctx, x, "")
		if refusal != nil {
			g.deliverOrRefuse(w, x, failedResponse, *refusal)
			return
		}
		r, err := g.attemptBuffered(ctx, x, a)
		if err == nil && (!x.isRetryableFailure(r) || !g.mayRetry(ctx, x, nil)) {
			g.deliver(w, x, r)
			return
		}
		if err == nil {
			// The endpoint returned a server error for a repeatable request; another endpoint may succeed.
			failedResponse = r
			x.exclude(r.endpoint)
			continue
		}
		if !g.mayRetry(ctx, x, err) {
			g.deliverOrRefuse(w, x, failedResponse, g.finalRefusal(ctx, x, err))
			return
		}
	}
}

// attemptBuffered makes one attempt and reads the complete response.
func (g *Gateway) attemptBuffered(ctx context.Context, x *exchange, a *attempt) (*bufferedResponse, error) {
	resp, err := g.sendAttempt(ctx, x, a)
	var r *bufferedResponse
	if err == nil {
		r = &bufferedResponse{endpoint: a.outgoing.Endpoint, status: resp.StatusCode, header: resp.Header}
		r.body, err = g.readResponse(x, resp, a.outgoing)
	}
	if err == nil && r.status < http.StatusMultipleChoices {
		g.config.Witness.RecordWritten(x.parts)
	}
	g.finishAttempt(ctx, x, a, resp, err, 0)
	return r, err
}

// isRetryableFailure reports whether r is a server error for a request that may be repeated at another endpoint.
func (x *exchange) isRetryableFailure(r *bufferedResponse) bool {
	return r.status >= http.StatusInternalServerError && x.route.RetryPolicy.Retryable()
}

// callerLeft reports whether the caller disconnected before the deadline, which cancels ctx.
func (x *exchange) callerLeft(ctx context.Context) bool {
	return ctx.Err() == context.Canceled
}

// deliverOrRefuse sends the failure that an endpoint returned, if there is one, and otherwise a refusal.
func (g *Gateway) deliverOrRefuse(w http.ResponseWriter, x *exchange, failedResponse *bufferedResponse, refusal Refusal) {
	if failedResponse != nil {
		g.deliver(w, x, failedResponse)
		return
	}
	g.refuse(w, x, refusal)
}

func (g *Gateway) deliver(w http.ResponseWriter, x *exchange, r *bufferedResponse) {
	writeBuffered(w, r.status, r.header, r.body)
	g.recordResponse(x, r.endpoint, r.status)
}

// writeBuffered sends a completely read response of an endpoint to the caller.
func writeBuffered(w http.ResponseWriter, status int, header http.Header, body []byte) {
	copyHeader(w.Header(), header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// An error here means that the caller has disconnected.
	_, _ = w.Write(body)
}
