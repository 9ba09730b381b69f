// Package burn measures service-level objectives on the entries and reports how fast their error
// budgets burn. The method is that of multiwindow burn rates in "The Site Reliability Workbook"
// (Beyer and others, 2018), chapter 5.
package burn

import (
	"fmt"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Invalid means that a report cannot be written as asked.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Metric is what an objective bounds.
type Metric int

const (
	// TTFT is the time to first token.
	TTFT Metric = iota
	// InterToken is the mean time between tokens.
	InterToken
	// Slowdown is the time to first token of a request while long ones run, over the mean without them.
	Slowdown
	// Success is the share of requests that ended without an error of the system.
	Success
	metrics
)

var metricNames = [metrics]string{"ttft", "inter-token", "slowdown", "success"}

// String returns the name of the metric.
func (m Metric) String() string {
	return metricNames[m]
}

// LongClass is the length class whose requests slow others down.
const LongClass = "long"

// Objective bounds the requests of one length class, of all workspaces or of one.
type Objective struct {
	// Workspace is empty for the objective of all workspaces without one of their own.
	Workspace string `json:"workspace,omitempty"`
	Class     string `json:"class"`
	// TTFT and InterToken bound the times; 0 means no objective.
	TTFT       time.Duration `json:"ttft-ns"`
	InterToken time.Duration `json:"inter-token-ns"`
	// Slowdown bounds the factor by which long requests may delay the first token; 0 means no objective.
	Slowdown float64 `json:"slowdown"`
	// Target is the share of requests that meet the bounds, SuccessTarget the share that succeed.
	Target        float64 `json:"target"`
	SuccessTarget float64 `json:"success-target"`
}

// target is the share of good requests that the objective asks for.
func (o Objective) target(m Metric) float64 {
	if m == Success {
		return o.SuccessTarget
	}
	return o.Target
}

// bound returns what the objective asks of a metric, as reports print it.
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

// scope names the requests that the objective is for: those of its class or of its workspace.
func (o Objective) scope() string {
	if o.Workspace == "" {
		return "class"
	}
	return "workspace"
}

// DefaultObjectives follow section 4 of docs/design.md for short requests. They hold for what the
// settings of the entries leave out.
func DefaultObjectives() []Objective {
	return []Objective{
		{Class: "short", TTFT: 330 * time.Millisecond, InterToken: 33 * time.Millisecond, Slowdown: 1.2, Target: 0.95, SuccessTarget: 0.999},
		{Class: "medium", TTFT: 3 * time.Second, InterToken: 50 * time.Millisecond, Target: 0.95, SuccessTarget: 0.999},
		{Class: LongClass, TTFT: 60 * time.Second, InterToken: 100 * time.Millisecond, Target: 0.95, SuccessTarget: 0.999},
	}
}

// windows are the times over which burn rates are reported.
var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Windows returns the times over which burn rates are reported, shortest first.
func Windows() []time.Duration {
	return windows[:]
}

const longestWindow = 72 * time.Hour
