package cli

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// pipeListener accepts one end of each pipe that connect makes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) connect() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against an instance that has failed, for example because its disk is full, and keeps its place in the quorum without
// working: a caller that stops in the middle of a request must not delay the end of its process. After a planned stop
// requests have more time.
func TestStalledRequestDelaysShutdown(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		want  time.Duration
	}{
		"planned stop": {nil, shutdownTimeout},
		"failure":      {errNodeFailed, failureShutdownTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				listener := newPipeListener()
				end := make(chan error, 1)
				reading := make(chan struct{})
				handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					close(reading)
					_, _ = io.Copy(io.Discard, r.Body)
				})
				go func() { end <- serveHTTP(ctx, listener, handler, zap.NewNop()) }()
				conn := listener.connect()
				defer conn.Close()
				_, err := io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\npart")
				is.NoErr(err)
				<-reading
				started := time.Now()
				cancel(test.cause)
				is.True(errors.Is(<-end, context.DeadlineExceeded))
				is.Equal(time.Since(started), test.want) // the fake clock of synctest
			})
		})
	}
}
