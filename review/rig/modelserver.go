package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelServer is a stand-in for a model server. It reads prompts one after the other in the time that the manifest
// declares and then writes events.
type modelServer struct {
	*server
	engine  engine
	reading sync.Mutex
}

func newModelServer(s *system, zone, address string, e engine) *modelServer {
	m := &modelServer{engine: e}
	m.server = newServer(s, modelService, zone, address, "i-"+newRequestID()[:10], m.run)
	m.slots = e.Slots
	return m
}

// prefillTime is the time in which one of some servers reads its even part of a prompt.
func (m *modelServer) prefillTime(tokens, parts int) time.Duration {
	part := float64(tokens) / float64(parts)
	pairs := float64(tokens) * part / 2
	ms := part/m.engine.ReadPerS*1000 + pairs/1e6*m.engine.PairsPerM
	return time.Duration(ms * float64(time.Millisecond))
}

func (m *modelServer) run(v *server, w http.ResponseWriter, request *http.Request) {
	record := v.system.record
	if strings.HasPrefix(request.URL.Path, "/dandelionpier/") {
		_, _ = fmt.Fprintf(w, `{"free":%d}`, m.engine.KVCapacity)
		return
	}
	id := request.Header.Get("Request-Id")
	prompt, output, _ := strings.Cut(request.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	answer, _ := strconv.Atoi(output)
	parts := 1
	if helpers := request.Header.Get("Helpers"); helpers != "" {
		parts += len(strings.Split(helpers, ","))
	}
	record.note("request %s reaches server %s: %d tokens in %d parts", id, v.id, tokens, parts)
	m.reading.Lock()
	if request.Context().Err() == nil {
		record.note("server %s reads %s for %v", v.id, id, m.prefillTime(tokens, parts).Round(time.Millisecond))
		wait(request, m.prefillTime(tokens, parts))
	}
	m.reading.Unlock()
	w.Header().Set("Response-Seal", v.seal(request))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	pass := time.Duration(float64(m.engine.Stride) * m.engine.StepMs * float64(time.Millisecond))
	events := max(1, answer/m.engine.Stride)
	for i := 1; i <= events && request.Context().Err() == nil; i++ {
		if i == 1 {
			record.note("server %s runs %s", v.id, id)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
		wait(request, pass)
	}
	record.note("server %s has ended %s: %v", v.id, id, request.Context().Err())
}

// wait waits until the time has passed or the client has left.
func wait(request *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-request.Context().Done():
	}
}
