package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// maxStateBytes bounds the answer of an engine.
const maxStateBytes = 1 << 20

// HTTP is Engines over HTTP, as section 9 of docs/design.md describes it.
type HTTP struct {
	client *http.Client
}

// NewHTTP returns the client of engines.
func NewHTTP(client *http.Client) *HTTP {
	return &HTTP{client: client}
}

// State reads the state of the engine at address (host:port).
func (h *HTTP) State(ctx context.Context, address string) (endpoint.PlatformState, error) {
	var state endpoint.PlatformState
	err := h.call(ctx, http.MethodGet, "http://"+address+"/platform/state", nil, &state)
	return state, err
}

// Order gives an order to the engine at address (host:port).
func (h *HTTP) Order(ctx context.Context, address string, order endpoint.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fault.Wrap(err, "give order", Refused, "encode")
	}
	return h.call(ctx, http.MethodPost, "http://"+address+"/platform/orders", body, nil)
}

// call makes one request. A status from 400 to 499 is a refusal; with any other failure it is not
// known whether the request was carried out.
func (h *HTTP) call(ctx context.Context, method, url string, body []byte, reply any) error {
	const op = "call engine"
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, op, Refused, url)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return fault.Wrap(err, op, Unanswered, url)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	switch {
	case err != nil:
		return fault.Wrap(err, op, Unanswered, url)
	case response.StatusCode >= 400 && response.StatusCode < 500:
		return fault.New(op, Refused, "%s: %s: %.200s", url, response.Status, data)
	case response.StatusCode < 200 || response.StatusCode >= 300:
		return fault.New(op, Unanswered, "%s: %s", url, response.Status)
	case reply == nil:
		return nil
	default:
		return fault.Wrap(json.Unmarshal(data, reply), op, Unanswered, url)
	}
}
