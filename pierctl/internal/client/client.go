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
	// Unavailable means that no control instance returned a result. A command may have run all the same.
	Unavailable Kind = "unavailable"
	// Refused means that a control instance rejected the request, which did not run.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// attemptTimeout exceeds the 8 s after which a control instance replies at the latest.
	attemptTimeout = 10 * time.Second
	// maxReplyBytes is enough for the largest reply of a control instance.
	maxReplyBytes = 16 << 20
	// hedgeAfter is the time without a reply after which the request is also sent to the next address. It is
	// longer than a command takes in a healthy deployment, and shorter than an operator wants to wait.
	hedgeAfter     = 2 * time.Second
	initialBackOff = 200 * time.Millisecond
	maxBackOff     = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	// Addresses are the operator addresses of the control instances: host:port, or https://host:port.
	Addresses []string
	// Key is the operator key.
	Key  string
	HTTP *http.Client
	// BackOff is the back-off between two rounds over the addresses; it reports whether to try again. If nil,
	// it waits for a timer, and the client tries again until ctx ends.
	BackOff func(ctx context.Context, d time.Duration) bool
}

// Client sends requests to the control instances. A request without a result is sent to the next address,
// until its context ends. Commands still run only once, because of their command ID.
type Client struct {
	config Config
}

// New returns a client for the addresses of config.
func New(config Config) *Client {
	if config.BackOff == nil {
		config.BackOff = waitForTimer
	}
	return &Client{config: config}
}

func waitForTimer(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Command sends a transaction. All attempts have the same command ID, so that it runs at most once.
func (c *Client) Command(ctx context.Context, request language.CommandRequest) (language.CommandReply, error) {
	var reply language.CommandReply
	err := c.send(ctx, http.MethodPost, "/v1/commands", request, &reply, true)
	return reply, err
}

// Query sends a query and returns its rows.
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

// BurnReport returns the merged burn-rate report of the entries. An empty workspace means all workspaces; total
// adds the workspaces up.
func (c *Client) BurnReport(ctx context.Context, workspace string, total bool) (language.BurnReply, error) {
	query := url.Values{"workspace": {workspace}, "total": {strconv.FormatBool(total)}}
	path := "/v1/reports/burn?" + query.Encode()
	var reply language.BurnReply
	err := c.send(ctx, http.MethodGet, path, nil, &reply, true)
	return reply, err
}

// send tries the addresses in rounds until one returns a result. A hedged request is also sent to the next
// address when one does not reply within hedgeAfter; it must be safe to send twice.
func (c *Client) send(ctx context.Context, method, path string, request, reply any, hedged bool) error {
	const op = "ask control instances"
	body, err := json.Marshal(request)
	if err != nil {
		return fault.Wrap(err, op, Refused, path)
	}
	if len(c.config.Addresses) == 0 {
		return fault.New(op, Unavailable, "no address is given")
	}
	for wait := initialBackOff; ; wait = min(2*wait, maxBackOff) {
		data, err := c.tryAddresses(ctx, method, path, body, hedged)
		if err == nil {
			return fault.Wrap(json.Unmarshal(data, reply), op, Unavailable, "read the result")
		}
		if fault.Is(err, Refused) || ctx.Err() != nil || !c.config.BackOff(ctx, wait) {
			return err
		}
	}
}

// attemptResult is what one attempt returned.
type attemptResult struct {
	data   []byte
	leader string
	err    error
}

// tryAddresses sends the request to each address at most once; a leader named in a reply is next. It returns
// when one address has returned a result or all have failed, and cancels the other attempts.
func (c *Client) tryAddresses(ctx context.Context, method, path string, body []byte, hedged bool) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	var attempts sync.WaitGroup
	defer attempts.Wait()
	defer cancel()
	results := make(chan attemptResult)
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
			case results <- attemptResult{data, leader, err}:
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
			if hedged {
				start()
			}
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), "ask control instances", Unavailable, "no result in time")
		}
	}
	return nil, last
}

// attempt sends the request once. Results of transactions have various status codes; a reply is a result if
// its body has no error field.
func (c *Client) attempt(ctx context.Context, method, address, path string, body []byte) (data []byte, leader string, err error) {
	const op = "ask control instance"
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, baseURL(address)+path, bytes.NewReader(body))
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
	leader, err = parseFailure(address, response.StatusCode, data)
	if leader != "" && strings.HasPrefix(address, httpsScheme) {
		// The reply has only host:port; the operator key must not be sent there unencrypted.
		leader = httpsScheme + leader
	}
	return data, leader, err
}

// httpsScheme is the prefix of addresses that use TLS.
const httpsScheme = "https://"

func baseURL(address string) string {
	if strings.HasPrefix(address, httpsScheme) {
		return address
	}
	return "http://" + address
}

// parseFailure returns the error in a reply, if it has one, and the leader that the reply names.
func parseFailure(address string, status int, data []byte) (leader string, err error) {
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
