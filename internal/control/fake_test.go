package control_test

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/control"
)

// memoryLog applies commands at once. It can lose the leader lease.
type memoryLog struct {
	mu      sync.Mutex
	machine *control.Machine
	term    uint64
	leads   bool
	index   uint64
}

var errNotLeader = errors.New("not the leader")

func (l *memoryLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return nil, errNotLeader
	}
	l.index++
	return l.machine.Apply(l.index, command), nil
}

func (l *memoryLog) Read(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return errNotLeader
	}
	return nil
}

func (l *memoryLog) LeaderLease() (time.Duration, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return 0, 0
	}
	return time.Second, l.term
}

func (l *memoryLog) Leader() (string, string, uint64) {
	return "", "", 0
}

// setLeader makes this log the leader for a term, or ends its leadership.
func (l *memoryLog) setLeader(term uint64, leads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.leads = term, leads
}

// network connects clients and servers over in-memory pipes. Tests can cut a client off.
type network struct {
	mu      sync.Mutex
	servers map[string]*rpc.Server
	cut     map[string]bool
}

func newNetwork() *network {
	return &network{servers: make(map[string]*rpc.Server), cut: make(map[string]bool)}
}

func (n *network) Register(name string, receiver any) error {
	return n.server("control-1").RegisterName(name, receiver)
}

func (n *network) server(address string) *rpc.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.servers[address] == nil {
		n.servers[address] = rpc.NewServer()
	}
	return n.servers[address]
}

// node is the Caller of one client of the network.
type node struct {
	network *network
	name    string
}

func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

func (n node) isCut() bool {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.cut[n.name]
}

// Call loses requests and replies silently while the node is cut off.
func (n node) Call(ctx context.Context, address, method string, args, reply any) error {
	if n.isCut() {
		<-ctx.Done()
		return ctx.Err()
	}
	client, server := net.Pipe()
	go n.network.server(address).ServeConn(server)
	c := rpc.NewClient(client)
	defer c.Close()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if n.isCut() {
		<-ctx.Done()
		return ctx.Err()
	}
	return call.Error
}
