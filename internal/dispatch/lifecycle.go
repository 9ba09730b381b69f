package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// replica returns the view of an endpoint, new ones unannounced.
func (c *cell) replica(now time.Time, name string) *replica {
	r := c.replicas[name]
	if r != nil {
		return r
	}
	r = &replica{
		name: name, announcement: endpoint.Announcement{Name: name}, seen: now, advanced: now, correction: 1,
		unknown: make(map[string]time.Time), slot: c.index.Add(1),
	}
	c.replicas[name] = r
	at, _ := slices.BinarySearchFunc(c.order, name, func(r *replica, name string) int { return cmp.Compare(r.name, name) })
	c.order = slices.Insert(c.order, at, r)
	return r
}

func (c *cell) removeReplica(r *replica) {
	c.index.Remove(r.slot)
	delete(c.replicas, r.name)
	c.order = slices.DeleteFunc(c.order, func(other *replica) bool { return other == r })
}

// announce takes an announcement. A new incarnation ends the old life.
func (c *cell) announce(now time.Time, a endpoint.Announcement) {
	if slices.Contains(c.retired[a.Name], a.Incarnation) {
		return
	}
	r := c.replica(now, a.Name)
	if r.announced && r.announcement.Incarnation != a.Incarnation {
		c.retire(a.Name, r.announcement.Incarnation)
		c.died(now, r, r)
		c.removeReplica(r)
		r = c.replica(now, a.Name)
	}
	if !r.announced {
		c.index.Remove(r.slot)
		r.slot = c.index.Add(max(1, a.Memory/prefix.BlockTokens))
	}
	c.refute(now, r.name)
	r.announcement, r.announced, r.moved, r.seen = a, true, false, now
	r.announcement.CacheEvents = nil
	r.drained = c.config.EndpointDrained(a.Name)
	r.unsure = time.Time{}
	r.advance(now, c.settings)
	r.takeLoad(now)
	for _, event := range a.CacheEvents {
		c.index.Apply(r.slot, event)
	}
	c.eject(now)
	c.pump(now, eventScan)
}

const (
	// maxRetired bounds the ended lives remembered of one endpoint, maxRetiredNames the endpoints.
	maxRetired      = 4
	maxRetiredNames = 1024
)

// retire remembers an ended life of an endpoint. An entry that was frozen may forward an announcement of
// it late; taken for a restart, it would end the grants of the present life.
func (c *cell) retire(name, incarnation string) {
	if len(c.retired) >= maxRetiredNames {
		clear(c.retired)
	}
	retired := append(c.retired[name], incarnation)
	c.retired[name] = retired[max(0, len(retired)-maxRetired):]
}

// died ends the grants of an endpoint that is confirmed dead. Its holdings are deleted unless gone names
// it because of a new incarnation: an endpoint that is only silent may still have them.
func (c *cell) died(now time.Time, r, gone *replica) {
	if !r.announced {
		for _, p := range slices.Clone(r.parts) {
			c.endGrant(now, p.grant, gone)
		}
		return
	}
	c.config.Logger.Warn("Endpoint died", zap.String("cell", c.name), zap.String(logging.Endpoint, r.name),
		zap.Int("grants", len(r.parts)))
	var running []uint64
	for _, p := range slices.Clone(r.parts) {
		if r.announcement.State != endpoint.Leaving {
			running = append(running, p.grant.fingerprint)
		}
		c.endGrant(now, p.grant, gone)
	}
	if gone == nil && r.unsure.IsZero() {
		// Silence alone is no crash: a crash breaks the connections. At three times the capacity engines
		// whose announcements came late made innocent requests suspects, and one was quarantined.
		return
	}
	if l := c.suspects.losses[r.name]; l != nil {
		running = append(running, l.fingerprints...)
	}
	c.share(ShareRequest{Type: ShareDeath, Endpoint: r.name, Fingerprints: running})
	for _, culprit := range c.suspects.death(now, r.name, running) {
		c.quarantine(now, culprit)
	}
}
