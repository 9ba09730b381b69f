package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Kind describes one class of requests in a simulated load.
type Kind struct {
	Name string
	// Rate is the mean number of requests per second.
	Rate float64
	// Prompt and Output are mean lengths in tokens; Spread is the standard deviation of the logarithm of both.
	Prompt int
	Output int
	Spread float64
	// MaxPrompt bounds the length of a prompt in tokens; 0 means no bound.
	MaxPrompt int
	// Objective is the time to the first event, and MaxPause the longest pause, up to which a request earns its full credit.
	// Limit is the time after which a caller disconnects.
	Objective time.Duration
	MaxPause  time.Duration
	Limit     time.Duration
	// Credit and LateCredit are the credits of a request of mean length that is served within its objective, and later.
	Credit     float64
	LateCredit float64
	Rank       routing.Rank
}

// Burst multiplies the rate of a kind for a time.
type Burst struct {
	Kind     string
	From, To time.Duration
	Factor   float64
}

// hintSpread is the standard deviation of the logarithm of the ratio between expected and actual output length.
const hintSpread = 0.4

// Draw returns random arrivals of a day, the same ones for the same seed.
func Draw(seed uint64, length time.Duration, kinds []Kind, bursts []Burst) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var arrivals []Arrival
	for i := range kinds {
		k := &kinds[i]
		peak := 1.0
		for _, b := range bursts {
			if b.Kind == k.Name {
				peak = max(peak, b.Factor)
			}
		}
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / (k.Rate * peak) * float64(time.Second))
			if at >= length {
				break
			}
			if random.Float64()*peak < rateFactor(bursts, k.Name, at) {
				arrivals = append(arrivals, k.draw(random, at))
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

func rateFactor(bursts []Burst, kind string, at time.Duration) float64 {
	product := 1.0
	for _, b := range bursts {
		if b.Kind == kind && at >= b.From && at < b.To {
			product *= b.Factor
		}
	}
	return product
}

func (k *Kind) draw(random *rand.Rand, at time.Duration) Arrival {
	// The mean of a log-normal distribution is the median times e to the power of shift.
	shift := k.Spread * k.Spread / 2
	length := func(mean int) int {
		return 1 + int(float64(mean)*math.Exp(k.Spread*random.NormFloat64()-shift))
	}
	output := length(k.Output)
	prompt := length(k.Prompt)
	if k.MaxPrompt > 0 {
		prompt = min(prompt, k.MaxPrompt)
	}
	return Arrival{
		At: at, Kind: k, Prompt: prompt, Output: output,
		ExpectedOutput: 1 + int(float64(output)*math.Exp(hintSpread*random.NormFloat64())),
	}
}
