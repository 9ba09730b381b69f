package fleet

import (
	"net"
	"regexp"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// relays forward the connections to the control instances and can interrupt them.
type relays struct {
	mu            sync.Mutex
	isBlocked     func(flow) bool
	refusedTarget string
	changed       chan struct{}
	conns         []net.Conn
	forwarders    sync.WaitGroup
}

// flow is one direction of a connection. The source is the process that made the connection; it is
// empty until the first request has identified it.
type flow struct {
	source, target string
	reply          bool
}

// from and to are the processes that send and receive the bytes of a flow.
func (f flow) from() string {
	if f.reply {
		return f.target
	}
	return f.source
}

func (f flow) to() string {
	if f.reply {
		return f.source
	}
	return f.target
}

func newRelays(t testing.TB) *relays {
	r := &relays{changed: make(chan struct{})}
	t.Cleanup(func() {
		r.heal()
		r.mu.Lock()
		for _, conn := range r.conns {
			_ = conn.Close()
		}
		r.mu.Unlock()
		r.forwarders.Wait()
	})
	return r
}

// listen returns the address of a relay in front of the target at targetAddress.
func (r *relays) listen(t testing.TB, target, targetAddress string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	r.forwarders.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.connect(conn, target, targetAddress)
		}
	})
	return listener.Addr().String()
}

func (r *relays) connect(conn net.Conn, target, targetAddress string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusedTarget == target {
		_ = conn.Close()
		return
	}
	targetConn, err := net.Dial("tcp", targetAddress)
	if err != nil {
		_ = conn.Close()
		return
	}
	r.conns = append(r.conns, conn, targetConn)
	var identified sync.Once
	source := ""
	identify := func(data []byte) {
		if found := senderName.Find(data); found != nil {
			identified.Do(func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				source = string(found)
			})
		}
	}
	r.forwarders.Go(func() { r.forward(conn, targetConn, identify, func() flow { return flow{source, target, false} }) })
	r.forwarders.Go(func() {
		r.forward(targetConn, conn, func([]byte) {}, func() flow { return flow{source, target, true} })
	})
}

// senderName matches the sender in a request: heartbeats of entries and messages of control instances name
// it before anything else, and no other data of these tests contains such a name.
var senderName = regexp.MustCompile(`(entry|control)-[0-9]+`)

// forward copies bytes until one side closes. Bytes of a blocked flow wait, as in a partition, at whose end TCP
// retransmits them.
func (r *relays) forward(from, to net.Conn, identify func([]byte), currentFlow func() flow) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		identify(buffer[:n])
		r.awaitUnblocked(currentFlow)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// awaitUnblocked blocks while the flow is interrupted.
func (r *relays) awaitUnblocked(currentFlow func() flow) {
	for {
		r.mu.Lock()
		blocked, changed := r.isBlocked != nil && r.isBlocked(currentFlow()), r.changed
		r.mu.Unlock()
		if !blocked {
			return
		}
		<-changed
	}
}

// cut holds back the bytes of blocked flows without closing connections, and refuses new connections to
// refusedTarget, if set.
func (r *relays) cut(isBlocked func(flow) bool, refusedTarget string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isBlocked, r.refusedTarget = isBlocked, refusedTarget
	close(r.changed)
	r.changed = make(chan struct{})
}

// heal ends all interruptions.
func (r *relays) heal() {
	r.cut(nil, "")
}
