// Package client sends commands and queries to the control instances.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// Kind classifies an Error.
type Kind string

const (
	// Unavailable means that no control instance gave a result. A command may have run.
	Unavailable Kind = "unavailable"
	// Refused means that a control instance refused the request; it did not run.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// attemptTimeout is longer than the 8 s that a control instance takes at most.
	attemptTimeout = 10 * time.Second
	// maxReplyBytes holds the largest answer of a control instance.
	maxReplyBytes = 16 << 20
	firstPause    = 200 * time.Millisecond
	maxPause      = 2 * time.Second
)

// Config sets up a Client.
type Config struct {
	// Addresses are the operator addresses (host:port) of the control instances.
	Addresses []string
	// Key is the operator key.
	Key  string
	HTTP *http.Client
	// Pause waits between two rounds over the addresses and reports whether to go on; nil means to
	// wait by a timer and go on until ctx ends.
	Pause func(ctx context.Context, d time.Duration) bool
}

// Client sends requests. A request without a result is sent to the next address, until its context ends.
type Client struct {
	config Config
}

// New returns a client.
func New(config Config) *Client {
	if config.Pause == nil {
		config.Pause = pause
	}
	return &Client{config: config}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Command sends a transaction. Each attempt has the same command id, so that it runs at most once.
func (c *Client) Command(ctx context.Context, request language.CommandRequest) (language.CommandReply, error) {
	var reply language.CommandReply
	err := c.send(ctx, http.MethodPost, "/v1/commands", request, &reply)
	return reply, err
}

// Query sends a query.
func (c *Client) Query(ctx context.Context, text string) (language.QueryReply, error) {
	var reply language.QueryReply
	err := c.send(ctx, http.MethodPost, "/v1/queries", language.QueryRequest{Text: text}, &reply)
	return reply, err
}

// AddMember adds a control instance as a learner of the quorum.
func (c *Client) AddMember(ctx context.Context, request language.MemberRequest) (language.CommandReply, error) {
	var reply language.CommandReply
	err := c.send(ctx, http.MethodPost, "/v1/quorum", request, &reply)
	return reply, err
}

// RemoveMember removes a control instance from the quorum.
func (c *Client) RemoveMember(ctx context.Context, id string) (language.CommandReply, error) {
	var reply language.CommandReply
	err := c.send(ctx, http.MethodDelete, "/v1/quorum/"+url.PathEscape(id), nil, &reply)
	return reply, err
}

// Burn asks for the merged burn report of the entries; an empty workspace means all, which total
// adds up.
func (c *Client) Burn(ctx context.Context, workspace string, total bool) (language.BurnReply, error) {
	query := url.Values{"workspace": {workspace}, "total": {strconv.FormatBool(total)}}
	path := "/v1/reports/burn?" + query.Encode()
	var reply language.BurnReply
	err := c.send(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}

// send tries the addresses in turn, and first the leader that an answer names.
func (c *Client) send(ctx context.Context, method, path string, request, reply any) error {
	const op = "ask control instances"
	body, err := json.Marshal(request)
	if err != nil {
		return fault.Wrap(err, op, Refused, path)
	}
	last := error(fault.New(op, Unavailable, "no address is given"))
	for wait := firstPause; ; wait = min(2*wait, maxPause) {
		queue := slices.Clone(c.config.Addresses)
		tried := make(map[string]bool)
		for len(queue) > 0 && ctx.Err() == nil {
			address := queue[0]
			queue = queue[1:]
			if tried[address] {
				continue
			}
			tried[address] = true
			leader, err := c.attempt(ctx, method, address, path, body, reply)
			if err == nil || fault.Is(err, Refused) {
				return err
			}
			last = err
			if leader != "" {
				queue = append([]string{leader}, queue...)
			}
		}
		if len(c.config.Addresses) == 0 || ctx.Err() != nil || !c.config.Pause(ctx, wait) {
			return last
		}
	}
}

// attempt sends the request once. Results of transactions come with several status codes; any body
// without an error field is one.
func (c *Client) attempt(ctx context.Context, method, address, path string, body []byte, reply any) (leader string, err error) {
	const op = "ask control instance"
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return "", fault.Wrap(err, op, Refused, address)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return "", fault.Wrap(err, op, Unavailable, address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return "", fault.Wrap(err, op, Unavailable, address)
	}
	return read(address, response.StatusCode, data, reply)
}

func read(address string, status int, data []byte, reply any) (leader string, err error) {
	const op = "ask control instance"
	var failure language.ErrorReply
	if err := json.Unmarshal(data, &failure); err != nil {
		return "", fault.Wrap(err, op, Unavailable, address)
	}
	switch {
	case status == http.StatusServiceUnavailable && failure.Error == "":
		return "", fault.New(op, Unavailable, "%s: the quorum gave no result", address)
	case status >= http.StatusInternalServerError:
		return failure.Leader, fault.New(op, Unavailable, "%s: %s", address, failure.Error)
	case failure.Error != "":
		return "", fault.New(op, Refused, "%s", failure.Error)
	default:
		return "", fault.Wrap(json.Unmarshal(data, reply), op, Unavailable, address)
	}
}
