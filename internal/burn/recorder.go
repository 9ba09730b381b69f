package burn

import (
	"sync"
	"time"
)

// OtherWorkspace is the name under which the requests of workspaces beyond Config.MaxWorkspaces are counted.
const OtherWorkspace = "(other)"

const (
	// defaultMaxWorkspaces takes 5.8 MB of heap with three classes: 1.9 KB per workspace and class, as
	// measured.
	defaultMaxWorkspaces = 1024
	// forgetInterval is the minimum time between two searches of a full recorder for idle workspaces.
	forgetInterval = time.Minute
	// baselineWeight is the weight of a new observation in the exponential moving average of the time to
	// first token without long requests. At 0.02 the average follows about the last 100 observations.
	baselineWeight = 0.02
)

// Config configures a Recorder.
type Config struct {
	// Objectives has at most one objective for each pair of workspace and length class.
	Objectives []Objective
	// MaxWorkspaces limits the memory; 0 means 1,024. The requests of further workspaces are counted under
	// OtherWorkspace, until a recorded workspace is idle for longer than the longest window and makes room.
	// A workspace with an objective of its own is always counted under its name.
	MaxWorkspaces int
	// Now returns the current time.
	Now func() time.Time
}

type seriesKey struct {
	workspace, class string
}

// series holds the counts of one workspace and class, with a ring for each window.
type series struct {
	rings        [len(windows)]ring
	lastObserved time.Time
}

// Recorder counts on one entry how many requests met their objectives. It is safe for concurrent use.
type Recorder struct {
	config     Config
	objectives map[seriesKey]Objective
	// workspacesWithObjective are the workspaces with an objective of their own.
	workspacesWithObjective map[string]bool

	mu                    sync.Mutex
	workspaceLastObserved map[string]time.Time
	series                map[seriesKey]*series
	lastForgetIdle        time.Time
	longRunning           int
	lastLongEnded         time.Time
	ttftBaselines         map[string]float64 // seconds, by class
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	if config.MaxWorkspaces == 0 {
		config.MaxWorkspaces = defaultMaxWorkspaces
	}
	r := &Recorder{
		config:                  config,
		objectives:              make(map[seriesKey]Objective),
		workspacesWithObjective: make(map[string]bool),
		workspaceLastObserved:   make(map[string]time.Time),
		series:                  make(map[seriesKey]*series),
		ttftBaselines:           make(map[string]float64),
	}
	for _, objective := range config.Objectives {
		r.objectives[seriesKey{objective.Workspace, objective.Class}] = objective
		if objective.Workspace != "" {
			r.workspacesWithObjective[objective.Workspace] = true
		}
	}
	return r
}

// objective returns the objective of the workspace for a class, or else that of the class.
func (r *Recorder) objective(workspace, class string) (Objective, bool) {
	if objective, own := r.objectives[seriesKey{workspace, class}]; own {
		return objective, true
	}
	objective, known := r.objectives[seriesKey{"", class}]
	return objective, known
}

// LongStarted records that a long request has started. LongEnded must be called when it ends.
func (r *Recorder) LongStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longRunning++
}

// LongEnded records that a long request has ended.
func (r *Recorder) LongEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longRunning--
	r.lastLongEnded = r.config.Now()
}

// Observe counts a request that has ended. A time of 0 means that it was not measured, because the request
// failed before its first token or has a single token. A class without an objective is ignored. Observe
// allocates only for the first request of a workspace and class.
func (r *Recorder) Observe(workspace, lengthClass string, ttft, interToken time.Duration, ok bool) {
	objective, known := r.objective(workspace, lengthClass)
	if !known {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	s := r.seriesOrOther(workspace, lengthClass, now)
	for i := range s.rings {
		s.rings[i].advance(now, windows[i])
	}
	s.add(Success, !ok)
	if ttft > 0 && objective.TTFT > 0 {
		s.add(TTFT, ttft > objective.TTFT)
	}
	if interToken > 0 && objective.InterToken > 0 {
		s.add(InterToken, interToken > objective.InterToken)
	}
	if ttft > 0 && objective.Slowdown > 0 {
		r.observeSlowdown(s, objective, ttft, now)
	}
}

func (s *series) add(m Metric, bad bool) {
	for i := range s.rings {
		s.rings[i].add(m, bad)
	}
}

// observeSlowdown compares a request that ran while a long one did with the mean of those that did not. Long
// requests of other entries are unknown here, so the requests that they delayed are part of the mean.
func (r *Recorder) observeSlowdown(s *series, objective Objective, ttft time.Duration, now time.Time) {
	baseline, known := r.ttftBaselines[objective.Class]
	besideLong := r.longRunning > 0 || (!r.lastLongEnded.IsZero() && now.Sub(r.lastLongEnded) <= ttft)
	switch {
	case !besideLong && !known:
		r.ttftBaselines[objective.Class] = ttft.Seconds()
	case !besideLong:
		r.ttftBaselines[objective.Class] = baseline + baselineWeight*(ttft.Seconds()-baseline)
	case known:
		s.add(Slowdown, ttft.Seconds() > objective.Slowdown*baseline)
	}
}

// seriesOrOther returns the counts of a workspace and class, or those of OtherWorkspace if there are
// MaxWorkspaces others already.
func (r *Recorder) seriesOrOther(workspace, class string, now time.Time) *series {
	if r.workspacesWithObjective[workspace] {
		return r.findOrCreateSeries(workspace, class, now)
	}
	if _, known := r.workspaceLastObserved[workspace]; !known {
		if len(r.workspaceLastObserved) >= r.config.MaxWorkspaces {
			r.forgetIdle(now)
		}
		if len(r.workspaceLastObserved) >= r.config.MaxWorkspaces {
			return r.findOrCreateSeries(OtherWorkspace, class, now)
		}
	}
	r.workspaceLastObserved[workspace] = now
	return r.findOrCreateSeries(workspace, class, now)
}

func (r *Recorder) findOrCreateSeries(workspace, class string, now time.Time) *series {
	key := seriesKey{workspace, class}
	s := r.series[key]
	if s == nil {
		s = &series{}
		r.series[key] = s
	}
	s.lastObserved = now
	return s
}

// forgetIdle removes the workspaces without requests in any window.
func (r *Recorder) forgetIdle(now time.Time) {
	if now.Sub(r.lastForgetIdle) < forgetInterval {
		return
	}
	r.lastForgetIdle = now
	// A count can remain for one slice longer than its window.
	const retention = longestWindow + longestWindow/slicesPerWindow
	for workspace, last := range r.workspaceLastObserved {
		if now.Sub(last) <= retention {
			continue
		}
		delete(r.workspaceLastObserved, workspace)
		for key := range r.objectives {
			delete(r.series, seriesKey{workspace, key.class})
		}
	}
}

// Report returns the counts of all windows.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	report := Report{Time: now.UTC(), Objectives: r.config.Objectives}
	for key, s := range r.series {
		for m := range metricCount {
			line := Series{Workspace: key.workspace, Class: key.class, Metric: m.String()}
			for i := range s.rings {
				s.rings[i].advance(now, windows[i])
				line.Windows[i] = s.rings[i].sum(m)
			}
			if line.Windows[len(windows)-1].Total > 0 {
				report.Series = append(report.Series, line)
			}
		}
	}
	report.sort()
	return report
}
