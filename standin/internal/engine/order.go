package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

// idlePoll is how often a load checks whether the running requests have ended.
const idlePoll = 10 * time.Millisecond

// order sets the wanted state. Weights are loaded after the response; the state shows the progress.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if !decode(w, r, &o) {
		return
	}
	if o.ID == "" || len(o.Models) == 0 {
		invalid("an order needs order-id and models").Write(w)
		return
	}
	if err := e.accept(o); err != nil {
		err.Write(w)
		return
	}
	writeJSON(w, http.StatusOK, e.platformState())
}

func (e *Engine) accept(o endpoint.Order) *refusal.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := func(status int, code, format string, args ...any) *refusal.Error {
		r := refusal.New(status, code, refusal.DidNotRun, format, args...)
		return &r
	}
	if e.drained {
		return refused(http.StatusServiceUnavailable, "draining", "the engine is draining")
	}
	if o.Deadline > 0 && time.Now().UnixMilli() > o.Deadline {
		return refused(http.StatusGatewayTimeout, "order-too-late", "order %q is past its deadline", o.ID)
	}
	if e.config.Options.ChecksFencing && o.FencingToken < e.state.FencingToken {
		return refused(http.StatusConflict, "old-fencing-token",
			"fencing token %d is older than %d", o.FencingToken, e.state.FencingToken)
	}
	e.state.FencingToken = max(e.state.FencingToken, o.FencingToken)
	if o.ID == e.state.LastOrder {
		return nil
	}
	e.state.LastOrder = o.ID
	e.stopLoad()
	if slices.Equal(o.Models, e.state.Models) && o.Version == e.state.Version && slices.Equal(o.Adapters, e.state.Adapters) {
		e.state.Loading = false
		e.state.Role = o.Role
		return nil
	}
	ctx, cancel := context.WithCancel(e.background)
	e.stopLoad = cancel
	e.state.Loading = true
	e.loads.Go(func() { e.load(ctx, o) })
	return nil
}

// load fetches weights, waits for the running requests and switches to the wanted state.
func (e *Engine) load(ctx context.Context, o endpoint.Order) {
	logger := e.config.Logger.With(zap.String("order-id", o.ID))
	for _, name := range slices.Concat(o.Models, o.Adapters) {
		if err := e.fetch(ctx, name, o.Version); err != nil {
			logger.Warn("load failed", zap.String("model", name), zap.Error(err))
			e.finishLoad(o, false)
			return
		}
	}
	for e.model.Active() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(idlePoll):
		}
	}
	e.finishLoad(o, ctx.Err() == nil)
}

// finishLoad ends the load of an order, unless a later order has replaced it.
func (e *Engine) finishLoad(o endpoint.Order, loaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.LastOrder != o.ID {
		return
	}
	e.state.Loading = false
	if !loaded {
		return
	}
	e.model.FlushCache()
	e.state.Models, e.state.Version, e.state.Adapters, e.state.Role = o.Models, o.Version, o.Adapters, o.Role
}

// fetch reads the weights of a model from the weight store at the store's rate.
func (e *Engine) fetch(ctx context.Context, name, version string) (err error) {
	if e.config.Options.Weights == "" {
		return nil
	}
	if version == "" {
		version = "default"
	}
	target := "http://" + e.config.Options.Weights + "/weights/" + url.PathEscape(name) + "/" + url.PathEscape(version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return err
	}
	response, err := e.config.Client.Do(request)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the weight store answered with status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
