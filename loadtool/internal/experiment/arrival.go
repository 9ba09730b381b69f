package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one request.
type Arrival struct {
	// Number identifies the arrival within its seed, also when long ones are left out.
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
	classes := newPicker(len(e.Classes), func(i int) float64 { return e.Classes[i].Share })
	workspaces := newPicker(len(e.Workspaces), func(i int) float64 { return e.Workspaces[i].Share })
	var list []Arrival
	at := 0.0
	for {
		at += random.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when >= e.Duration {
			return list
		}
		class := classes.pick(random)
		list = append(list, Arrival{
			Number:       len(list),
			At:           when,
			Class:        class,
			Workspace:    workspaces.pick(random),
			PromptTokens: e.Classes[class].Prompt.draw(random),
			MaxTokens:    e.Classes[class].Output.draw(random),
		})
	}
}

// draw returns a log-uniform number of the range.
func (r Range) draw(random *rand.Rand) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	n := int(math.Round(math.Exp(low + random.Float64()*(high-low))))
	return min(max(n, r.Min), r.Max)
}

// mean is the mean of a log-uniform number of the range.
func (r Range) mean() float64 {
	if r.Min == r.Max {
		return float64(r.Min)
	}
	low, high := float64(r.Min), float64(r.Max)
	return (high - low) / math.Log(high/low)
}

// picker draws indexes by weight.
type picker struct {
	// bounds are the cumulated weights.
	bounds []float64
}

func newPicker(n int, weight func(i int) float64) picker {
	p := picker{}
	total := 0.0
	for i := range n {
		total += weight(i)
		p.bounds = append(p.bounds, total)
	}
	return p
}

func (p picker) pick(random *rand.Rand) int {
	last := len(p.bounds) - 1
	x := random.Float64() * p.bounds[last]
	for i, bound := range p.bounds {
		if x < bound {
			return i
		}
	}
	return last
}
