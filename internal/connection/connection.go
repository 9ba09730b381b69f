// Package connection tells whether the client of an HTTP request still waits for the response.
package connection

import (
	"context"
	"net"
	"syscall"
)

type contextKey struct{}

// NewContext returns a context with the connection of a request, for http.Server.ConnContext.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// ClientLeft reports whether a request has been cancelled, or its client has closed the connection that NewContext has
// stored. The HTTP server also notices the end of a connection and cancels the request, but some time after it has
// arrived: a process that wakes up from a long pause has many goroutines to run. Bytes that the client has sent behind the
// request hide the end of the connection from ClientLeft.
func ClientLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(contextKey{}).(syscall.Conn)
	return ok && endReceived(conn)
}

// endReceived reports whether nothing can be read from a connection any more.
func endReceived(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true // it is closed on this side
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || isReset(err)
	})
	return ended || err != nil
}

func isReset(err error) bool {
	return err == syscall.ECONNRESET || err == syscall.EPIPE || err == syscall.ETIMEDOUT
}
