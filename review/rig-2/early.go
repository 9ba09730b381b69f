package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// wholeBody is the length of the answers of an earlyReplica, firstPart what it sends before it has read the request.
	wholeBody, firstPart = 3000, 1000
	// shortPause is the time between the first part of an answer and what follows, longPause that of a replica that reads on
	// late.
	shortPause, longPause = 60 * time.Millisecond, 2500 * time.Millisecond
	// longRequest is the length of the requests, below maxBodyBytes of the manifest.
	longRequest = 4_190_000
	// smallBuffer is the receive buffer of a replica that has not read a request yet, largeBuffer that of one that reads it.
	smallBuffer, largeBuffer = 64 << 10, 1 << 20
)

// earlyReplica begins to answer before it has read a long request. Its answers have no length and end with their channel.
type earlyReplica struct {
	replica
	// pause is the time between the first part of an answer and what follows. resets says that a reset follows.
	pause  time.Duration
	resets bool
}

// start starts the replica, which checks in but has a server of its own.
func (p *earlyReplica) start(ip string) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	go p.serve(listener)
	p.address = listener.Addr().String()
	p.state.Store("ready")
	if !p.checkIn() {
		return fmt.Errorf("%s could not check in", p.id)
	}
	p.record.printf("%s of %s starts at %s, born %d", p.id, p.service, p.address, p.born)
	go func() {
		for {
			time.Sleep(heartbeat)
			p.checkIn()
		}
	}()
	return nil
}

func (p *earlyReplica) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.answer(conn.(*net.TCPConn))
	}
}

func (p *earlyReplica) answer(conn *net.TCPConn) {
	defer conn.Close()
	_ = conn.SetReadBuffer(smallBuffer)
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, smallBuffer))
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	p.record.printf("%s runs %s", p.id, id)
	body := strings.Repeat("x", wholeBody)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nConnection: close\r\n\r\n%s", id, body[:firstPart])
	time.Sleep(p.pause)
	if p.resets {
		p.record.printf("%s resets the channel of %s after %d of %d bytes of its answer", p.id, id, firstPart, wholeBody)
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.SetReadBuffer(largeBuffer)
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, body[firstPart:])
}

// earlyAnswer: a replica that has begun to answer a long request, without a length, is cut off with a reset.
func earlyAnswer(p *play) (bool, error) {
	return p.longRequests(&earlyReplica{pause: shortPause, resets: p.trouble})
}

// lateReading: a replica that has begun to answer a long request, without a length, reads on late and then answers in full.
func lateReading(p *play) (bool, error) {
	pause := shortPause
	if p.trouble {
		pause = longPause
	}
	return p.longRequests(&earlyReplica{pause: pause})
}

// longRequests sends long requests to a replica and checks that each success has the whole body.
func (p *play) longRequests(e *earlyReplica) (bool, error) {
	r := route{"pufi791", "desk", "non_idempotent", 1}
	if err := p.begin(manifest(1, normalHeader, []string{"desk"}, []route{r})); err != nil {
		return false, err
	}
	e.replica = replica{id: "i-1", service: "desk", zone: "mcallen", nodes: p.nearestFirst("mcallen"), born: time.Now().UnixMilli(), record: p.record}
	if err := e.start(p.machines[0].ip); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	c := newRequester(p.system, p.record)
	partial, whole := 0, 0
	const requests = 20
	for range requests {
		a := c.sendBody(r.name, http.MethodPost, 5*time.Second, nil, make([]byte, longRequest))
		switch {
		case a.served() && len(a.body) == wholeBody:
			whole++
		case a.served():
			partial++
		}
	}
	p.record.printf("of %d requests, %d got a success with the whole body, %d a success with another body", requests, whole, partial)
	if !p.trouble && whole < requests/2 {
		return false, fmt.Errorf("only %d of %d requests were served", whole, requests)
	}
	return partial > 0, nil
}
