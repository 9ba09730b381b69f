package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// answer is what a requester has got.
type answer struct {
	// status is 0 if the channel ended without a complete answer.
	status     int
	body       []byte
	retryAfter time.Duration
	err        error
}

// requester sends requests on kept channels to the addresses that the directory names.
type requester struct {
	system *system
	record *record
	client *http.Client
	count  int
}

func newRequester(s *system, r *record) *requester {
	return &requester{system: s, record: r, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// resolve asks the directory of the nodes in turn for the addresses of front nodes.
func (c *requester) resolve() (string, error) {
	for _, i := range rand.Perm(len(c.system.machines)) {
		m := c.system.machines[i]
		client := http.Client{Timeout: time.Second}
		response, err := client.Get(fmt.Sprintf("http://%s/dandelionpier/resolve?name=%s&region=r&zone=%s", m.address(m.system.ports.directory), host, m.zone))
		if err != nil {
			continue
		}
		var reply struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&reply)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(reply.Addresses) > 0 {
			return reply.Addresses[rand.IntN(len(reply.Addresses))], nil
		}
	}
	return "", fmt.Errorf("no directory names an address")
}

// send sends one request with its own id to one of the addresses that the directory names.
func (c *requester) send(routeName, method string, deadline time.Duration, header map[string]string) answer {
	var body []byte
	if method == http.MethodPost {
		body = []byte("a request")
	}
	return c.sendBody(routeName, method, deadline, header, body)
}

// sendBody is send with the given body.
func (c *requester) sendBody(routeName, method string, deadline time.Duration, header map[string]string, body []byte) answer {
	address, err := c.resolve()
	if err != nil {
		return answer{err: err}
	}
	return c.sendTo(address, "/"+routeName+"/2f", method, deadline, header, body)
}

// randomAddress returns the front address of any machine.
func (c *requester) randomAddress() string {
	m := c.system.machines[rand.IntN(len(c.system.machines))]
	return m.address(c.system.ports.front)
}

// sendTo sends one request with its own id to an address.
func (c *requester) sendTo(address, path, method string, deadline time.Duration, header map[string]string, body []byte) answer {
	c.count++
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), c.count)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Api-Key", key)
	request.Header.Set("Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	a := c.do(request)
	c.record.printf("%s %s, request %s, sent to %s: %s", method, path, id, address, a)
	return a
}

func (c *requester) do(request *http.Request) answer {
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: body, err: err}
	}
	a := answer{status: response.StatusCode, body: body}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// sendPatiently sends a request and, after a promise that it has not run, once more with another id.
func (c *requester) sendPatiently(routeName, method string, deadline time.Duration) answer {
	started := time.Now()
	a := c.send(routeName, method, deadline, nil)
	left := deadline - time.Since(started)
	if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests || left <= 0 {
		return a
	}
	time.Sleep(min(a.retryAfter, left/3))
	return c.send(routeName, method, deadline-time.Since(started), nil)
}

func (a answer) served() bool {
	return a.status/100 == 2
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("the channel ended after %d bytes of the body: %v", len(a.body), a.err)
	}
	return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
}
