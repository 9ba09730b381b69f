package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/matryer/is"
)

// crashPolicy is the part of a dispatcher that the crash scenario uses.
type crashPolicy interface {
	reserve(now time.Time, request ReserveRequest) ReserveReply
	endAwait(now time.Time, attempt string, began bool) ReserveReply
	report(now time.Time, event Event)
	announce(now time.Time, a endpoint.Announcement)
	tick(now time.Time)
}

// leastLoaded is the baseline: it grants the endpoint with the fewest grants among those that have announced
// themselves recently.
type leastLoaded struct {
	lastSeen map[string]time.Time
	grants   map[string]string
}

func (l *leastLoaded) reserve(now time.Time, request ReserveRequest) ReserveReply {
	best, fewest := "", 0
	for name, seen := range l.lastSeen {
		count := 0
		for _, on := range l.grants {
			if on == name {
				count++
			}
		}
		tried := len(request.Exclude) > 0 && request.Exclude[0] == name
		if !tried && now.Sub(seen) <= endpoint.DeadAfter && (best == "" || count < fewest || (count == fewest && name < best)) {
			best, fewest = name, count
		}
	}
	if best == "" {
		return ReserveReply{Status: Refused, Reason: NoEndpoint}
	}
	l.grants[request.AttemptID] = best
	return ReserveReply{Status: Granted, Grant: Grant{ID: request.AttemptID, Members: []GrantMember{{Endpoint: best}}}}
}

func (l *leastLoaded) endAwait(time.Time, string, bool) ReserveReply {
	return ReserveReply{Status: Elsewhere}
}

func (l *leastLoaded) report(_ time.Time, event Event) { delete(l.grants, event.Grant) }

func (l *leastLoaded) announce(now time.Time, a endpoint.Announcement) { l.lastSeen[a.Name] = now }

func (l *leastLoaded) tick(time.Time) {}

// crashTask is one request that its caller or entry retries until it completes.
type crashTask struct {
	fingerprint uint64
	attempt     string
	excluded    []string
	runningOn   string
	started     time.Time
	reserved    bool
	done        bool
}

// crashScenario simulates a request that crashes each engine 50 ms after it starts there and that four
// entries retry as fast as they can, beside harmless requests that take 300 ms.
type crashScenario struct {
	dispatcher  crashPolicy
	restart     time.Duration
	now         time.Time
	engines     []endpoint.Announcement
	diedAt      map[string]time.Time
	tasks       []*crashTask
	reports     map[time.Time][]Event
	attempts    int
	deaths      int
	fewestAlive int
}

const crashingFingerprint = 666

func (s *crashScenario) run() {
	s.now, s.diedAt, s.reports, s.fewestAlive = epoch, map[string]time.Time{}, map[time.Time][]Event{}, len(s.engines)
	for _, e := range s.engines {
		s.dispatcher.announce(s.now, e)
	}
	for range 4 {
		s.tasks = append(s.tasks, &crashTask{fingerprint: crashingFingerprint})
	}
	for step := range 2000 {
		s.announce(step)
		if step%20 == 0 && step < 1000 {
			s.tasks = append(s.tasks, &crashTask{fingerprint: uint64(1000 + step)})
		}
		for i, task := range s.tasks {
			s.step(i, task)
		}
		for _, event := range s.reports[s.now] {
			s.dispatcher.report(s.now, event)
		}
		if step%10 == 0 {
			s.dispatcher.tick(s.now)
		}
		s.fewestAlive = min(s.fewestAlive, len(s.engines)-len(s.diedAt))
		s.now = s.now.Add(10 * time.Millisecond)
	}
}

func (s *crashScenario) announce(step int) {
	for i := range s.engines {
		e := &s.engines[i]
		at, dead := s.diedAt[e.Name]
		if dead && s.restart > 0 && s.now.Sub(at) >= s.restart {
			e.Incarnation += "x"
			delete(s.diedAt, e.Name)
			s.dispatcher.announce(s.now, *e)
		}
		if !dead && step%100 == i*30 {
			s.dispatcher.announce(s.now, *e)
		}
	}
}

// endAttempt ends the attempt of a task. Its entry reserves again immediately but reports the end up to 90 ms
// later.
func (s *crashScenario) endAttempt(i int, task *crashTask, event EventType) {
	at := s.now.Add(time.Duration(i%10) * 10 * time.Millisecond)
	s.reports[at] = append(s.reports[at], Event{Cell: testCell, Grant: task.attempt, Type: event})
	*task = crashTask{fingerprint: task.fingerprint, excluded: []string{task.runningOn}}
	if i%2 == 0 {
		// The caller itself retries through another entry, which has not tried any endpoint yet.
		task.excluded = nil
	}
}

