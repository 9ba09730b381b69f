package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// testEngine is like the engines of the users' deployments.
func testEngine() routing.Engine {
	return routing.Engine{
		Slots: 16, Memory: 450_000, EventTokens: 46, Step: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
		StepPerKiloToken: 2540 * time.Nanosecond, PrefillRate: 256_000, PrefillPerMegaPair: 91_700 * time.Nanosecond, ChunkTokens: 2048,
	}
}

var epoch = time.Unix(1_800_000_000, 0)

func engines(count int) []registration.Record {
	var records []registration.Record
	for i := range count {
		records = append(records, registration.Record{
			ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), State: registration.Ready, Started: 1,
		})
	}
	return records
}

func scheduler(count int) *Scheduler {
	s := NewScheduler(testEngine())
	s.Update(epoch, engines(count))
	return s
}

func short(id string) Job {
	return Job{
		ID: id, Service: "model", Prompt: 5000, Output: 1500, Bound: 3000, Objective: 300 * time.Millisecond,
		MaxPause: 200 * time.Millisecond, Left: 10 * time.Second,
	}
}

func long(id string, tokens int) Job {
	return Job{
		ID: id, Service: "model", Prompt: tokens, Output: 800, Bound: 1600, Objective: 3 * time.Second,
		MaxPause: 800 * time.Millisecond, Left: 15 * time.Second,
	}
}

func members(g Grant) []string {
	var ids []string
	for _, m := range g.Members {
		ids = append(ids, m.Endpoint)
	}
	return ids
}

// Guards against short prompts that spread over all engines and leave none free for long ones.
func TestShortPromptsArePacked(t *testing.T) {
	is := is.New(t)
	s := scheduler(8)
	used := make(map[string]bool)
	now := epoch
	for i := range 24 {
		reply := s.Reserve(now, "entry", short(fmt.Sprint("j", i)))
		is.Equal(reply.Status, Granted)
		used[reply.Grant.Members[0].Endpoint] = true
		s.Report(now.Add(100*time.Millisecond), "entry", Event{Type: FirstEvent, Job: short(fmt.Sprint("j", i)), Endpoint: reply.Grant.Members[0].Endpoint})
		now = now.Add(100 * time.Millisecond)
	}
	is.True(len(used) <= 3) // 24 streams need two engines of 16 slots
}

// Guards against a long prompt that is prefilled on one engine while others are idle, and against one whose prefill
// pauses the streams of short prompts.
func TestLongPromptIsDividedBesideStreams(t *testing.T) {
	is := is.New(t)
	s := scheduler(8)
	var busy string
	for i := range 8 {
		reply := s.Reserve(epoch, "entry", short(fmt.Sprint("j", i)))
		busy = reply.Grant.Members[0].Endpoint
		s.Report(epoch, "entry", Event{Type: FirstEvent, Job: short(fmt.Sprint("j", i)), Endpoint: busy})
	}
	reply := s.Reserve(epoch.Add(50*time.Millisecond), "entry", long("l", 210_000))
	is.Equal(reply.Status, Granted)
	is.True(len(reply.Grant.Members) >= 4)
	is.True(!slices.Contains(members(reply.Grant), busy))
	is.True(reply.Grant.First < time.Second)
}

// replay simulates a burst of long prompts on engines that prefill the part that arrived last first, and returns how many
// first events met their objective. takeTurns selects the scheduler, which places prompts one after the other; otherwise
// each prompt is placed on arrival.
func replay(takeTurns bool) int {
	s := scheduler(12)
	random := rand.New(rand.NewPCG(1, 2))
	type arrival struct {
		job  Job
		at   time.Time
		done bool
	}
	var arrivals []*arrival
	at := epoch
	for i := range 24 {
		at = at.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		arrivals = append(arrivals, &arrival{job: long(fmt.Sprint("l", i), 100_000+random.IntN(250_000)), at: at})
	}
	// parts are the prompt parts that each engine still has to prefill, the last one first.
	type part struct {
		id   string
		left time.Duration
	}
	parts := make(map[string][]*part)
	open := make(map[string]int)
	inTime := 0
	const tick = time.Millisecond
	for now := epoch; now.Before(at.Add(20 * time.Second)); now = now.Add(tick) {
		for _, a := range arrivals {
			if a.done || now.Before(a.at) || now.Sub(a.at)%(10*time.Millisecond) != 0 {
				continue
			}
			j := a.job
			j.Waited, j.Left = now.Sub(a.at), j.Left-now.Sub(a.at)
			var grant Grant
			if takeTurns {
				reply := s.Reserve(now, "entry", j)
				if reply.Status == Wait {
					continue
				}
				grant = reply.Grant
			} else if best, ok := s.divide(now, &j, s.sortedReplicas, idleEngineValue); ok {
				grant = s.place(now, j, best)
			}
			a.done = true
			for _, m := range grant.Members {
				prefill := s.engine.PrefillTime(j.Prompt, len(grant.Members))
				parts[m.Endpoint] = append([]*part{{j.ID, prefill}}, parts[m.Endpoint]...)
				open[j.ID]++
			}
		}
		for id, list := range parts {
			if len(list) == 0 {
				continue
			}
			list[0].left -= tick
			if list[0].left > 0 {
				continue
			}
			parts[id] = list[1:]
			if open[list[0].id]--; open[list[0].id] > 0 {
				continue
			}
			for _, a := range arrivals {
				if a.job.ID == list[0].id {
					s.Report(now, "entry", Event{Type: FirstEvent, Job: a.job, Endpoint: id})
					s.Report(now, "entry", Event{Type: Finished, Job: a.job, Endpoint: id})
					if now.Sub(a.at) <= a.job.Objective {
						inTime++
					}
				}
			}
		}
	}
	return inTime
}

