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
	// unheard is how long an entry that has jobs may be silent before it is asked for them when slots are
	// short, and askAgain the time between two such questions.
	unheard  = 100 * time.Millisecond
	askAgain = 500 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 60 * time.Millisecond
	// recheck is the pause of a job that finds all slots taken while entries are asked.
	recheck = 15 * time.Millisecond
)

// EntriesToAsk returns the entries with jobs that were not heard of lately and are to be asked what runs, and whether answers
// are expected. It answers the death of many entries at once: their streams end with them, their callers are back
// at once, and the slots count as taken until the silence of the entries is long.
func (s *Scheduler) EntriesToAsk(now time.Time) (entries []string, expected bool) {
	for _, j := range s.jobs {
		asked := now.Sub(s.asked[j.entry])
		if asked < askTimeout {
			expected = true
			continue
		}
		if now.Sub(s.heard[j.entry]) >= unheard && asked >= askAgain && !slices.Contains(entries, j.entry) {
			entries = append(entries, j.entry)
		}
	}
	for _, entry := range entries {
		s.asked[entry] = now
	}
	slices.Sort(entries)
	return entries, expected || len(entries) > 0
}

// Gone ends all jobs of an entry whose process has ended.
func (s *Scheduler) Gone(now time.Time, entry string) {
	for _, j := range s.jobs {
		if j.entry == entry {
			s.end(now, j)
		}
	}
	delete(s.asked, entry)
}

// RunningRequest asks an entry for its jobs.
type RunningRequest struct{}

// RunningReply has the ids of all jobs of an entry.
type RunningReply struct {
	IDs []string
}

// WitnessName is the name of Witness on a peer server.
const WitnessName = "PlacementWitness"

// Witness answers dispatchers that ask an entry for its jobs, over net/rpc.
type Witness struct {
	client *Client
}

// NewWitness returns the witness of an entry.
func NewWitness(client *Client) *Witness {
	return &Witness{client: client}
}

// Running returns the ids of all jobs.
func (w *Witness) Running(_ RunningRequest, reply *RunningReply) error {
	reply.IDs = w.client.ids()
	return nil
}

// question is an entry to be asked for its jobs.
type question struct {
	service string
	entry   string
}

// maxQuestions bounds the entries that wait to be asked.
const maxQuestions = 256

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
		case q := <-s.questions:
			ends = slices.DeleteFunc(ends, ended)
			ends = append(ends, task.Start(ctx, func(ctx context.Context) error { s.ask(ctx, q); return nil }))
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

// ask takes over what an entry says that it runs. One whose address refuses connections runs nothing; one that does not
// answer may be cut off from here only, and keeps its jobs.
func (s *Service) ask(ctx context.Context, q question) {
	address, ok := s.config.Peer(q.entry)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply RunningReply
	err := s.config.Caller.Call(ctx, address, WitnessName+".Running", RunningRequest{}, &reply)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	s.config.Logger.Info("Asked a silent entry for its jobs", zap.String("entry", q.entry), zap.Int("running", len(reply.IDs)),
		zap.Bool("refused", refused), zap.Error(err))
	s.schedulers.with(q.service, func(now time.Time, scheduler *Scheduler) {
		switch {
		case err == nil:
			scheduler.Keep(now, q.entry, reply.IDs)
		case refused:
			scheduler.Gone(now, q.entry)
		}
	})
}
