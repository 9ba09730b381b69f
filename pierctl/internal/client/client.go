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
	"strings"
	"sync"
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
	// hedgeAfter is the time without an answer after which the next address is asked as well: more than
	// a command takes in a healthy deployment, and less than an operator wants to wait.
	hedgeAfter = 2 * time.Second
	firstPause = 200 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Config sets up a Client.
type Config struct {
	// Addresses are the operator addresses of the control instances: host:port, or https://host:port.
	Addresses []string
	// Key is the operator key.
	Key  string
	HTTP *http.Client
	// Pause waits between two rounds over the addresses and reports whether to go on; nil means to
	// wait by a timer and go on until ctx ends.
	Pause func(ctx context.Context, d time.Duration) bool
}

// Client sends requests. A request without a result is sent to the next address, until its context ends;
// commands run once all the same, by their command id.
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
	err := c.send(ctx, http.MethodPost, "/v1/commands", request, &reply, true)
	return reply, err
}

// Query sends a query.
func (c *Client) Query(ctx context.Context, text string) (language.QueryReply, error) {
	var reply language.QueryReply
	err := c.send(ctx, http.MethodPost, "/v1/queries", language.QueryRequest{Text: text}, &reply, true)
	return reply, err
}

// AddMember adds a control instance as a learner of the quorum.
func (c *Client) AddMember(ctx context.Context, request language.MemberRequest) (language.CommandReply, error) {
	var reply language.CommandReply
	err := c.send(ctx, http.MethodPost, "/v1/quorum", request, &reply, false)
	return reply, err
}

// RemoveMember removes a control instance from the quorum.
func (c *Client) RemoveMember(ctx context.Context, id string) (language.CommandReply, error) {
	var reply language.CommandReply
	err := c.send(ctx, http.MethodDelete, "/v1/quorum/"+url.PathEscape(id), nil, &reply, false)
	return reply, err
}

// Burn asks for the merged burn report of the entries; an empty workspace means all, which total
// adds up.
func (c *Client) Burn(ctx context.Context, workspace string, total bool) (language.BurnReply, error) {
	query := url.Values{"workspace": {workspace}, "total": {strconv.FormatBool(total)}}
	path := "/v1/reports/burn?" + query.Encode()
	var reply language.BurnReply
	err := c.send(ctx, http.MethodGet, path, nil, &reply, true)
	return reply, err
}

// send tries the addresses in rounds until one gives a result. Requests that may be sent twice are
// also sent to the next address when one does not answer for hedgeAfter.
func (c *Client) send(ctx context.Context, method, path string, request, reply any, twice bool) error {
	const op = "ask control instances"
	body, err := json.Marshal(request)
	if err != nil {
		return fault.Wrap(err, op, Refused, path)
	}
	if len(c.config.Addresses) == 0 {
		return fault.New(op, Unavailable, "no address is given")
	}
	for wait := firstPause; ; wait = min(2*wait, maxPause) {
		data, err := c.round(ctx, method, path, body, twice)
		if err == nil {
			return fault.Wrap(json.Unmarshal(data, reply), op, Unavailable, "read the result")
		}
		if fault.Is(err, Refused) || ctx.Err() != nil || !c.config.Pause(ctx, wait) {
			return err
		}
	}
}

// result is the end of one attempt.
type result struct {
	data   []byte
	leader string
	err    error
}

// round tries each address once, and first the leader that an answer names. It returns when one has
// given a result or all have failed, and ends the other attempts.
func (c *Client) round(ctx context.Context, method, path string, body []byte, twice bool) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	var attempts sync.WaitGroup
	defer attempts.Wait()
	defer cancel()
	results := make(chan result)
	queue := slices.Clone(c.config.Addresses)
	tried := make(map[string]bool)
	running := 0
	start := func() {
		queue = slices.DeleteFunc(queue, func(address string) bool { return tried[address] })
		if len(queue) == 0 {
			return
		}
		address := queue[0]
		tried[address] = true
		running++
		attempts.Go(func() {
			data, leader, err := c.attempt(ctx, method, address, path, body)
			select {
			case results <- result{data, leader, err}:
			case <-ctx.Done():
			}
		})
	}
	hedge := time.NewTicker(hedgeAfter)
	defer hedge.Stop()
	var last error
	for start(); running > 0; {
		select {
		case r := <-results:
			running--
			if r.err == nil || fault.Is(r.err, Refused) {
				return r.data, r.err
			}
			last = r.err
			if r.leader != "" {
				queue = append([]string{r.leader}, queue...)
			}
			start()
		case <-hedge.C:
			if twice {
				start()
			}
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), "ask control instances", Unavailable, "no result in time")
		}
	}
	return nil, last
}

// attempt sends the request once. Results of transactions come with several status codes; any body
// without an error field is one.
func (c *Client) attempt(ctx context.Context, method, address, path string, body []byte) (data []byte, leader string, err error) {
	const op = "ask control instance"
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, origin(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, "", fault.Wrap(err, op, Refused, address)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return nil, "", fault.Wrap(err, op, Unavailable, address)
	}
	defer response.Body.Close()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, "", fault.Wrap(err, op, Unavailable, address)
	}
	leader, err = judge(address, response.StatusCode, data)
	if leader != "" && strings.HasPrefix(address, secure) {
		// The answer names host:port; the operator key must not go there unencrypted.
		leader = secure + leader
	}
	return data, leader, err
}

// secure starts the addresses that use TLS.
const secure = "https://"

func origin(address string) string {
	if strings.HasPrefix(address, secure) {
		return address
	}
	return "http://" + address
}

func judge(address string, status int, data []byte) (leader string, err error) {
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
		return "", nil
	}
}
