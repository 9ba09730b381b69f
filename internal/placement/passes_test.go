package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/engine"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// passEngine has passes of 50 ms, in which it reads a prompt of 5,000 tokens in 34 ms.
func passEngine() routing.Engine {
	return routing.Engine{
		Slots: 12, EventTokens: 38, Step: 1310 * time.Microsecond, PrefillRate: 154_000, PrefillPerMegaPair: 162 * time.Microsecond, ChunkTokens: 2048,
	}
}

// Guards against a forecast that leaves out the prompts read in the same pass: a burst of short prompts was put on one engine,
// each expected in time and all of them late. The forecasts of a burst on one engine must be right to a pass.
func TestForecastOfBurst(t *testing.T) {
	for name, gap := range map[string]time.Duration{"at once": time.Millisecond, "one each pass": 50 * time.Millisecond, "now and then": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const prompts = 10
			declared := passEngine()
			s := NewScheduler(declared)
			s.Update(epoch, []registration.Record{{ID: "e", Address: "e", State: registration.Ready, Started: 1}})
			pool := engine.NewPool(declared, 1)
			expected := make(map[string]time.Time)
			for i := range prompts {
				now := epoch.Add(time.Duration(i) * gap)
				deliverFirstEvents(s, pool.Advance(now), expected, is)
				id := fmt.Sprint("j", i)
				reply := s.Reserve(now, "entry", Job{ID: id, Prompt: 5000, Output: 1368, Objective: time.Minute, Left: time.Hour})
				is.Equal(reply.Status, Granted)
				expected[id] = now.Add(reply.Grant.First)
				pool.Send(now, engine.Request{ID: id, Prompt: 5000, Output: 1368}, 0, nil)
			}
			deliverFirstEvents(s, pool.Advance(epoch.Add(3*time.Second)), expected, is)
			is.Equal(len(expected), 0)
		})
	}
}

// deliverFirstEvents reports the first events among those of a pool, and compares their times with the expected ones. Prompts
// that arrive later may be read in the same pass, so that an event comes later than expected by one pass at most.
func deliverFirstEvents(s *Scheduler, events []engine.Event, expected map[string]time.Time, is *is.I) {
	is.Helper()
	for _, e := range events {
		if e.Count != 1 {
			continue
		}
		early, late := expected[e.ID].Sub(e.At), e.At.Sub(expected[e.ID])
		declared := passEngine()
		decodePass := declared.DecodePassTime(declared.Slots, declared.Slots*6000)
		is.True(early <= decodePass+declared.PrefillTime(5000, 1))
		is.True(late <= decodePass+10*declared.PrefillTime(5000, 1))
		delete(expected, e.ID)
		s.Report(e.At, "entry", Event{Type: FirstEvent, Job: Job{ID: e.ID}, Endpoint: "e", Started: 1})
	}
}

// Guards against a long prompt that is begun although its response cannot end within the time limit, so that it takes engines
// from others for nothing.
func TestHopelessPromptIsRefused(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(passEngine())
	s.Update(epoch, []registration.Record{{ID: "e", Address: "e", State: registration.Ready, Started: 1}})
	j := Job{ID: "j", Prompt: 260_000, Output: 10_000, Objective: 4 * time.Second, MaxPause: time.Second}
	read := s.engine.PrefillTime(j.Prompt, 1)
	j.Left = read + time.Second // the first event would come in time, the last one not
	reply := s.Reserve(epoch, "entry", j)
	is.Equal(reply.Status, Rejected)
	j.Left = read + s.writeTime(&j) + time.Second
	is.Equal(s.Reserve(epoch, "entry", j).Status, Granted)
}

// Guards against a long prompt beside a stream that is late but still wanted: its caller would leave during the pause.
func TestLateStreamIsNotCutOff(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(passEngine())
	s.Update(epoch, []registration.Record{{ID: "a", Address: "a", State: registration.Ready, Started: 1}})
	short := Job{ID: "short", Prompt: 5000, Output: 1368, Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, Left: 10 * time.Second}
	is.Equal(s.Reserve(epoch, "entry", short).Status, Granted)
	at := epoch.Add(time.Second)
	s.Report(at, "entry", Event{Type: FirstEvent, Job: short, Endpoint: "a"})
	is.True(s.jobs["short"].objectiveMissed)
	r := s.sortedReplicas[0]
	is.True(s.interference(at, r, maxSilence(&short)+time.Second) > 0)
	is.Equal(s.interference(at, r, time.Second), 0.0) // it has missed its objective already
}

// Guards against a prompt that starts late on the few engines that are free now, although it could be in time on more of
// them soon, and keeps them from others meanwhile.
func TestPromptWaitsForEnginesThatAreFreeSoon(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(passEngine())
	var records []registration.Record
	for i := range 12 {
		id := fmt.Sprintf("e%02d", i)
		records = append(records, registration.Record{ID: id, Address: id, State: registration.Ready, Started: 1})
	}
	s.Update(epoch, records)
	for i, r := range s.sortedReplicas {
		switch {
		case i >= 11: // free for no prompt in time
			r.backlogEnd = epoch.Add(10 * time.Second)
		case i >= 2:
			r.backlogEnd = epoch.Add(500 * time.Millisecond)
		}
	}
	j := Job{ID: "wide", Prompt: 400_000, Output: 684, Objective: 4 * time.Second, MaxPause: time.Second, Left: 15 * time.Second}
	is.Equal(s.Reserve(epoch, "entry", j).Status, Wait)
	later := epoch.Add(600 * time.Millisecond)
	j.Waited, j.Left = 600*time.Millisecond, j.Left-600*time.Millisecond
	reply := s.Reserve(later, "entry", j)
	is.Equal(reply.Status, Granted)
	is.True(reply.Grant.First+j.Waited <= j.Objective)
}
