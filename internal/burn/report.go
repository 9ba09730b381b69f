package burn

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Series holds the counts of one workspace, class and metric, by window.
type Series struct {
	Workspace string              `json:"workspace"`
	Class     string              `json:"class"`
	Metric    string              `json:"metric"`
	Windows   [len(windows)]Count `json:"windows"`
}

// Report holds the counts of one or more entries.
type Report struct {
	Time       time.Time   `json:"time"`
	Objectives []Objective `json:"objectives"`
	// Mixed means that the merged reports have different objectives. Objectives are then those of the newest
	// report, while each entry counted by its own.
	Mixed  bool     `json:"mixed,omitempty"`
	Series []Series `json:"series"`
}

func (r *Report) sort() {
	slices.SortFunc(r.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Metric, b.Metric))
	})
}

// Merge adds up the counts of several reports. Objectives and time are those of the newest report.
func Merge(reports ...Report) Report {
	var merged Report
	index := make(map[Series]int) // position in merged.Series, by the series without its counts
	for _, report := range reports {
		merged.Mixed = merged.Mixed || report.Mixed ||
			len(merged.Objectives) > 0 && len(report.Objectives) > 0 && !slices.Equal(merged.Objectives, report.Objectives)
		if report.Time.After(merged.Time) {
			merged.Time, merged.Objectives = report.Time, report.Objectives
		}
		for _, line := range report.Series {
			key := line
			key.Windows = [len(windows)]Count{}
			i, known := index[key]
			if !known {
				index[key] = len(merged.Series)
				merged.Series = append(merged.Series, line)
				continue
			}
			for w := range line.Windows {
				merged.Series[i].Windows[w] = merged.Series[i].Windows[w].plus(line.Windows[w])
			}
		}
	}
	merged.sort()
	return merged
}

// allWorkspaces is the workspace name of the sum of all workspaces.
const allWorkspaces = "(all)"

// Total returns the report with the workspaces added up. Each request was counted by the objective of its
// workspace, while the burn rates of the sum are computed from the target of the class.
func (r Report) Total() Report {
	parts := make([]Report, 0, len(r.Series))
	for _, line := range r.Series {
		line.Workspace = allWorkspaces
		parts = append(parts, Report{Time: r.Time, Objectives: r.Objectives, Mixed: r.Mixed, Series: []Series{line}})
	}
	return Merge(parts...)
}

// ForWorkspace returns the report of one workspace.
func (r Report) ForWorkspace(workspace string) Report {
	var kept []Series
	for _, line := range r.Series {
		if line.Workspace == workspace {
			kept = append(kept, line)
		}
	}
	r.Series = kept
	var objectives []Objective
	for _, objective := range r.Objectives {
		if objective.Workspace == "" || objective.Workspace == workspace {
			objectives = append(objectives, objective)
		}
	}
	r.Objectives = objectives
	return r
}

// keepBusiest keeps the n series with the most requests in the longest window.
func (r *Report) keepBusiest(n int) {
	slices.SortStableFunc(r.Series, func(a, b Series) int {
		return cmp.Compare(b.Windows[len(windows)-1].Total, a.Windows[len(windows)-1].Total)
	})
	r.Series = r.Series[:n]
	r.sort()
}

// Rates returns the burn rates of a series by window: the share of bad requests divided by the share that
// the objective allows. At rate 1 the error budget of a window is used up exactly at its end. A window
// without requests has rate 0.
func (r Report) Rates(line Series) []float64 {
	rates := make([]float64, len(windows))
	objective, metric := r.objectiveFor(line)
	target := objective.target(metric)
	for i, count := range line.Windows {
		if count.Total > 0 && target > 0 && target < 1 {
			rates[i] = float64(count.Bad) / float64(count.Total) / (1 - target)
		}
	}
	return rates
}

// objectiveFor returns the objective that applies to a series, and its metric. The objective of the workspace
// takes precedence over that of the class; a class without an objective gets the zero objective.
func (r Report) objectiveFor(line Series) (Objective, Metric) {
	var found Objective
	for _, objective := range r.Objectives {
		if objective.Class == line.Class && (objective.Workspace == line.Workspace || objective.Workspace == "" && found.Class == "") {
			found = objective
		}
	}
	return found, Metric(slices.Index(metricNames[:], line.Metric))
}

// Worst returns the n series with the highest burn rate in any window, worst first.
func (r Report) Worst(n int) []Series {
	worst := slices.Clone(r.Series)
	slices.SortStableFunc(worst, func(a, b Series) int {
		return cmp.Compare(slices.Max(r.Rates(b)), slices.Max(r.Rates(a)))
	})
	return worst[:min(n, len(worst))]
}

// WriteText writes a table of burn rates, worst first, with the number of requests in the longest window.
func (r Report) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(out, "WORKSPACE\tCLASS\tMETRIC\tBOUND\tTARGET\tOBJECTIVE")
	for _, window := range windows {
		fmt.Fprint(out, "\t"+WindowName(window))
	}
	fmt.Fprintln(out, "\tREQUESTS")
	for _, line := range r.Worst(len(r.Series)) {
		objective, metric := r.objectiveFor(line)
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%g\t%s", line.Workspace, line.Class, line.Metric,
			objective.bound(metric), objective.target(metric), objective.scope())
		for _, rate := range r.Rates(line) {
			fmt.Fprintf(out, "\t%.2f", rate)
		}
		fmt.Fprintf(out, "\t%d\n", line.Windows[len(windows)-1].Total)
	}
	return fault.Wrap(out.Flush(), "write report", Invalid, "text")
}

// WindowName returns the usual short name of a window, such as 5m or 3d.
func WindowName(window time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case window%day == 0:
		return fmt.Sprintf("%dd", window/day)
	case window%time.Hour == 0:
		return fmt.Sprintf("%dh", window/time.Hour)
	default:
		return fmt.Sprintf("%dm", window/time.Minute)
	}
}

// jsonLine is a line of the JSON output: a series with its objective and burn rates.
type jsonLine struct {
	Series
	Bound  string             `json:"bound"`
	Target float64            `json:"target"`
	Scope  string             `json:"objective"`
	Burn   map[string]float64 `json:"burn"`
}

// WriteJSON writes one JSON object per series and line, worst first.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, line := range r.Worst(len(r.Series)) {
		rates := make(map[string]float64, len(windows))
		for i, rate := range r.Rates(line) {
			rates[WindowName(windows[i])] = rate
		}
		objective, metric := r.objectiveFor(line)
		if err := encoder.Encode(jsonLine{
			Series: line, Bound: objective.bound(metric), Target: objective.target(metric), Scope: objective.scope(), Burn: rates,
		}); err != nil {
			return fault.Wrap(err, "write report", Invalid, "JSON")
		}
	}
	return nil
}
