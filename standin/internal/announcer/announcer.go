// Package announcer sends the announcements of an endpoint to the entries.
package announcer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Unreachable means that no entry accepted the announcement.
	Unreachable Kind = "unreachable"
	// Rejected means that an entry answered with an error.
	Rejected Kind = "rejected"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	path          = "/platform/announce"
	maxReplyBytes = 64 << 10
)

// Config sets up an announcer.
type Config struct {
	// To are the platform addresses to start with and to return to when all others fail.
	To       []string
	Interval time.Duration
	Client   *http.Client
	// TLS says that the client connects to the entries by it.
	TLS    *tls.Config
	Logger *zap.Logger
	// Build returns the current announcement.
	Build func() endpoint.Announcement
}

// Announcer sends announcements. Its methods may be called concurrently.
type Announcer struct {
	config Config

	mu        sync.Mutex
	addresses []string
	// unsent are the cache events of announcements that no entry has accepted.
	unsent []endpoint.CacheEvent
}

// New returns an announcer. The name decides which of the configured addresses is tried first, so
// that endpoints with the same settings spread over the entries.
func New(name string, config Config) *Announcer {
	to := slices.Clone(config.To)
	if len(to) > 0 {
		first := int(xxhash.Sum64String(name) % uint64(len(to)))
		to = append(to[first:], to[:first]...)
	}
	config.To = to
	return &Announcer{config: config, addresses: to}
}

// Run announces once per interval until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.config.Interval)
	defer ticker.Stop()
	for {
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil {
			a.config.Logger.Warn("announcement not delivered", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce sends one announcement to the first entry that accepts it. Without addresses it does nothing.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.config.To) == 0 {
		return nil
	}
	announcement := a.config.Build()
	announcement.CacheEvents = append(a.unsent, announcement.CacheEvents...)
	a.unsent = nil
	body, err := json.Marshal(announcement)
	if err != nil {
		return fault.Wrap(err, "announce", Rejected, "encode")
	}
	var failures []error
	for _, address := range a.candidates() {
		reply, err := a.send(ctx, address, body)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		if len(reply.Addresses) > 0 {
			a.addresses = reply.Addresses
		}
		return nil
	}
	a.unsent = announcement.CacheEvents
	return fault.Wrap(errors.Join(failures...), "announce", Unreachable, "no entry accepted")
}

// candidates returns the addresses of the last reply, then the configured ones.
func (a *Announcer) candidates() []string {
	list := slices.Clone(a.addresses)
	for _, address := range a.config.To {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

func (a *Announcer) send(ctx context.Context, address string, body []byte) (endpoint.AnnounceReply, error) {
	var reply endpoint.AnnounceReply
	ctx, cancel := context.WithTimeout(ctx, a.config.Interval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint.URL(a.config.TLS, address, path), bytes.NewReader(body))
	if err != nil {
		return reply, fault.Wrap(err, "announce", Unreachable, address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.config.Client.Do(request)
	if err != nil {
		return reply, fault.Wrap(err, "announce", Unreachable, address)
	}
	defer func() { _ = response.Body.Close() }()
	payload, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply, fault.Wrap(err, "announce", Unreachable, address)
	}
	if response.StatusCode != http.StatusOK {
		return reply, fault.New("announce", Rejected, "%s answered with status %d", address, response.StatusCode)
	}
	err = json.Unmarshal(payload, &reply)
	return reply, fault.Wrap(err, "announce", Rejected, address)
}
