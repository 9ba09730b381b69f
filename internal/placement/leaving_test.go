package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work for an engine that says in its responses that it is leaving while its registration still says that
// it is ready, and against holding its next incarnation to that.
func TestLeavingEngineGetsNoWork(t *testing.T) {
	for name, test := range map[string]struct {
		event EventType
		// started is the incarnation in the event; the registered one is 1.
		started int64
		leaves  bool
	}{
		"first event":          {FirstEvent, 1, true},
		"finished":             {Finished, 1, true},
		"declined":             {Declined, 1, true},
		"earlier incarnation":  {Finished, 0, false},
		"declined by earlier":  {Declined, 0, false},
		"failed, then dropped": {Failed, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(2)
			granted := s.Reserve(epoch, "entry", short("a"))
			engine := granted.Grant.Members[0]
			is.Equal(engine.Started, int64(1))
			s.Report(epoch, "entry", Event{Type: test.event, Job: short("a"), Endpoint: engine.Endpoint, Started: test.started, Leaving: true})
			s.Update(epoch, engines(2)) // another record says that both are ready
			used := func(now time.Time, id string) bool {
				for i := range 8 {
					reply := s.Reserve(now, "entry", short(id+string(rune('0'+i))))
					if reply.Status == Granted && reply.Grant.Members[0].Endpoint == engine.Endpoint {
						return true
					}
				}
				return false
			}
			is.Equal(used(epoch.Add(time.Second), "b"), !test.leaves)
			records := engines(2)
			for i := range records {
				records[i].Started = 2
			}
			s.Update(epoch.Add(2*time.Second), records)
			is.True(used(epoch.Add(2*time.Second), "c") || used(epoch.Add(2*time.Second), "d"))
		})
	}
}
