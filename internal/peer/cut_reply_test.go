package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/peer"
)

// cutConn is a connection that ends after limit bytes have been read from it.
type cutConn struct {
	net.Conn
	limit int64
	read  atomic.Int64
}

func (c *cutConn) Read(p []byte) (int, error) {
	left := c.limit - c.read.Load()
	if left <= 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(left, int64(len(p)))])
	c.read.Add(int64(n))
	return n, err
}

// Guards against a reply of another process that is cut and counts as one. The connection ends after each byte in turn.
func TestReplyCutAnywhere(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, key)
	// say makes a call on a connection that ends after limit bytes, and returns how many were read.
	say := func(limit int64) (reply string, read int64, err error) {
		cut := &cutConn{limit: limit}
		pool := peer.NewPool(peer.PoolConfig{Key: key, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var err error
			cut.Conn, err = new(net.Dialer).DialContext(ctx, "tcp", address)
			return cut, err
		}})
		defer pool.Close()
		err = pool.Call(t.Context(), address, "Echo.Say", "saw", &reply)
		return reply, cut.read.Load(), err
	}
	reply, whole, err := say(1 << 20)
	is.NoErr(err)
	is.Equal(reply, "saw")
	for limit := range whole {
		_, _, err := say(limit)
		is.True(err != nil)
	}
}
