package dispatch

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// maxRemoved limits the removed endpoints that are remembered. A caller with an older version gets all
// endpoints.
const maxRemoved = 1024

// changeLog assigns versions to the changes of a cell's endpoints, for callers that poll. It compares the
// endpoints with those of the previous call when it is polled, so that it adds no cost to announcements.
type changeLog struct {
	// incarnation distinguishes this log from those of other dispatchers of the cell.
	incarnation uint64
	version     uint64
	known       map[string]publishedView
	// removed has the version at which each endpoint was removed. Removals up to forgottenVersion are no
	// longer known.
	removed          map[string]uint64
	forgottenVersion uint64
}

type publishedView struct {
	version uint64
	view    EndpointView
}

func newChangeLog() *changeLog {
	return &changeLog{incarnation: rand.Uint64(), known: make(map[string]publishedView), removed: make(map[string]uint64)}
}

// comparableView leaves out what differs at every poll and what callers of changes do not use: counts,
// ages, and the load of endpoints that have no role to change.
func comparableView(r *replica) EndpointView {
	a := r.announcement
	a.CacheEvents = nil
	if a.Role == "" {
		a.Load = endpoint.Load{}
	}
	return EndpointView{Announcement: a, Open: r.ejected}
}

// update assigns versions to the changes since the last call.
func (l *changeLog) update(now time.Time, replicas []*replica) {
	present := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		if !r.listed(now) {
			continue
		}
		present[r.name] = true
		view := comparableView(r)
		if known, ok := l.known[r.name]; ok && reflect.DeepEqual(known.view, view) {
			continue
		}
		l.version++
		l.known[r.name] = publishedView{version: l.version, view: view}
		delete(l.removed, r.name)
	}
	for name := range l.known {
		if present[name] {
			continue
		}
		if len(l.removed) >= maxRemoved {
			clear(l.removed)
			l.forgottenVersion = l.version
		}
		l.version++
		delete(l.known, name)
		l.removed[name] = l.version
	}
}

// since returns the changes since the caller's version, or all endpoints if this log does not know that
// version.
func (l *changeLog) since(request EndpointsRequest) EndpointsReply {
	reply := EndpointsReply{Status: Granted, Life: l.incarnation, Version: l.version}
	from := request.Version
	if request.Life != l.incarnation || from > l.version || from < l.forgottenVersion {
		reply.Whole, from = true, 0
	}
	for _, name := range slices.Sorted(maps.Keys(l.known)) {
		if known := l.known[name]; known.version > from {
			reply.Endpoints = append(reply.Endpoints, known.view)
		}
	}
	if !reply.Whole {
		reply.Gone = sortedKeys(l.removed, func(version uint64) bool { return version > from })
	}
	return reply
}

// changesSince returns the reply to a request for changes.
func (c *cell) changesSince(now time.Time, request EndpointsRequest) EndpointsReply {
	if c.changes == nil {
		c.changes = newChangeLog()
	}
	c.changes.update(now, c.sortedReplicas)
	return c.changes.since(request)
}
