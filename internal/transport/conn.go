package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// conn is a connection that checks the heads of the responses that are read from it, and whether its end is also the end of a
// response.
type conn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	// mu guards the fields below: a transport reads from a connection also while no request uses it.
	mu   sync.Mutex
	head head
	// malformed is the error of the first malformed head. It stays, because the parser of net/http ignores an error of a read
	// that follows a part of a line, and reads on.
	malformed error
	upload    *upload

	// writing is held during a write; it guards writeErr, the first error of a write.
	writing  sync.Mutex
	writeErr error
}

// upload is the state of writing one request.
type upload struct {
	// done is closed once the request has been written or has failed. The last bytes may still be in a buffer of the transport,
	// which is then being flushed.
	done chan struct{}
	err  error
	once sync.Once
}

func newUpload() *upload {
	return &upload{done: make(chan struct{})}
}

func (u *upload) end(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, closed: make(chan struct{})}
}

// expectResponse makes the bytes that are read from now on count as a response to another request.
func (c *conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.complete() {
		c.head = head{}
	}
	c.upload = newUpload()
}

// requestWritten records that the request has been written, or the error with which that failed.
func (c *conn) requestWritten(err error) {
	if u := c.currentUpload(); u != nil {
		u.end(err)
	}
}

// currentUpload returns nil before the first request.
func (c *conn) currentUpload() *upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upload
}

// inBody reports whether the head of the last response has been read.
func (c *conn) inBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.complete()
}

// Read reads bytes of a response. After an error of kind Malformed or Incomplete, the response must not be used.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if scanErr := c.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	// An end before that of the head is an error in any case.
	if errors.Is(err, io.EOF) && c.inBody() {
		if writeErr := c.awaitUpload(); writeErr != nil {
			return n, fault.Wrap(writeErr, "read response", Incomplete, "the request could not be sent in full")
		}
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

// awaitUpload waits until the request has been written, and returns the error if it could not be. The kernel reports a reset
// of a connection only once. If a write that waits gets the error, the read beside it finds the end of the connection, which
// is the end of a response without a length. An endpoint that begins to respond early reads the request to its end, so that
// such a response is complete only if the request has been sent in full.
func (c *conn) awaitUpload() error {
	u := c.currentUpload()
	if u == nil {
		return nil
	}
	select {
	case <-u.done:
	case <-c.closed:
		return net.ErrClosed
	}
	if u.err != nil {
		return u.err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Write writes bytes of a request.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Close closes the connection. It ends reads and writes that wait.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SyscallConn returns the raw connection, for socket options.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fault.New("get raw connection", Unsupported, "the connection is a %T", c.Conn)
	}
	return raw.SyscallConn()
}
