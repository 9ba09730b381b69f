package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// BlameTime is how long a crash counts, and thus how long a part stays blamed after its last crashes.
	BlameTime = 10 * time.Minute
	// threshold is the number of crashes that a blamed part must be a suspect of.
	threshold = 3
	// confirmTime is the time between the decision and its effect. Entries on which the part has been written since
	// its first crash object in this time.
	confirmTime = 500 * time.Millisecond
	// jointFailureTime is the time between two crashes below which they count once, because machines also fail
	// together.
	jointFailureTime = 250 * time.Millisecond
	// sameCrashTime is the time in which reports on one engine whose start is not known are about the same crash.
	sameCrashTime = 2 * time.Second

	// maxCrashes and maxSuspects bound the evidence.
	maxCrashes  = 128
	maxSuspects = 32
)

// State is the encoded state of a Store.
type State struct {
	Crashes []Crash `cbor:"1,keyasint"`
	Blames  []Blame `cbor:"2,keyasint"`
}

// Crash is the crash of one engine.
type Crash struct {
	Endpoint string    `cbor:"1,keyasint"`
	At       int64     `cbor:"2,keyasint"`
	Suspects []Suspect `cbor:"3,keyasint"`
	// Started is the start of the engine's incarnation in Unix milliseconds, or 0 if it is not known.
	Started int64 `cbor:"4,keyasint,omitempty"`
}

// Suspect is a part that may have caused a crash. Depth is its position in the prompt.
type Suspect struct {
	Part  string `cbor:"1,keyasint"`
	Depth int    `cbor:"2,keyasint"`
}

// isReported reports whether a report at a time is about this crash. An incarnation crashes once.
func (c Crash) isReported(report Report, now int64) bool {
	if c.Endpoint != report.Endpoint || c.Started != report.Started {
		return false
	}
	return c.Started != 0 || now-c.At < sameCrashTime.Milliseconds()
}

func (c Crash) suspects(part string) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Part == part })
}

// Store holds the crashes of the last BlameTime and the parts that are blamed for them. It has no clock: each method
// takes the time in Unix milliseconds. It is not safe for concurrent use.
type Store struct {
	crashes []Crash
	blames  []Blame
}

// NewStore returns a store with the given state.
func NewStore(s State) *Store {
	return &Store{crashes: s.Crashes, blames: s.Blames}
}

// State returns the state, which later calls do not change.
func (s *Store) State() State {
	return State{Crashes: slices.Clone(s.crashes), Blames: slices.Clone(s.blames)}
}

// Blames returns the parts that are blamed at a time or will be soon, ordered by their ids.
func (s *Store) Blames(now int64) []Blame {
	return slices.DeleteFunc(slices.Clone(s.blames), func(b Blame) bool { return b.Until <= now })
}

// Record adds a report to the evidence.
func (s *Store) Record(report Report, now int64) {
	s.expire(now)
	if len(report.Parts) == 0 {
		return
	}
	i := slices.IndexFunc(s.crashes, func(c Crash) bool { return c.isReported(report, now) })
	if i < 0 {
		s.crashes = append(s.crashes, Crash{Endpoint: report.Endpoint, Started: report.Started, At: now})
		i = len(s.crashes) - 1
	}
	s.crashes[i] = s.crashes[i].withSuspects(report.Parts)
	s.bound()
	s.decide(now)
}

// withSuspects returns the crash with further suspects, given in the order of their prompt.
func (c Crash) withSuspects(parts []string) Crash {
	c.Suspects = slices.Clone(c.Suspects)
	for depth, part := range parts {
		i := slices.IndexFunc(c.Suspects, func(s Suspect) bool { return s.Part == part })
		switch {
		case i >= 0:
			c.Suspects[i].Depth = max(c.Suspects[i].Depth, depth)
		case len(c.Suspects) < maxSuspects:
			c.Suspects = append(c.Suspects, Suspect{Part: part, Depth: depth})
		}
	}
	return c
}

// Clear removes the evidence against a part, because an engine has written on it since its first crash.
func (s *Store) Clear(part string, now int64) {
	s.expire(now)
	for i, c := range s.crashes {
		s.crashes[i].Suspects = slices.DeleteFunc(slices.Clone(c.Suspects), func(suspect Suspect) bool { return suspect.Part == part })
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return len(c.Suspects) == 0 })
	s.decide(now)
}

