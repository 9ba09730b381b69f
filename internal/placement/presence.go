package placement

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/task"
)

const (
	// queryAfter is how long an entry with jobs may be silent before it is asked for them when slots are short, and
	// queryInterval the least time between two such queries.
	queryAfter    = 100 * time.Millisecond
	queryInterval = 500 * time.Millisecond
	// queryTimeout bounds one query.
	queryTimeout = 60 * time.Millisecond
	// recheckDelay is how long a job that finds all slots taken waits while entries are queried.
	recheckDelay = 15 * time.Millisecond
)

// EntriesToQuery returns the entries with jobs that have made no call lately and are to be asked what still runs, and
// whether replies are outstanding. When many entries die at once, their streams end and their callers retry at once, but
// the slots would count as taken until the entries have been silent for maxEntrySilence.
func (s *Scheduler) EntriesToQuery(now time.Time) (entries []string, expected bool) {
	for _, j := range s.jobs {
		sinceQuery := now.Sub(s.lastQueried[j.entry])
		if sinceQuery < queryTimeout {
			expected = true
			continue
		}
		if now.Sub(s.lastHeard[j.entry]) >= queryAfter && sinceQuery >= queryInterval && !slices.Contains(entries, j.entry) {
			entries = append(entries, j.entry)
		}
	}
	for _, entry := range entries {
		s.lastQueried[entry] = now
	}
	slices.Sort(entries)
	return entries, expected || len(entries) > 0
}

// EndEntry ends all jobs of an entry whose process has ended.
func (s *Scheduler) EndEntry(now time.Time, entry string) {
	for _, j := range s.jobs {
		if j.entry == entry {
			s.endJob(now, j)
		}
	}
	delete(s.lastQueried, entry)
}

// RunningRequest asks an entry for its jobs.
type RunningRequest struct{}

// RunningReply has the ids of all jobs of an entry.
type RunningReply struct {
	IDs []string
}

// EntryServiceName is the name under which EntryService is registered on a peer server.
const EntryServiceName = "PlacementWitness"

// EntryService serves dispatchers that ask an entry for its running jobs, over net/rpc.
type EntryService struct {
	client *Client
}

// NewEntryService returns the net/rpc service of an entry.
func NewEntryService(client *Client) *EntryService {
	return &EntryService{client: client}
}

// Running returns the ids of all running jobs of the entry.
func (e *EntryService) Running(_ RunningRequest, reply *RunningReply) error {
	reply.IDs = e.client.runningIDs()
	return nil
}

// entryQuery is an entry that is to be asked for its jobs.
type entryQuery struct {
	cell  Cell
	entry string
}

// maxQueries bounds the queued queries.
const maxQueries = 256

// Run asks silent entries for their jobs until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var ends []<-chan error
	defer func() {
		for _, end := range ends {
			<-end
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-s.queries:
			ends = slices.DeleteFunc(ends, ended)
			ends = append(ends, task.Start(ctx, func(ctx context.Context) error { s.queryEntry(ctx, q); return nil }))
		}
	}
}

// ended reports whether a task has ended.
func ended(end <-chan error) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}

// queryEntry asks an entry for its running jobs and ends those that it does not name. An entry whose address refuses
// connections runs nothing. One that does not reply may only be cut off from this instance, and keeps its jobs.
func (s *Service) queryEntry(ctx context.Context, q entryQuery) {
	address, ok := s.config.Peer(q.entry)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply RunningReply
	err := s.config.Caller.Call(ctx, address, EntryServiceName+".Running", RunningRequest{}, &reply)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	s.config.Logger.Info("Asked a silent entry for its jobs", zap.String("entry", q.entry), zap.Int("running", len(reply.IDs)),
		zap.Bool("refused", refused), zap.Error(err))
	s.schedulers.withScheduler(q.cell, func(now time.Time, scheduler *Scheduler) {
		switch {
		case err == nil:
			scheduler.RetainRunning(now, q.entry, reply.IDs)
		case refused:
			scheduler.EndEntry(now, q.entry)
		}
	})
}
