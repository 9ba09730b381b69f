package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// bounds of the deployment, as in the sites' files.
const (
	heartbeat    = 1200 * time.Millisecond
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
)

// server is a stand-in for a server (a replica of a service), which checks in as the pages say.
type server struct {
	system  *system
	service string
	zone    string
	address string
	slots   int
	// handle runs a request that is meant for this server.
	handle func(v *server, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	state    string
	leaving  bool
	conns    map[net.Conn]bool
	listener net.Listener
	http     *http.Server
	up       bool
	beat     chan struct{}
}

func newServer(s *system, service, zone, address, id string, handle func(*server, http.ResponseWriter, *http.Request)) *server {
	return &server{system: s, service: service, zone: zone, address: address, slots: 6, id: id, state: "ready", handle: handle}
}

// start begins a lifetime of the server.
func (v *server) start() error {
	listener, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listener, v.conns = listener, map[net.Conn]bool{}
	v.born, v.seq, v.state, v.up = time.Now().UnixMilli(), 0, "ready", true
	v.beat = make(chan struct{})
	conns := v.conns
	v.http = &http.Server{Handler: http.HandlerFunc(v.serve), ConnState: func(c net.Conn, state http.ConnState) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(conns, c)
			return
		}
		conns[c] = true
	}}
	go v.http.Serve(listener)
	go v.beats(v.beat)
	v.system.record.note("server %s of %s started at %s, born %d", v.id, v.service, v.address, v.born)
	return nil
}

// crash ends the lifetime at once: connections are reset and the port has no listener.
func (v *server) crash() {
	v.mu.Lock()
	if !v.up {
		v.mu.Unlock()
		return
	}
	v.up = false
	close(v.beat)
	conns := v.conns
	v.conns = nil
	list := make([]net.Conn, 0, len(conns))
	for c := range conns {
		list = append(list, c)
	}
	listener := v.listener
	v.mu.Unlock()
	_ = listener.Close()
	for _, c := range list {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	v.system.record.note("server %s crashed", v.id)
}

func (v *server) serve(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	id, leaving := v.id, v.leaving
	v.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", id)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v.handle(v, w, r)
}

// seal returns the Response-Seal of an answer to a request.
func (v *server) seal(r *http.Request) string {
	return fmt.Sprintf("%s.%s", v.id, r.Header.Get("Request-Id"))
}

// checkIn sends one check-in and returns who acknowledged it.
func (v *server) checkIn() (string, error) {
	v.mu.Lock()
	v.seq++
	body, err := json.Marshal(map[string]any{
		"backend": v.service, "address": v.address, "zone": v.zone, "version": "v1", "slots": v.slots, "state": v.state, "coldLeftMs": 0,
		"stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": v.seq, "born": v.born,
	})
	id := v.id
	v.mu.Unlock()
	if err != nil {
		return "", err
	}
	return v.system.call("PUT", "/dandelionpier/replicas/"+id, body)
}

func (v *server) beats(end chan struct{}) {
	for first := true; ; first = false {
		by, err := v.checkIn()
		if first || err != nil {
			v.system.record.note("check-in of %s: acknowledged by %q, error %v", v.id, by, err)
		}
		pause := heartbeat
		if err != nil {
			pause = 200 * time.Millisecond
		}
		select {
		case <-end:
			return
		case <-time.After(pause):
		}
	}
}

// freeAddress returns an address for the server with the given number.
func freeAddress(s *system, number int) string {
	m := s.machines[0]
	ip := net.ParseIP(m.ip).To4()
	ip[2], ip[3] = 64, byte(10+number)
	return (&net.TCPAddr{IP: ip, Port: s.port + 30}).String()
}
