package simulation

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// LeastRequests places each request undivided on the engine with the fewest requests, and refuses none. It is the
// baseline that other policies are compared with.
type LeastRequests struct {
	engines []registration.Record
	running map[string]int
	placed  map[string]string
}

// NewLeastRequests returns a baseline without engines.
func NewLeastRequests() *LeastRequests {
	return &LeastRequests{running: make(map[string]int), placed: make(map[string]string)}
}

// Update replaces the engines.
func (l *LeastRequests) Update(_ time.Time, records []registration.Record) {
	l.engines = records
}

// Reserve places a job.
func (l *LeastRequests) Reserve(_ time.Time, _ string, j placement.Job) placement.ReserveReply {
	best := l.engines[0]
	for _, e := range l.engines {
		if l.running[e.ID] < l.running[best.ID] {
			best = e
		}
	}
	l.running[best.ID]++
	l.placed[j.ID] = best.ID
	grant := placement.Grant{Members: []placement.Member{{Endpoint: best.ID, Address: best.Address}}}
	return placement.ReserveReply{Status: placement.Granted, Grant: grant}
}

// Report removes a job that has ended.
func (l *LeastRequests) Report(_ time.Time, _ string, e placement.Event) {
	if e.Type == placement.FirstEvent {
		return
	}
	if engine, ok := l.placed[e.Job.ID]; ok {
		l.running[engine]--
		delete(l.placed, e.Job.ID)
	}
}
