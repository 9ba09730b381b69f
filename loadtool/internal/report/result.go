// Package report holds the results of runs and writes them as JSON, as a text table and as plots.
package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

// File means that a report could not be read or written.
const File Kind = "file"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Variants of a run.
const (
	// AllArrivals is a run with all arrivals.
	AllArrivals = "all"
	// WithoutLong is a run without the arrivals of long classes.
	WithoutLong = "without-long"
)

// Policy is the result of one policy in one experiment. All times are simulated seconds.
type Policy struct {
	Experiment string `json:"experiment"`
	Policy     string `json:"policy"`
	Runs       []Run  `json:"runs"`
	// Slowdowns compares, for each seed, the run with all arrivals to the one without long ones.
	Slowdowns []Slowdown `json:"slowdowns"`
	// Distributions has the time to first token of each class over all seeds, for plots.
	Distributions map[string][]Point `json:"distributions"`
	// TokenDistributions has the inter-token latency of each class over all seeds, for plots.
	TokenDistributions map[string][]Point `json:"token-distributions"`
}

// Run is the result of one seed in one variant.
type Run struct {
	Seed    uint64  `json:"seed"`
	Variant string  `json:"variant"`
	Classes []Class `json:"classes"`
	// Goodput is the number of completed requests per second, TokenGoodput that of their prompt and output
	// tokens.
	Goodput      float64 `json:"goodput"`
	TokenGoodput float64 `json:"token-goodput"`
	// Wasted is the number of tokens that engines computed for attempts that ended early, Computed that of
	// all computed tokens.
	Wasted int `json:"wasted-tokens"`
	// WastedBy splits Wasted by the outcome of the request and the progress of its attempt.
	WastedBy map[string]int `json:"wasted-by-cause"`
	Computed int            `json:"computed-tokens"`
	Cached   int            `json:"cached-tokens"`
	// Imbalance is the largest number of prompt tokens that an engine computed, divided by the mean of all
	// engines.
	Imbalance float64 `json:"imbalance"`
	// HeldAfter is the number of tokens still reserved at the engines some seconds after the last response.
	HeldAfter int `json:"held-after-tokens"`
}

// Class is the result of a length class in a run.
type Class struct {
	Name      string `json:"name"`
	Requests  int    `json:"requests"`
	Completed int    `json:"completed"`
	// Refused and Failed count the other requests by reason. Refused requests got an error before the first
	// token; failed ones failed after it or got no response.
	Refused map[string]int `json:"refused"`
	Failed  map[string]int `json:"failed"`
	// FirstToken is the time to first token. A request that got no token within its time limit counts with
	// the time limit; a refused one does not count.
	FirstToken Quantiles `json:"first-token"`
	// BetweenTokens is the inter-token latency. The time between two events is divided equally among the
	// tokens of the later event.
	BetweenTokens Quantiles `json:"between-tokens"`
	// Idle is the prefill time of the same prompts on an idle engine with an empty cache.
	Idle Quantiles `json:"idle-prefill"`
}

// Quantiles are quantiles of simulated seconds or of ratios.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Slowdown is the ratio of two times to first token of a class that is not long: the time with all
// arrivals, divided by the time without the long ones.
type Slowdown struct {
	Seed  uint64 `json:"seed"`
	Class string `json:"class"`
	// Requests are the quantiles over the ratio of each request, P95 is the ratio of the 95th percentiles.
	Requests Quantiles `json:"requests"`
	P95      float64   `json:"p95-ratio"`
}

// Point is a point of a cumulative distribution.
type Point struct {
	Quantile float64 `json:"quantile"`
	Seconds  float64 `json:"seconds"`
}

const (
	maxLatency        = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns a histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, significantDigits)
}

// Record adds a latency; values outside the range are clamped.
func Record(h *hdrhistogram.Histogram, d time.Duration) {
	RecordEach(h, d, 1)
}

// RecordEach adds a latency the given number of times.
func RecordEach(h *hdrhistogram.Histogram, d time.Duration, times int) {
	_ = h.RecordValues(min(max(1, d.Microseconds()), maxLatency), int64(times))
}

// HistogramQuantiles returns the quantiles of a histogram of microseconds.
func HistogramQuantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Distribution returns the points of a histogram of microseconds at each percent and each tenth of a
// percent above 99.
func Distribution(h *hdrhistogram.Histogram) []Point {
	var points []Point
	add := func(q float64) {
		points = append(points, Point{Quantile: q / 100, Seconds: float64(h.ValueAtQuantile(q)) / 1e6})
	}
	for q := 1; q < 99; q++ {
		add(float64(q))
	}
	for q := 990; q < 1000; q++ {
		add(float64(q) / 10)
	}
	return points
}

// ListQuantiles returns the quantiles of a list by the nearest-rank method.
func ListQuantiles(list []float64) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(list))
	at := func(percent int) float64 {
		rank := (len(sorted)*percent + 99) / 100
		return sorted[max(1, rank)-1]
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Spread is the mean and the range of a value over several seeds.
type Spread struct {
	Mean, Min, Max float64
}

func spreadOf[T any](list []T, value func(T) float64) Spread {
	if len(list) == 0 {
		return Spread{}
	}
	s := Spread{Min: value(list[0]), Max: value(list[0])}
	for _, item := range list {
		v := value(item)
		s.Mean += v / float64(len(list))
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	return s
}

// runsOf returns the runs of a variant.
func (p Policy) runsOf(variant string) []Run {
	return slices.DeleteFunc(slices.Clone(p.Runs), func(r Run) bool { return r.Variant != variant })
}

// classResults returns the results of the class of that name in each run of a variant.
func (p Policy) classResults(variant, name string) []Class {
	var list []Class
	for _, r := range p.runsOf(variant) {
		for _, c := range r.Classes {
			if c.Name == name {
				list = append(list, c)
			}
		}
	}
	return list
}

func sortPolicies(list []Policy) {
	slices.SortFunc(list, func(a, b Policy) int {
		return cmp.Or(cmp.Compare(a.Experiment, b.Experiment), cmp.Compare(a.Policy, b.Policy))
	})
}
