// Package demo acts as a caller of a running deployment: it looks up the addresses of the entries, sends
// prompts of 1,000, 100,000 and a million tokens and the same booking twice, and checks every response.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the demo command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "act as a caller of a running deployment and check every response",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "caller address of any entry", Required: true},
			&cli.StringFlag{Name: "key", Usage: "bearer key of the workspace", Required: true},
			&cli.StringFlag{Name: "model", Value: "saw-diagnosis", Usage: "`MODEL` that completes the prompts"},
			&cli.StringFlag{Name: "service", Value: "bookings", Usage: "`SERVICE` that takes the booking"},
			&cli.StringFlag{Name: "service-addresses", Usage: "addresses of the services, separated by commas"},
			&cli.DurationFlag{Name: "ready-timeout", Value: 20 * time.Second, Usage: "longest wait until model and service respond"},
		},
		Action: run,
	}
}

type caller struct {
	out     io.Writer
	entry   string
	key     string
	model   string
	service string
	http    http.Client
}

func run(ctx context.Context, c *cli.Command) error {
	d := caller{
		out:     c.Root().Writer,
		entry:   c.String("entry"),
		key:     c.String("key"),
		model:   c.String("model"),
		service: c.String("service"),
	}
	if err := d.awaitReady(ctx, c.Duration("ready-timeout")); err != nil {
		return err
	}
	entries, err := d.fetchAddresses(ctx)
	if err != nil {
		return err
	}
	for i, tokens := range []int{1_000, 100_000, 1_000_000} {
		if err := d.complete(ctx, entries[i%len(entries)], tokens); err != nil {
			return fmt.Errorf("prompt of %d tokens: %w", tokens, err)
		}
	}
	return d.book(ctx, entries, strings.Split(c.String("service-addresses"), ","))
}

// awaitReady polls until the model and the service respond, or the timeout passes. Each poll costs a
// short completion.
func (d *caller) awaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		err := d.checkReady(ctx)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the deployment is not ready after %s: %w", timeout, err)
		}
		time.Sleep(readyInterval)
	}
}

const readyInterval = 200 * time.Millisecond

func (d *caller) checkReady(ctx context.Context) error {
	_, err := d.stream(ctx, d.entry, strings.Repeat("tooth", 20), 1)
	if err != nil {
		return err
	}
	response, err := d.request(ctx, http.MethodGet, d.entry, "/v1/services/"+d.service+"/health", nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		return statusError(response)
	}
	return nil
}

func (d *caller) request(ctx context.Context, method, entry, path string, body []byte, header map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return d.http.Do(request)
}

func statusError(response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	return fmt.Errorf("status %d: %s", response.StatusCode, body)
}

func (d *caller) fetchAddresses(ctx context.Context) ([]string, error) {
	response, err := d.request(ctx, http.MethodGet, d.entry, "/v1/addresses", nil, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response)
	}
	var payload struct {
		Addresses []struct {
			Address    string `json:"address"`
			DataCentre string `json:"data-centre"`
		} `json:"addresses"`
		TTL int `json:"ttl-seconds"`
	}
	if err := json.NewDecoder(response.Body).Decode(&payload); err != nil {
		return nil, err
	}
	var entries []string
	dataCentres := make(map[string]bool)
	fmt.Fprintf(d.out, "addresses, to keep for %d s:\n", payload.TTL)
	for _, a := range payload.Addresses {
		fmt.Fprintf(d.out, "  %-22s %s\n", a.Address, a.DataCentre)
		entries = append(entries, a.Address)
		dataCentres[a.DataCentre] = true
	}
	if len(entries) < 2 || len(dataCentres) < 2 {
		return nil, fmt.Errorf("found %d addresses in %d data centres; at least two of each are needed", len(entries), len(dataCentres))
	}
	return entries, nil
}

// streamResult is the result of a streamed completion.
type streamResult struct {
	text             string
	timeToFirstEvent time.Duration
	events           int
	promptTokens     int
	cachedTokens     int
	requestID        string
}

var errTruncated = errors.New("the stream ended without [DONE]")

