package burn

import (
	"sync"
	"time"
)

// OtherWorkspace collects the requests of the workspaces beyond the bound.
const OtherWorkspace = "(other)"

const (
	// defaultMaxWorkspaces costs 5.8 MB of heap with three classes, as measured: 1.9 KB for each
	// workspace and class.
	defaultMaxWorkspaces = 1024
	// reuseInterval bounds how often a full recorder looks for workspaces to forget.
	reuseInterval = time.Minute
	// baselineShare is the weight of a new observation in the mean time to first token without long
	// requests; the mean then follows about the last 100.
	baselineShare = 0.02
)

// Config sets up a Recorder.
type Config struct {
	// Objectives are by workspace and length class, each pair at most once.
	Objectives []Objective
	// MaxWorkspaces bounds the memory; 0 means 1,024. The requests of further workspaces are counted
	// under OtherWorkspace, until one is idle for longer than the longest window. A workspace with an
	// objective of its own is always counted under its name.
	MaxWorkspaces int
	// Now is the clock.
	Now func() time.Time
}

type seriesKey struct {
	workspace, class string
}

// series are the counts of one workspace and class.
type series struct {
	rings [len(windows)]ring
	last  time.Time
}

// Recorder counts on one entry how many requests met their objectives. It is safe for concurrent use.
type Recorder struct {
	config     Config
	objectives map[seriesKey]Objective
	// named are the workspaces with an objective of their own.
	named map[string]bool

	mu         sync.Mutex
	workspaces map[string]time.Time // last observation
	series     map[seriesKey]*series
	reused     time.Time
	long       int
	longEnded  time.Time
	baselines  map[string]float64 // seconds, by class
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	if config.MaxWorkspaces == 0 {
		config.MaxWorkspaces = defaultMaxWorkspaces
	}
	r := &Recorder{
		config:     config,
		objectives: make(map[seriesKey]Objective),
		named:      make(map[string]bool),
		workspaces: make(map[string]time.Time),
		series:     make(map[seriesKey]*series),
		baselines:  make(map[string]float64),
	}
	for _, objective := range config.Objectives {
		r.objectives[seriesKey{objective.Workspace, objective.Class}] = objective
		if objective.Workspace != "" {
			r.named[objective.Workspace] = true
		}
	}
	return r
}

// objective returns the workspace's own objective for a class, or else that of the class.
func (r *Recorder) objective(workspace, class string) (Objective, bool) {
	if objective, own := r.objectives[seriesKey{workspace, class}]; own {
		return objective, true
	}
	objective, known := r.objectives[seriesKey{"", class}]
	return objective, known
}

// LongStarted tells the recorder that a long request runs. LongEnded must follow.
func (r *Recorder) LongStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.long++
}

// LongEnded tells the recorder that a long request has ended.
func (r *Recorder) LongEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.long--
	r.longEnded = r.config.Now()
}

// Observe counts a request that has ended. A time of 0 means that there was none, as for a request
// that failed before its first token or has a single token. A class without an objective is ignored.
// It allocates only for the first request of a workspace and class.
func (r *Recorder) Observe(workspace, lengthClass string, ttft, interToken time.Duration, ok bool) {
	objective, known := r.objective(workspace, lengthClass)
	if !known {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	s := r.find(workspace, lengthClass, now)
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
		r.slowdown(s, objective, ttft, now)
	}
}

func (s *series) add(m Metric, bad bool) {
	for i := range s.rings {
		s.rings[i].add(m, bad)
	}
}

// slowdown compares a request that ran beside a long one with the mean of those that did not. Long
// requests of other entries are not seen here; they are in the mean.
func (r *Recorder) slowdown(s *series, objective Objective, ttft time.Duration, now time.Time) {
	baseline, known := r.baselines[objective.Class]
	beside := r.long > 0 || (!r.longEnded.IsZero() && now.Sub(r.longEnded) <= ttft)
	switch {
	case !beside && !known:
		r.baselines[objective.Class] = ttft.Seconds()
	case !beside:
		r.baselines[objective.Class] = baseline + baselineShare*(ttft.Seconds()-baseline)
	case known:
		s.add(Slowdown, ttft.Seconds() > objective.Slowdown*baseline)
	}
}

// find returns the counts of a workspace and class, or those of OtherWorkspace when the bound is reached.
func (r *Recorder) find(workspace, class string, now time.Time) *series {
	if r.named[workspace] {
		return r.touch(workspace, class, now)
	}
	if _, known := r.workspaces[workspace]; !known {
		if len(r.workspaces) >= r.config.MaxWorkspaces {
			r.forgetIdle(now)
		}
		if len(r.workspaces) >= r.config.MaxWorkspaces {
			return r.touch(OtherWorkspace, class, now)
		}
	}
	r.workspaces[workspace] = now
	return r.touch(workspace, class, now)
}

func (r *Recorder) touch(workspace, class string, now time.Time) *series {
	key := seriesKey{workspace, class}
	s := r.series[key]
	if s == nil {
		s = &series{}
		r.series[key] = s
	}
	s.last = now
	return s
}

// forgetIdle removes the workspaces that have no count in any window.
func (r *Recorder) forgetIdle(now time.Time) {
	if now.Sub(r.reused) < reuseInterval {
		return
	}
	r.reused = now
	// A count can outlast its window by one slice.
	const kept = longestWindow + longestWindow/slicesPerWindow
	for workspace, last := range r.workspaces {
		if now.Sub(last) <= kept {
			continue
		}
		delete(r.workspaces, workspace)
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
		for m := range metrics {
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
