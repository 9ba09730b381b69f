package placement

import (
	"slices"
	"time"
)

const (
	// maxPauses bounds the pauses that are kept for one stream.
	maxPauses = 64
	// undisturbedQuantile is the divisor of the quantile that is taken as the undisturbed pause: the shortest eighth of the
	// pauses counts as free of other work.
	undisturbedQuantile = 8
)

// PauseRecorder records the pauses between the events of one stream.
type PauseRecorder struct {
	last   time.Time
	pauses []time.Duration
}

// RecordEvent records an event and reports whether it is the first one.
func (r *PauseRecorder) RecordEvent(now time.Time) (first bool) {
	first = r.last.IsZero()
	if !first && len(r.pauses) < maxPauses {
		r.pauses = append(r.pauses, now.Sub(r.last))
	}
	r.last = now
	return first
}

// UndisturbedPause returns the pause between events while the engine prefills no prompts, or 0 if too few events were
// recorded. Longer pauses, in which the engine prefills prompts of other requests, do not show its own speed.
func (r *PauseRecorder) UndisturbedPause() time.Duration {
	if len(r.pauses) < undisturbedQuantile {
		return 0
	}
	slices.Sort(r.pauses)
	return r.pauses[len(r.pauses)/undisturbedQuantile]
}