// Guards against a burst of long prompts that share engines and all end late. The load is 24 prompts of 100,000 to
// 350,000 tokens within 2.4 s on 12 engines, which need 6 s to prefill them all.
func TestBurstOfLongPromptsRunsInTurn(t *testing.T) {
	is := is.New(t)
	together, inTurn := replay(false), replay(true)
	t.Logf("in time: %d together, %d in turn", together, inTurn)
	is.True(inTurn > together)
}

// Guards against a prompt that exceeds the memory of one engine being rejected, or stored where there is no room.
func TestPromptLargerThanAnEngine(t *testing.T) {
	is := is.New(t)
	s := scheduler(4)
	reply := s.Reserve(epoch, "entry", long("l", 700_000))
	is.Equal(reply.Status, Granted)
	is.Equal(reply.Grant.Members[0].Hold, 0)
	held := 0
	for _, m := range reply.Grant.Members {
		held += m.Hold
		is.True(m.Hold <= 450_000)
	}
	is.True(held >= 700_000-450_000)
	is.Equal(scheduler(1).Reserve(epoch, "entry", long("l", 700_000)).Status, Rejected)
}

// Guards against engines whose slots and memory stay taken after their jobs have ended in any way.
func TestEverythingIsGivenBack(t *testing.T) {
	endings := map[string]func(s *Scheduler, j Job, now time.Time){
		"finished": func(s *Scheduler, j Job, now time.Time) { s.Report(now, "entry", Event{Type: Finished, Job: j}) },
		"left":     func(s *Scheduler, j Job, now time.Time) { s.Report(now, "entry", Event{Type: Left, Job: j}) },
		"not kept": func(s *Scheduler, _ Job, now time.Time) { s.RetainRunning(now.Add(time.Second), "entry", nil) },
		"entry is gone": func(s *Scheduler, _ Job, now time.Time) {
			s.RetainRunning(now.Add(maxEntrySilence+time.Second), "other entry", nil)
			s.expireJobs(now.Add(maxEntrySilence + time.Second))
		},
		"expired": func(s *Scheduler, j Job, now time.Time) { s.expireJobs(now.Add(j.Left + time.Second)) },
		"engine is gone": func(s *Scheduler, _ Job, now time.Time) {
			s.Update(now, nil)
			s.Update(now, engines(4))
		},
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(4)
			now := epoch
			for _, j := range []Job{short("s"), long("l", 200_000), long("h", 700_000)} {
				now = now.Add(time.Minute)
				is.Equal(s.Reserve(now, "entry", j).Status, Granted)
				end(s, j, now.Add(time.Millisecond))
			}
			is.Equal(s.Running(), 0)
			for _, r := range s.sortedReplicas {
				is.Equal(r.memory, 0)
				is.Equal(len(r.jobParts), 0)
			}
		})
	}
}

// Guards against a new dispatcher that ignores the jobs that another one placed, and overloads their engines.
func TestAdoptedJobsCount(t *testing.T) {
	is := is.New(t)
	first, second := scheduler(2), scheduler(2)
	j := long("l", 100_000)
	reply := first.Reserve(epoch, "entry", j)
	second.Report(epoch, "entry", Event{Type: Adopted, Job: j, Grant: reply.Grant, Reading: true})
	is.Equal(second.Running(), 1)
	for id, r := range first.replicas {
		is.Equal(second.replicas[id].backlog(epoch), r.backlog(epoch))
		is.Equal(second.replicas[id].memory, r.memory)
	}
}

// Guards against placing jobs on engines that are draining, cannot be reached, or have already failed the request.
func TestUnusableEnginesGetNoWork(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(testEngine())
	records := engines(4)
	records[0].State = registration.Draining
	s.Update(epoch, records)
	s.Report(epoch, "entry", Event{Type: Unreached, Job: short("x"), Endpoint: "e01"})
	j := short("j")
	j.Exclude = []string{"e02"}
	is.Equal(members(s.Reserve(epoch, "entry", j).Grant), []string{"e03"})
	j.Exclude = []string{"e02", "e03"}
	reply := s.Reserve(epoch, "entry", j)
	is.Equal(reply.Status, Rejected)
	is.True(reply.After > 0)
}

// Guards against a long prompt that waits for engines without streams although those with streams could prefill it in
// time: under an even load some engine is always in prefill, and every prompt that waits for it misses its objective.
func TestLongPromptDoesNotWaitForEnginesWithoutStreams(t *testing.T) {
	is := is.New(t)
	s := scheduler(6)
	for i, r := range s.sortedReplicas[:2] {
		j := long(fmt.Sprint("m", i), 45_000)
		j.MaxPause = 500 * time.Millisecond
		s.place(epoch, j, assignment{replicas: []*replica{r}, memory: []int{memoryNeed(&j)}, reserved: []int{0}})
		s.jobs[j.ID].entry = "entry"
	}
	s.Report(epoch, "entry", Event{Type: FirstEvent, Job: Job{ID: "m1"}, Endpoint: "e01"})
	j := long("l", 350_000)
	j.Waited = 1400 * time.Millisecond
	reply := s.Reserve(epoch.Add(10*time.Millisecond), "entry", j)
	is.Equal(reply.Status, Granted)
}
