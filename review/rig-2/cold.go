package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// coldPerS is the rate of requests that a cold replica tolerates, coldBound what FAILBACK permits in a second: coldPerS x
	// coldOver + coldSlack.
	coldPerS, coldBound = 26, 26*1.5 + 5
	coldTime            = 3 * time.Second
	// senders send at most one request each senderPause.
	senders, senderPause = 12, 60 * time.Millisecond
)

// coldUnknown: the entry that dispatches is cut off from control, and the replicas turn cold.
func coldUnknown(p *play) (bool, error) {
	p.system.cut = &cut{}
	content := strings.Replace(engineManifest(1), `"hopMs":0.1}`, fmt.Sprintf(`"hopMs":0.1},"coldS":3.0,"coldPerS":%d.0`, coldPerS), 1)
	var replicas []*replica
	for i := range 2 {
		replicas = append(replicas, &replica{id: fmt.Sprint("i-", i+1), service: "huvo11a", zone: "atl-a", streamStep: 1, eventPause: 2 * time.Millisecond})
	}
	if err := p.begin(content, replicas...); err != nil {
		return false, err
	}
	c := newRequester(p.system, p.record)
	time.Sleep(2 * heartbeat)
	for i := range 4 * len(p.all()) {
		c.sendTo(p.all()[i%len(p.all())].address(p.ports.front), "/baye92/2f", http.MethodPost, 2*time.Second, modelHeader("91bd3f06"), []byte("x"))
	}
	dispatcher, err := p.dispatcher()
	if err != nil {
		return false, err
	}
	p.record.printf("%s dispatches", dispatcher.name)
	if dispatcher.hasDisk {
		return false, fmt.Errorf("a machine with a disk dispatches")
	}
	p.system.cut.setName(dispatcher.name)
	time.Sleep(2 * heartbeat)
	if p.trouble {
		p.record.printf("%s is cut off from control", dispatcher.name)
		p.system.cut.set(true)
	}
	cutAt := time.Now()
	for _, r := range replicas {
		if err := r.turnCold(coldTime); err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	end := cutAt.Add(coldTime)
	var sending sync.WaitGroup
	others := slices.DeleteFunc(slices.Clone(p.all()), func(m *machine) bool { return m == dispatcher })
	for i := range senders {
		sending.Go(func() {
			own := newRequester(p.system, p.record)
			for time.Now().Before(end) {
				own.sendTo(others[i%len(others)].address(p.ports.front), "/baye92/2f", http.MethodPost, 2*time.Second, modelHeader(fmt.Sprintf("%08x", i+1)), []byte("x"))
				time.Sleep(senderPause)
			}
		})
	}
	sending.Wait()
	p.system.cut.set(false)
	most := 0
	for _, r := range replicas {
		n := mostInASecond(r.runsBetween(cutAt, r.coldUntil))
		p.record.printf("%s, cold, got up to %d requests in a second", r.id, n)
		most = max(most, n)
	}
	return most > coldBound, nil
}

// mostInASecond returns the largest number of executions in any second.
func mostInASecond(runs []execution) int {
	most := 0
	for i := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.at.Sub(runs[i].at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
