package simulation

import (
	"cmp"
	"slices"
	"time"
)

const (
	// promptLengthShare is the part of a credit that grows with the length of the prompt, up to maxCreditFactor times the
	// credit.
	promptLengthShare = 0.7
	maxCreditFactor   = 4
	// windowLength is the length of the windows of which the worst worstWindows are evaluated separately.
	windowLength = 2 * time.Second
	worstWindows = 2
)

// possibleCredit returns the credit of a request that is served within its objective, and that of one served later.
func (a Arrival) possibleCredit() (full, late float64) {
	size := min(maxCreditFactor, 1-promptLengthShare+promptLengthShare*float64(a.Prompt)/float64(a.Kind.Prompt))
	return a.Kind.Credit * size, a.Kind.LateCredit * size
}

// earnedCredit returns the credit of an outcome.
func (o Outcome) earnedCredit() float64 {
	full, late := o.possibleCredit()
	switch {
	case !o.Complete:
		return 0
	case o.First <= o.Kind.Objective && o.Pause <= o.Kind.MaxPause:
		return full
	default:
		return late
	}
}

// Tally counts outcomes and sums their credits.
type Tally struct {
	Requests, InTime, Late, Refused, Lost int
	Earned, Possible                      float64
}

// CreditShare returns the share of the possible credit that was earned; 1 if there was none.
func (t Tally) CreditShare() float64 {
	if t.Possible == 0 {
		return 1
	}
	return t.Earned / t.Possible
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	t.Requests += o.Requests
	t.InTime += o.InTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Lost += o.Lost
	t.Earned += o.Earned
	t.Possible += o.Possible
	return t
}

func (t *Tally) add(o Outcome) {
	full, _ := o.possibleCredit()
	t.Requests++
	t.Possible += full
	t.Earned += o.earnedCredit()
	switch {
	case o.Refused:
		t.Refused++
	case !o.Complete:
		t.Lost++
	case o.earnedCredit() < full:
		t.Late++
	default:
		t.InTime++
	}
}

// ServedShare returns the share of the requests that were served, in time or late; 1 if there were none.
func (t Tally) ServedShare() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.InTime+t.Late) / float64(t.Requests)
}

// Result is the evaluation of a day: of all requests, by kind, and by window of arrival.
type Result struct {
	All   Tally
	Kinds map[string]Tally
	// Largest has the largest tenth of the prompts of each kind, Larger the fifth below it.
	Largest map[string]Tally
	Larger  map[string]Tally
	Window  []Tally
}

// Evaluate evaluates the outcomes of a day.
func Evaluate(outcomes []Outcome) Result {
	r := Result{Kinds: make(map[string]Tally), Largest: make(map[string]Tally), Larger: make(map[string]Tally)}
	byKind := make(map[string][]Outcome)
	for _, o := range outcomes {
		byKind[o.Kind.Name] = append(byKind[o.Kind.Name], o)
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
	for name, ofKind := range byKind {
		slices.SortStableFunc(ofKind, func(a, b Outcome) int { return cmp.Compare(b.Prompt, a.Prompt) })
		largest, larger := len(ofKind)/10, len(ofKind)*3/10
		r.Largest[name] = tallyOf(ofKind[:largest])
		r.Larger[name] = tallyOf(ofKind[largest:larger])
	}
	return r
}

func tallyOf(outcomes []Outcome) Tally {
	var t Tally
	for _, o := range outcomes {
		t.add(o)
	}
	return t
}

// WorstWindows returns the mean share of earned credit in the worst two windows.
func (r Result) WorstWindows() float64 {
	var shares []float64
	for _, w := range r.Window {
		shares = append(shares, w.CreditShare())
	}
	slices.Sort(shares)
	shares = shares[:min(worstWindows, len(shares))]
	sum := 0.0
	for _, w := range shares {
		sum += w
	}
	return sum / float64(max(1, len(shares)))
}
