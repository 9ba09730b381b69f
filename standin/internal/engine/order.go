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

// idlePollInterval is the interval at which a load checks whether the attempts in progress have ended.
const idlePollInterval = 10 * time.Millisecond

// receiveOrder sets the desired state. Weights are loaded after the response; /platform/state shows the progress.
func (e *Engine) receiveOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if !decodeBody(w, r, &o) {
		return
	}
	if o.ID == "" || len(o.Models) == 0 {
		invalidRequest("an order needs order-id and models").Write(w)
		return
	}
	if err := e.acceptOrder(o); err != nil {
		err.Write(w)
		return
	}
	writeJSON(w, http.StatusOK, e.platformState())
}

func (e *Engine) acceptOrder(o endpoint.Order) *refusal.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	newRefusal := func(status int, code, format string, args ...any) *refusal.Error {
		r := refusal.New(status, code, refusal.DidNotRun, format, args...)
		return &r
	}
	if e.draining {
		return newRefusal(http.StatusServiceUnavailable, "draining", "the engine is draining")
	}
	if o.Deadline > 0 && time.Now().UnixMilli() > o.Deadline {
		return newRefusal(http.StatusGatewayTimeout, "order-too-late", "order %q is past its deadline", o.ID)
	}
	if e.config.Options.ChecksFencing && o.FencingToken < e.state.FencingToken {
		return newRefusal(http.StatusConflict, "old-fencing-token",
			"fencing token %d is older than %d", o.FencingToken, e.state.FencingToken)
	}
	e.state.FencingToken = max(e.state.FencingToken, o.FencingToken)
	if o.ID == e.state.LastOrder {
		return nil
	}
	e.state.LastOrder = o.ID
	e.cancelLoad()
	if slices.Equal(o.Models, e.state.Models) && o.Version == e.state.Version && slices.Equal(o.Adapters, e.state.Adapters) {
		e.state.Loading = false
		e.state.Role = o.Role
		return nil
	}
	ctx, cancel := context.WithCancel(e.background)
	e.cancelLoad = cancel
	e.state.Loading = true
	e.pendingLoads.Go(func() { e.executeOrder(ctx, o) })
	return nil
}

// executeOrder downloads the weights, waits until the attempts in progress have ended and switches to the desired
// state.
func (e *Engine) executeOrder(ctx context.Context, o endpoint.Order) {
	logger := e.config.Logger.With(zap.String("order-id", o.ID))
	for _, name := range slices.Concat(o.Models, o.Adapters) {
		if err := e.downloadWeights(ctx, name, o.Version); err != nil {
			logger.Warn("load failed", zap.String("model", name), zap.Error(err))
			e.finishLoad(o, false)
			return
		}
	}
	for e.model.Active() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(idlePollInterval):
		}
	}
	e.finishLoad(o, ctx.Err() == nil)
}

// finishLoad records the result of the load for an order, unless a later order has replaced it.
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

// downloadWeights downloads the weights of a model from the weight store, which limits the rate.
func (e *Engine) downloadWeights(ctx context.Context, name, version string) (err error) {
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
		return fmt.Errorf("the weight store returned status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
