package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/caller"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/experiment"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/report"
)

func sample() experiment.Experiment {
	return experiment.Experiment{
		Capacity: experiment.Capacity{PrefillRate: 1000},
		Duration: 100 * time.Second, WarmUp: 20 * time.Second, Speed: 10, TimeLimit: 60 * time.Second,
		Classes: []experiment.Class{{Name: "short"}, {Name: "long", Long: true}},
	}
}

// Guards against latencies in real instead of simulated time, against counting requests of the warm-up, and
// against leaving out requests that exceeded their time limit, which would make a policy look fast.
func TestCollector(t *testing.T) {
	is := is.New(t)
	c := newCollector(sample())
	arrival := func(number, class int, seconds time.Duration) experiment.Arrival {
		return experiment.Arrival{PromptTokens: 500, Number: number, Class: class, At: seconds * time.Second}
	}
	c.add(arrival(0, 0, 10), caller.Result{TimeToFirstToken: time.Hour}) // warm-up
	c.add(arrival(1, 0, 30), caller.Result{
		TimeToFirstToken: 100 * time.Millisecond, PromptTokens: 700, OutputTokens: 100,
		EventGaps: []caller.EventGap{{Duration: 16 * time.Millisecond, Tokens: 4}, {Duration: 30 * time.Millisecond, Tokens: 1}},
	})
	c.add(arrival(2, 0, 40), caller.Result{Reason: caller.TimeLimit})
	c.add(arrival(3, 0, 50), caller.Result{Reason: "overloaded", Refused: true})
	c.add(arrival(4, 1, 60), caller.Result{Reason: caller.Truncated, TimeToFirstToken: time.Second})
	result := c.result()
	short := result.summary.Classes[0]
	is.Equal(short.Requests, 3)
	is.Equal(short.Completed, 1)
	is.Equal(short.Refused, map[string]int{"overloaded": 1})
	is.Equal(short.Failed, map[string]int{caller.TimeLimit: 1})
	is.True(short.Idle.P50 >= 0.5 && short.Idle.P50 < 0.501) // three significant digits
	// Four tokens of 40 ms and one of 300 ms.
	is.True(short.BetweenTokens.P50 >= 0.040 && short.BetweenTokens.P50 < 0.0401)
	is.True(short.BetweenTokens.P99 >= 0.300 && short.BetweenTokens.P99 < 0.301)
	is.Equal(result.ttfts, map[int]time.Duration{1: time.Second, 2: 60 * time.Second, 4: 10 * time.Second})
	is.Equal(result.summary.Goodput, 1.0/80)
	is.Equal(result.summary.TokenGoodput, 10.0)
}

// Guards against a slowdown that compares different requests or includes the long ones.
func TestSlowdowns(t *testing.T) {
	is := is.New(t)
	e := sample()
	e.Rate = 1
	e.Classes = []experiment.Class{
		{Name: "short", Share: 1, Prompt: experiment.Range{Min: 1, Max: 1}, Output: experiment.Range{Min: 1, Max: 1}},
		{Name: "long", Share: 1, Prompt: experiment.Range{Min: 1, Max: 1}, Output: experiment.Range{Min: 1, Max: 1}, Long: true},
	}
	e.Workspaces = []experiment.Workspace{{Name: "w", Share: 1}}
	resultOf := func(factor time.Duration, p95 float64) *runResult {
		result := &runResult{ttfts: make(map[int]time.Duration)}
		for _, a := range e.Arrivals(1) {
			result.ttfts[a.Number] = time.Duration(a.Number+1) * factor
		}
		result.summary.Classes = []report.Class{{FirstToken: report.Quantiles{P95: p95}}, {}}
		return result
	}
	r := &runner{Config: Config{Experiment: e}}
	list := r.slowdowns(1, resultOf(3, 6), resultOf(2, 4))
	is.Equal(len(list), 1)
	is.Equal(list[0], report.Slowdown{
		Seed: 1, Class: "short", P95: 1.5, Requests: report.Quantiles{P50: 1.5, P95: 1.5, P99: 1.5},
	})
}

// Guards against counting the work of earlier runs in this one.
func TestAddWork(t *testing.T) {
	is := is.New(t)
	var run report.Run
	addWork(&run,
		[]totals{{Prefill: 100, Output: 10, Wasted: 7, Early: []early{{"old", true, 7}}}, {Prefill: 200, Cached: 1}},
		[]totals{{Prefill: 400, Output: 20, Wasted: 9, Early: []early{{"old", true, 7}, {"a", true, 1}, {"b", false, 1}}}, {
			Prefill: 300, Cached: 5, Wasted: 6, Early: []early{{"c", true, 4}, {"c", true, 2}},
		}},
		map[string]string{"a": "", "c": caller.TimeLimit})
	is.Equal(run, report.Run{Computed: 410, Cached: 4, Wasted: 8, Imbalance: 1.5, WastedBy: map[string]int{
		"replaced after first token": 1, "unanswered in prefill": 1, "time-limit after first token": 6,
	}})
}
