package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a late announcement of an ended incarnation, forwarded by an entry that was suspended, that
// counts as another restart: it would end the grants of the current incarnation and make their requests
// suspects.
func TestLateAnnouncementOfEndedIncarnation(t *testing.T) {
	is := is.New(t)
	c := testCellWith(testConfig())
	old := engine(0, 100_000)
	c.announce(epoch, old)
	restarted := old
	restarted.Incarnation = "2"
	c.announce(epoch.Add(time.Second), restarted)
	reply := c.reserve(epoch.Add(time.Second), request("r1", 1000, 10))
	is.Equal(reply.Status, Granted)

	c.announce(epoch.Add(2*time.Second), old)
	is.Equal(len(c.grants), 1)
	is.Equal(c.replicas[old.Name].announcement.Incarnation, "2")

	third := old
	third.Incarnation = "3"
	c.announce(epoch.Add(3*time.Second), third)
	is.Equal(len(c.grants), 0) // a real restart still ends them
}

// Guards against counting the silence of an engine as a crash although no connection broke. Overloaded engines
// fall silent, and a harmless request that ran on two of them would be quarantined.
func TestSilenceIsNoCrash(t *testing.T) {
	for name, lost := range map[string]bool{"silent": false, "connection lost": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := testCellWith(testConfig())
			now := epoch
			for i := range 2 {
				c.announce(now, engine(i, 100_000))
				r := request(engine(i, 0).Name, 1000, 10)
				r.Fingerprint = 7
				is.Equal(c.reserve(now, r).Status, Granted)
				if lost {
					c.report(now, Event{Grant: r.AttemptID, Type: ConnectionLost})
				}
				for range 5 {
					now = now.Add(900 * time.Millisecond)
					c.tick(now)
				}
				is.Equal(len(c.replicas), 0)
			}
			is.Equal(c.quarantined(now, 7), lost)
		})
	}
}
