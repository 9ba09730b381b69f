package dispatch

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

func cellCount(config *Config, first string) int {
	if config.CellCount == nil {
		return 1
	}
	return config.CellCount(first)
}

// belongs reports whether the endpoint belongs to this cell.
func (c *cell) belongs(endpoint string) bool {
	return CellForEndpoint(c.firstCell, endpoint, c.cellCount) == c.name
}

// resize hands endpoints over to other cells when the number of the model's cells has changed. Their
// grants move with them: entries report the grants to the new cell from then on, which adopts them within
// a second. A group that keeps a member here stays known in both cells, and both renew its holdings.
// Nothing is cancelled, and a grant that is handed over is not remembered as ended, so that this cell can
// adopt it again.
func (c *cell) resize(now time.Time) {
	if count := cellCount(c.config, c.firstCell); count != c.cellCount {
		c.cellCount = count
		for _, r := range c.sortedReplicas {
			if !r.moved && !c.belongs(r.name) {
				r.moved, r.announced, r.ejected = true, false, false
			}
		}
	}
	if !slices.ContainsFunc(c.sortedReplicas, func(r *replica) bool { return r.moved }) {
		return
	}
	for _, id := range sortedKeys(c.grants, func(g *grant) bool { return !g.creatingHoldings && c.allMembersMoved(g) }) {
		c.handOverGrant(c.grants[id])
	}
	for _, r := range slices.Clone(c.sortedReplicas) {
		if r.moved && len(r.parts) == 0 && now.Sub(r.lastSeen) > endpoint.DeadAfter {
			c.removeReplica(r)
		}
	}
	if c.hold != nil && slices.ContainsFunc(c.hold.members, func(r *replica) bool { return r.moved }) {
		c.hold = nil
	}
}

// listed reports whether the endpoint is included in replies about the cell's endpoints. One that has moved
// is included for some seconds more: its new cell learns of it only with the next announcement, and
// controllers must not consider it lost until then.
func (r *replica) listed(now time.Time) bool {
	return r.announced || r.moved && r.announcement.Incarnation != "" && now.Sub(r.lastSeen) <= endpoint.DeadAfter
}

// allMembersMoved reports whether no member of the grant belongs to this cell any more.
func (c *cell) allMembersMoved(g *grant) bool {
	return !slices.ContainsFunc(g.parts, func(p *grantPart) bool { return !p.replica.moved })
}

// handOverGrant forgets a grant that another cell adopts.
func (c *cell) handOverGrant(g *grant) {
	delete(c.grants, g.ID)
	c.suspects.grantEnded(g)
	for _, p := range g.parts {
		p.replica.removePart(p)
		p.replica.breaker.grantEnded(g.ID)
	}
}
