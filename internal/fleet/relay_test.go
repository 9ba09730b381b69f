package fleet

import (
	"net"
	"regexp"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// relays carry the connections to the control instances and can cut them.
type relays struct {
	mu      sync.Mutex
	stopped func(flow) bool
	refused string
	changed chan struct{}
	conns   []net.Conn
	pumps   sync.WaitGroup
}

// flow is one direction of a connection. The source is the process that made the connection; it is
// empty until the first request has named it.
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
		r.pumps.Wait()
	})
	return r
}

// listen returns the address of a relay in front of the target at behind.
func (r *relays) listen(t testing.TB, target, behind string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	r.pumps.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.connect(conn, target, behind)
		}
	})
	return listener.Addr().String()
}

func (r *relays) connect(conn net.Conn, target, behind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == target {
		_ = conn.Close()
		return
	}
	next, err := net.Dial("tcp", behind)
	if err != nil {
		_ = conn.Close()
		return
	}
	r.conns = append(r.conns, conn, next)
	var name sync.Once
	source := ""
	identify := func(data []byte) {
		if found := instance.Find(data); found != nil {
			name.Do(func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				source = string(found)
			})
		}
	}
	r.pumps.Go(func() { r.pump(conn, next, identify, func() flow { return flow{source, target, false} }) })
	r.pumps.Go(func() { r.pump(next, conn, func([]byte) {}, func() flow { return flow{source, target, true} }) })
}

// instance finds the sender in a request: heartbeats of entries and messages of control instances name
// it before anything else, and no other data of these tests has such a name.
var instance = regexp.MustCompile(`(entry|control)-[0-9]+`)

// pump forwards until one side closes. Bytes of a stopped flow wait, as those of a TCP connection do
// that are sent again until a partition ends.
func (r *relays) pump(from, to net.Conn, identify func([]byte), describe func() flow) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		identify(buffer[:n])
		r.await(describe)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relays) await(describe func() flow) {
	for {
		r.mu.Lock()
		waits, changed := r.stopped != nil && r.stopped(describe()), r.changed
		r.mu.Unlock()
		if !waits {
			return
		}
		<-changed
	}
}

// cut stops flows silently and refuses new connections to one target, if named.
func (r *relays) cut(stopped func(flow) bool, refused string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped, r.refused = stopped, refused
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relays) heal() {
	r.cut(nil, "")
}
