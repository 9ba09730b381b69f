package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes the results as tables. Values are means over the seeds, with the lowest and highest in
// brackets.
func WriteText(w io.Writer, policies []Policy) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "Time to first token, simulated seconds")
	fmt.Fprintln(t, "experiment\tpolicy\tvariant\tclass\trequests\tcompleted\tp50\tp95\tp99\tp95/idle\trefused\tfailed")
	for _, p := range policies {
		for _, variant := range []string{AllArrivals, WithoutLong} {
			writeClasses(t, p, variant)
		}
	}
	fmt.Fprintln(t, "\nTime between tokens, simulated milliseconds")
	fmt.Fprintln(t, "experiment\tpolicy\tvariant\tclass\tp50\tp95\tp99")
	for _, p := range policies {
		for _, variant := range []string{AllArrivals, WithoutLong} {
			writeBetweenTokens(t, p, variant)
		}
	}
	fmt.Fprintln(t, "\nSlowdown by long requests: time to first token with them over without them")
	fmt.Fprintln(t, "experiment\tpolicy\tclass\trequest p50\trequest p95\trequest p99\tratio of p95")
	for _, p := range policies {
		writeSlowdowns(t, p)
	}
	fmt.Fprintln(t, "\nWhole runs with all arrivals")
	fmt.Fprintln(t, "experiment\tpolicy\trequests/s\ttokens/s\twasted %\tcached tokens\timbalance\theld after")
	for _, p := range policies {
		writeRuns(t, p)
	}
	fmt.Fprintln(t, "\nWasted tokens by cause, % of the computed ones")
	fmt.Fprintln(t, "experiment\tpolicy\tcause\twasted %")
	for _, p := range policies {
		writeWaste(t, p)
	}
	return t.Flush()
}

func writeWaste(w io.Writer, p Policy) {
	runs := p.runsOf(AllArrivals)
	causes := make(map[string]bool)
	for _, r := range runs {
		for cause := range r.WastedBy {
			causes[cause] = true
		}
	}
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		share := spreadOf(runs, func(r Run) float64 { return 100 * float64(r.WastedBy[cause]) / float64(max(1, r.Computed)) })
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", p.Experiment, p.Policy, cause, share.text("%.2f"))
	}
}

func writeClasses(w io.Writer, p Policy, variant string) {
	for _, name := range p.classNames(variant) {
		classes := p.classResults(variant, name)
		ttft := func(quantile func(Quantiles) float64) string {
			return spreadOf(classes, func(c Class) float64 { return quantile(c.FirstToken) }).text("%.3f")
		}
		requests, completed := 0, 0
		for _, c := range classes {
			requests += c.Requests
			completed += c.Completed
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Experiment, p.Policy, variant, name,
			requests, completed, ttft(p50), ttft(p95), ttft(p99), spreadOf(classes, idleRatio).text("%.2f"),
			formatReasons(classes, func(c Class) map[string]int { return c.Refused }),
			formatReasons(classes, func(c Class) map[string]int { return c.Failed }))
	}
}

func writeBetweenTokens(w io.Writer, p Policy, variant string) {
	for _, name := range p.classNames(variant) {
		classes := p.classResults(variant, name)
		milliseconds := func(quantile func(Quantiles) float64) string {
			return spreadOf(classes, func(c Class) float64 { return 1000 * quantile(c.BetweenTokens) }).text("%.1f")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Experiment, p.Policy, variant, name,
			milliseconds(p50), milliseconds(p95), milliseconds(p99))
	}
}

// idleRatio returns the 95th percentile of the time to first token, divided by that of the idle prefill.
func idleRatio(c Class) float64 {
	if c.Idle.P95 == 0 {
		return 0
	}
	return c.FirstToken.P95 / c.Idle.P95
}

func (p Policy) classNames(variant string) []string {
	var names []string
	for _, r := range p.runsOf(variant) {
		for _, c := range r.Classes {
			if !slices.Contains(names, c.Name) && c.Requests > 0 {
				names = append(names, c.Name)
			}
		}
	}
	return names
}

func writeSlowdowns(w io.Writer, p Policy) {
	var names []string
	for _, s := range p.Slowdowns {
		if !slices.Contains(names, s.Class) {
			names = append(names, s.Class)
		}
	}
	for _, name := range names {
		list := slices.DeleteFunc(slices.Clone(p.Slowdowns), func(s Slowdown) bool { return s.Class != name })
		spread := func(value func(Slowdown) float64) string { return spreadOf(list, value).text("%.2f") }
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Experiment, p.Policy, name,
			spread(func(s Slowdown) float64 { return s.Requests.P50 }),
			spread(func(s Slowdown) float64 { return s.Requests.P95 }),
			spread(func(s Slowdown) float64 { return s.Requests.P99 }),
			spread(func(s Slowdown) float64 { return s.P95 }))
	}
}

func writeRuns(w io.Writer, p Policy) {
	runs := p.runsOf(AllArrivals)
	spread := func(format string, value func(Run) float64) string { return spreadOf(runs, value).text(format) }
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Experiment, p.Policy,
		spread("%.2f", func(r Run) float64 { return r.Goodput }),
		spread("%.0f", func(r Run) float64 { return r.TokenGoodput }),
		spread("%.2f", func(r Run) float64 { return 100 * float64(r.Wasted) / float64(max(1, r.Computed)) }),
		spread("%.0f", func(r Run) float64 { return float64(r.Cached) }),
		spread("%.2f", func(r Run) float64 { return r.Imbalance }),
		spread("%.0f", func(r Run) float64 { return float64(r.HeldAfter) }))
}

func p50(q Quantiles) float64 { return q.P50 }
func p95(q Quantiles) float64 { return q.P95 }
func p99(q Quantiles) float64 { return q.P99 }

func (s Spread) text(format string) string {
	return fmt.Sprintf(format+" ["+format+", "+format+"]", s.Mean, s.Min, s.Max)
}

// formatReasons returns the counts of all runs by reason.
func formatReasons(classes []Class, counts func(Class) map[string]int) string {
	sums := make(map[string]int)
	for _, c := range classes {
		for reason, n := range counts(c) {
			sums[reason] += n
		}
	}
	if len(sums) == 0 {
		return "0"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(sums)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, sums[reason]))
	}
	return strings.Join(parts, ", ")
}
