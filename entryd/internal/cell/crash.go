package cell

import (
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
)

const (
	// suspectTTL is how long this entry does not run a request by its own choice after the connection to the
	// request's endpoint broke. A dispatcher is replaced within some seconds.
	suspectTTL = time.Minute
	// suspectMaxWait is how long such a request waits for the next dispatcher: the session's lease plus the 3 s
	// in which the next dispatcher rebuilds its view, with time left for a second loss.
	suspectMaxWait       = 10 * time.Second
	suspectRetryInterval = 250 * time.Millisecond
)

// errSuspect means that the request may have crashed an endpoint and that no dispatcher replies that could
// tell where it may run.
var errSuspect = errors.New("the request lost a connection and its dispatcher does not reply")

// crashTracker holds what this entry knows of crashed endpoints. It is used only while a dispatcher is
// unreachable.
type crashTracker struct {
	mu sync.Mutex
	// endpoints by name, and suspects by fingerprint, hold the time of the last lost connection.
	endpoints map[string]time.Time
	suspects  map[uint64]time.Time
}

func newCrashTracker() *crashTracker {
	return &crashTracker{endpoints: make(map[string]time.Time), suspects: make(map[uint64]time.Time)}
}

// recordEnd records how an attempt ended. A request that has finished is no longer a suspect.
func (c *crashTracker) recordEnd(event dispatch.Event, eventType dispatch.EventType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch eventType {
	case dispatch.Finished:
		delete(c.suspects, event.Fingerprint)
	case dispatch.ConnectionLost:
		now := time.Now()
		maps.DeleteFunc(c.endpoints, func(_ string, lostAt time.Time) bool { return now.Sub(lostAt) >= endpoint.DeadAfter })
		maps.DeleteFunc(c.suspects, func(_ uint64, lostAt time.Time) bool { return now.Sub(lostAt) >= suspectTTL })
		c.suspects[event.Fingerprint] = now
		if len(event.Members) > 0 {
			// The connection is to the first member of a group.
			c.endpoints[event.Members[0].Endpoint] = now
		}
	}
}

func (c *crashTracker) isSuspect(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lostAt, ok := c.suspects[fingerprint]
	return ok && time.Since(lostAt) < suspectTTL
}

// failedEndpoints returns the endpoints that may be crashing, because a connection to them broke a short time ago.
func (c *crashTracker) failedEndpoints() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, lostAt := range c.endpoints {
		if time.Since(lostAt) < endpoint.DeadAfter {
			names = append(names, name)
		}
	}
	return names
}

func quarantinedError() refusal.Error {
	return refusal.New(http.StatusUnprocessableEntity, string(dispatch.Quarantined), refusal.DidNotRun,
		"This request made endpoints crash and is refused for some minutes.")
}

func noSafeEndpointError() refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, string(dispatch.NoSafeEndpoint), refusal.DidNotRun,
		"The request ran on an endpoint whose connection broke, and no dispatcher answers that could tell where it may run.").
		WithRetryAfter(unreachableRetryAfter)
}
