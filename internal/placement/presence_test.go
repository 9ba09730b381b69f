package placement

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/task"
)

// entryReplies replies for entries by address: with the ids that they run, with an error, or not at all.
type entryReplies map[string]any

func (e entryReplies) Call(ctx context.Context, address, _ string, _, reply any) error {
	switch result := e[address].(type) {
	case error:
		return result
	case []string:
		reply.(*RunningReply).IDs = result
		return nil
	default:
		<-ctx.Done()
		return ctx.Err()
	}
}

// Guards against refusing callers that retry after many entries have died, because the slots of the dead entries count
// as taken, and against giving away the slots of live entries.
func TestSlotsOfDeadEntriesAreFreeAgain(t *testing.T) {
	cases := map[string]struct {
		result any
		status Status
	}{
		"process ended":            {fmt.Errorf("dial: %w", syscall.ECONNREFUSED), Granted},
		"process started again":    {[]string{}, Granted},
		"some streams have ended":  {[]string{"j0", "j1"}, Granted},
		"all streams run":          {jobNames(32), Rejected},
		"no reply":                 {nil, Rejected},
		"failed in another manner": {errors.New("reset"), Rejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := NewService(ServiceConfig{
					Fleet: fakeFleet{engines(2)}, Caller: entryReplies{"other": c.result}, Logger: zap.NewNop(),
					Peer: func(instance string) (string, bool) { return instance, true },
				})
				ctx, cancel := context.WithCancel(t.Context())
				end := task.Start(ctx, service.Run)
				var reply ReserveReply
				for _, id := range jobNames(32) {
					is.NoErr(service.Reserve(ReserveRequest{Entry: "other", Job: short(id)}, &reply))
					is.Equal(reply.Status, Granted)
				}
				time.Sleep(keepGrace + queryAfter)
				j := short("new")
				for j.Waited = 0; ; j.Waited += recheckDelay {
					reply = ReserveReply{}
					is.NoErr(service.Reserve(ReserveRequest{Entry: "own", Job: j}, &reply))
					if reply.Status != Wait {
						break
					}
					time.Sleep(reply.After)
				}
				is.Equal(reply.Status, c.status)
				is.True(j.Waited <= queryTimeout+2*recheckDelay) // no job waits longer than the query timeout
				cancel()
				is.NoErr(<-end)
			})
		})
	}
}

func jobNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("j", i)
	}
	return names
}

// Guards against querying an entry that has just made a call, and against querying a silent one again and again.
func TestSilentEntriesAreQueriedOnce(t *testing.T) {
	is := is.New(t)
	s := scheduler(2)
	s.Reserve(epoch, "silent", short("a"))
	s.Reserve(epoch.Add(queryAfter), "heard", short("b"))
	now := epoch.Add(queryAfter + time.Millisecond)
	entries, expected := s.EntriesToQuery(now)
	is.Equal(entries, []string{"silent"})
	is.True(expected)
	entries, expected = s.EntriesToQuery(now.Add(time.Millisecond))
	is.Equal(len(entries), 0)
	is.True(expected)
	entries, _ = s.EntriesToQuery(now.Add(queryTimeout + queryAfter))
	is.Equal(entries, []string{"heard"})
	s.EndEntry(now, "silent")
	is.Equal(s.Running(), 1)
}
