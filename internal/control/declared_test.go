package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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

// Guards against a snapshot that forgets the declaration, the endpoints or the suspects.
func TestSnapshotKeepsDeclared(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	apply(t, m, Command{Declare: &DeclareRequest{Document: document(t, 5, "five")}})
	apply(t, m, Command{Register: &RegisterRequest{CheckIn: &registration.Record{ID: "e", Address: "a:1", State: registration.Ready}}})
	apply(t, m, Command{Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: "e1"}})
	apply(t, m, Command{Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: "e2"}})
	data, err := m.Snapshot()()
	is.NoErr(err)
	restored := NewMachine()
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Document(), m.Document())
	is.Equal(restored.Endpoints(), m.Endpoints())
	reply := apply(t, restored, Command{Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: "e3"}})
	is.True(reply.(SuspectReply).Quarantined)
}

// Guards against a request that goes on crashing endpoints, and against one that is refused because one
// endpoint died twice, or because of deaths long ago.
func TestRequestsThatCrashEndpoints(t *testing.T) {
	tests := map[string]struct {
		deaths      []string
		gap         time.Duration
		quarantined bool
	}{
		"three endpoints":  {[]string{"a", "b", "c"}, time.Second, true},
		"two endpoints":    {[]string{"a", "b"}, time.Second, false},
		"one, three times": {[]string{"a", "a", "a"}, time.Second, false},
		"long ago":         {[]string{"a", "b", "c"}, QuarantineTime, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMachine()
			now := int64(1_800_000_000_000)
			for _, endpoint := range test.deaths {
				apply(t, m, Command{Time: now, Suspect: &SuspectRequest{Fingerprint: 7, Endpoint: endpoint}})
				now += test.gap.Milliseconds()
			}
			is.New(t).Equal(len(m.Quarantined(now)) == 1, test.quarantined)
		})
	}
}

// Guards against an entry that misses what changed, and against one that is sent what it has.
func TestNewsLeadToTheLeadersState(t *testing.T) {
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
		news := m.news(known, control)
		is.True(news != nil)
		if news.AllEndpoints {
			list = registration.NewList(news.Version.Endpoints, news.Endpoints)
		} else {
			list = list.WithChanges(news.Version.Endpoints, news.EndpointChanges)
		}
		known = news.Version
		is.Equal(len(news.Control) == 1, i == 0)
		is.True(m.news(known, control) == nil)
		is.Equal(fmt.Sprint(list), fmt.Sprint(registration.NewList(m.endpoints.Version(), m.Endpoints())))
	}
}

// Guards against endpoints that are taken off the list because a leader is new, or that stay on it for ever.
func TestSilentEndpoints(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	records := []registration.Record{{ID: "heard"}, {ID: "silent"}}
	var p presence
	is.Equal(len(p.silent(1, records, now)), 0)
	p.hear("heard", now.Add(silentAfter))
	is.Equal(p.silent(1, records, now.Add(silentAfter+time.Second)), records[1:])
	is.Equal(len(p.silent(2, records, now.Add(silentAfter+2*time.Second))), 0)
}
