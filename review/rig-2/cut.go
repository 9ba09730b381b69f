package main

import (
	"bytes"
	"net"
	"sync"
)

// cut is a set of proxies before the peer ports of the control instances. While it is on, it swallows what passes between
// these and one entry, which it knows by its name in its calls.
type cut struct {
	name []byte
	mu   sync.Mutex
	on   bool
}

func (c *cut) set(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.on = on
}

func (c *cut) swallows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.on
}

func (c *cut) setName(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.name = []byte(name)
}

func (c *cut) isNamedIn(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.name) > 0 && bytes.Contains(data, c.name)
}

// listen starts a proxy.
func (c *cut) listen(address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.pass(conn, target)
		}
	}()
	return nil
}

// pass connects a client with the target until one of them closes.
func (c *cut) pass(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	var mu sync.Mutex
	isCut := false
	go func() {
		defer client.Close()
		buffer := make([]byte, 64<<10)
		for {
			n, err := server.Read(buffer)
			if err != nil {
				return
			}
			mu.Lock()
			swallow := isCut && c.swallows()
			mu.Unlock()
			if !swallow {
				if _, err := client.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			return
		}
		mu.Lock()
		isCut = isCut || c.isNamedIn(buffer[:n])
		swallow := isCut && c.swallows()
		mu.Unlock()
		if !swallow {
			if _, err := server.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}
