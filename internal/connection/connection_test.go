package connection_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/connection"
)

// Guards against a client that has left and counts as waiting until the HTTP server has read the end of its connection, and
// against one that waits and counts as gone.
func TestClientLeft(t *testing.T) {
	cases := map[string]struct {
		client func(t *testing.T, client *net.TCPConn)
		left   bool
	}{
		"waits":                 {func(*testing.T, *net.TCPConn) {}, false},
		"waits, has sent bytes": {func(t *testing.T, c *net.TCPConn) { write(t, c) }, false},
		"has closed":            {func(t *testing.T, c *net.TCPConn) { is.New(t).NoErr(c.Close()) }, true},
		"has reset": {func(t *testing.T, c *net.TCPConn) {
			is.New(t).NoErr(c.SetLinger(0))
			is.New(t).NoErr(c.Close())
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := connect(t)
			ctx := connection.NewContext(t.Context(), server)
			is.True(!connection.ClientLeft(ctx))
			c.client(t, client)
			if c.left {
				_, _ = server.Read(make([]byte, 1)) // waits until the end has arrived
			}
			is.Equal(connection.ClientLeft(ctx), c.left)
		})
	}
}

// Guards against a request that counts as waiting although it has been cancelled, or whose connection is not known and that
// counts as cancelled.
func TestRequestWithoutConnection(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	is.True(!connection.ClientLeft(ctx))
	cancel()
	is.True(connection.ClientLeft(ctx))
}

func write(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("GET"))
	is.New(t).NoErr(err)
}

// connect returns both sides of a connection on loopback.
func connect(t *testing.T) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	server, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = server.Close()
	})
	return dialled.(*net.TCPConn), server
}
