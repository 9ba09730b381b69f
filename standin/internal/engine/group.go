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
	// renewInterval is short enough for a holding to survive two lost renewals: the TTL of grants is 5 s.
	renewInterval = time.Second
	renewTimeout  = time.Second
	// maxRenewFailures is the number of consecutive failed renewals after which the attempt fails.
	maxRenewFailures = 3
)

// memberClient sends requests to the members of a group, over TLS if tlsConfig is set.
type memberClient struct {
	httpClient *http.Client
	tlsConfig  *tls.Config
}

// superviseGroup renews the members' holdings while the attempt runs and releases them when it ends. The attempt
// fails if a member has lost its holding or cannot be reached. Each member spends the given simulated time on the
// prefill.
func superviseGroup(ctx context.Context, client memberClient, attempt *model.Attempt, group []member, prefill time.Duration) {
	for _, m := range group {
		go m.keepHolding(context.WithoutCancel(ctx), client, attempt, prefill)
	}
}

func (m member) keepHolding(ctx context.Context, client memberClient, attempt *model.Attempt, prefill time.Duration) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	failures := 0
	pathSuffix := "/renew?occupy-ms=" + strconv.FormatInt(prefill.Milliseconds(), 10)
	for {
		status, err := m.call(ctx, client, http.MethodPost, pathSuffix)
		switch {
		case err != nil:
			failures++
		case status != http.StatusOK:
			failures = maxRenewFailures
		default:
			failures = 0
			pathSuffix = "/renew"
		}
		if failures >= maxRenewFailures {
			attempt.Fail(fmt.Sprintf("member %s lost holding %q (status %d, %v)", m.address, m.holding, status, err))
			return
		}
		select {
		case <-attempt.Ended():
			_, _ = m.call(ctx, client, http.MethodDelete, "")
			return
		case <-ticker.C:
		}
	}
}

func (m member) call(ctx context.Context, client memberClient, method, pathSuffix string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	target := endpoint.URL(client.tlsConfig, m.address, "/platform/holdings/"+url.PathEscape(m.holding)+pathSuffix)
	request, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}
