package engine

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/standin/internal/model"
)

const (
	// renewInterval is below the TTL of grants (5 s) by enough to survive two lost renewals.
	renewInterval = time.Second
	renewTimeout  = time.Second
	// maxRenewFailures is the number of failed renewals after which the group breaks up.
	maxRenewFailures = 3
)

// caller calls other engines, over TLS if there is a configuration.
type caller struct {
	client *http.Client
	tls    *tls.Config
}

// lead keeps the members' holdings alive while the attempt runs and releases them at its end. The
// attempt fails when a member no longer has its holding or cannot be reached. The prefill occupies
// every member for the given simulated time.
func lead(ctx context.Context, via caller, attempt *model.Attempt, group []member, prefill time.Duration) {
	for _, m := range group {
		go m.keep(context.WithoutCancel(ctx), via, attempt, prefill)
	}
}

func (m member) keep(ctx context.Context, via caller, attempt *model.Attempt, prefill time.Duration) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	failures := 0
	suffix := "/renew?occupy-ms=" + strconv.FormatInt(prefill.Milliseconds(), 10)
	for {
		status, err := m.call(ctx, via, http.MethodPost, suffix)
		switch {
		case err != nil:
			failures++
		case status != http.StatusOK:
			failures = maxRenewFailures
		default:
			failures = 0
			suffix = "/renew"
		}
		if failures >= maxRenewFailures {
			attempt.Fail(fmt.Sprintf("member %s lost holding %q (status %d, %v)", m.address, m.holding, status, err))
			return
		}
		select {
		case <-attempt.Ended():
			_, _ = m.call(ctx, via, http.MethodDelete, "")
			return
		case <-ticker.C:
		}
	}
}

func (m member) call(ctx context.Context, via caller, method, suffix string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	target := endpoint.URL(via.tls, m.address, "/platform/holdings/"+url.PathEscape(m.holding)+suffix)
	request, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := via.client.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}
