package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

func apply(t *testing.T, m *Machine, c Command) any {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(0, data)
}

func document(t *testing.T, version uint64, content string) declaration.Document {
	t.Helper()
	d, err := declaration.New(version, []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a declaration that goes back, or is replaced under its own version.
func TestHighestDeclarationWins(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	for _, step := range []struct {
		version uint64
		content string
	}{{5, "five"}, {3, "three"}, {5, "other"}, {9, "nine"}, {8, "eight"}} {
		apply(t, m, Command{Declare: &DeclareRequest{Document: document(t, step.version, step.content)}})
	}
	content, err := m.Document().Content()
	is.NoErr(err)
	is.Equal(m.Document().Version, uint64(9))
	is.Equal(string(content), "nine")
}

// Guards against a snapshot that leaves out the declaration, the endpoints or the suspects.
func TestSnapshotKeepsDeclarationAndEndpoints(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	apply(t, m, Command{Declare: &DeclareRequest{Document: document(t, 5, "five")}})
	apply(t, m, Command{Register: &RegisterRequest{CheckIn: &registration.Record{ID: "e", Address: "a:1", State: registration.Ready}}})
	apply(t, m, Command{Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: "e1"}})
	apply(t, m, Command{Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: "e2"}})
	for i := range int64(3) {
		apply(t, m, Command{Time: 1000 * (i + 1), Suspect: &SuspectRequest{Endpoint: fmt.Sprint("e", i), Parts: []string{"deadly"}}})
	}
	data, err := m.Snapshot()()
	is.NoErr(err)
	restored := NewMachine()
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Document(), m.Document())
	is.Equal(restored.Endpoints(), m.Endpoints())
	blames, asOf := restored.Blames(0)
	is.Equal(len(blames), 1)
	is.Equal(asOf, int64(3000)) // the time of the log, which is ahead
	reply := apply(t, restored, Command{Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: "e3"}})
	is.True(reply.(SuspectReply).Quarantined)
}

// Guards against a request that keeps crashing endpoints without being quarantined, also where they start again under
// their ids, and against one that is quarantined because one death was reported several times, or because of deaths long
// ago.
func TestRequestsThatCrashEndpoints(t *testing.T) {
	tests := map[string]struct {
		deaths      []death
		gap         time.Duration
		quarantined bool
	}{
		"three endpoints":              {[]death{{"a", 0}, {"b", 0}, {"c", 0}}, time.Second, true},
		"two endpoints":                {[]death{{"a", 0}, {"b", 0}}, time.Second, false},
		"one, three times":             {[]death{{"a", 0}, {"a", 0}, {"a", 0}}, time.Second, false},
		"long ago":                     {[]death{{"a", 0}, {"b", 0}, {"c", 0}}, QuarantineTime, false},
		"two that keep their ids":      {[]death{{"a", 1}, {"b", 2}, {"a", 3}}, time.Second, true},
		"one that keeps its id":        {[]death{{"a", 1}, {"a", 2}, {"a", 3}}, time.Second, true},
		"one incarnation, three times": {[]death{{"a", 1}, {"a", 1}, {"b", 2}, {"a", 1}}, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMachine()
			now := int64(1_800_000_000_000)
			for _, d := range test.deaths {
				apply(t, m, Command{Time: now, Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: d.Endpoint, Started: d.Started}})
				now += test.gap.Milliseconds()
			}
			is.New(t).Equal(len(m.Quarantined(now)) == 1, test.quarantined)
		})
	}
}

