package transport

import (
	"net"
	"sync"
	"syscall"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// conn is a connection that checks the heads of the responses that are read from it.
type conn struct {
	net.Conn

	// mu guards the fields below: a transport reads from a connection also while no request uses it.
	mu   sync.Mutex
	head head
	// malformed is the error of the first malformed head. It stays, because the parser of net/http ignores an error of a read
	// that follows a part of a line, and reads on.
	malformed error
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw}
}

// expectResponse makes the bytes that are read from now on count as a response to another request.
func (c *conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.complete() {
		c.head = head{}
	}
}

// Read reads bytes of a response. After an error of kind Malformed, the response must not be used.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if scanErr := c.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

func (c *conn) scan(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.malformed == nil {
		c.malformed = c.head.scan(p)
	}
	return c.malformed
}

// SyscallConn returns the raw connection, for socket options.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fault.New("get raw connection", Unsupported, "the connection is a %T", c.Conn)
	}
	return raw.SyscallConn()
}
