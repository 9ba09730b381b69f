package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The bounds of the pages, by site. The cases stay inside them.
const (
	freezeTime   = 4 * time.Second
	stableWindow = 4 * time.Second
	outer        = 6 * time.Second
	evacuateTime = 5 * time.Second
	drainTime    = 2 * time.Second
	applyTime    = 2 * time.Second
)

const normalHeader = 16384

// begin starts the system, declares the first manifest and starts replicas.
func (p *play) begin(content string, replicas ...*replica) error {
	if err := p.system.start(); err != nil {
		return err
	}
	if err := order(p.record, p.machines, http.MethodPut, configPath, content); err != nil {
		return err
	}
	for _, r := range replicas {
		if err := p.startReplica(r); err != nil {
			return err
		}
	}
	return p.awaitReady()
}

func (p *play) startReplica(r *replica) error {
	r.record = p.record
	if len(r.nodes) == 0 {
		r.nodes = p.nearestFirst(r.zone)
	}
	if r.born == 0 {
		r.born = time.Now().UnixMilli()
	}
	return r.start(p.machines[0].ip)
}

// nearestFirst returns all machines, the one in a zone first.
func (p *play) nearestFirst(zone string) []*machine {
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.zone == zone })
	return slices.Concat(p.machines[i:], p.machines[:i])
}

