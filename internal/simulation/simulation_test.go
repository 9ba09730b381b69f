package simulation

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/placement"
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
