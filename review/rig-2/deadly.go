package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPath marks the request that crashes each replica that runs it.
	deadlyPath = "/deadly"
	// downTime is the time for which a crashed replica is down.
	downTime = 2 * time.Second
)

// deadlyEngine is a model replica that a deadly request crashes, and that starts again under a new id.
type deadlyEngine struct {
	*play
	name string
	// afterFirstEvent says that it crashes when it has written its first event, and not before.
	afterFirstEvent bool

	mu       sync.Mutex
	lifetime int
	current  *replica
	// crashes are the times of the crashes, arrivals those at which a deadly request has come.
	crashes, arrivals *times
}

// times is a list of times. It is safe for concurrent use.
type times struct {
	mu   sync.Mutex
	list []time.Time
}

func (t *times) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, time.Now())
}

// start starts the next lifetime.
func (e *deadlyEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lifetime++
	r := &replica{id: fmt.Sprintf("i-%s-%d", e.name, e.lifetime), service: "huvo11a", zone: "mcallen", streamStep: 1}
	if e.current != nil {
		r.address = e.current.address
	}
	r.handle = func(w http.ResponseWriter, request *http.Request) bool { return e.runDeadly(r, w, request) }
	e.current = r
	return e.startReplica(r)
}

// runDeadly runs a deadly request, which ends the lifetime. It returns false for any other request.
func (e *deadlyEngine) runDeadly(r *replica, w http.ResponseWriter, request *http.Request) bool {
	if !strings.HasSuffix(request.URL.Path, deadlyPath) {
		return false
	}
	e.arrivals.add()
	if e.afterFirstEvent {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: the first tokens\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
	e.crashes.add()
	go func() {
		r.stop()
		time.Sleep(downTime)
		if err := e.start(); err != nil {
			e.play.record.printf("%s could not start again: %v", e.name, err)
		}
	}()
	// The channel ends with the process, without an end of the answer.
	panic(http.ErrAbortHandler)
}

// engineManifest declares a model service with one streaming route.
func engineManifest(version int) string {
	content := manifest(version, normalHeader, []string{"huvo11a"}, []route{{"baye92", "huvo11a", "streaming", 2}})
	engine := `"tls":false,"engine":{"slots":16,"kvCapacity":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],` +
		`"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,` +
		`"usual":{"prompt":13227,"answer":1541},"hopMs":0.1}`
	return strings.Replace(content, `"tls":false`, engine, 1)
}

// modelHeader is the header of a request to a model replica. The last part belongs to the request.
func modelHeader(ownPart string) map[string]string {
	return map[string]string{"Model": "m", "Token-Counts": "1460,80", "Prefix-Hash": "5c1e07a2:800," + ownPart + ":660"}
}

// deadlyAfterFirstEvent: a request crashes each replica that has begun to write on it, and comes again and again.
func deadlyAfterFirstEvent(p *play) (bool, error) {
	crashes, arrivals := &times{}, &times{}
	if err := p.begin(engineManifest(1)); err != nil {
		return false, err
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		e := &deadlyEngine{play: p, name: name, afterFirstEvent: p.trouble, crashes: crashes, arrivals: arrivals}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * heartbeat)
	c := newRequester(p.system, p.record)
	const requests = 24
	lost := 0
	for i := range requests {
		c.sendTo(c.randomAddress(), "/baye92"+deadlyPath, http.MethodPost, 5*time.Second, modelHeader("91bd3f06"), []byte("deadly"))
		if !c.sendTo(c.randomAddress(), "/baye92/2f", http.MethodPost, 5*time.Second, modelHeader(fmt.Sprintf("%08x", i+1)), []byte("sound")).served() {
			lost++
		}
		time.Sleep(time.Second)
	}
	if len(crashes.list) < 3 {
		return false, fmt.Errorf("only %d crashes", len(crashes.list))
	}
	late := 0
	for _, at := range arrivals.list {
		if at.Sub(crashes.list[2]) > 3*time.Second {
			late++
		}
	}
	p.record.printf("%d deadly requests, %d crashes, %d arrivals later than 3 s after the third crash; %d of %d others were not served", requests, len(crashes.list), late, lost, requests)
	return late > 3, nil
}
