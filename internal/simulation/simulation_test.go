package simulation

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// meanCreditShare simulates the days of some seeds and returns the mean share of the credit that was earned.
func meanCreditShare(engines int, kinds []Kind, bursts []Burst, placer func() Placer) float64 {
	const seeds = 4
	sum := 0.0
	for seed := range uint64(seeds) {
		day := Day{Engine: testEngine(), Engines: engines, Arrivals: Draw(seed, testLength, kinds, bursts)}
		sum += Evaluate(Run(day, placer())).All.CreditShare()
	}
	return sum / seeds
}

func scheduler() Placer { return placement.NewScheduler(testEngine()) }

func leastRequests() Placer { return NewLeastRequests() }

// Guards against placement that earns less credit under bursts than choosing the engine with the fewest requests.
func TestPlacementBeatsLeastRequests(t *testing.T) {
	cases := map[string]struct {
		scale  float64
		bursts []Burst
		// gain is the least difference by which the scheduler must be ahead.
		gain float64
	}{
		"even load":                {scale: 2, gain: 0.2},
		"long, then short prompts": {scale: 1, bursts: longsThenShorts(), gain: 0.2},
		"more than can be served":  {scale: 2, bursts: longsThenShorts(), gain: 0.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			base := meanCreditShare(14, testKinds(c.scale), c.bursts, leastRequests)
			own := meanCreditShare(14, testKinds(c.scale), c.bursts, scheduler)
			t.Logf("least requests %.3f, scheduler %.3f", base, own)
			is.True(own >= base+c.gain)
		})
	}
}

// cellKinds returns a cell of a large deployment with a multiple of its usual load. The longest prompts need many engines at
// one moment.
func cellKinds(scale float64) []Kind {
	return []Kind{
		{Name: "short", Rate: 67 * scale, Prompt: 5000, Output: 1610, Spread: 0.7, Objective: 300 * time.Millisecond, MaxPause: 200 * time.Millisecond, Limit: 10 * time.Second, Credit: 1.3, LateCredit: 0.33},
		{Name: "middle", Rate: 7.2 * scale, Prompt: 45000, Output: 966, Spread: 0.5, Objective: 1500 * time.Millisecond, MaxPause: 500 * time.Millisecond, Limit: 10 * time.Second, Credit: 3.1, LateCredit: 0.79},
		{Name: "long", Rate: 1.64 * scale, Prompt: 300_000, Output: 560, Spread: 0.55, MaxPrompt: 1_000_000, Objective: 4 * time.Second, MaxPause: time.Second, Limit: 15 * time.Second, Credit: 26, LateCredit: 6.6},
	}
}

// shortsThenLongs returns a burst of short prompts, followed by one of long prompts and another one of short prompts.
func shortsThenLongs() []Burst {
	return []Burst{
		{Kind: "short", From: 2 * time.Second, To: 11500 * time.Millisecond, Factor: 2.4},
		{Kind: "long", From: 2 * time.Second, To: 11500 * time.Millisecond, Factor: 0.05},
		{Kind: "short", From: 12 * time.Second, To: 21500 * time.Millisecond, Factor: 0.34},
		{Kind: "long", From: 12 * time.Second, To: 21500 * time.Millisecond, Factor: 2.7},
		{Kind: "short", From: 23 * time.Second, To: 32500 * time.Millisecond, Factor: 2.4},
		{Kind: "long", From: 23 * time.Second, To: 32500 * time.Millisecond, Factor: 0.05},
	}
}

// Guards against the largest prompts of a kind being served less than half as often as the whole kind when more is asked
// than can be served, because engines go one by one to prompts that need fewer of them.
func TestLargestPromptsAreServed(t *testing.T) {
	const (
		seeds = 3
		scale = 1.6
	)
	is := is.New(t)
	var all, largest, larger Tally
	for seed := range uint64(seeds) {
		day := Day{Engine: testEngine(), Engines: 49, Arrivals: Draw(seed, testLength, cellKinds(scale), shortsThenLongs())}
		result := Evaluate(Run(day, scheduler()))
		all = all.Plus(result.Kinds["long"])
		largest = largest.Plus(result.Largest["long"])
		larger = larger.Plus(result.Larger["long"])
	}
	t.Logf("served: all %.2f, largest tenth %.2f, fifth below %.2f", all.ServedShare(), largest.ServedShare(), larger.ServedShare())
	is.True(largest.ServedShare() >= all.ServedShare()/2)
	is.True(larger.ServedShare() >= all.ServedShare()/2)
}

