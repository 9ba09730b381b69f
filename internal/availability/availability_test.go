package availability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/availability"
)

var (
	start = time.Unix(1000, 0)
	first = availability.Incarnation{ID: "engine-1", Started: 1}
	again = availability.Incarnation{ID: "engine-1", Started: 2}
)

// Guards against work for an endpoint that has said it leaves, and against holding its next incarnation to that.
func TestLeavingEndsWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	tracker := availability.NewTracker()
	tracker.RecordLeaving(start, "model", first)
	tracker.RecordPause(start, "model", first, time.Second)
	for _, after := range []time.Duration{0, time.Second, time.Hour} {
		is.True(!tracker.Allows(start.Add(after), first))
		is.True(tracker.Allows(start.Add(after), again))
	}
	is.Equal(tracker.Unavailable(start, "model"), []availability.Incarnation{first})
	is.Equal(len(tracker.Unavailable(start, "desk")), 0)
	tracker.Forget(start.Add(time.Hour), "model", []availability.Incarnation{first})
	is.True(!tracker.Allows(start.Add(time.Hour), first)) // it is still registered
	tracker.Forget(start.Add(time.Minute), "model", nil)
	is.True(!tracker.Allows(start.Add(time.Minute), first)) // its registration may come back
	tracker.Forget(start.Add(time.Hour), "model", nil)
	is.True(tracker.Allows(start.Add(time.Hour), first))
}

// Guards against requests to an endpoint within its pause, and against pauses without end.
func TestPause(t *testing.T) {
	for name, test := range map[string]struct{ pause, length time.Duration }{
		"fraction": {300 * time.Millisecond, 300 * time.Millisecond},
		"seconds":  {4 * time.Second, 4 * time.Second},
		"none":     {0, 0},
		"negative": {-time.Second, 0},
		"absurd":   {1e6 * time.Hour, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := availability.NewTracker()
			tracker.RecordPause(start, "model", first, test.pause)
			tracker.RecordPause(start, "model", first, test.pause/2)
			left, paused := tracker.PauseLeft(start, []availability.Incarnation{again, first})
			is.Equal(left, test.length)
			is.Equal(paused, test.length > 0)
			is.Equal(tracker.Allows(start.Add(test.length-1), first), test.length == 0)
			is.True(tracker.Allows(start.Add(test.length), first))
		})
	}
}

func Example() {
	tracker := availability.NewTracker()
	engine := availability.Incarnation{ID: "engine-1", Started: 1}
	tracker.RecordPause(start, "model", engine, time.Second)
	fmt.Println(tracker.Unavailable(start, "model"), tracker.Allows(start.Add(time.Second), engine))
	// Output: [{engine-1 1}] true
}
