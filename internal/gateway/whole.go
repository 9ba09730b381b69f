package gateway

import (
	"context"
	"net/http"
	"strconv"
)

// result is a complete answer of an endpoint.
type result struct {
	endpoint string
	status   int
	header   http.Header
	body     []byte
}

// serveWhole serves a request whose answer is passed on when it is complete.
func (g *Gateway) serveWhole(ctx context.Context, w http.ResponseWriter, x *exchange) {
	g.budgets.of(x.service).RecordRequest()
	var failed *result
	for {
		p, refusal := g.place(ctx, x, "")
		if refusal != nil {
			g.last(w, x, failed, *refusal)
			return
		}
		r, err := g.attemptWhole(ctx, x, p)
		if err == nil && (!x.failedAt(r) || !g.again(ctx, x, nil)) {
			g.deliver(w, x, r)
			return
		}
		if err == nil {
			// The endpoint's own failure of a request that may be repeated: another one may do better.
			failed = r
			x.exclude(r.endpoint)
			continue
		}
		if !g.again(ctx, x, err) {
			g.last(w, x, failed, g.failure(ctx, x, err))
			return
		}
	}
}

// attemptWhole makes one attempt and reads the whole answer.
func (g *Gateway) attemptWhole(ctx context.Context, x *exchange, p *attempt) (*result, error) {
	a, err := g.try(ctx, x, p)
	var r *result
	if err == nil {
		r = &result{endpoint: p.hop.Endpoint, status: a.StatusCode, header: a.Header}
		r.body, err = a.whole(p.hop)
	}
	g.finish(ctx, x, p, a, err, 0)
	return r, err
}

// failedAt reports whether an endpoint failed a request that another one may run.
func (x *exchange) failedAt(r *result) bool {
	return r.status >= http.StatusInternalServerError && x.route.RetryPolicy.Retryable()
}

// callerLeft reports whether ctx ended before the time limit.
func (x *exchange) callerLeft(ctx context.Context) bool {
	return ctx.Err() == context.Canceled
}

// last answers with an endpoint's own failure if there is one, and otherwise with a refusal.
func (g *Gateway) last(w http.ResponseWriter, x *exchange, failed *result, refusal Refusal) {
	if failed != nil {
		g.deliver(w, x, failed)
		return
	}
	g.refuse(w, x, refusal)
}

func (g *Gateway) deliver(w http.ResponseWriter, x *exchange, r *result) {
	writeWhole(w, r.status, r.header, r.body)
	g.finished(x, r.endpoint, r.status)
}

// writeWhole sends a complete answer of an endpoint.
func writeWhole(w http.ResponseWriter, status int, header http.Header, body []byte) {
	copyHeader(w.Header(), header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// An error here means that the caller has left.
	_, _ = w.Write(body)
}
