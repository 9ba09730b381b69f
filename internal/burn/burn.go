// Package burn measures service-level objectives on the entries and reports the burn rates of their error
// budgets. It uses the multiwindow burn rates of "The Site Reliability Workbook" (Beyer and others, 2018),
// chapter 5.
package burn

import (
	"fmt"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Invalid means that a report cannot be written in the requested format.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Metric is a measured quantity that an objective sets a limit on.
type Metric int

const (
	// TTFT is the time to first token.
	TTFT Metric = iota
	// InterToken is the mean inter-token latency of a request.
	InterToken
	// Slowdown is the time to first token of a request while long requests run, divided by the mean without
	// them.
	Slowdown
	// Success is whether a request ended without an error of the system.
	Success
	metricCount
)

var metricNames = [metricCount]string{"ttft", "inter-token", "slowdown", "success"}

// String returns the name of the metric.
func (m Metric) String() string {
	return metricNames[m]
}

// LongClass is the length class whose effect on other requests the metric Slowdown measures.
const LongClass = "long"

// Objective is a service-level objective for the requests of one length class, of one workspace or of all.
type Objective struct {
	// Workspace is empty for the objective of all workspaces that have none of their own.
	Workspace string `json:"workspace,omitempty"`
	Class     string `json:"class"`
	// TTFT and InterToken are the maximum times; 0 means no objective.
	TTFT       time.Duration `json:"ttft-ns"`
	InterToken time.Duration `json:"inter-token-ns"`
	// Slowdown is the maximum factor by which long requests may delay the first token; 0 means no objective.
	Slowdown float64 `json:"slowdown"`
	// Target is the share of requests that must meet the limits, SuccessTarget the share that must succeed.
	Target        float64 `json:"target"`
	SuccessTarget float64 `json:"success-target"`
}

// target returns the share of good requests that the objective requires for a metric.
func (o Objective) target(m Metric) float64 {
	if m == Success {
		return o.SuccessTarget
	}
	return o.Target
}

// bound returns the limit that the objective sets on a metric, as reports print it.
func (o Objective) bound(m Metric) string {
	switch m {
	case TTFT:
		return o.TTFT.String()
	case InterToken:
		return o.InterToken.String()
	case Slowdown:
		return fmt.Sprintf("%gx", o.Slowdown)
	default:
		return "no error"
	}
}

// scope returns what the objective applies to: a whole length class or a single workspace.
func (o Objective) scope() string {
	if o.Workspace == "" {
		return "class"
	}
	return "workspace"
}

// DefaultObjectives returns the objectives for the classes that the settings of the entries leave out.
// Those for short requests follow section 4 of docs/design.md.
func DefaultObjectives() []Objective {
	return []Objective{
		{Class: "short", TTFT: 330 * time.Millisecond, InterToken: 33 * time.Millisecond, Slowdown: 1.2, Target: 0.95, SuccessTarget: 0.999},
		{Class: "medium", TTFT: 3 * time.Second, InterToken: 50 * time.Millisecond, Target: 0.95, SuccessTarget: 0.999},
		{Class: LongClass, TTFT: 60 * time.Second, InterToken: 100 * time.Millisecond, Target: 0.95, SuccessTarget: 0.999},
	}
}

// windows are the time windows of burn rates, shortest first.
var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Windows returns the time windows of burn rates, shortest first.
func Windows() []time.Duration {
	return windows[:]
}

const longestWindow = 72 * time.Hour
