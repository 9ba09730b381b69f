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

// announced counts announcements.
type announced int

func (a *announced) Announce(endpoint.Announcement) { *a++ }

// Guards against an entry without a lease that keeps the endpoints to itself: the other entries cannot
// reach them through it, and it does not know which of them dispatches now.
func TestAnnounceReply(t *testing.T) {
	for name, test := range map[string]struct {
		lease    error
		draining bool
		want     bool
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
			var count announced
			handler := NewPlatform(PlatformConfig{
				Instance: "a", View: func() (session.View, error) { return view, test.lease }, Draining: func() bool { return test.draining },
				Addresses: address.NewBook(4), Announcer: &count, MaxAnnouncement: 1 << 20, Logger: zap.NewNop(),
			})
			body, err := json.Marshal(endpoint.Announcement{
				Name: "e", Incarnation: "1", Address: "127.0.0.1:3", DataCentre: "bilbao", Region: "norte", Type: endpoint.Service,
				Models: []string{"bookings"}, State: endpoint.Ready,
			})
			is.NoErr(err)
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/platform/announce", strings.NewReader(string(body))))
			is.Equal(response.Code, http.StatusOK)
			is.Equal(int(count), 1) // what it announces still counts
			var reply endpoint.AnnounceReply
			is.NoErr(json.Unmarshal(response.Body.Bytes(), &reply))
			is.Equal(strings.Contains(strings.Join(reply.Addresses, " "), "127.0.0.1:1"), test.want)
			is.True(strings.Contains(strings.Join(reply.Addresses, " "), "127.0.0.1:2"))
		})
	}
}
