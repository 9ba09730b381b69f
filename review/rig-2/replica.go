package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two check-ins of a replica.
const heartbeat = 1200 * time.Millisecond

// usualWork is the time that a request takes.
const usualWork = 15 * time.Millisecond

// execution is a request that a replica has begun to work on.
type execution struct {
	id, path string
	at       time.Time
}

// replica is a server of a plain service that behaves as PROTOCOL.md says.
type replica struct {
	id, service, zone, address string
	// born is the start of the lifetime in Unix milliseconds, by the clock of the replica.
	born   int64
	record *record
	// nodes are those that serve control, in the order in which this replica calls them. node is the current one.
	nodes []*machine
	node  int
	seq   int
	// streamStep is the distance between the ids of two events of a stream.
	streamStep int
	// streamLength is the number of events of a stream, eventPause the time between two of them, if they are not 0.
	streamLength int
	eventPause   time.Duration
	// coldUntil is the time until which the replica is cold.
	coldUntil time.Time
	// work is the time that a request without a stream takes, usualWork if it is 0.
	work time.Duration
	// handle, if set, may answer a request instead of the replica.
	handle func(w http.ResponseWriter, r *http.Request) bool

	state    atomic.Value
	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	ended    chan struct{}

	mu   sync.Mutex
	runs []execution
}

// start starts a lifetime of a replica at an address, or at any free port of ip if the address is empty.
func (p *replica) start(ip string) error {
	if p.address == "" {
		p.address = net.JoinHostPort(ip, "0")
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener, p.address = listener, listener.Addr().String()
	p.state.Store("ready")
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.ended, p.seq = cancel, make(chan struct{}), 0
	p.record.printf("%s of %s starts at %s, born %d", p.id, p.service, p.address, p.born)
	go p.checkInLoop(ctx)
	return nil
}

// stop ends the lifetime at once, as a crash does.
func (p *replica) stop() {
	p.cancel()
	<-p.ended
	_ = p.server.Close()
	p.record.printf("%s ends", p.id)
}

func (p *replica) checkInLoop(ctx context.Context) {
	defer close(p.ended)
	for ctx.Err() == nil {
		p.checkIn()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// checkIn sends a check-in to the current node, and to the next ones until it is acknowledged. It returns false if none
// has acknowledged it.
func (p *replica) checkIn() bool {
	for range 2 * len(p.nodes) {
		p.mu.Lock()
		p.seq++
		body := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":%q,"coldLeftMs":%d,"seq":%d,"born":%d}`,
			p.service, p.address, p.zone, p.state.Load(), max(0, time.Until(p.coldUntil).Milliseconds()), p.seq, p.born)
		node := p.nodes[p.node%len(p.nodes)]
		p.mu.Unlock()
		if status := callControl(node, http.MethodPut, "/dandelionpier/replicas/"+p.id, body); status/100 == 2 {
			return true
		}
		p.mu.Lock()
		p.node++
		p.mu.Unlock()
	}
	return false
}

// refuse makes the replica refuse new channels, and accept makes it take them again. Those that are open go on.
func (p *replica) refuse() {
	p.record.printf("%s refuses new channels", p.id)
	_ = p.listener.Close()
}

func (p *replica) accept() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.record.printf("%s accepts new channels", p.id)
	p.listener = listener
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// returnToNearest makes the replica call the nearest node again.
func (p *replica) returnToNearest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node = 0
}

// turnCold makes the replica cold for a time, and tells so.
func (p *replica) turnCold(d time.Duration) error {
	p.mu.Lock()
	p.coldUntil = time.Now().Add(d)
	p.mu.Unlock()
	if !p.checkIn() {
		return fmt.Errorf("%s got no confirmation that it is cold", p.id)
	}
	p.record.printf("%s says that it is cold for %v, confirmed with 200", p.id, d)
	return nil
}

// drain reports that the replica is draining, and returns the time of the confirmation.
func (p *replica) drain() (time.Time, error) {
	p.state.Store("draining")
	if !p.checkIn() {
		return time.Time{}, fmt.Errorf("%s got no confirmation that it drains", p.id)
	}
	at := time.Now()
	p.record.printf("%s says that it is draining, confirmed with 200", p.id)
	return at, nil
}

// depart ends the check-ins and sends DELETE to the nodes in turn until one acknowledges it.
func (p *replica) depart() error {
	p.cancel()
	<-p.ended
	nodes := append(append([]*machine(nil), p.nodes[p.node%len(p.nodes):]...), p.nodes[:p.node%len(p.nodes)]...)
	return order(p.record, nodes, http.MethodDelete, "/dandelionpier/replicas/"+p.id, "")
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", p.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	p.mu.Lock()
	p.runs = append(p.runs, execution{id: id, path: r.URL.Path, at: time.Now()})
	p.mu.Unlock()
	p.record.printf("%s runs %s", p.id, id)
	w.Header().Set("Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	if p.handle != nil && p.handle(w, r) {
		return
	}
	if p.streamStep > 0 {
		p.stream(w, r)
		return
	}
	time.Sleep(cmp.Or(p.work, usualWork))
	_, _ = fmt.Fprintf(w, "%s ran %s", p.id, id)
}

// runsBetween returns the requests that the replica has begun to run in a span of time.
func (p *replica) runsBetween(from, to time.Time) []execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	var within []execution
	for _, r := range p.runs {
		if r.at.After(from) && r.at.Before(to) {
			within = append(within, r)
		}
	}
	return within
}

// runsAfter returns the requests that the replica has run since a time.
func (p *replica) runsAfter(t time.Time) []execution {
	return p.runsBetween(t, time.Now())
}
