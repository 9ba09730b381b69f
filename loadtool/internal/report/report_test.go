package report_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/report"
)

// Guards against quantiles that are off by a rank.
func TestQuantiles(t *testing.T) {
	is := is.New(t)
	h := report.NewHistogram()
	var list []float64
	for i := 1; i <= 100; i++ {
		report.Record(h, time.Duration(i)*time.Millisecond)
		list = append(list, float64(i))
	}
	is.Equal(report.ListQuantiles(list), report.Quantiles{P50: 50, P95: 95, P99: 99})
	is.Equal(report.ListQuantiles(nil), report.Quantiles{})
	got := report.HistogramQuantiles(h)
	for _, pair := range [][2]float64{{got.P50, 0.050}, {got.P95, 0.095}, {got.P99, 0.099}} {
		is.True(pair[0] >= pair[1] && pair[0] < pair[1]*1.001) // three significant digits
	}
}

// Guards against a summary that loses the results of earlier policies, or has wrong means or ranges.
func TestSave(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	run := func(seed uint64, p95 float64) report.Run {
		return report.Run{Seed: seed, Variant: report.AllArrivals, Classes: []report.Class{{
			Name: "short", Requests: 10, Completed: 8, Refused: map[string]int{"overloaded": 2},
			FirstToken:    report.Quantiles{P50: 1, P95: p95, P99: 9},
			BetweenTokens: report.Quantiles{P50: 0.033, P95: p95 / 100, P99: 0.5},
		}}}
	}
	for _, name := range []string{"round-robin", "entry"} {
		is.NoErr(report.Save(directory, report.Policy{
			Experiment: "mixed", Policy: name, Runs: []report.Run{run(1, 2), run(2, 4)},
			Slowdowns:          []report.Slowdown{{Seed: 1, Class: "short", P95: 1.5}},
			Distributions:      map[string][]report.Point{"short": {{Quantile: 0.5, Seconds: 0}, {Quantile: 0.9, Seconds: 2}}},
			TokenDistributions: map[string][]report.Point{"short": {{Quantile: 0.5, Seconds: 0.033}}},
		}))
	}
	summary, err := os.ReadFile(filepath.Join(directory, "summary.txt"))
	is.NoErr(err)
	for _, want := range []string{"round-robin", "entry", "3.000 [2.000, 4.000]", "overloaded 4", "30.0 [20.0, 40.0]", "1.50 [1.50, 1.50]"} {
		is.True(strings.Contains(string(summary), want))
	}
	for _, name := range []string{"mixed.short.png", "mixed.short.between-tokens.png"} {
		image, err := os.ReadFile(filepath.Join(directory, name))
		is.NoErr(err)
		is.True(strings.HasPrefix(string(image), "\x89PNG"))
	}
}
