// Package announcer periodically announces an endpoint to one of the entries.
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
	// Rejected means that an entry returned an error.
	Rejected Kind = "rejected"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	announcePath  = "/platform/announce"
	maxReplyBytes = 64 << 10
)

// Config configures an announcer.
type Config struct {
	// SeedAddresses are the platform addresses tried first, and again when those of the last reply fail.
	SeedAddresses []string
	Interval      time.Duration
	Client        *http.Client
	// TLS is set if the client connects to the entries over TLS; it selects the https scheme.
	TLS    *tls.Config
	Logger *zap.Logger
	// BuildAnnouncement returns the current announcement.
	BuildAnnouncement func() endpoint.Announcement
}

// Announcer sends announcements. Its methods may be called concurrently.
type Announcer struct {
	config Config

	mu        sync.Mutex
	addresses []string
	// undelivered holds the cache events of the failed announcements, for the next one.
	undelivered []endpoint.CacheEvent
}

// New returns an announcer. The hash of the name selects the seed address tried first, so that endpoints
// with the same settings spread over the entries.
func New(name string, config Config) *Announcer {
	seeds := slices.Clone(config.SeedAddresses)
	if len(seeds) > 0 {
		first := int(xxhash.Sum64String(name) % uint64(len(seeds)))
		seeds = append(seeds[first:], seeds[:first]...)
	}
	config.SeedAddresses = seeds
	return &Announcer{config: config, addresses: seeds}
}

// Run sends an announcement every interval until ctx is done.
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

// Announce tries the entries in turn until one accepts the announcement. Without seed addresses it does
// nothing.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.config.SeedAddresses) == 0 {
		return nil
	}
	announcement := a.config.BuildAnnouncement()
	announcement.CacheEvents = append(a.undelivered, announcement.CacheEvents...)
	a.undelivered = nil
	body, err := json.Marshal(announcement)
	if err != nil {
		return fault.Wrap(err, "announce", Rejected, "encode")
	}
	var failures []error
	for _, address := range a.addressesToTry() {
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
	a.undelivered = announcement.CacheEvents
	return fault.Wrap(errors.Join(failures...), "announce", Unreachable, "no entry accepted")
}

// addressesToTry returns the addresses of the last reply, then the other seed addresses.
func (a *Announcer) addressesToTry() []string {
	list := slices.Clone(a.addresses)
	for _, address := range a.config.SeedAddresses {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint.URL(a.config.TLS, address, announcePath), bytes.NewReader(body))
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
		return reply, fault.New("announce", Rejected, "%s returned status %d", address, response.StatusCode)
	}
	err = json.Unmarshal(payload, &reply)
	return reply, fault.Wrap(err, "announce", Rejected, address)
}
