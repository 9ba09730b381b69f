package dispatch

import (
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// cell is the view of one cell and all decisions on it. Its methods do no I/O and take the time as an
// argument; calls to endpoints are collected in calls.
type cell struct {
	name     string
	config   *Config
	mu       sync.Mutex
	replicas map[string]*replica
	grants   map[string]*grant
	calls    []call
}

type replica struct {
	announcement endpoint.Announcement
	seen         time.Time
	grants       map[string]*grant
	tokens       int
}

type grant struct {
	Grant
	replica *replica
	tokens  int
	event   time.Time
}

func newCell(name string, config *Config, _ time.Time) *cell {
	return &cell{name: name, config: config, replicas: make(map[string]*replica), grants: make(map[string]*grant)}
}

// reserve grants the replica with the fewest reserved tokens.
func (c *cell) reserve(now time.Time, request ReserveRequest) ReserveReply {
	if g := c.grants[request.AttemptID]; g != nil {
		return ReserveReply{Status: Granted, Grant: g.Grant}
	}
	var best *replica
	for _, r := range c.replicas {
		if r.announcement.State != endpoint.Ready || c.config.EndpointDrained(r.announcement.Name) {
			continue
		}
		if best == nil || r.tokens < best.tokens {
			best = r
		}
	}
	if best == nil {
		return ReserveReply{Status: Refused, Reason: NoEndpoint, Message: "cell " + c.name + " has no ready endpoint"}
	}
	tokens := request.PromptTokens + request.MaxTokens
	g := &grant{replica: best, tokens: tokens, event: now, Grant: Grant{ID: request.AttemptID, Members: []GrantMember{{
		Endpoint: best.announcement.Name, Address: best.announcement.Address, Tokens: tokens,
	}}}}
	c.grants[g.ID] = g
	best.grants[g.ID] = g
	best.tokens += tokens
	return ReserveReply{Status: Granted, Grant: g.Grant}
}

func (c *cell) end(g *grant) {
	delete(c.grants, g.ID)
	delete(g.replica.grants, g.ID)
	g.replica.tokens -= g.tokens
}

func (c *cell) beginAwait(time.Time, string) <-chan struct{} { return nil }

func (c *cell) endAwait(_ time.Time, attempt string, _ bool) ReserveReply {
	if g := c.grants[attempt]; g != nil {
		return ReserveReply{Status: Granted, Grant: g.Grant}
	}
	return ReserveReply{Status: Elsewhere}
}

func (c *cell) report(now time.Time, event Event) {
	g := c.grants[event.Grant]
	if g == nil {
		return
	}
	g.event = now
	switch event.Type {
	case Finished, Cancelled, Failed, Died:
		c.end(g)
	}
}

func (c *cell) announce(now time.Time, a endpoint.Announcement) {
	r := c.replicas[a.Name]
	if r == nil {
		r = &replica{grants: make(map[string]*grant)}
		c.replicas[a.Name] = r
	}
	if r.announcement.Incarnation != a.Incarnation {
		c.endAll(r)
	}
	r.announcement, r.seen = a, now
}

func (c *cell) endAll(r *replica) {
	for _, g := range r.grants {
		c.end(g)
	}
}

func (c *cell) tick(now time.Time) {
	for name, r := range c.replicas {
		if now.Sub(r.seen) > endpoint.DeadAfter {
			c.endAll(r)
			delete(c.replicas, name)
		}
	}
	for _, g := range c.grants {
		if now.Sub(g.event) > GrantTTL {
			c.end(g)
			a := g.replica.announcement
			c.calls = append(c.calls, cancelCall{endpoint: a.Name, address: a.Address, attempt: g.ID})
		}
	}
}

func (c *cell) compare(time.Time) {}

func (c *cell) renew(time.Time) {}

func (c *cell) abandon() {}

func (c *cell) view(now time.Time) EndpointsReply {
	reply := EndpointsReply{Status: Granted}
	for _, r := range c.replicas {
		reply.Endpoints = append(reply.Endpoints, EndpointView{
			Announcement: r.announcement, Grants: len(r.grants), GrantedTokens: r.tokens, Age: now.Sub(r.seen),
		})
	}
	return reply
}
