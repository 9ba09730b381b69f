package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { plays["stale"] = playStale }

// playStale cuts the entry that dispatches for the model service off from the control machines, lets a server drain, and
// sends requests by the other entries.
func playStale(r *recorder, s *system, trouble bool) (bool, error) {
	// These names make one of the machines without a disk the dispatcher.
	for i, m := range s.machines[3:] {
		m.name = fmt.Sprintf("front-%s-%d", m.zone, 40+i)
	}
	p := &proxy{}
	if err := s.putProxyBeforeControl(p); err != nil {
		return false, err
	}
	m := smallManifest()
	if err := s.startAll(m); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrivals := map[string]int{}
	late := 0
	var leaving *modelServer
	var acknowledged time.Duration
	var servers []*modelServer
	for i := range 2 {
		// Both stand in one zone, so that the dispatcher prefers the same one for all entries.
		v := newModelServer(s, zones[2], freeAddress(s, i), *m.Services[1].Engine)
		run := v.handle
		v.handle = func(v *server, w http.ResponseWriter, request *http.Request) {
			mu.Lock()
			arrivals[v.id]++
			if leaving != nil && leaving.server == v && r.now() > acknowledged+drainBound {
				late++
				r.note("request %s reaches %s %v after its draining was acknowledged", request.Header.Get("Request-Id"), v.id, (r.now() - acknowledged).Round(time.Millisecond))
			}
			mu.Unlock()
			run(v, w, request)
		}
		if err := v.start(); err != nil {
			return false, err
		}
		servers = append(servers, v)
	}
	ask := func(entry *machine) answer {
		return s.send(entry, "POST", "/ask/1", []byte("prompt"), 5*time.Second, map[string]string{
			"Model": "m", "Token-Counts": "2000,230", "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%s:1960", newRequestID()[:8]),
		})
	}
	if err := s.eventually("an answer of the model", 10*time.Second, func() bool { return ask(s.machines[0]).status == http.StatusOK }); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	mu.Lock()
	clear(arrivals)
	mu.Unlock()
	for _, entry := range s.machines {
		ask(entry)
	}
	dispatcher, err := s.dispatcher()
	if err != nil {
		return false, err
	}
	r.note("the entry on %s dispatches", dispatcher.name)
	if dispatcher.core {
		return false, fmt.Errorf("the dispatcher is a core machine")
	}
	// The cut begins right after a heartbeat of the dispatcher.
	heartbeat := make(chan struct{}, 1)
	p.watch(dispatcher.name, func() {
		select {
		case heartbeat <- struct{}{}:
		default:
		}
	})
	<-heartbeat
	time.Sleep(50 * time.Millisecond)
	if trouble {
		p.setCut(true)
		r.note("the entry on %s is cut off from the control machines", dispatcher.name)
	}
	// The server that was given most of the requests so far drains.
	mu.Lock()
	chosen := servers[0]
	if arrivals[servers[1].id] > arrivals[chosen.id] {
		chosen = servers[1]
	}
	mu.Unlock()
	chosen.mu.Lock()
	chosen.state, chosen.leaving = "draining", true
	chosen.mu.Unlock()
	by, err := chosen.checkIn()
	if err != nil {
		return false, err
	}
	mu.Lock()
	leaving, acknowledged = chosen, r.now()
	mu.Unlock()
	r.note("server %s drains, acknowledged by %s", chosen.id, by)
	time.Sleep(drainBound + 50*time.Millisecond)
	var all sync.WaitGroup
	for round := range 5 {
		for i, entry := range s.machines {
			if entry != dispatcher && i%2 == round%2 {
				all.Go(func() { ask(entry) })
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	all.Wait()
	p.setCut(false)
	mu.Lock()
	defer mu.Unlock()
	r.note("%d requests reached the server later than %v after its draining was acknowledged (bound 0)", late, drainBound)
	return late > 0, nil
}

// putProxyBeforeControl gives the control machines other peer addresses, at which the proxy listens.
func (s *system) putProxyBeforeControl(p *proxy) error {
	for _, m := range s.machines[:3] {
		parts := strings.Split(m.ip, ".")
		m.peerIP = strings.Join([]string{parts[0], parts[1], "1", parts[3]}, ".")
		port := fmt.Sprintf(":%d", s.port+internalPort)
		if err := p.listen(m.peerIP+port, m.ip+port); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		m.seeds = nil
		for _, seed := range s.machines[:3] {
			m.seeds = append(m.seeds, fmt.Sprintf("%s:%d", seed.peerIP, s.port+controlPort))
		}
	}
	return nil
}

// dispatcher returns the machine whose entry dispatches for the model service, by what the entries log.
func (s *system) dispatcher() (*machine, error) {
	votes := map[string]int{}
	for _, m := range s.machines {
		data, err := os.ReadFile(filepath.Join(s.root, m.name, "entry.log"))
		if err != nil {
			return nil, err
		}
		last := ""
		for line := range strings.Lines(string(data)) {
			var entry struct{ Msg, Dispatcher string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "Using a dispatcher" {
				last = entry.Dispatcher
			}
		}
		votes[last]++
	}
	for _, m := range s.machines {
		if votes[m.name] == len(s.machines) {
			return m, nil
		}
	}
	return nil, fmt.Errorf("the entries do not agree on a dispatcher: %v", votes)
}
