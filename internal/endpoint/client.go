package endpoint

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/transport"
)

// Kind classifies an Error.
type Kind string

const (
	// Unreachable means that no response was received; the call may have had an effect.
	Unreachable Kind = "unreachable"
	// Refused means that the endpoint responded but did not do what was asked, for example because its memory
	// is full or the fencing token is old.
	Refused Kind = "refused"
	// Unexpected means that the response cannot be decoded.
	Unexpected Kind = "unexpected"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxResponseBytes bounds the response of an endpoint: 100 bytes for each of 10,000 holdings.
const maxResponseBytes = 1 << 20

// ClientConfig configures a Client.
type ClientConfig struct {
	// Timeout bounds each call in addition to its context; 0 means 2 s.
	Timeout time.Duration
	// TLS is the configuration of connections to endpoints; nil means that they are not encrypted.
	TLS *tls.Config
	// Transport is for tests; nil means a new transport with keep-alive connections.
	Transport http.RoundTripper
}

const defaultTimeout = 2 * time.Second

// Client calls the platform paths of endpoints. It is safe for concurrent use.
type Client struct {
	http *http.Client
	tls  *tls.Config
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Transport == nil {
		config.Transport = transport.New(SecureTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}, config.TLS))
	}
	return &Client{http: &http.Client{Timeout: config.Timeout, Transport: config.Transport}, tls: config.TLS}
}

// Create reserves memory at an engine. A Refused error means that the engine has not enough free.
func (c *Client) Create(ctx context.Context, address string, holding Holding) error {
	return c.call(ctx, "create holding", http.MethodPost, address, "/platform/holdings", holding, nil)
}

// Renew sets the time to live of a holding. A Refused error means that it no longer exists.
func (c *Client) Renew(ctx context.Context, address, id string, ttl time.Duration) error {
	path := "/platform/holdings/" + url.PathEscape(id) + "/renew"
	return c.call(ctx, "renew holding", http.MethodPost, address, path, Holding{ID: id, TTL: ttl.Milliseconds()}, nil)
}

// Delete frees a holding. An id that does not exist is not an error.
func (c *Client) Delete(ctx context.Context, address, id string) error {
	err := c.call(ctx, "delete holding", http.MethodDelete, address, "/platform/holdings/"+url.PathEscape(id), nil, nil)
	return ignoreNotFound(err)
}

// List returns the holdings of an engine.
func (c *Client) List(ctx context.Context, address string) ([]Holding, error) {
	var holdings []Holding
	err := c.call(ctx, "list holdings", http.MethodGet, address, "/platform/holdings", nil, &holdings)
	return holdings, err
}

// Cancel cancels an attempt at an endpoint. An attempt that is not running is not an error.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	err := c.call(ctx, "cancel attempt", http.MethodDelete, address, "/platform/requests/"+url.PathEscape(attempt), nil, nil)
	return ignoreNotFound(err)
}

// State returns the state that an engine observes of itself.
func (c *Client) State(ctx context.Context, address string) (PlatformState, error) {
	var state PlatformState
	err := c.call(ctx, "read state", http.MethodGet, address, "/platform/state", nil, &state)
	return state, err
}

// Order sends an order. A Refused error means that the endpoint rejected it, for example because of
// an old fencing token or a passed deadline. After an Unreachable error it may be in force.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	return c.call(ctx, "send order", http.MethodPost, address, "/platform/orders", order, nil)
}

// statusError is a response whose HTTP status reports a refusal.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.message
}

func ignoreNotFound(err error) error {
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil
	}
	return err
}

func (c *Client) call(ctx context.Context, op, method, address, path string, body, result any) error {
	request, err := newRequest(ctx, method, URL(c.tls, address, path), body)
	if err != nil {
		return fault.Wrap(err, op, Unexpected, address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fault.Wrap(err, op, Unreachable, address)
	}
	defer response.Body.Close()
	payload, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(err, op, Unreachable, address)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		refusal := &statusError{status: response.StatusCode, message: string(payload[:min(len(payload), 200)])}
		return fault.Wrap(refusal, op, Refused, address)
	}
	if result == nil {
		return nil
	}
	return fault.Wrap(json.Unmarshal(payload, result), op, Unexpected, address)
}

func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, target, nil)
	}
	payload, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
