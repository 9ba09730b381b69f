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

// ensureReplica returns the replica of that name. A new one counts as not yet announced.
func (c *cell) ensureReplica(now time.Time, name string) *replica {
	r := c.replicas[name]
	if r != nil {
		return r
	}
	r = &replica{
		name: name, announcement: endpoint.Announcement{Name: name}, lastSeen: now, advancedAt: now, rateCorrection: 1,
		unmatchedSince: make(map[string]time.Time), indexSlot: c.prefixIndex.Add(1),
	}
	c.replicas[name] = r
	at, _ := slices.BinarySearchFunc(c.sortedReplicas, name, func(r *replica, name string) int { return cmp.Compare(r.name, name) })
	c.sortedReplicas = slices.Insert(c.sortedReplicas, at, r)
	return r
}

func (c *cell) removeReplica(r *replica) {
	c.prefixIndex.Remove(r.indexSlot)
	delete(c.replicas, r.name)
	c.sortedReplicas = slices.DeleteFunc(c.sortedReplicas, func(other *replica) bool { return other == r })
}

// announce applies an announcement. A new incarnation means that the endpoint has restarted, which ends
// the grants of the old one.
func (c *cell) announce(now time.Time, a endpoint.Announcement) {
	if slices.Contains(c.endedIncarnations[a.Name], a.Incarnation) {
		return
	}
	r := c.ensureReplica(now, a.Name)
	if r.announced && r.announcement.Incarnation != a.Incarnation {
		c.recordEndedIncarnation(a.Name, r.announcement.Incarnation)
		c.endpointDied(now, r, r)
		c.removeReplica(r)
		r = c.ensureReplica(now, a.Name)
	}
	if !r.announced {
		c.prefixIndex.Remove(r.indexSlot)
		r.indexSlot = c.prefixIndex.Add(max(1, a.Memory/prefix.BlockTokens))
	}
	c.refuteLosses(now, r.name)
	r.announcement, r.announced, r.moved, r.lastSeen = a, true, false, now
	r.announcement.CacheEvents = nil
	r.drained = c.config.EndpointDrained(a.Name, a.DataCentre)
	r.connectionLostAt = time.Time{}
	r.advancePrefill(now, c.settings)
	r.applyLoadReport(now)
	for _, event := range a.CacheEvents {
		c.prefixIndex.Apply(r.indexSlot, event)
	}
	c.updateEjections(now)
	c.placeQueued(now, maxTriesPerEvent)
}

const (
	// maxEndedIncarnations limits the ended incarnations that are remembered of one endpoint,
	// maxEndedIncarnationEndpoints the endpoints.
	maxEndedIncarnations         = 4
	maxEndedIncarnationEndpoints = 1024
)

// recordEndedIncarnation remembers an ended incarnation of an endpoint. An entry that was suspended may
// forward an announcement of it late. If that counted as a restart, it would end the grants of the
// current incarnation.
func (c *cell) recordEndedIncarnation(name, incarnation string) {
	if len(c.endedIncarnations) >= maxEndedIncarnationEndpoints {
		clear(c.endedIncarnations)
	}
	ended := append(c.endedIncarnations[name], incarnation)
	c.endedIncarnations[name] = ended[max(0, len(ended)-maxEndedIncarnations):]
}

// endpointDied ends the grants of an endpoint that is confirmed dead. restarted is r if a new incarnation
// has taken its place, which no longer has the old holdings; otherwise it is nil and the holdings are
// deleted, because an endpoint that has only fallen silent may still have them.
func (c *cell) endpointDied(now time.Time, r, restarted *replica) {
	if !r.announced {
		for _, p := range slices.Clone(r.parts) {
			c.endGrant(now, p.grant, restarted)
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
		c.endGrant(now, p.grant, restarted)
	}
	if restarted == nil && r.connectionLostAt.IsZero() {
		// Silence alone is not a crash, which would also break the connections. At three times the
		// capacity, announcements of engines were late, their requests became suspects, and one of them
		// was quarantined although it had crashed nothing.
		return
	}
	if l := c.suspects.losses[r.name]; l != nil {
		running = append(running, l.fingerprints...)
	}
	c.shareWithCells(ShareRequest{Type: ShareEndpointDied, Endpoint: r.name, Fingerprints: running})
	for _, culprit := range c.suspects.recordDeath(now, r.name, running) {
		c.quarantine(now, culprit)
	}
}