// Guards against requests that are refused, lost or late under a light load.
func TestCalmDayLosesNothing(t *testing.T) {
	is := is.New(t)
	day := Day{Engine: testEngine(), Engines: 14, Arrivals: Draw(1, testLength, testKinds(0.5), nil)}
	result := Evaluate(Run(day, scheduler()))
	is.Equal(result.All.Refused, 0)
	is.Equal(result.All.Lost, 0)
	is.True(result.All.CreditShare() >= 0.99)
}

// Guards against a slow engine that gets as many requests as the others.
func TestSlowEngineIsSpared(t *testing.T) {
	is := is.New(t)
	day := Day{
		Engine: testEngine(), Engines: 8, Arrivals: Draw(1, testLength, testKinds(0.5), nil),
		Slow: []Slowdown{{Engine: 0, From: 0, To: testLength, TimeFactor: 6}},
	}
	own := Evaluate(Run(day, scheduler())).All.CreditShare()
	base := Evaluate(Run(day, NewLeastRequests())).All.CreditShare()
	t.Logf("least requests %.3f, scheduler %.3f", base, own)
	is.True(own >= 0.9)
	is.True(own > base)
}

// Guards against simulations that give different results for the same seed.
func TestSameSeedSameDay(t *testing.T) {
	is := is.New(t)
	simulate := func() []Outcome {
		return Run(Day{Engine: testEngine(), Engines: 6, Arrivals: Draw(7, 10*time.Second, testKinds(1), nil)}, scheduler())
	}
	first, second := simulate(), simulate()
	is.Equal(len(first), len(second))
	for i := range first {
		a, b := first[i], second[i]
		a.Kind, b.Kind = nil, nil
		is.True(reflect.DeepEqual(a, b))
	}
}

// bidEngine and bidKinds are a cell of a deployment with slower engines, on which prompts of 260,000 tokens need several of
// them to be in time.
func bidEngine() routing.Engine {
	return routing.Engine{
		Slots: 12, Memory: 344_250, EventTokens: 38, Step: 1310 * time.Microsecond, StepPerRequest: 917 * time.Nanosecond,
		StepPerKiloToken: 2130 * time.Nanosecond, PrefillRate: 154_000, PrefillPerMegaPair: 162 * time.Microsecond, ChunkTokens: 2048,
	}
}

func bidKinds() []Kind {
	return []Kind{
		{Name: "short", Rate: 54, Prompt: 5000, Output: 1368, Spread: 0.7, Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, Limit: 10 * time.Second, Credit: 1.3, LateCredit: 0.34},
		{Name: "middle", Rate: 3.8, Prompt: 45_000, Output: 798, Spread: 0.5, Objective: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond, Limit: 10 * time.Second, Credit: 3.3, LateCredit: 0.82},
		{Name: "long", Rate: 1.24, Prompt: 260_000, Output: 684, Spread: 0.5, MaxPrompt: 1_000_000, Objective: 4 * time.Second, MaxPause: time.Second, Limit: 15 * time.Second, Credit: 34, LateCredit: 8.6},
	}
}

// Guards against short prompts that are late in a phase of short prompts, because they are packed on few engines beyond what
// these can read in time to keep others for long prompts, of which there are hardly any then. Nine tenths of their credit is
// what callers need there; while long prompts are far above what the engines can read, both kinds give way.
func TestPlacementFollowsTheMix(t *testing.T) {
	shortPhase := []Burst{{Kind: "short", To: testLength, Factor: 2.4}, {Kind: "middle", To: testLength, Factor: 0.5}, {Kind: "long", To: testLength, Factor: 0.05}}
	longPhase := []Burst{{Kind: "short", To: testLength, Factor: 0.34}, {Kind: "middle", To: testLength, Factor: 1.3}, {Kind: "long", To: testLength, Factor: 2.7}}
	cases := map[string]struct {
		bursts []Burst
		// least is the share of the credit of short prompts that callers need.
		least float64
	}{
		"short prompts": {shortPhase, 0.9},
		"long prompts":  {longPhase, 0.75},
		"both in turn":  {shortsThenLongs(), 0.9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var short, all, base Tally
			for seed := range uint64(2) {
				day := Day{Engine: bidEngine(), Engines: 39, Arrivals: Draw(seed, testLength, bidKinds(), c.bursts)}
				result := Evaluate(Run(day, placement.NewScheduler(bidEngine())))
				short, all = short.Plus(result.Kinds["short"]), all.Plus(result.All)
				base = base.Plus(Evaluate(Run(day, NewLeastRequests())).All)
			}
			t.Logf("short %.3f, all %.3f, least requests %.3f", short.CreditShare(), all.CreditShare(), base.CreditShare())
			is.True(short.CreditShare() >= c.least)
			is.True(all.CreditShare() > base.CreditShare())
		})
	}
}
