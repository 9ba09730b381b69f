package placement

import (
	"slices"
	"time"
)

// passModel follows the passes of one engine. In a pass, an engine makes one event for each stream that decodes, and reads
// waiting prompts between the decode steps. A prompt that is read in one pass gets its first event at the end of the next
// one, so that it waits for all prompts that are read beside it.
type passModel struct {
	running bool
	// start and end are the expected times of the current pass.
	start, end time.Time
}

// reading is the progress of an engine with its part of a prompt.
type reading struct {
	// unread is in tokens, perToken the time to read one.
	unread   int
	perToken time.Duration
	// ending says that the current pass reads the last token, done that it has been read.
	ending, done bool
}

// passStartTolerance is the age of a pass up to which a first event counts to the pass before: reports take that long.
const passStartTolerance = 20 * time.Millisecond

// maxPassesBehind bounds the passes that are followed one by one. What an engine does after more of them is not known: a new
// one is assumed to start.
const maxPassesBehind = 32

// maxPass is far above the length of any pass.
const maxPass = time.Minute

// advancePasses follows the passes of an engine up to now.
func (s *Scheduler) advancePasses(now time.Time, r *replica) {
	for passes := 0; r.pass.running && !r.pass.end.After(now); passes++ {
		r.endPass()
		at := r.pass.end
		if passes >= maxPassesBehind {
			at = now
		}
		s.startPass(r, at)
	}
	if !r.pass.running {
		s.startPass(r, now)
	}
}

// endPass ends the current pass. The prompts that were read in it decode from the next one on.
func (r *replica) endPass() {
	r.pass.running = false
	for _, part := range r.jobParts {
		if part.reading.ending {
			part.reading.ending, part.reading.done = false, true
		}
	}
}

// startPass starts a pass at an engine if there is work.
func (s *Scheduler) startPass(r *replica, at time.Time) {
	streams, context := r.streamsInPass(false)
	duration := s.readInPass(r, streams > 0)
	if streams > 0 {
		duration += s.engine.DecodePassTime(streams, context)
	}
	// Entries may report any length of prompts and responses, of which the times overflow.
	duration = min(maxPass, max(0, duration))
	r.pass = passModel{running: duration > 0, start: at, end: at.Add(r.scaleBySlowdown(duration))}
}

// readInPass assigns prompts to the pass that starts and returns the time to read them. Without streams, a pass ends as soon
// as a prompt is read.
func (s *Scheduler) readInPass(r *replica, streams bool) (duration time.Duration) {
	budget := s.passBudget(streams)
	for _, part := range r.unreadParts() {
		tokens := min(part.reading.unread, budget)
		if tokens <= 0 {
			break
		}
		budget -= tokens
		part.reading.unread -= tokens
		part.reading.ending = part.reading.unread == 0
		duration += time.Duration(tokens) * part.reading.perToken
		if !streams {
			break
		}
	}
	return duration
}

// passBudget returns the number of prompt tokens that a pass can read.
func (s *Scheduler) passBudget(streams bool) int {
	if !streams || s.engine.ChunkTokens <= 0 {
		return maxTokens
	}
	return s.engine.EventTokens * s.engine.ChunkTokens
}

// maxTokens is above the length of any prompt.
const maxTokens = 1 << 30

// unreadParts returns the parts that are yet to be read, in the order in which an engine reads them: parts of divided
// prompts first, the newest of them ahead.
func (r *replica) unreadParts() []*jobPart {
	var divided, others []*jobPart
	for _, part := range r.jobParts {
		switch {
		case part.reading.done || part.reading.unread == 0:
		case part.divided:
			divided = append(divided, part)
		default:
			others = append(others, part)
		}
	}
	slices.Reverse(divided)
	return append(divided, others...)
}

// streamsInPass returns the streams that decode in a pass that starts now, and the length of their context in tokens. With
// next set, it adds those whose prompts the current pass reads. The first event of a divided prompt depends on other engines.
func (r *replica) streamsInPass(next bool) (count, context int) {
	for _, part := range r.jobParts {
		read := !part.divided && (part.reading.done || next && part.reading.ending)
		if part.primary && (read || !part.prefilling) {
			count++
			context += part.context
		}
	}
	return count, context
}

// syncPass corrects the passes of an engine by a first event, which comes at the end of a pass.
func (s *Scheduler) syncPass(now time.Time, r *replica) {
	if r.pass.running && now.Sub(r.pass.start) < passStartTolerance {
		return
	}
	r.endPass()
	s.startPass(r, now)
}

// forecast is what is expected of an engine if a further short prompt is placed there.
type forecast struct {
	// first is the time to the first event of the prompt.
	first time.Duration
	// untilRead is the time to the end of the current pass, pass the length of the next one, in which the prompt is read.
	untilRead, pass time.Duration
}

// forecastShort returns what is expected of an engine if a short prompt with the given prefill time is placed there.
func (s *Scheduler) forecastShort(now time.Time, r *replica, prefill time.Duration) forecast {
	s.advancePasses(now, r)
	if !r.pass.running {
		return forecast{first: prefill + r.scaleBySlowdown(s.engine.DecodePassTime(1, 0)), pass: prefill}
	}
	streams, context := r.streamsInPass(true)
	budget := s.passBudget(streams > 0)
	var work time.Duration
	// The order of reading is left out: it matters only where a pass cannot read everything.
	for _, part := range r.jobParts {
		tokens := min(part.reading.unread, budget)
		budget -= tokens
		work += time.Duration(tokens) * part.reading.perToken
	}
	if streams > 0 {
		work += s.engine.DecodePassTime(streams, context)
	}
	f := forecast{untilRead: max(0, r.pass.end.Sub(now)), pass: r.scaleBySlowdown(work) + prefill}
	f.first = f.untilRead + f.pass + r.scaleBySlowdown(s.engine.DecodePassTime(streams+1, context))
	return f
}

// interferenceOfShort returns the value lost by the requests at an engine when a further short prompt is read there.
func (s *Scheduler) interferenceOfShort(now time.Time, r *replica, f forecast) float64 {
	sum := 0.0
	for _, part := range r.jobParts {
		if part.job.objectiveMissed || !part.primary {
			continue
		}
		var late bool
		switch {
		case part.reading.ending:
			late = now.Add(f.untilRead + f.pass).After(part.job.firstEventDue)
		case part.prefilling && !part.reading.done:
			late = now.Add(f.first).After(part.job.firstEventDue)
		default:
			late = part.job.MaxPause > 0 && f.pass > part.job.MaxPause
		}
		if late {
			sum += jobValue(&part.job.Job) * missedObjectivePenalty
		}
	}
	return sum
}
