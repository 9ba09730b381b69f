package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// answer is what a client has got.
type answer struct {
	status     int
	seal       string
	retryAfter string
	body       []byte
	err        error
}

func newRequestID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends one request on a new channel to an entry and reads the whole answer.
func (s *system) send(m *machine, method, path string, body []byte, timeout time.Duration, header map[string]string) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return s.sendOn(client, m, method, path, body, timeout, header)
}

// sendOn sends one request with a client, which keeps its channels if it is so configured.
func (s *system) sendOn(client *http.Client, m *machine, method, path string, body []byte, timeout time.Duration, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address(m, frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	id := newRequestID()
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Api-Key", apiKey)
	request.Header.Set("Deadline", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	s.record.note("client sends %s %.60s as %s to %s", method, path, id, m.name)
	var a answer
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		a.status, a.seal, a.retryAfter = response.StatusCode, response.Header.Get("Response-Seal"), response.Header.Get("Retry-After")
		a.body, err = io.ReadAll(response.Body)
	}
	a.err = err
	s.record.note("client got for %s: status %d, seal %q, retry after %q, %d bytes, error %v; %.80q", id, a.status, a.seal, a.retryAfter, len(a.body), a.err, a.body)
	return a
}
