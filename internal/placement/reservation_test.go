package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fallBehind lets the share of wide prompts that are placed fall below that of the others.
func (s *Scheduler) fallBehind() { s.wideShare = minWideShare*s.otherShare - shareSmoothing }

// placeAt places a job on one engine.
func (s *Scheduler) placeAt(j Job, r *replica) {
	s.lastHeard["entry"] = epoch
	s.place(epoch, j, assignment{replicas: []*replica{r}, memory: []int{j.Prompt}, reserved: []int{0}})
	s.jobs[j.ID].entry = "entry"
}

// busyScheduler returns a scheduler whose engines prefill prompts, all but four.
func busyScheduler(count int) *Scheduler {
	s := scheduler(count)
	for _, r := range s.sortedReplicas[4:] {
		s.placeAt(long("at "+r.record.ID, 30_000), r)
	}
	return s
}

// waitForEngines lets a wide prompt wait for the engines of busyScheduler and returns the reserved ones.
func waitForEngines(t *testing.T, s *Scheduler) (wide Job, reserved []string) {
	is := is.New(t)
	s.fallBehind()
	wide = long("wide", 700_000)
	is.Equal(s.Reserve(epoch, "entry", wide).Status, Wait)
	is.True(s.reservation != nil)
	for _, r := range s.reservation.replicas {
		reserved = append(reserved, r.record.ID)
	}
	is.Equal(len(reserved), 24/reservableDivisor)
	return wide, reserved
}

// Guards against reserved engines that go to short or other long prompts, and against a prompt that does not get them when
// they are free.
func TestReservedEnginesAreKept(t *testing.T) {
	is := is.New(t)
	s := busyScheduler(24)
	wide, reserved := waitForEngines(t, s)
	for _, other := range []Job{short("s"), long("l", 250_000)} {
		reply := s.Reserve(epoch.Add(time.Millisecond), "entry", other)
		for _, id := range members(reply.Grant) {
			is.True(!slices.Contains(reserved, id))
		}
	}
	s.reportAll(epoch.Add(200*time.Millisecond), Finished)
	grant, _ := s.poll(t, wide, 300*time.Millisecond)
	is.True(len(grant.Members) >= len(reserved))
	is.True(s.reservation == nil)
}

// reportAll reports an event of all running jobs.
func (s *Scheduler) reportAll(now time.Time, eventType EventType) {
	for id := range s.jobs {
		s.Report(now, "entry", Event{Type: eventType, Job: Job{ID: id}})
	}
}

// poll asks for a job from the epoch on until it is placed, and returns its grant and when that was. It reports all other
// jobs as finished after the given time.
func (s *Scheduler) poll(t *testing.T, j Job, finished time.Duration) (Grant, time.Duration) {
	t.Helper()
	for waited := time.Duration(0); waited < j.Left; waited += minPollInterval {
		now := epoch.Add(waited)
		if waited >= finished {
			s.reportAll(now, Finished)
		}
		asked := j
		asked.Waited, asked.Left = waited, j.Left-waited
		if reply := s.Reserve(now, "entry", asked); reply.Status == Granted {
			return reply.Grant, waited
		}
	}
	t.Fatal("the prompt was not placed")
	return Grant{}, 0
}

// Guards against a reservation that starts while streams run at its engines which the prompt would pause for too long: it
// would then go to a few engines, and be late.
func TestReservationWaitsForStreams(t *testing.T) {
	is := is.New(t)
	s := busyScheduler(24)
	wide, reserved := waitForEngines(t, s)
	s.reportAll(epoch, FirstEvent)
	const finished = 600 * time.Millisecond
	grant, waited := s.poll(t, wide, finished)
	is.True(waited >= finished)
	is.True(len(grant.Members) >= len(reserved))
}

// Guards against engines that stay reserved for a prompt that no longer waits.
func TestReservationEndsWithItsJob(t *testing.T) {
	ends := map[string]func(s *Scheduler, wide Job){
		"left":           func(s *Scheduler, wide Job) { s.Report(epoch, "entry", Event{Type: Left, Job: wide}) },
		"no longer asks": func(*Scheduler, Job) {},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := busyScheduler(24)
			wide, _ := waitForEngines(t, s)
			end(s, wide)
			later := epoch.Add(waitingJobExpiry + time.Millisecond)
			other := long("other", 150_000)
			is.Equal(len(s.reservedFrom(later, &other)), 0)
			s.Reserve(later, "entry", other)
			is.True(s.reservation == nil)
		})
	}
}

