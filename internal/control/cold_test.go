package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// Guards against a commit for each check-in of an endpoint that warms up, and against news that is dropped: an endpoint
// that is cold again before it was warm, or that is warm.
func TestCheckInsOfColdEndpoints(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	var tracker checkInTracker
	start := time.Unix(1_800_000_000, 0)
	record := registration.Record{ID: "e", Address: "10.0.0.1:80", Service: "s", State: registration.Ready, Started: 1}
	steps := []struct {
		at, cold  time.Duration
		committed bool
	}{
		{0, 3 * time.Second, true},
		{1200 * time.Millisecond, 1800 * time.Millisecond, false},
		{1500 * time.Millisecond, 1700 * time.Millisecond, false}, // it took longer to arrive
		{2400 * time.Millisecond, 3 * time.Second, true},          // cold again
		{3600 * time.Millisecond, 1800 * time.Millisecond, false},
		{5400 * time.Millisecond, 0, true},
		{6600 * time.Millisecond, 0, false},
		{7800 * time.Millisecond, time.Second, true},
	}
	for i, step := range steps {
		now := start.Add(step.at)
		record.Sequence, record.Cold = uint64(i+1), step.cold
		request := RegisterRequest{CheckIn: &record}
		commit := m.WouldChangeEndpoints(request) && !(m.StaysCold(record) && tracker.warmsUpAsKnown(record, now))
		if commit != step.committed {
			t.Errorf("check-in %d: committed %v", i+1, commit)
		}
		if commit {
			apply(t, m, Command{Register: &request})
			tracker.recordCommitted(record, now)
		}
	}
	// A leader that begins its term does not know what was committed when.
	record.Sequence++
	record.Cold = 500 * time.Millisecond
	is.True(m.StaysCold(record) && !(&checkInTracker{}).warmsUpAsKnown(record, start))
}
