package placement

import (
	"slices"
	"time"
)

const (
	// maxPauses bounds the pauses that are kept of one stream.
	maxPauses = 64
	// undisturbedQuantile is the part of the pauses, as a divisor, that counts as free of other work.
	undisturbedQuantile = 8
)

// Rhythm keeps the pauses between the events of one stream.
type Rhythm struct {
	last   time.Time
	pauses []time.Duration
}

// Beat notes an event and reports whether it is the first one.
func (r *Rhythm) Beat(now time.Time) (first bool) {
	first = r.last.IsZero()
	if !first && len(r.pauses) < maxPauses {
		r.pauses = append(r.pauses, now.Sub(r.last))
	}
	r.last = now
	return first
}

// Undisturbed is the pause between events while the engine reads no prompts, 0 when it is not known. Longer pauses,
// in which prompts of other requests are read, say nothing of the engine's own pace.
func (r *Rhythm) Undisturbed() time.Duration {
	if len(r.pauses) < undisturbedQuantile {
		return 0
	}
	slices.Sort(r.pauses)
	return r.pauses[len(r.pauses)/undisturbedQuantile]
}