// awaitServed waits until a route is served ten times in a row.
func (p *play) awaitServed(c *requester, routeName string) error {
	deadline := time.Now().Add(20 * time.Second)
	for inARow := 0; inARow < 10; {
		if c.send(routeName, http.MethodGet, time.Second, nil).served() {
			inARow++
			continue
		}
		inARow = 0
		if time.Now().After(deadline) {
			return fmt.Errorf("route %s is not served", routeName)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// lateWithdrawal: a zone is evacuated, taken back and evacuated again while a control instance stands still to which the
// operator has sent the withdrawal first.
func lateWithdrawal(p *play) (bool, error) {
	const path = "/dandelionpier/evacuate/atl-b"
	var replicas []*replica
	for i, m := range p.machines {
		replicas = append(replicas, &replica{id: fmt.Sprint("i-", i+1), service: "wuno96b", zone: m.zone})
	}
	content := manifest(1, normalHeader, []string{"wuno96b"}, []route{{"pufi791", "wuno96b", "idempotent", 2}})
	if err := p.begin(content, replicas...); err != nil {
		return false, err
	}
	c := newRequester(p.system, p.record)
	if err := p.awaitServed(c, "pufi791"); err != nil {
		return false, err
	}
	if err := order(p.record, p.machines, http.MethodPost, path, ""); err != nil {
		return false, err
	}
	for range rounds {
		if isBroken, err := p.withdrawLate(path, replicas[1], c); isBroken || err != nil {
			return isBroken, err
		}
	}
	return false, nil
}

// rounds is the number of times that a race is run. The next one begins long after the disruption of the one before.
const rounds = 3

// withdrawLate takes an evacuation back, evacuates the zone again, and checks whether requests reach its replica.
func (p *play) withdrawLate(path string, evacuated *replica, c *requester) (bool, error) {
	still, others, err := p.follower()
	if err != nil {
		return false, err
	}
	time.Sleep(evacuateTime)
	if p.trouble {
		still.freeze()
	}
	thawAt := time.Now().Add(freezeTime)
	if err := order(p.record, append([]*machine{still}, others...), http.MethodDelete, path, ""); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := order(p.record, others, http.MethodPost, path, ""); err != nil {
		return false, err
	}
	p.record.printf("the evacuation is acknowledged again")
	time.Sleep(time.Until(thawAt))
	if p.trouble {
		still.thaw()
	}
	// From here on the evacuation binds whatever the core has been through.
	time.Sleep(stableWindow + outer + evacuateTime)
	judgedFrom := time.Now()
	p.record.printf("requests to atl-b count from here on")
	const requests = 40
	for range requests {
		c.send("pufi791", http.MethodGet, time.Second, nil)
		time.Sleep(50 * time.Millisecond)
	}
	reached := evacuated.runsAfter(judgedFrom)
	p.record.printf("%d of %d requests reached the replica in atl-b", len(reached), requests)
	return len(reached) > 0, nil
}

// lateDeparture: the replicas of a service are started anew under their ids while a control instance stands still to which
// they have sent their departure first.
func lateDeparture(p *play) (bool, error) {
	firstRoute := route{"mile173", "desk", "idempotent", 2}
	laterRoute := route{"baye92", "feed", "idempotent", 2}
	services := []string{"desk", "feed"}
	desk := []*replica{{id: "i-1", service: "desk", zone: "mcallen"}, {id: "i-2", service: "desk", zone: "mission"}}
	if err := p.begin(manifest(1, normalHeader, services, []route{firstRoute}), desk...); err != nil {
		return false, err
	}
	still, others, err := p.follower()
	if err != nil {
		return false, err
	}
	nodes := append([]*machine{still}, others...)
	feed := []*replica{{id: "i-3", service: "feed", zone: still.zone, nodes: nodes}, {id: "i-4", service: "feed", zone: still.zone, nodes: nodes}}
	for _, r := range feed {
		if err := p.startReplica(r); err != nil {
			return false, err
		}
	}
	if err := order(p.record, others, http.MethodPut, configPath, manifest(2, normalHeader, services, []route{firstRoute, laterRoute})); err != nil {
		return false, err
	}
	c := newRequester(p.system, p.record)
	for _, r := range []route{firstRoute, laterRoute} {
		if err := p.awaitServed(c, r.name); err != nil {
			return false, err
		}
	}
	for range rounds {
		if isBroken, err := p.departLate(still, feed, firstRoute, laterRoute); isBroken || err != nil {
			return isBroken, err
		}
	}
	return false, nil
}

// departLate starts drained replicas anew while an instance stands still, and checks whether their route is served afterwards.
func (p *play) departLate(still *machine, feed []*replica, firstRoute, laterRoute route) (bool, error) {
	for _, r := range feed {
		r.returnToNearest()
		if _, err := r.drain(); err != nil {
			return false, err
		}
	}
	time.Sleep(drainTime)
	if p.trouble {
		still.freeze()
	}
	thawAt := time.Now().Add(freezeTime)
	restarted := make(chan error, len(feed))
	for _, r := range feed {
		go func() { restarted <- p.restart(r) }()
	}
	for range feed {
		if err := <-restarted; err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(thawAt))
	if p.trouble {
		still.thaw()
	}
	// Steady state: no disturbance for far longer than stableWindowMs.
	time.Sleep(2*stableWindow + applyTime)
	p.record.printf("steady state")
	return p.servesLess(firstRoute, laterRoute), nil
}

// servesLess reports whether a later route is served less than a quarter as often as a first one.
func (p *play) servesLess(first, later route) bool {
	const requests = 40
	c := newRequester(p.system, p.record)
	served := make(map[string]int)
	for range requests {
		for _, r := range []route{first, later} {
			if c.sendPatiently(r.name, http.MethodGet, time.Second).served() {
				served[r.name]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.record.printf("served of %d requests each: %d on the first route, %d on the route that was added later", requests, served[first.name], served[later.name])
	return 4*served[later.name] < served[first.name]
}

// restart ends a drained replica and starts it again under its id and at its address.
func (p *play) restart(r *replica) error {
	if err := r.depart(); err != nil {
		return err
	}
	r.stop()
	time.Sleep(300 * time.Millisecond)
	r.born = time.Now().UnixMilli()
	return p.startReplica(r)
}

// earlierStart: a replica crashes and starts again under its id while its clock has jumped back, and drains later.
func earlierStart(p *play) (bool, error) {
	const jump = 2 * time.Second
	replicas := []*replica{{id: "i-1", service: "desk", zone: "mcallen"}, {id: "i-2", service: "desk", zone: "mission"}}
	if p.trouble {
		replicas[0].born = time.Now().Add(jump).UnixMilli()
	}
	r := route{"mile173", "desk", "idempotent", 2}
	if err := p.begin(manifest(1, normalHeader, []string{"desk"}, []route{r}), replicas...); err != nil {
		return false, err
	}
	c := newRequester(p.system, p.record)
	if err := p.awaitServed(c, r.name); err != nil {
		return false, err
	}
	replicas[0].stop()
	time.Sleep(300 * time.Millisecond)
	replicas[0].born = time.Now().UnixMilli()
	if err := p.startReplica(replicas[0]); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	if err := p.awaitServed(c, r.name); err != nil {
		return false, err
	}
	confirmed, err := replicas[0].drain()
	if err != nil {
		return false, err
	}
	for range 60 {
		c.send(r.name, http.MethodGet, time.Second, nil)
		time.Sleep(100 * time.Millisecond)
	}
	reached := replicas[0].runsAfter(confirmed.Add(drainTime))
	p.record.printf("%d requests reached the draining replica later than %v after the confirmation", len(reached), drainTime)
	return len(reached) > 0, nil
}

// spacedEventIDs: the ids of the events of a stream increase by more than one.
func spacedEventIDs(p *play) (bool, error) {
	step := 1
	if p.trouble {
		step = 46
	}
	replicas := []*replica{{id: "i-1", service: "feed", zone: "mcallen", streamStep: step}, {id: "i-2", service: "feed", zone: "mission", streamStep: step}}
	r := route{"baye92", "feed", "streaming", 2}
	if err := p.begin(manifest(1, normalHeader, []string{"feed"}, []route{r}), replicas...); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	c := newRequester(p.system, p.record)
	cut := 0
	for range 30 {
		a := c.send(r.name, http.MethodPost, 5*time.Second, nil)
		if a.err != nil {
			cut++
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.record.printf("%d of 30 streams ended with their channel, without a complete answer", cut)
	return cut > 3, nil
}