func (s *crashScenario) step(i int, task *crashTask) {
	if task.done {
		return
	}
	if task.runningOn == "" {
		s.reserveTask(task)
		return
	}
	if at, dead := s.diedAt[task.runningOn]; dead && at.After(task.started) {
		s.endAttempt(i, task, ConnectionLost)
	} else if dead {
		s.endAttempt(i, task, Failed)
	} else if task.fingerprint == crashingFingerprint && s.now.Sub(task.started) >= 50*time.Millisecond {
		s.diedAt[task.runningOn] = s.now
		s.deaths++
		s.endAttempt(i, task, ConnectionLost)
	} else if s.now.Sub(task.started) >= 300*time.Millisecond {
		s.dispatcher.report(s.now, Event{Cell: testCell, Grant: task.attempt, Type: Finished})
		task.done = true
	}
}

func (s *crashScenario) reserveTask(task *crashTask) {
	var reply ReserveReply
	if task.reserved {
		reply = s.dispatcher.endAwait(s.now, task.attempt, false)
	} else {
		s.attempts++
		task.attempt = fmt.Sprintf("attempt-%d", s.attempts)
		r := request(task.attempt, 100, 10)
		r.Fingerprint, r.Exclude = task.fingerprint, task.excluded
		reply = s.dispatcher.reserve(s.now, r)
	}
	task.reserved = reply.Status == Queued
	switch reply.Status {
	case Granted:
		task.runningOn, task.started = reply.Grant.Members[0].Endpoint, s.now
	case Refused:
		task.excluded = nil
	}
}

func (s *crashScenario) unfinished() int {
	count := 0
	for _, task := range s.tasks {
		if task.fingerprint != crashingFingerprint && !task.done {
			count++
		}
	}
	return count
}

// Guards against a request that crashes all three replicas while its caller retries it through several
// entries, and against harmless requests that are lost or quarantined because of it.
func TestCrashingRequestLeavesAReplica(t *testing.T) {
	for name, test := range map[string]struct {
		restart   time.Duration
		knownGood bool
	}{
		"engines stay dead":                     {0, false},
		"engines restart within a second":       {500 * time.Millisecond, false},
		"engines restart after they count dead": {4 * time.Second, false},
		"the request has finished before":       {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engines := func() []endpoint.Announcement {
				return []endpoint.Announcement{engine(0, 100_000), engine(1, 100_000), engine(2, 100_000)}
			}
			baseline := &crashScenario{
				dispatcher: &leastLoaded{lastSeen: map[string]time.Time{}, grants: map[string]string{}},
				restart:    test.restart, engines: engines(),
			}
			baseline.run()
			is.Equal(baseline.fewestAlive, 0) // least-loaded placement loses all replicas

			c := testCellWith(testConfig())
			if test.knownGood {
				c.suspects.markKnownGood(epoch, crashingFingerprint)
			}
			s := &crashScenario{dispatcher: c, restart: test.restart, engines: engines()}
			s.run()
			t.Logf("deaths %d, fewest alive %d, attempts %d", s.deaths, s.fewestAlive, s.attempts)
			is.True(s.fewestAlive >= 1)
			is.True(s.deaths <= 2)
			is.Equal(s.unfinished(), 0)
			is.Equal(len(c.suspects.quarantined), 1)
			is.True(c.quarantined(s.now, crashingFingerprint))
			is.Equal(len(c.suspects.byFingerprint), 0) // no other suspect remains
		})
	}
}

// Guards against a dispatcher that was stopped for a while and then expires all endpoints and grants, and
// against one that afterwards never expires them.
func TestStalledDispatcherKeepsItsView(t *testing.T) {
	is := is.New(t)
	c := testCellWith(testConfig())
	c.announce(epoch, engine(0, 100_000))
	c.tick(epoch)
	is.Equal(c.reserve(epoch, request("a", 100, 10)).Status, Granted)
	c.tick(epoch.Add(10 * time.Second))
	is.Equal(len(c.sortedReplicas), 1)
	is.Equal(len(c.grants), 1)
	for i := range 35 {
		c.tick(epoch.Add(10*time.Second + time.Duration(i)*100*time.Millisecond))
	}
	is.Equal(len(c.sortedReplicas), 0)
	is.Equal(len(c.grants), 0)
}

// Guards against a lost connection that counts as the death of an endpoint although it still announces
// itself.
func TestLostConnectionIsNoDeath(t *testing.T) {
	is := is.New(t)
	c := testCellWith(testConfig())
	now := epoch
	c.announce(now, engine(0, 100_000))
	c.announce(now, engine(1, 100_000))
	for i := range 6 {
		r := request(fmt.Sprintf("a%d", i), 100, 10)
		r.Fingerprint = crashingFingerprint
		reply := c.reserve(now, r)
		for reply.Status == Queued {
			now = now.Add(500 * time.Millisecond)
			c.announce(now, engine(0, 100_000))
			c.announce(now, engine(1, 100_000))
			reply = c.endAwait(now, r.AttemptID, false)
		}
		is.Equal(reply.Status, Granted)
		c.report(now, Event{Cell: testCell, Grant: r.AttemptID, Type: ConnectionLost})
	}
	now = now.Add(2 * time.Second)
	c.announce(now, engine(0, 100_000))
	c.announce(now, engine(1, 100_000))
	is.True(!c.quarantined(now, crashingFingerprint))
	is.Equal(len(c.suspects.byFingerprint), 0)
}
