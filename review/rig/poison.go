package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { plays["poison"] = playPoison }

// playPoison sends a request again and again that crashes each server that begins to run it. A server is back after two
// seconds, under the id that it had; without the trouble it comes back under a new id.
func playPoison(r *recorder, s *system, trouble bool) (bool, error) {
	const (
		downTime = 2 * time.Second
		// workTime is how long a server works on any other request.
		workTime = 300 * time.Millisecond
	)
	var mu sync.Mutex
	var crashes []time.Duration
	late := 0
	lives := 0
	handle := func(v *server, w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if !bytes.HasPrefix(body, []byte("poison")) {
			r.note("server %s runs %s", v.id, request.Header.Get("Request-Id"))
			time.Sleep(workTime)
			w.Header().Set("Response-Seal", v.seal(request))
			_, _ = w.Write([]byte("done"))
			return
		}
		mu.Lock()
		now := r.now()
		if len(crashes) >= 3 && now > crashes[2]+stableWindow {
			late++
		}
		crashes = append(crashes, now)
		r.note("server %s runs the deadly request %s: crash %d", v.id, request.Header.Get("Request-Id"), len(crashes))
		mu.Unlock()
		v.crash()
		time.AfterFunc(downTime, func() {
			if !trouble {
				mu.Lock()
				lives++
				v.mu.Lock()
				v.id = "i-" + newRequestID()[:10]
				v.mu.Unlock()
				mu.Unlock()
			}
			if err := v.start(); err != nil {
				r.note("server %s could not start again: %v", v.id, err)
			}
		})
		panic(http.ErrAbortHandler)
	}
	if err := s.startAll(smallManifest()); err != nil {
		return false, err
	}
	var servers []*server
	for i, zone := range zones[:2] {
		v := newServer(s, deskService, zone, freeAddress(s, i), "i-"+newRequestID()[:10], handle)
		if err := v.start(); err != nil {
			return false, err
		}
		servers = append(servers, v)
	}
	if err := s.eventually("an answer of the desk", 10*time.Second, func() bool {
		return s.send(s.machines[0], "GET", "/status/1", nil, time.Second, nil).status == http.StatusOK
	}); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	// The same request comes again: same path, caller and body, at any machine. Beside it run bookings of others.
	lost := 0
	for i := range 24 {
		var others sync.WaitGroup
		for k := range 2 {
			others.Go(func() {
				a := s.send(s.machines[(i+k+1)%len(s.machines)], "POST", fmt.Sprintf("/booking/%d", 100+2*i+k), []byte("book another bench"), time.Second, nil)
				if a.status != http.StatusOK {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
		time.Sleep(workTime / 2)
		s.send(s.machines[i%len(s.machines)], "POST", "/booking/7", []byte("poison: book bench 7"), time.Second, nil)
		others.Wait()
		time.Sleep(1500*time.Millisecond - workTime)
	}
	mu.Lock()
	defer mu.Unlock()
	r.note("%d of 48 bookings of others were not served", lost)
	r.note("the request crashed servers %d times; it reached one %d times later than %v after the third crash (bound 3)", len(crashes), late, stableWindow)
	return late > 3, nil
}
