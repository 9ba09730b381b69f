package client_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/pierctl/internal/client"
)

// delayedInstances simulates control instances: each replies after the delay given for its host.
type delayedInstances map[string]time.Duration

func (i delayedInstances) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(i[r.URL.Host]):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	body := `{"status":"accepted","message":"` + r.URL.Host + `"}`
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Guards against an unresponsive control instance that keeps an operator waiting, and against a membership
// change, which has no command ID, that is sent again while an earlier attempt may still succeed.
func TestFrozenInstance(t *testing.T) {
	for name, test := range map[string]struct {
		first time.Duration
		send  func(ctx context.Context, c *client.Client) (language.CommandReply, error)
		want  string
		took  time.Duration
	}{
		"command, frozen": {time.Hour, sendCommand, "second", 2 * time.Second},
		"command, slow":   {time.Second, sendCommand, "first", time.Second},
		"quorum, slow":    {5 * time.Second, removeMember, "first", 5 * time.Second},
		"quorum, frozen":  {time.Hour, removeMember, "second", 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				c := client.New(client.Config{
					Addresses: []string{"first", "second"}, HTTP: &http.Client{Transport: delayedInstances{"first": test.first}},
				})
				reply, err := test.send(t.Context(), c)
				is.NoErr(err)
				is.Equal(reply.Message, test.want)
				is.Equal(time.Since(started), test.took) // the fake clock of synctest
			})
		})
	}
}

func sendCommand(ctx context.Context, c *client.Client) (language.CommandReply, error) {
	return c.Command(ctx, language.CommandRequest{})
}

func removeMember(ctx context.Context, c *client.Client) (language.CommandReply, error) {
	return c.RemoveMember(ctx, "c1")
}

// leaderHints simulates control instances of which all but the leader reply with its address; it records the
// addresses that requests go to.
type leaderHints struct {
	leader string
	asked  *[]string
}

func (n leaderHints) RoundTrip(request *http.Request) (*http.Response, error) {
	*n.asked = append(*n.asked, request.URL.Scheme+"://"+request.URL.Host)
	status, body := http.StatusOK, `{"status":"accepted"}`
	if request.URL.Host != n.leader {
		status, body = http.StatusServiceUnavailable, `{"error":"not the leader","leader":"`+n.leader+`"}`
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Guards against an operator key that is sent unencrypted to the leader named in an encrypted reply.
func TestLeaderKeepsTheScheme(t *testing.T) {
	for address, want := range map[string]string{"https://first:1": "https://second:1", "first:1": "http://second:1"} {
		var asked []string
		c := client.New(client.Config{
			Addresses: []string{address}, HTTP: &http.Client{Transport: leaderHints{"second:1", &asked}},
		})
		_, err := sendCommand(t.Context(), c)
		is.New(t).NoErr(err)
		is.New(t).Equal(asked[1:], []string{want})
	}
}
