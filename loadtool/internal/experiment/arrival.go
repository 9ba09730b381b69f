package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is a request with its arrival time.
type Arrival struct {
	// Number identifies the arrival within its seed. It stays the same if long arrivals are left out.
	Number int
	// At is the simulated time since the start.
	At           time.Duration
	Class        int
	Workspace    int
	PromptTokens int
	MaxTokens    int
}

// Arrivals draws the arrivals of a seed: a Poisson process over the duration.
func (e Experiment) Arrivals(seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	rate := e.ArrivalRate()
	classes := newWeightedPicker(len(e.Classes), func(i int) float64 { return e.Classes[i].Share })
	workspaces := newWeightedPicker(len(e.Workspaces), func(i int) float64 { return e.Workspaces[i].Share })
	var arrivals []Arrival
	seconds := 0.0
	for {
		seconds += random.ExpFloat64() / rate
		at := time.Duration(seconds * float64(time.Second))
		if at >= e.Duration {
			return arrivals
		}
		class := classes.pick(random)
		arrivals = append(arrivals, Arrival{
			Number:       len(arrivals),
			At:           at,
			Class:        class,
			Workspace:    workspaces.pick(random),
			PromptTokens: e.Classes[class].Prompt.draw(random),
			MaxTokens:    e.Classes[class].Output.draw(random),
		})
	}
}

// draw returns a log-uniform random number in the range.
func (r Range) draw(random *rand.Rand) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	n := int(math.Round(math.Exp(low + random.Float64()*(high-low))))
	return min(max(n, r.Min), r.Max)
}

// mean returns the mean of the log-uniform distribution over the range.
func (r Range) mean() float64 {
	if r.Min == r.Max {
		return float64(r.Min)
	}
	low, high := float64(r.Min), float64(r.Max)
	return (high - low) / math.Log(high/low)
}

// weightedPicker draws indexes with a probability proportional to their weight.
type weightedPicker struct {
	// cumulative are the cumulative weights.
	cumulative []float64
}

func newWeightedPicker(n int, weight func(i int) float64) weightedPicker {
	p := weightedPicker{}
	total := 0.0
	for i := range n {
		total += weight(i)
		p.cumulative = append(p.cumulative, total)
	}
	return p
}

func (p weightedPicker) pick(random *rand.Rand) int {
	last := len(p.cumulative) - 1
	x := random.Float64() * p.cumulative[last]
	for i, bound := range p.cumulative {
		if x < bound {
			return i
		}
	}
	return last
}