// Guards against a request that crashes endpoints behind the first event of its stream and is never refused, and against a
// sound one that is refused because endpoints that ran it failed together.
func TestRequestsThatCrashEndpointsDuringTheStream(t *testing.T) {
	// stream is one that ran at an endpoint of its own, in the time since the first event.
	type stream struct{ sent, ended time.Duration }
	const s, ms = time.Second, time.Millisecond
	tests := map[string]struct {
		streams     []stream
		quarantined bool
	}{
		"resumed twice":                 {[]stream{{0, 5 * s}, {5 * s, 9 * s}, {9 * s, 15 * s}}, true},
		"resumed once, then sent again": {[]stream{{0, 40 * ms}, {41 * ms, 80 * ms}, {s, s + 40*ms}}, true},
		"sent by three callers at once": {[]stream{{0, 40 * ms}, {0, 42 * ms}, {0, 44 * ms}}, true},
		"long streams cut together":     {[]stream{{0, 9 * s}, {4 * s, 9*s + 10*ms}, {8 * s, 9*s + 20*ms}}, false},
		"cut together, one resumed":     {[]stream{{0, 9 * s}, {4 * s, 9*s + 10*ms}, {9*s + 1*ms, 12 * s}}, false},
		"two endpoints":                 {[]stream{{0, 5 * s}, {5 * s, 9 * s}}, false},
	}
	for name, test := range tests {
		for _, delay := range []time.Duration{0, 200 * ms} {
			t.Run(fmt.Sprint(name, ", the first report committed after ", delay), func(t *testing.T) {
				m := NewMachine()
				start := time.UnixMilli(1_800_000_000_000)
				var now time.Time
				for i, r := range test.streams {
					now = start.Add(r.ended + 50*ms)
					cut := CutStream{SentAgo: now.Sub(start.Add(r.sent)), EndedAgo: now.Sub(start.Add(r.ended))}
					if i == 0 {
						now = now.Add(delay)
					}
					apply(t, m, Command{Time: now.UnixMilli(), Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: fmt.Sprint("e", i), Stream: &cut}})
				}
				is.New(t).Equal(len(m.Quarantined(now.UnixMilli())) == 1, test.quarantined)
			})
		}
	}
}

// Guards against reports on parts alone that together count against a request.
func TestReportsWithoutARequest(t *testing.T) {
	m := NewMachine()
	for i := range int64(5) {
		apply(t, m, Command{Time: 1000 * i, Suspect: &SuspectRequest{Fingerprint: crash.NoFingerprint, Endpoint: fmt.Sprint("e", i), Parts: []string{"a"}}})
	}
	is.New(t).Equal(len(m.Quarantined(5000)), 0)
}

// Guards against an entry that does not receive a change, and against one that is sent what it already has.
func TestUpdatesConvergeToLeaderState(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	control := []string{"a:1"}
	var known session.KnownVersions
	list := registration.NewList(0, nil)
	for i := range uint64(700) {
		apply(t, m, Command{Register: &RegisterRequest{CheckIn: &registration.Record{
			ID: fmt.Sprint("e", i%40), Address: fmt.Sprint("a:", i%40), Started: 1, Sequence: i, State: []registration.State{registration.Ready, registration.Draining}[i/40%2],
		}}})
		if i%100 != 0 && i < 600 {
			continue
		}
		update := m.updateFor(known, control)
		is.True(update != nil)
		if update.AllEndpoints {
			list = registration.NewList(update.Version.Endpoints, update.Endpoints)
		} else {
			list = list.WithChanges(update.Version.Endpoints, update.EndpointChanges)
		}
		known = update.Version
		is.Equal(len(update.Control) == 1, i == 0)
		is.True(m.updateFor(known, control) == nil)
		is.Equal(fmt.Sprint(list), fmt.Sprint(registration.NewList(m.endpoints.Version(), m.Endpoints())))
	}
}

// Guards against endpoints that are removed from the list because the leader changed, or that are never removed
// although they no longer check in.
func TestSilentEndpoints(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	records := []registration.Record{{ID: "heard"}, {ID: "silent"}}
	var tracker checkInTracker
	is.Equal(len(tracker.silent(1, records, now)), 0)
	tracker.record("heard", now.Add(checkInTimeout))
	is.Equal(tracker.silent(1, records, now.Add(checkInTimeout+time.Second)), records[1:])
	is.Equal(len(tracker.silent(2, records, now.Add(checkInTimeout+2*time.Second))), 0)
}
