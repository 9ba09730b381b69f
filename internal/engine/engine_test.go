package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

var epoch = time.Unix(1_800_000_000, 0)

func testEngine() routing.Engine {
	return routing.Engine{
		Slots: 4, Memory: 100_000, EventTokens: 10, Step: time.Millisecond, StepPerRequest: 100 * time.Microsecond,
		PrefillRate: 100_000, ChunkTokens: 1000,
	}
}

// drain runs a pool until it is idle and returns all events by request.
func drain(p *Pool) map[string][]Event {
	events := make(map[string][]Event)
	for {
		next, busy := p.Next()
		if !busy {
			return events
		}
		for _, e := range p.Advance(next) {
			events[e.ID] = append(events[e.ID], e)
		}
	}
}

// Guards against simulated times that differ from the declared ones.
func TestTimesOfOneRequest(t *testing.T) {
	is := is.New(t)
	p := NewPool(testEngine(), 1)
	p.Send(epoch, Request{ID: "a", Prompt: 5000, Output: 25}, 0, nil)
	events := drain(p)["a"]
	is.Equal(len(events), 3) // 25 tokens, 10 in each event
	prefill := 5 * (10*time.Millisecond + time.Millisecond)
	pass := 10 * (time.Millisecond + 100*time.Microsecond)
	is.Equal(events[0].At.Sub(epoch), prefill+pass)
	is.Equal(events[2].At.Sub(epoch), prefill+3*pass)
	is.True(events[2].Last)
}

// Guards against a simulation in which dividing a prompt saves nothing, or decoding begins before the last part is
// prefilled.
func TestDividedPromptIsPrefilledConcurrently(t *testing.T) {
	is := is.New(t)
	p := NewPool(testEngine(), 3)
	p.SetSlowdown(2, 3)
	p.Send(epoch, Request{ID: "a", Prompt: 30_000, Output: 10}, 0, []int{1, 2})
	first := drain(p)["a"][0].At.Sub(epoch)
	part := 10 * 11 * time.Millisecond
	is.Equal(first, 3*part+11*time.Millisecond)
}

// Guards against a simulation that prefills the parts of divided prompts in the order of their arrival.
func TestPartsGoAheadOfOtherPrefill(t *testing.T) {
	is := is.New(t)
	p := NewPool(testEngine(), 2)
	p.Send(epoch, Request{ID: "whole", Prompt: 50_000, Output: 10}, 1, nil)
	p.Send(epoch, Request{ID: "divided", Prompt: 20_000, Output: 10}, 0, []int{1})
	events := drain(p)
	is.True(events["divided"][0].At.Before(events["whole"][0].At))
}

// Guards against admitting more requests than slots, and against an order of admission that ignores urgency.
func TestSlotsAndUrgency(t *testing.T) {
	is := is.New(t)
	p := NewPool(testEngine(), 1)
	for _, id := range []string{"a", "b", "c", "d"} {
		p.Send(epoch, Request{ID: id, Prompt: 100, Output: 100}, 0, nil)
	}
	p.Send(epoch, Request{ID: "later", Prompt: 100, Output: 10, Urgency: 9}, 0, nil)
	p.Send(epoch, Request{ID: "sooner", Prompt: 100, Output: 10, Urgency: 1}, 0, nil)
	events := drain(p)
	is.True(events["a"][9].At.Before(events["sooner"][0].At))
	is.True(!events["later"][0].At.Before(events["sooner"][0].At))
}

// Guards against responses that outgrow the memory: the newest request must be queued and prefilled again.
func TestNewestIsPreemptedWithoutMemory(t *testing.T) {
	is := is.New(t)
	declared := testEngine()
	declared.Memory = 2050
	p := NewPool(declared, 1)
	p.Send(epoch, Request{ID: "old", Prompt: 1000, Output: 100}, 0, nil)
	p.Send(epoch, Request{ID: "new", Prompt: 1000, Output: 100}, 0, nil)
	events := drain(p)
	is.Equal(len(events["old"]), 10)
	is.Equal(len(events["new"]), 10)
	is.True(events["old"][9].At.Before(events["new"][9].At))
}

// Guards against requests that go on after they were cancelled.
func TestCancelledRequestProducesNothing(t *testing.T) {
	is := is.New(t)
	p := NewPool(testEngine(), 2)
	p.Send(epoch, Request{ID: "a", Prompt: 50_000, Output: 100}, 0, []int{1})
	p.Cancel("a")
	is.Equal(len(drain(p)), 0)
}
