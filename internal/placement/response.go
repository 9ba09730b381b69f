package placement

import "time"

// Callers close a stream that has been silent for the longest of minSilence, objectivesOfSilence times its objective and
// pausesOfSilence times its longest permitted pause.
const (
	minSilence          = 2 * time.Second
	objectivesOfSilence = 4
	pausesOfSilence     = 8
)

// maxSilence returns the pause after which the caller of a stream closes it.
func maxSilence(j *Job) time.Duration {
	return max(minSilence, objectivesOfSilence*j.Objective, pausesOfSilence*j.MaxPause)
}

// writeTime returns the time from the first to the last event of a response of the expected length, at an engine of which
// half of the slots are in use.
func (s *Scheduler) writeTime(j *Job) time.Duration {
	passes := max(0, j.Output-1) / s.engine.EventTokens
	return time.Duration(passes) * s.engine.DecodePassTime(s.engine.Slots/2, j.Prompt)
}

// certainShare is the share of the expected length that nearly all responses reach: expectations are often too high.
const certainShare = 0.5

// latestFirstEvent returns the time by which the first event must come, so that the response can end within the time limit.
// A short prompt costs little, and how long its response takes is too uncertain to give it up.
func (s *Scheduler) latestFirstEvent(j *Job) time.Duration {
	if !s.isLongPrompt(j) {
		return j.Left
	}
	return j.Left - time.Duration(certainShare*float64(s.writeTime(j)))
}

// endsStream reports whether a pause ends a stream: its caller closes it, or its time limit passes before its last event.
func (s *Scheduler) endsStream(now time.Time, j *job, pause time.Duration) bool {
	left := s.writeTime(&j.Job)
	if !j.firstEventAt.IsZero() {
		left = max(0, left-now.Sub(j.firstEventAt))
	}
	return pause > maxSilence(&j.Job) || now.Add(pause+left).After(j.expires)
}
