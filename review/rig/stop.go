package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"syscall"
	"time"
)

func init() { plays["stop"] = playStop }

// playStop stops an entry as planned while a request that it has read waits for the only model server, which reads a
// long prompt of another client.
func playStop(r *recorder, s *system, trouble bool) (bool, error) {
	const (
		grace = 8 * time.Second
		// slack is lossSlackMs.
		slack       = 200 * time.Millisecond
		longPrompt  = 400_000
		shortPrompt = 45_000
	)
	m := smallManifest()
	m.Routes = append(m.Routes,
		route{Name: "history", Host: host, PathPrefix: "/history/", Kind: "streaming", TimeoutMs: 15000, SLOMs: 3000, Priority: 1, Backend: modelService, Attempts: 2, Sticky: true, CanResume: true, GapTargetMs: 800})
	if err := s.startAll(m); err != nil {
		return false, err
	}
	v := newModelServer(s, zones[0], freeAddress(s, 0), *m.Services[1].Engine)
	if err := v.start(); err != nil {
		return false, err
	}
	ask := func(entry *machine, path string, tokens int, timeout time.Duration) answer {
		return s.send(entry, "POST", path, []byte("prompt"), timeout, map[string]string{
			"Model": "m", "Token-Counts": fmt.Sprintf("%d,230", tokens), "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%s:%d", newRequestID()[:8], tokens-40),
		})
	}
	if err := s.eventually("an answer of the model", 10*time.Second, func() bool {
		return ask(s.machines[0], "/ask/1", 1000, 5*time.Second).status == http.StatusOK
	}); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	// The machine that is stopped is one without a disk; the long prompt comes by another.
	stopped, other := s.machines[3], s.machines[4]
	go ask(other, "/history/1", longPrompt, 15*time.Second)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		time.AfterFunc(300*time.Millisecond, func() {
			process := s.process(stopped, "entry")
			r.note("SIGTERM to the entry on %s", stopped.name)
			_ = process.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(grace, func() { _ = process.Process.Kill() })
		})
	}
	sent := r.now()
	a := ask(stopped, "/history/2", shortPrompt, 15*time.Second)
	ended := r.now()
	complete := a.err == nil && a.status != 0
	r.note("the request that waited ended %v after it was sent; a complete answer: %v", (ended - sent).Round(time.Millisecond), complete)
	return !complete && ended-sent > slack, nil
}

// process returns the last process of a role that was started on a machine.
func (s *system) process(m *machine, role string) *exec.Cmd {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRole[m.name+"/"+role]
}
