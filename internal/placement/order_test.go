package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Guards against a request that counts more than a more urgent one of the same size, and against one that counts nothing.
func TestRankWeight(t *testing.T) {
	cases := map[string]struct {
		rank   routing.Rank
		weight float64
	}{
		"most urgent":             {routing.Rank{}, 1},
		"a less urgent route":     {routing.Rank{Route: 1}, routeRankWeight},
		"a less urgent owner":     {routing.Rank{Workspace: 1}, workspaceRankWeight},
		"both":                    {routing.Rank{Workspace: 1, Route: 1}, workspaceRankWeight * routeRankWeight},
		"far behind":              {routing.Rank{Workspace: 9, Route: 9}, minRankWeight},
		"more ranks than counted": {routing.Rank{Route: 1 << 40}, minRankWeight},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			weight := rankWeight(&Job{Rank: c.rank})
			is.Equal(weight, c.weight)
		})
	}
}

// Guards against urgent short prompts that find all slots taken by less urgent ones in a burst of these. Streams do not end
// in the replay, so the slots are what both compete for.
func TestBurstOfLessUrgentPrompts(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(routing.Engine{Slots: 10, PrefillRate: 1e6})
	var records []registration.Record
	for i := range 4 {
		id := fmt.Sprint("e", i)
		records = append(records, registration.Record{ID: id, Address: id, State: registration.Ready, Started: 1})
	}
	s.Update(epoch, records)
	ask := func(id string, rank routing.Rank) ReserveReply {
		return s.Reserve(epoch, "entry", Job{ID: id, Prompt: 1000, Output: 10, Objective: time.Second, Left: 9 * time.Second, Rank: rank})
	}
	granted := 0
	for i := range 60 {
		reply := ask(fmt.Sprint("less-", i), routing.Rank{Route: 2})
		if reply.Status == Granted {
			granted++
			continue
		}
		is.Equal(reply.After, 3*time.Second) // at once, with a time to return
	}
	is.Equal(granted, 37) // nine tenths of 40 slots, and the one in which the limit is passed
	for i := range 3 {
		is.Equal(ask(fmt.Sprint("urgent-", i), routing.Rank{}).Status, Granted)
	}
}

// Guards against the order of waiting prompts by length alone: of two of the same size, the more urgent one goes first,
// and a much shorter one of less urgency before a long urgent one.
func TestUrgentPromptGoesFirst(t *testing.T) {
	is := is.New(t)
	cases := map[string]struct {
		urgent, other int
		first         string
	}{
		"same size":         {200_000, 200_000, "urgent"},
		"the other shorter": {400_000, 60_000, "other"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler(2)
			for _, r := range s.sortedReplicas {
				s.placeAt(long("at "+r.record.ID, 60_000), r)
			}
			urgent, other := long("urgent", c.urgent), long("other", c.other)
			other.Rank = routing.Rank{Workspace: 1}
			is.Equal(s.Reserve(epoch, "entry", other).Status, Wait)
			is.Equal(s.Reserve(epoch, "entry", urgent).Status, Wait)
			is.Equal(s.nextWaitingJob(epoch, s.sortedReplicas).job.ID, c.first)
		})
	}
}
