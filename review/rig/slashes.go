package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { plays["slashes"] = playSlashes }

// playSlashes sends requests whose path begins with two slashes, as clients do that join a base address with a closing
// slash and a path. Without the trouble the two slashes stand further behind.
func playSlashes(r *recorder, s *system, trouble bool) (bool, error) {
	var mu sync.Mutex
	sent := map[string]string{}
	changed := 0
	handle := func(v *server, w http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadAll(request.Body)
		id := request.Header.Get("Request-Id")
		r.note("server %s runs %s: %s %s, host %q", v.id, id, request.Method, request.RequestURI, request.Host)
		mu.Lock()
		if target, ok := sent[id]; !ok || target != request.RequestURI {
			changed++
		}
		mu.Unlock()
		w.Header().Set("Response-Seal", v.seal(request))
		_, _ = w.Write([]byte("done"))
	}
	m := smallManifest()
	m.Routes = append(m.Routes, route{Name: "all", Host: host, PathPrefix: "/", Kind: "idempotent", TimeoutMs: 1000, SLOMs: 150, Priority: 2, Backend: deskService, Attempts: 2})
	if err := s.startAll(m); err != nil {
		return false, err
	}
	v := newServer(s, deskService, zones[0], freeAddress(s, 0), "i-"+newRequestID()[:10], handle)
	if err := v.start(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	target := "/orders//status/7?full=1"
	if trouble {
		target = "//status/7?full=1"
	}
	answered := 0
	for i := range 24 {
		id := newRequestID()
		mu.Lock()
		sent[id] = target
		mu.Unlock()
		status, err := sendTarget(s.address(s.machines[i%len(s.machines)], frontPort), target, id)
		r.note("client sent GET %s as %s to %s: status %d, error %v", target, id, s.machines[i%len(s.machines)].name, status, err)
		if status == http.StatusOK {
			answered++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if answered == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	mu.Lock()
	defer mu.Unlock()
	r.note("%d of 24 requests were run with another path than was sent (bound 0)", changed)
	return changed > 0, nil
}

// sendTarget sends a GET with exactly the given request target on a channel of its own and returns the status.
func sendTarget(address, target, id string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nApi-Key: %s\r\nDeadline: 1000\r\n\r\n", target, host, id, apiKey)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}