// Guards against a prompt that is rejected for good because streams with short pauses run at this moment, although
// engines get free in its time.
func TestLargePromptOutlivesStreams(t *testing.T) {
	is := is.New(t)
	s := scheduler(16)
	for _, r := range s.sortedReplicas {
		s.placeAt(short("at "+r.record.ID), r)
	}
	now := epoch.Add(100 * time.Millisecond)
	large := long("large", 750_000)
	large.Left = 8 * time.Second // one engine needs 27 s, 16 need 2 s
	is.True(s.Reserve(now, "entry", large).Status != Rejected)
	large.Left = time.Second
	reply := s.Reserve(now, "entry", large)
	is.Equal(reply.Status, Rejected)
	is.Equal(reply.Engines.Usable, 16)
	is.Equal(reply.Engines.WithoutTightStreams, 0)
}

// Guards against a reservation of too few engines, which keeps them from others without need, and against one that leaves no
// engine for other prompts, which would be rejected then.
func TestFewEnginesAreNotReserved(t *testing.T) {
	for _, count := range []int{1, 2, reservableDivisor*wideParts - 1} {
		is := is.New(t)
		s := scheduler(count)
		s.placeAt(long("busy", 30_000), s.sortedReplicas[0])
		s.fallBehind()
		s.Reserve(epoch, "entry", long("wide", 440_000))
		is.True(s.reservation == nil)
		is.True(s.Reserve(epoch, "entry", long("other", 100_000)).Status != Rejected)
	}
}

// Guards against reservations because of jobs that leave this cell for another one, or whose callers disconnect: only those
// that are rejected or wait until their time has passed were not placed.
func TestShareOfPlacedPrompts(t *testing.T) {
	// ask sends a wide prompt to a scheduler whose engines are all in prefill, so that it waits.
	ask := func(t *testing.T, left time.Duration) (*Scheduler, Job) {
		s := scheduler(2)
		for _, r := range s.sortedReplicas {
			s.placeAt(long("at "+r.record.ID, 60_000), r)
		}
		wide := long("wide", 440_000)
		wide.Left = left
		is.New(t).Equal(s.Reserve(epoch, "entry", wide).Status, Wait)
		return s, wide
	}
	for name, test := range map[string]struct {
		left    time.Duration
		end     func(s *Scheduler, wide Job)
		counted bool
	}{
		"leaves for another cell": {15 * time.Second, func(s *Scheduler, wide Job) { s.Report(epoch, "entry", Event{Type: Left, Job: wide}) }, false},
		"asks no more":            {15 * time.Second, func(s *Scheduler, _ Job) { s.Reserve(epoch.Add(2*waitingJobExpiry), "entry", long("other", 300_000)) }, false},
		"its time has passed":     {15 * time.Second, func(s *Scheduler, wide Job) { s.Report(epoch.Add(wide.Left), "entry", Event{Type: Left, Job: wide}) }, true},
		"is rejected": {15 * time.Second, func(s *Scheduler, wide Job) {
			wide.Left = time.Second
			s.Reserve(epoch, "entry", wide)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, wide := ask(t, test.left)
			test.end(s, wide)
			is.New(t).Equal(s.wideShare < 1, test.counted)
		})
	}
}

// Guards against engines that are kept for a prompt for as long as it waits, although it cannot use them, and against a
// prompt that gets one reservation after another.
func TestReservationExpires(t *testing.T) {
	is := is.New(t)
	s := busyScheduler(24)
	wide, _ := waitForEngines(t, s)
	for now := epoch; now.Before(epoch.Add(2 * reservationLife)); now = now.Add(maxPollInterval) {
		wide.Waited, wide.Left = now.Sub(epoch), 15*time.Second-now.Sub(epoch)
		// New prefill keeps some of the reserved engines from being free.
		for _, r := range s.sortedReplicas[2:] {
			r.backlogEnd = now.Add(100 * time.Millisecond)
		}
		if s.Reserve(now, "entry", wide).Status != Wait {
			return
		}
		is.True(s.reservation == nil || now.Before(epoch.Add(reservationLife)))
		s.fallBehind()
	}
}

// Guards against a prompt that is rejected for good because engines are reserved for another one at this moment.
func TestReservedEnginesAreFreeInTime(t *testing.T) {
	is := is.New(t)
	s := busyScheduler(24)
	_, reserved := waitForEngines(t, s)
	// 26 s on one engine: 16 engines need 1.6 s, the eight that are not reserved over 3 s.
	other := long("other", 700_000)
	other.Left = 2500 * time.Millisecond
	other.Output = s.engine.EventTokens // the response ends with its first event, within the time limit
	for _, r := range s.sortedReplicas {
		if !slices.Contains(reserved, r.record.ID) && len(other.Exclude) < 8 {
			other.Exclude = append(other.Exclude, r.record.ID)
		}
	}
	is.True(s.Reserve(epoch, "entry", other).Status != Rejected)
}
