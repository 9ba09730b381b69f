package simulation

import (
	"slices"
	"time"
)

const (
	// sizeShare is the part of a credit that grows with the length of the prompt, up to maxSize of the credit.
	sizeShare = 0.7
	maxSize   = 4
	// windowLength is the span of which the worst two are counted by themselves.
	windowLength = 2 * time.Second
	worstWindows = 2
)

// owed is the credit of a request that is served in time, late that of one which is served later.
func (a Arrival) owed() (full, late float64) {
	size := min(maxSize, 1-sizeShare+sizeShare*float64(a.Prompt)/float64(a.Kind.Prompt))
	return a.Kind.Worth * size, a.Kind.LateWorth * size
}

// earned is the credit of an outcome.
func (o Outcome) earned() float64 {
	full, late := o.owed()
	switch {
	case !o.Complete:
		return 0
	case o.First <= o.Kind.Objective && o.Pause <= o.Kind.MaxPause:
		return full
	default:
		return late
	}
}

// Tally counts outcomes and credits.
type Tally struct {
	Asked, InTime, Late, Refused, Lost int
	Earned, Owed                       float64
}

// Worth is the share of the credit that was earned; 1 if none was owed.
func (t Tally) Worth() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Earned / t.Owed
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	t.Asked += o.Asked
	t.InTime += o.InTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Lost += o.Lost
	t.Earned += o.Earned
	t.Owed += o.Owed
	return t
}

func (t *Tally) add(o Outcome) {
	full, _ := o.owed()
	t.Asked++
	t.Owed += full
	t.Earned += o.earned()
	switch {
	case o.Refused:
		t.Refused++
	case !o.Complete:
		t.Lost++
	case o.earned() < full:
		t.Late++
	default:
		t.InTime++
	}
}

// Result is what a day was worth.
type Result struct {
	All    Tally
	Kinds  map[string]Tally
	Window []Tally
}

// Judge counts the outcomes of a day.
func Judge(outcomes []Outcome) Result {
	r := Result{Kinds: make(map[string]Tally)}
	for _, o := range outcomes {
		r.All.add(o)
		kind := r.Kinds[o.Kind.Name]
		kind.add(o)
		r.Kinds[o.Kind.Name] = kind
		window := int(o.At / windowLength)
		for len(r.Window) <= window {
			r.Window = append(r.Window, Tally{})
		}
		r.Window[window].add(o)
	}
	return r
}

// Worst is the mean share of the worst two windows.
func (r Result) Worst() float64 {
	var worths []float64
	for _, w := range r.Window {
		worths = append(worths, w.Worth())
	}
	slices.Sort(worths)
	worths = worths[:min(worstWindows, len(worths))]
	sum := 0.0
	for _, w := range worths {
		sum += w
	}
	return sum / float64(max(1, len(worths)))
}
