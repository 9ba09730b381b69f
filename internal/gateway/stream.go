package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/placement"
)

// delivery is the caller's side of a stream: what it has got so far.
type delivery struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	started bool
	// last is the id of the last event that the caller has.
	last   string
	events int
	// at is when the last event was passed on, pause the longest time between two of them.
	at    time.Time
	pause time.Duration
}

// serveStream passes the events of a stream on as they come. A stream that breaks off goes on at another
// engine behind the last event, where the route allows it.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, x *exchange) {
	g.budgets.of(x.service).RecordRequest()
	d := &delivery{writer: w, flusher: http.NewResponseController(w), last: x.call.After}
	for {
		p, refusal := g.place(ctx, x, d.last)
		if refusal != nil {
			g.breakOff(w, x, d, *refusal)
			return
		}
		endpoint, status, err := g.stream(ctx, x, p, d)
		if err == nil {
			x.pause = d.pause
			g.finished(x, endpoint, status)
			return
		}
		if !g.again(ctx, x, err) {
			g.breakOff(w, x, d, g.failure(ctx, x, err))
			return
		}
		if d.events > 0 {
			x.log.Info("Resuming a stream at another engine", zap.String("after", d.last))
		}
	}
}

// breakOff refuses a stream that has not begun, and cuts one that has: it must not look complete.
func (g *Gateway) breakOff(w http.ResponseWriter, x *exchange, d *delivery, refusal Refusal) {
	if !d.started {
		g.refuse(w, x, refusal)
		return
	}
	x.log.Info("Broke a stream off", zap.String("reason", refusal.Message), zap.Int("events", d.events),
		zap.Int("sent", x.sent), zap.Strings("tried", x.tried))
	panic(http.ErrAbortHandler)
}

// stream makes one attempt and passes its events on.
func (g *Gateway) stream(parent context.Context, x *exchange, p *attempt, d *delivery) (endpoint string, status int, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	watch := newWatchdog(p.hop.Address, cancel)
	defer watch.stop()
	var pause time.Duration
	a, err := g.try(ctx, x, p)
	if err == nil {
		status = a.StatusCode
		pause, err = g.relay(x, p, a, d, watch)
		_ = a.Body.Close()
	}
	if err != nil && parent.Err() == nil && watch.fired() {
		err = fault.New("wait for event", Broken, "%s was silent and does not accept connections", p.hop.Endpoint)
	}
	g.finish(parent, x, p, a, err, pause)
	return p.hop.Endpoint, status, err
}

// relay passes an answer on: a stream by events, anything else as it is.
func (g *Gateway) relay(x *exchange, p *attempt, a *answer, d *delivery, watch *watchdog) (pause time.Duration, err error) {
	if a.StatusCode != http.StatusOK {
		return 0, g.relayWhole(x, p, a, d)
	}
	reader := newEventReader(a.Body)
	var r placement.PauseRecorder
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return r.UndisturbedPause(), d.end(a)
		}
		if err != nil {
			return r.UndisturbedPause(), err
		}
		if first := r.RecordEvent(time.Now()); first {
			g.noteFirst(x, p)
		}
		watch.heard()
		if err := d.event(a, e); err != nil {
			return r.UndisturbedPause(), err
		}
	}
}

// relayWhole passes on an answer that is no stream, unless the caller has events already.
func (g *Gateway) relayWhole(x *exchange, p *attempt, a *answer, d *delivery) error {
	body, err := a.whole(p.hop)
	if err != nil {
		return err
	}
	if d.started || x.route.RetryPolicy.Retryable() && a.StatusCode >= http.StatusInternalServerError && x.mayTry() {
		return fault.New("relay answer", Broken, "%s answered %d", p.hop.Endpoint, a.StatusCode)
	}
	writeWhole(d.writer, a.StatusCode, a.Header, body)
	return nil
}

func (g *Gateway) noteFirst(x *exchange, p *attempt) {
	took := time.Since(p.started)
	g.config.Metrics.Histogram("gateway_first_event_microseconds", "service", x.service).Update(time.Since(x.arrived).Microseconds())
	x.log.Info("First event of a stream", zap.String(logging.AttemptID, p.id()), zap.String(logging.Endpoint, p.hop.Endpoint), zap.Int("helpers", len(p.hop.Helpers)),
		zap.Int("prompt", x.call.Prompt.Tokens), zap.Duration("took", took), zap.Duration("expected", p.grant.First),
		zap.Duration("after", time.Since(x.arrived)))
	if p.job != nil {
		g.config.Placer.Report(placement.Event{Type: placement.FirstEvent, Job: *p.job, Endpoint: p.hop.Endpoint, Elapsed: took})
	}
}

// begin sends the header of the first answer.
func (d *delivery) begin(a *answer) {
	if d.started {
		return
	}
	d.started = true
	copyHeader(d.writer.Header(), a.Header)
	d.writer.WriteHeader(a.StatusCode)
}

// event passes one event on. Events that the caller has are left out; a gap is an error of kind Broken.
func (d *delivery) event(a *answer, e event) error {
	const op = "pass event on"
	have, err := strconv.ParseInt(d.last, 10, 64)
	if id, idErr := strconv.ParseInt(e.id, 10, 64); err == nil && idErr == nil {
		switch {
		case id <= have:
			return nil
		case id > have+1:
			return fault.New(op, Broken, "event %d follows %d", id, have)
		}
	}
	d.begin(a)
	d.tick(time.Now())
	if _, err := d.writer.Write(e.raw); err != nil {
		return fault.Wrap(err, op, Gone, "write")
	}
	if e.id != "" {
		d.last = e.id
	}
	d.events++
	return fault.Wrap(d.flusher.Flush(), op, Gone, "flush")
}

// tick notes the time of an event.
func (d *delivery) tick(now time.Time) {
	if d.events > 0 {
		d.pause = max(d.pause, now.Sub(d.at))
	}
	d.at = now
}

// end completes a stream. One without any event is passed on as it is.
func (d *delivery) end(a *answer) error {
	d.begin(a)
	return nil
}
