package announcer_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/standin/internal/announcer"
)

// entryTransport returns the reply of each address in replies; other addresses are unreachable.
type entryTransport struct {
	replies  map[string]string
	tried    []string
	received []endpoint.Announcement
}

func (e *entryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	e.tried = append(e.tried, r.URL.Host)
	reply, found := e.replies[r.URL.Host]
	if !found {
		return nil, errors.New("connection refused")
	}
	var announcement endpoint.Announcement
	if err := json.NewDecoder(r.Body).Decode(&announcement); err != nil {
		return nil, err
	}
	e.received = append(e.received, announcement)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(reply))}, nil
}

// Guards against an endpoint that stops announcing itself when its entry fails, and against cache events
// that are lost with a failed announcement.
func TestAnnounce(t *testing.T) {
	is := is.New(t)
	e := &entryTransport{replies: map[string]string{"a:1": `{"addresses":["b:1","c:1"]}`}}
	sequence := uint64(0)
	a := announcer.New("e1", announcer.Config{
		SeedAddresses: []string{"a:1"},
		Interval:      endpoint.AnnounceInterval,
		Client:        &http.Client{Transport: e},
		Logger:        zap.NewNop(),
		BuildAnnouncement: func() endpoint.Announcement {
			sequence++
			return endpoint.Announcement{CacheEvents: []endpoint.CacheEvent{{Sequence: sequence}}}
		},
	})
	is.NoErr(a.Announce(t.Context()))
	is.Equal(e.tried, []string{"a:1"})

	e.replies, e.tried = nil, nil
	is.True(a.Announce(t.Context()) != nil)
	is.Equal(e.tried, []string{"b:1", "c:1", "a:1"})

	e.replies, e.tried = map[string]string{"c:1": `{}`}, nil
	is.NoErr(a.Announce(t.Context()))
	is.Equal(e.tried, []string{"b:1", "c:1"})
	is.Equal(len(e.received[1].CacheEvents), 2)
}
