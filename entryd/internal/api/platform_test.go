package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/address"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// announcementCount is an Announcer that counts the announcements that the API accepted.
type announcementCount int

func (a *announcementCount) Announce(endpoint.Announcement) { *a++ }

// Guards against an entry without a lease that tells endpoints to keep announcing to it: it does not know the
// current dispatcher, so the other entries would not learn of these endpoints.
func TestAnnounceReply(t *testing.T) {
	for name, test := range map[string]struct {
		leaseErr    error
		draining    bool
		namesItself bool
	}{
		"leased":   {nil, false, true},
		"draining": {nil, true, false},
		"no lease": {errors.New("the lease has run out"), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := session.View{Members: []session.Member{
				{Instance: "a", DataCentre: "vitoria", Platform: "127.0.0.1:1"}, {Instance: "b", DataCentre: "bilbao", Platform: "127.0.0.1:2"},
			}}
			var count announcementCount
			handler := NewPlatform(PlatformConfig{
				Instance: "a", View: func() (session.View, error) { return view, test.leaseErr }, Draining: func() bool { return test.draining },
				Addresses: address.NewSelector(4), Announcer: &count, MaxAnnouncement: 1 << 20, Logger: zap.NewNop(),
			})
			body, err := json.Marshal(endpoint.Announcement{
				Name: "e", Incarnation: "1", Address: "127.0.0.1:3", DataCentre: "bilbao", Region: "norte", Type: endpoint.Service,
				Models: []string{"bookings"}, State: endpoint.Ready,
			})
			is.NoErr(err)
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/platform/announce", strings.NewReader(string(body))))
			is.Equal(response.Code, http.StatusOK)
			is.Equal(int(count), 1) // the announcement is accepted all the same
			var reply endpoint.AnnounceReply
			is.NoErr(json.Unmarshal(response.Body.Bytes(), &reply))
			is.Equal(strings.Contains(strings.Join(reply.Addresses, " "), "127.0.0.1:1"), test.namesItself)
			is.True(strings.Contains(strings.Join(reply.Addresses, " "), "127.0.0.1:2"))
		})
	}
}
