package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/transport"
)

// earlyConn is a connection from which a response is read to its end, whereas the last write of the request returns only
// after that. The kernel reports a reset in this order: once, to the write that waits, and to the read as the end of the
// response.
type earlyConn struct {
	net.Conn
	response io.Reader
	// written counts the bytes of the request. The write of the last ones returns writeErr.
	written, size int
	writeErr      error
	// stalled keeps that write waiting until the connection is closed.
	stalled bool
	// headWritten is closed with the first bytes of the request, ended when the response has been read, closed by Close.
	headWritten, ended, closed chan struct{}
	endOnce, closeOnce         sync.Once
}

func newEarlyConn(response string, size int, writeErr error) *earlyConn {
	return &earlyConn{
		response: strings.NewReader(response), size: size, writeErr: writeErr,
		headWritten: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *earlyConn) Read(p []byte) (int, error) {
	<-c.headWritten
	n, err := c.response.Read(p)
	if err != nil {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *earlyConn) Write(p []byte) (int, error) {
	if c.written == 0 {
		close(c.headWritten)
	}
	if c.written += len(p); c.written < c.size {
		return len(p), nil
	}
	ended := c.ended
	if c.stalled {
		ended = nil
	}
	select {
	case <-ended:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

func (c *earlyConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// uploadBytes is the length of the body that send sends.
const uploadBytes = 1 << 20

// send sends a request on the connection.
func (c *earlyConn) send(ctx context.Context) (*http.Response, error) {
	client := transport.New(&http.Transport{
		DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil },
	})
	body := io.NopCloser(strings.NewReader(strings.Repeat("x", uploadBytes)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://endpoint/", body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = uploadBytes
	return client.RoundTrip(request)
}

// Guards against a response without a length that counts as complete although the connection was reset while the request was
// being written, and against one that fails although the request was written in the end.
func TestResponseDuringUpload(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		writeErr error
		want     string
	}{
		"reset":              {"HTTP/1.1 200 OK\r\n\r\npart", syscall.ECONNRESET, ""},
		"reset, HTTP/1.0":    {"HTTP/1.0 200 OK\r\n\r\npart", syscall.ECONNRESET, ""},
		"timeout":            {"HTTP/1.1 200 OK\r\n\r\npart", syscall.ETIMEDOUT, ""},
		"written later":      {"HTTP/1.1 200 OK\r\n\r\nwhole", nil, "whole"},
		"length":             {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", nil, "whole"},
		"reset after length": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", syscall.ECONNRESET, "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := newEarlyConn(test.response, uploadBytes, test.writeErr).send(t.Context())
			is.NoErr(err)
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			if test.want != "" {
				is.NoErr(err)
				is.Equal(string(got), test.want)
				return
			}
			is.True(fault.Is(err, transport.Incomplete))
		})
	}
}

// Guards against a read that goes on waiting for the end of the upload after the request was cancelled.
func TestCancelWhileResponseAwaitsUpload(t *testing.T) {
	is := is.New(t)
	conn := newEarlyConn("HTTP/1.1 200 OK\r\n\r\npart", uploadBytes, nil)
	conn.stalled = true
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	response, err := conn.send(ctx)
	is.NoErr(err)
	defer response.Body.Close()
	go func() {
		<-conn.ended
		cancel()
	}()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}
