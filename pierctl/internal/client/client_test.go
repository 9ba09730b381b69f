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

// instances stands for control instances: each answers after its time.
type instances map[string]time.Duration

func (i instances) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(i[r.URL.Host]):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	body := `{"status":"accepted","message":"` + r.URL.Host + `"}`
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Guards against a frozen control instance that keeps an operator waiting, and against a change of the
// quorum, which has no command id, that is sent again while an earlier attempt may still be made.
func TestFrozenInstance(t *testing.T) {
	for name, test := range map[string]struct {
		first time.Duration
		send  func(ctx context.Context, c *client.Client) (language.CommandReply, error)
		want  string
		took  time.Duration
	}{
		"command, frozen": {time.Hour, command, "second", 2 * time.Second},
		"command, slow":   {time.Second, command, "first", time.Second},
		"quorum, slow":    {5 * time.Second, quorum, "first", 5 * time.Second},
		"quorum, frozen":  {time.Hour, quorum, "second", 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				c := client.New(client.Config{
					Addresses: []string{"first", "second"}, HTTP: &http.Client{Transport: instances{"first": test.first}},
				})
				reply, err := test.send(t.Context(), c)
				is.NoErr(err)
				is.Equal(reply.Message, test.want)
				is.Equal(time.Since(started), test.took) // the bubble's clock
			})
		})
	}
}

func command(ctx context.Context, c *client.Client) (language.CommandReply, error) {
	return c.Command(ctx, language.CommandRequest{})
}

func quorum(ctx context.Context, c *client.Client) (language.CommandReply, error) {
	return c.RemoveMember(ctx, "c1")
}

// named answers every address but leader with the name of the leader, and notes the addresses asked.
type named struct {
	leader string
	asked  *[]string
}

func (n named) RoundTrip(request *http.Request) (*http.Response, error) {
	*n.asked = append(*n.asked, request.URL.Scheme+"://"+request.URL.Host)
	status, body := http.StatusOK, `{"status":"accepted"}`
	if request.URL.Host != n.leader {
		status, body = http.StatusServiceUnavailable, `{"error":"not the leader","leader":"`+n.leader+`"}`
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Guards against an operator key that goes unencrypted to a leader that an encrypted answer names.
func TestLeaderKeepsTheScheme(t *testing.T) {
	for address, want := range map[string]string{"https://first:1": "https://second:1", "first:1": "http://second:1"} {
		var asked []string
		c := client.New(client.Config{
			Addresses: []string{address}, HTTP: &http.Client{Transport: named{"second:1", &asked}},
		})
		_, err := command(t.Context(), c)
		is.New(t).NoErr(err)
		is.New(t).Equal(asked[1:], []string{want})
	}
}