func (s *Store) expire(now int64) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return c.At+BlameTime.Milliseconds() <= now })
}

// bound drops the oldest crash that no blame rests on, and otherwise the oldest one, while there are too many.
func (s *Store) bound() {
	for len(s.crashes) > maxCrashes {
		i := slices.IndexFunc(s.crashes, func(c Crash) bool {
			return !slices.ContainsFunc(s.blames, func(b Blame) bool { return c.suspects(b.Part) })
		})
		i = max(i, 0)
		s.crashes = slices.Delete(s.crashes, i, i+1)
	}
}

// decide derives the blames from the evidence: the heaviest part is blamed for all crashes that it is a suspect of,
// then the heaviest of the crashes that are left, and so on.
func (s *Store) decide(now int64) {
	var blames []Blame
	unexplained := s.crashes
	for {
		blamed := heaviest(unexplained)
		if len(blamed) == 0 {
			break
		}
		for _, b := range blamed {
			b.From = now + confirmTime.Milliseconds()
			if i := slices.IndexFunc(s.blames, func(old Blame) bool { return old.Part == b.Part }); i >= 0 {
				b.From = s.blames[i].From
			}
			blames = append(blames, b)
		}
		unexplained = slices.DeleteFunc(slices.Clone(unexplained), func(c Crash) bool {
			return slices.ContainsFunc(blamed, func(b Blame) bool { return c.suspects(b.Part) })
		})
	}
	slices.SortFunc(blames, func(a, b Blame) int { return cmp.Compare(a.Part, b.Part) })
	s.blames = blames
}

// charge is what speaks against one part.
type charge struct {
	part  string
	depth int
	// crashes are the times of the crashes that it is a suspect of. Crashes at about the same time count once.
	crashes []int64
	// deeper is the number of these crashes that parts behind it explain, if they are blamed for enough crashes.
	deeper int
}

// explainedByDeeper reports whether parts behind this one explain most of its crashes. The prompts with a culprit also
// have the parts before it in common, which other prompts hold as well.
func (c *charge) explainedByDeeper() bool {
	return 3*c.deeper >= 2*len(c.crashes)
}

// heaviest returns the parts that explain the most crashes, if these are enough.
func heaviest(crashes []Crash) []Blame {
	charges := slices.DeleteFunc(collectCharges(crashes), func(c *charge) bool { return len(c.crashes) < threshold })
	countDeeper(charges, crashes)
	charges = slices.DeleteFunc(charges, (*charge).explainedByDeeper)
	if len(charges) == 0 {
		return nil
	}
	compare := func(a, b *charge) int {
		return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.depth, b.depth))
	}
	top := slices.MaxFunc(charges, compare)
	var blames []Blame
	for _, c := range charges {
		if compare(c, top) == 0 {
			// When the crashes up to this one have expired, fewer than threshold are left.
			last := c.crashes[len(c.crashes)-threshold]
			blames = append(blames, Blame{Part: c.part, Since: c.crashes[0], Until: last + BlameTime.Milliseconds()})
		}
	}
	return blames
}

// collectCharges returns the charges against all suspects. The crashes are in the order of their times.
func collectCharges(crashes []Crash) []*charge {
	byPart := make(map[string]*charge)
	var charges []*charge
	for _, c := range crashes {
		for _, suspect := range c.Suspects {
			found := byPart[suspect.Part]
			if found == nil {
				found = &charge{part: suspect.Part}
				byPart[suspect.Part] = found
				charges = append(charges, found)
			}
			found.depth = max(found.depth, suspect.Depth)
			if n := len(found.crashes); n == 0 || c.At >= found.crashes[n-1]+jointFailureTime.Milliseconds() {
				found.crashes = append(found.crashes, c.At)
			}
		}
	}
	return charges
}

// countDeeper sets the number of crashes of each charge that a deeper one explains.
func countDeeper(charges []*charge, crashes []Crash) {
	for _, c := range charges {
		deeper := slices.DeleteFunc(slices.Clone(charges), func(o *charge) bool { return o.depth <= c.depth })
		for _, at := range c.crashes {
			explained := slices.ContainsFunc(crashes, func(crash Crash) bool {
				return crash.At == at && crash.suspects(c.part) &&
					slices.ContainsFunc(deeper, func(o *charge) bool { return crash.suspects(o.part) })
			})
			if explained {
				c.deeper++
			}
		}
	}
}
