package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// coldCell is a cell whose engines tolerate 20 requests per second while they are cold.
func coldCell(engines int, cold time.Duration) (*Scheduler, []registration.Record) {
	s := NewScheduler(routing.Engine{Slots: 400, PrefillRate: 1e6, ColdRate: 20})
	var records []registration.Record
	for i := range engines {
		id := fmt.Sprint("e", i)
		records = append(records, registration.Record{ID: id, Address: id, State: registration.Ready, Started: 1, Cold: cold})
	}
	return s, records
}

// burst asks for a short prompt every millisecond and returns the times of the grants of each engine.
func burst(s *Scheduler, start time.Time, length time.Duration) map[string][]time.Time {
	granted := make(map[string][]time.Time)
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := start.Add(at)
		reply := s.Reserve(now, "entry", Job{ID: fmt.Sprint("j", now.UnixNano()), Prompt: 1000, Output: 10, Objective: time.Second, Left: 10 * time.Second})
		for _, m := range reply.Grant.Members {
			granted[m.Endpoint] = append(granted[m.Endpoint], now)
		}
	}
	return granted
}

// mostInASecond returns the largest number of times within any second.
func mostInASecond(times []time.Time) int {
	most := 0
	for i, first := range times {
		count := 0
		for _, t := range times[i:] {
			if t.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against a burst of short prompts on engines that have come back cold at once: above the declared rate they crash.
// Two dispatchers that decide at the same time, as in a partition, must stay within the rate together.
func TestColdEnginesUnderBurst(t *testing.T) {
	is := is.New(t)
	const rate = 20
	start := time.Unix(1_800_000_000, 0)
	total := make(map[string][]time.Time)
	for range 2 {
		s, records := coldCell(3, 3*time.Second)
		s.Update(start, records)
		for id, times := range burst(s, start, 3*time.Second) {
			is.True(mostInASecond(times) <= rate/2)
			is.True(times[0].Sub(start) >= time.Second) // a new dispatcher has no credit
			total[id] = append(total[id], times...)
		}
		is.True(len(burst(s, start.Add(3*time.Second), time.Second)) > 0)
	}
	is.Equal(len(total), 3) // they are used, within the rate
	for _, times := range total {
		slices.SortFunc(times, time.Time.Compare)
		is.True(mostInASecond(times) <= rate)
	}
}

// Guards against a cold engine that is treated as warm, or a warm one as cold, because of news that is late, repeated or
// about another incarnation.
func TestNewsOfColdEngines(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	cases := map[string]struct {
		cold, later time.Duration
		// after is the time between the two records, restarted says that the second is of another incarnation.
		after     time.Duration
		restarted bool
		// coldAt has times after the first record, and whether the engine is cold then.
		coldAt map[time.Duration]bool
	}{
		"warms up by itself":     {cold: 3 * time.Second, later: 3 * time.Second, after: time.Second, coldAt: map[time.Duration]bool{2 * time.Second: true, 3 * time.Second: false}},
		"warm by a later record": {cold: 3 * time.Second, after: time.Second, coldAt: map[time.Duration]bool{900 * time.Millisecond: true, time.Second: false}},
		"cold again":             {later: 2 * time.Second, after: time.Second, coldAt: map[time.Duration]bool{0: false, time.Second: true, 3 * time.Second: false}},
		"started anew":           {cold: time.Second, later: 3 * time.Second, after: 2 * time.Second, restarted: true, coldAt: map[time.Duration]bool{1500 * time.Millisecond: false, 4 * time.Second: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, records := coldCell(1, c.cold)
			s.Update(start, records)
			for at := time.Duration(0); at <= 5*time.Second; at += 100 * time.Millisecond {
				now := start.Add(at)
				if at == c.after {
					records[0].Cold = c.later
					if c.restarted {
						records[0].Started++
					}
				}
				s.Update(now, records)
				if want, ok := c.coldAt[at]; ok {
					is.Equal(s.countCold(now) == 1, want)
				}
			}
		})
	}
}

// Guards against cold engines that get the requests of many entries which decide for themselves, and against engines of
// services without a limit that are left out.
func TestColdEnginesWithoutDispatcher(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	s, records := coldCell(2, 3*time.Second)
	s.ownJobsOnly = true
	s.Update(start, records)
	is.Equal(len(burst(s, start, 3*time.Second)), 0)
	s.UseEngine(routing.Engine{Slots: 400, PrefillRate: 1e6})
	is.True(len(burst(s, start, time.Second)) > 0)
}
