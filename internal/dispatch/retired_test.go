package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an announcement of an ended life that a frozen entry forwards late: taken for another
// restart, it would end the grants of the present life and make their requests suspects.
func TestLateAnnouncementOfEndedLife(t *testing.T) {
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
