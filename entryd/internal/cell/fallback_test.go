package cell_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

func withFingerprint(fingerprint uint64) dispatch.ReserveRequest {
	r := request
	r.Fingerprint = fingerprint
	return r
}

// fallbackClient returns a client with two endpoints and no dispatcher, and the name of the endpoint that the
// request with fingerprint 1 has crashed.
func fallbackClient(t *testing.T, r *remoteDispatcher) (*cell.Client, string) {
	t.Helper()
	client := newClient(r)
	client.Announce(announcement("e1", 0))
	client.Announce(announcement("e2", 0))
	grant, err := client.Reserve(t.Context(), withFingerprint(1), attemptIDs())
	if err != nil {
		t.Fatal(err)
	}
	client.TrackGrant(withFingerprint(1), grant).End(dispatch.ConnectionLost, stream.Usage{})
	return client, grant.Members[0].Endpoint
}

// Guards against a request that crashes one endpoint after another while the dispatcher is replaced: it
// waits for the next dispatcher, and is refused when there is none.
func TestFallbackDoesNotRepeatSuspects(t *testing.T) {
	for name, test := range map[string]struct {
		setReply func(reply *dispatch.ReserveReply)
		limit    time.Duration
		code     string
	}{
		"next dispatcher grants": {func(reply *dispatch.ReserveReply) {
			*reply = dispatch.ReserveReply{Status: dispatch.Granted, Grant: dispatch.Grant{ID: "g"}}
		}, time.Minute, ""},
		"next dispatcher refuses": {func(reply *dispatch.ReserveReply) {
			*reply = dispatch.ReserveReply{Status: dispatch.Refused, Reason: dispatch.Quarantined}
		}, time.Minute, "quarantined"},
		"next dispatcher knows no endpoint": {func(reply *dispatch.ReserveReply) {
			*reply = dispatch.ReserveReply{Status: dispatch.Refused, Reason: dispatch.NoEndpoint}
		}, time.Minute, "no-endpoint"},
		"no dispatcher": {nil, time.Minute, "no-safe-endpoint"},
		"time limit":    {nil, 2 * time.Second, "time-limit"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &remoteDispatcher{reserve: noReply}
				client, _ := fallbackClient(t, r)
				if test.setReply != nil {
					replacedAt := time.Now().Add(3 * time.Second)
					r.reserve = func(ctx context.Context, reply *dispatch.ReserveReply) error {
						if time.Now().Before(replacedAt) {
							return noReply(ctx, reply)
						}
						test.setReply(reply)
						return nil
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), test.limit)
				defer cancel()
				began := time.Now()
				grant, err := client.Reserve(ctx, withFingerprint(1), attemptIDs())
				is.True(time.Since(began) <= min(test.limit, 11*time.Second))
				checkReservation(t, grant, err, test.code)
			})
		})
	}
}

// Guards against other requests that are delayed by a suspect, and against a request that is still a suspect
// after it has finished or a minute later.
func TestFallbackSuspectsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, _ := fallbackClient(t, &remoteDispatcher{reserve: noReply})
		other, err := client.Reserve(t.Context(), withFingerprint(2), attemptIDs())
		is.NoErr(err)
		client.TrackGrant(withFingerprint(2), other).End(dispatch.Finished, stream.Usage{})
		client.TrackGrant(withFingerprint(1), other).End(dispatch.Finished, stream.Usage{})
		_, err = client.Reserve(t.Context(), withFingerprint(1), attemptIDs())
		is.NoErr(err)
		client.TrackGrant(withFingerprint(1), other).End(dispatch.ConnectionLost, stream.Usage{})
		time.Sleep(time.Minute + time.Second)
		client.Announce(announcement("e1", 0))
		_, err = client.Reserve(t.Context(), withFingerprint(1), attemptIDs())
		is.NoErr(err)
	})
}

// Guards against new work for an endpoint whose connection broke: it may be crashing.
func TestFallbackAvoidsLostEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, failed := fallbackClient(t, &remoteDispatcher{reserve: noReply})
		count := func() (n int) {
			client.Announce(announcement("e1", 0))
			client.Announce(announcement("e2", 0))
			for range 30 {
				grant, err := client.Reserve(t.Context(), withFingerprint(2), attemptIDs())
				is.NoErr(err)
				if grant.Members[0].Endpoint == failed {
					n++
				}
			}
			return n
		}
		is.Equal(count(), 0)
		time.Sleep(endpoint.DeadAfter)
		is.True(count() > 0)
	})
}

// Guards against a request that is quarantined while it waits or between its attempts, and then runs by the
// entry's own choice.
func TestFallbackRefusesQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := cell.New(cell.Config{
			Instance: "entry-1", Incarnation: "1", Caller: &remoteDispatcher{reserve: noReply}, Logger: zap.NewNop(),
			View: func() (session.View, error) {
				return session.View{
					Members:     []session.Member{{Instance: "entry-2", Region: "norte", Peer: "peer"}},
					Quarantined: map[uint64]bool{1: true},
				}, nil
			},
		})
		client.Announce(announcement("e1", 0))
		_, err := client.Reserve(t.Context(), withFingerprint(1), attemptIDs())
		var refused refusal.Error
		is.True(errors.As(err, &refused))
		is.Equal(refused.Code, "quarantined")
		_, err = client.Reserve(t.Context(), withFingerprint(2), attemptIDs())
		is.NoErr(err)
	})
}
