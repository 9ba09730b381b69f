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

// witnesses answers for entries: what they run, or with an error.
type witnesses map[string]any

func (w witnesses) Call(ctx context.Context, address, _ string, _, reply any) error {
	switch answer := w[address].(type) {
	case error:
		return answer
	case []string:
		reply.(*RunningReply).IDs = answer
		return nil
	default:
		<-ctx.Done()
		return ctx.Err()
	}
}

// Guards against a burst of callers who come back after many entries have died and are refused, because the slots of the
// dead ones count as taken, and against slots of live entries that are given away.
func TestSlotsOfDeadEntriesAreFreeAgain(t *testing.T) {
	cases := map[string]struct {
		answer any
		status Status
	}{
		"process ended":            {fmt.Errorf("dial: %w", syscall.ECONNREFUSED), Granted},
		"process started again":    {[]string{}, Granted},
		"some streams have ended":  {[]string{"j0", "j1"}, Granted},
		"all streams run":          {jobNames(32), Rejected},
		"no answer":                {nil, Rejected},
		"failed in another manner": {errors.New("reset"), Rejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := NewService(ServiceConfig{
					Fleet: fakeFleet{engines(2)}, Caller: witnesses{"other": c.answer}, Logger: zap.NewNop(),
					Peer: func(instance string) (string, bool) { return instance, true },
				})
				ctx, cancel := context.WithCancel(t.Context())
				end := task.Start(ctx, service.Run)
				var reply ReserveReply
				for _, id := range jobNames(32) {
					is.NoErr(service.Reserve(ReserveRequest{Entry: "other", Job: short(id)}, &reply))
					is.Equal(reply.Status, Granted)
				}
				time.Sleep(keepGrace + unheard)
				j := short("new")
				for j.Waited = 0; ; j.Waited += recheck {
					reply = ReserveReply{}
					is.NoErr(service.Reserve(ReserveRequest{Entry: "own", Job: j}, &reply))
					if reply.Status != Wait {
						break
					}
					time.Sleep(reply.After)
				}
				is.Equal(reply.Status, c.status)
				is.True(j.Waited <= askTimeout+2*recheck) // nobody waits for an answer that does not come
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

// Guards against entries that are asked although they were just heard of, and again and again.
func TestSilentEntriesAreAskedOnce(t *testing.T) {
	is := is.New(t)
	s := scheduler(2)
	s.Reserve(epoch, "silent", short("a"))
	s.Reserve(epoch.Add(unheard), "heard", short("b"))
	now := epoch.Add(unheard + time.Millisecond)
	entries, expected := s.EntriesToAsk(now)
	is.Equal(entries, []string{"silent"})
	is.True(expected)
	entries, expected = s.EntriesToAsk(now.Add(time.Millisecond))
	is.Equal(len(entries), 0)
	is.True(expected)
	entries, _ = s.EntriesToAsk(now.Add(askTimeout + unheard))
	is.Equal(entries, []string{"heard"})
	s.Gone(now, "silent")
	is.Equal(s.Running(), 1)
}
