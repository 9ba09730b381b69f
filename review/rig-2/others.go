package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The plays in this file, earlierStart and spacedEventIDs are no cases of the review: REPORT-2.md tells what they showed.

// jointCrash: all replicas of a service crash once, at the same moment, while the first requests of a route run there, which are
// all the same.
func jointCrash(p *play) (bool, error) {
	first, later := route{"mile173", "desk", "idempotent", 2}, route{"baye92", "feed", "idempotent", 2}
	services := []string{"desk", "feed"}
	const work = 60 * time.Millisecond
	desk := &replica{id: "i-1", service: "desk", zone: "mcallen"}
	var feed []*replica
	for i := range 3 {
		feed = append(feed, &replica{id: fmt.Sprint("i-", i+2), service: "feed", zone: "mcallen", work: work})
	}
	if err := p.begin(manifest(1, normalHeader, services, []route{first}), desk, feed[0], feed[1], feed[2]); err != nil {
		return false, err
	}
	if err := order(p.record, p.machines, http.MethodPut, configPath, manifest(2, normalHeader, services, []route{first, later})); err != nil {
		return false, err
	}
	time.Sleep(2 * applyTime)
	var sending sync.WaitGroup
	for i := range 30 {
		sending.Go(func() {
			address := p.machines[i%len(p.machines)].address(p.ports.front)
			newRequester(p.system, p.record).sendTo(address, "/baye92/2f", http.MethodGet, time.Second, nil, nil)
		})
	}
	time.Sleep(work * 2 / 3)
	if p.trouble {
		if err := p.crashTogether(feed); err != nil {
			return false, err
		}
	}
	sending.Wait()
	time.Sleep(2 * stableWindow)
	p.record.printf("steady state")
	return p.servesLess(first, later), nil
}

// crashTogether crashes replicas at the same moment and starts them again under their ids.
func (p *play) crashTogether(replicas []*replica) error {
	for _, r := range replicas {
		r.stop()
	}
	time.Sleep(3 * time.Second)
	for _, r := range replicas {
		r.born = time.Now().UnixMilli()
		if err := p.startReplica(r); err != nil {
			return err
		}
	}
	return nil
}

// fullReplica: a replica that has as many channels as it takes refuses new ones, while its streams pause.
func fullReplica(p *play) (bool, error) {
	const rounds, streams = 4, 4
	r := route{"baye92", "feed", "streaming", 1}
	e := &replica{id: "i-1", service: "feed", zone: "mcallen", streamStep: 1, streamLength: 4, eventPause: 900 * time.Millisecond}
	if err := p.begin(manifest(1, normalHeader, []string{"feed"}, []route{r}), e); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	var cut atomic.Int64
	for range rounds {
		var sending sync.WaitGroup
		for range streams {
			sending.Go(func() {
				if !newRequester(p.system, p.record).send(r.name, http.MethodPost, 5*time.Second, nil).served() {
					cut.Add(1)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		if p.trouble {
			e.refuse()
		}
		sending.Wait()
		if p.trouble {
			if err := e.accept(); err != nil {
				return false, err
			}
		}
		// The entries avoid a replica that has refused a channel for a while.
		time.Sleep(9 * time.Second)
	}
	p.record.printf("%d of %d streams were not served", cut.Load(), rounds*streams)
	return cut.Load() > 3, nil
}
