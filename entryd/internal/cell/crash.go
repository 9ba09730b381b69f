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
	// suspectTime is how long a request that lost a connection is not run by this entry's own choice. A
	// dispatcher is replaced within some seconds.
	suspectTime = time.Minute
	// suspectWait is how long such a request waits for the next dispatcher: the session's lease and the
	// 3 s in which the next one rebuilds its view, with room for a second loss.
	suspectWait  = 10 * time.Second
	suspectPause = 250 * time.Millisecond
)

// errSuspect means that a request may have taken down an endpoint and that no dispatcher answers that
// could tell where it may run.
var errSuspect = errors.New("the request lost a connection and its dispatcher does not answer")

// crashes is what this entry knows of crashed endpoints. It serves only while a dispatcher is lost.
type crashes struct {
	mu sync.Mutex
	// endpoints and suspects (fingerprints) have the time of the last lost connection.
	endpoints map[string]time.Time
	suspects  map[uint64]time.Time
}

func newCrashes() *crashes {
	return &crashes{endpoints: make(map[string]time.Time), suspects: make(map[uint64]time.Time)}
}

// ended notes how an attempt ended. A request that finishes is no suspect any more.
func (c *crashes) ended(event dispatch.Event, how dispatch.EventType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch how {
	case dispatch.Finished:
		delete(c.suspects, event.Fingerprint)
	case dispatch.ConnectionLost:
		now := time.Now()
		maps.DeleteFunc(c.endpoints, func(_ string, at time.Time) bool { return now.Sub(at) >= endpoint.DeadAfter })
		maps.DeleteFunc(c.suspects, func(_ uint64, at time.Time) bool { return now.Sub(at) >= suspectTime })
		c.suspects[event.Fingerprint] = now
		if len(event.Members) > 0 {
			// The connection is to the first member of a group.
			c.endpoints[event.Members[0].Endpoint] = now
		}
	}
}

func (c *crashes) suspect(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.suspects[fingerprint]
	return ok && time.Since(at) < suspectTime
}

// lost returns the endpoints that may be going down.
func (c *crashes) lost() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, at := range c.endpoints {
		if time.Since(at) < endpoint.DeadAfter {
			names = append(names, name)
		}
	}
	return names
}

func quarantined() refusal.Error {
	return refusal.New(http.StatusUnprocessableEntity, string(dispatch.Quarantined), refusal.DidNotRun,
		"This request made endpoints crash and is refused for some minutes.")
}

func noSafeEndpoint() refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, string(dispatch.NoSafeEndpoint), refusal.DidNotRun,
		"The request ran on an endpoint whose connection broke, and no dispatcher answers that could tell where it may run.").
		WithRetryAfter(retryUnreachable)
}
