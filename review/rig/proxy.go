package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy stands before the peer ports of the control machines. It can cut one entry off from all of them: what that entry
// sends and what is sent to it is held back, also on new channels. Nobody else opens channels during a cut.
type proxy struct {
	// name is the entry that can be cut off. It names itself in its heartbeats.
	mu   sync.Mutex
	name []byte
	cut  bool
	// heard is called, if set, when the entry sends a heartbeat.
	heard func()
}

// listen forwards the channels to an address to another one.
func (p *proxy) listen(address, target string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, target)
		}
	}()
	return nil
}

// channel is one forwarded channel. named is set once it is known to be that of the entry.
type channel struct {
	mu    sync.Mutex
	named bool
}

func (p *proxy) forward(near net.Conn, target string) {
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	ch := &channel{}
	p.mu.Lock()
	ch.named = p.cut
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(ch, far, near, true) })
	both.Go(func() { p.copy(ch, near, far, false) })
	both.Wait()
}

func (p *proxy) copy(ch *channel, to, from net.Conn, upstream bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(ch, buffer[:n], upstream)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold returns when the bytes may be forwarded.
func (p *proxy) hold(ch *channel, data []byte, upstream bool) {
	p.mu.Lock()
	name, heard := p.name, p.heard
	p.mu.Unlock()
	named := upstream && len(name) > 0 && bytes.Contains(data, name)
	ch.mu.Lock()
	ch.named = ch.named || named
	held := ch.named
	ch.mu.Unlock()
	for held {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if !cut {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if named && heard != nil {
		heard()
	}
}

func (p *proxy) watch(name string, heard func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.name, p.heard = []byte(name), heard
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}
