package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["writer"] = playWriter }

// playWriter lets another writer send one check-in that lacks fields: it names a server of the desk, but another service.
func playWriter(r *recorder, s *system, trouble bool) (bool, error) {
	const other = "till"
	var mu sync.Mutex
	wrong := 0
	handle := func(v *server, w http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadAll(request.Body)
		r.note("server %s of %s runs %s, %s %s", v.id, v.service, request.Header.Get("Request-Id"), request.Method, request.RequestURI)
		// Only the route /till/ leads to the service till, and no manifest sends it to the desk.
		if strings.HasPrefix(request.RequestURI, "/till/") != (v.service == other) {
			mu.Lock()
			wrong++
			mu.Unlock()
		}
		w.Header().Set("Response-Seal", v.seal(request))
		_, _ = w.Write([]byte("done by " + v.service))
	}
	m := smallManifest()
	m.Services = append(m.Services, service{Name: other, HealthPath: "/healthz", MaxConns: 238, Protocol: "h1"})
	m.Routes = append(m.Routes, route{Name: "till", Host: host, PathPrefix: "/till/", Kind: "idempotent", TimeoutMs: 1000, SLOMs: 150, Priority: 2, Backend: other, Attempts: 2})
	if err := s.startAll(m); err != nil {
		return false, err
	}
	desk := newServer(s, deskService, zones[0], freeAddress(s, 0), "i-"+newRequestID()[:10], handle)
	till := newServer(s, other, zones[1], freeAddress(s, 1), "i-"+newRequestID()[:10], handle)
	for _, v := range []*server{desk, till} {
		if err := v.start(); err != nil {
			return false, err
		}
	}
	if err := s.eventually("answers of both services", 10*time.Second, func() bool {
		return s.send(s.machines[0], "GET", "/status/1", nil, time.Second, nil).status == http.StatusOK &&
			s.send(s.machines[0], "GET", "/till/1", nil, time.Second, nil).status == http.StatusOK
	}); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	if trouble {
		desk.mu.Lock()
		id := desk.id
		// The fields zone, version, slots and coldLeftMs are missing.
		body, err := json.Marshal(map[string]any{"backend": other, "address": desk.address, "state": "ready", "seq": desk.seq + 1000, "born": desk.born})
		desk.mu.Unlock()
		if err != nil {
			return false, err
		}
		by, err := s.call("PUT", "/dandelionpier/replicas/"+id, body)
		r.note("another writer sent a check-in as %s: %s; acknowledged by %q, error %v", id, body, by, err)
	}
	for i := range 120 {
		s.send(s.machines[i%len(s.machines)], "GET", "/till/2", nil, time.Second, nil)
		s.send(s.machines[i%len(s.machines)], "GET", "/status/2", nil, time.Second, nil)
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	r.note("%d requests were run by a service to which no manifest sends them (bound 0)", wrong)
	return wrong > 0, nil
}