func (d *caller) stream(ctx context.Context, entry, prompt string, maxTokens int) (streamResult, error) {
	body, err := json.Marshal(map[string]any{
		"model":      d.model,
		"prompt":     prompt,
		"max_tokens": maxTokens,
		"stream":     true,
	})
	if err != nil {
		return streamResult{}, err
	}
	started := time.Now()
	response, err := d.request(ctx, http.MethodPost, entry, "/v1/completions", body, nil)
	if err != nil {
		return streamResult{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return streamResult{}, statusError(response)
	}
	result := streamResult{requestID: response.Header.Get("X-Request-Id")}
	return result, result.read(response.Body, started)
}

type chunk struct {
	RequestID string `json:"request_id"`
	Choices   []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		CachedTokens int `json:"cached_tokens"`
	} `json:"usage"`
}

func (r *streamResult) read(body io.Reader, started time.Time) error {
	data, streamErr := streamData(body)
	for line := range data {
		if r.events == 0 {
			r.timeToFirstEvent = time.Since(started)
		}
		r.events++
		var c chunk
		if err := json.Unmarshal(line, &c); err != nil {
			return err
		}
		if c.RequestID != "" && c.RequestID != r.requestID {
			return fmt.Errorf("an event of request %s arrived in the response to %s", c.RequestID, r.requestID)
		}
		for _, choice := range c.Choices {
			r.text += choice.Text
		}
		if c.Usage != nil {
			r.promptTokens, r.cachedTokens = c.Usage.PromptTokens, c.Usage.CachedTokens
		}
	}
	return *streamErr
}

func (d *caller) complete(ctx context.Context, entry string, tokens int) error {
	const word = "saw "
	prompt := fmt.Sprintf("%08d", tokens) + strings.Repeat(word, tokens-2)
	result, err := d.stream(ctx, entry, prompt, 16)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "prompt of %9d tokens: first token after %8.1f ms, %d events, via %s, request %s\n  %.72s\n",
		result.promptTokens, float64(result.timeToFirstEvent)/float64(time.Millisecond), result.events, entry, result.requestID, result.text)
	if result.promptTokens < tokens*9/10 || result.promptTokens > tokens*11/10 {
		return fmt.Errorf("the response is for a prompt of %d tokens", result.promptTokens)
	}
	return nil
}

// book sends the same booking through two entries with the same idempotency key, and checks that it ran once.
func (d *caller) book(ctx context.Context, entries, services []string) error {
	reference := fmt.Sprintf("job-%d", time.Now().UnixNano())
	body := []byte(`{"reference":"` + reference + `","work":"sharpen 12 blades"}`)
	header := map[string]string{"Idempotency-Key": reference}
	for i, entry := range entries[:2] {
		response, err := d.request(ctx, http.MethodPost, entry, "/v1/services/"+d.service+"/jobs", body, header)
		if err != nil {
			return fmt.Errorf("booking: %w", err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return fmt.Errorf("booking: %w", err)
		}
		fmt.Fprintf(d.out, "booking %d via %s: status %d, replayed %q: %.72s\n",
			i+1, entry, response.StatusCode, response.Header.Get("Idempotent-Replay"), text)
		if response.StatusCode >= http.StatusMultipleChoices {
			return fmt.Errorf("booking: status %d: %s", response.StatusCode, text)
		}
	}
	return d.checkRuns(ctx, services, reference)
}

func (d *caller) checkRuns(ctx context.Context, services []string, reference string) error {
	runs := 0
	for _, address := range services {
		response, err := d.request(ctx, http.MethodGet, address, "/platform/runs", nil, nil)
		if err != nil {
			return err
		}
		var payload struct {
			References map[string]int `json:"references"`
		}
		err = json.NewDecoder(response.Body).Decode(&payload)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		runs += payload.References[reference]
	}
	fmt.Fprintf(d.out, "the booking ran %d time(s) at the services\n", runs)
	if runs != 1 {
		return fmt.Errorf("the booking ran %d times", runs)
	}
	return nil
}
