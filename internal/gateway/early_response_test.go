package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// longBody is longer than what the kernel buffers of a connection that nobody reads from.
const longBody = 8 << 20

// earlyHead begins a response without a length.
const earlyHead = "HTTP/1.1 200 OK\r\n" + rawHead + "\r\n"

func acceptLongBodies(c *routing.Config) { c.Limits.MaxBodyBytes = 2 * longBody }

// callWithLongBody returns the response, and what the body yields until its end or an error.
func (d *deployment) callWithLongBody(t *testing.T, path string) (response *http.Response, body string, err error) {
	t.Helper()
	response = d.call(t, http.MethodPost, path, strings.Repeat("x", longBody), nil)
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// respondEarly takes a connection over before the body of the request has been read, and sends the start of a response. The
// reader has the body.
func respondEarly(w http.ResponseWriter, start string) (net.Conn, io.Reader) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, start)
	return conn, buffered
}

// Guards against a part of a response without a length that is passed on as the whole, because the endpoint reset the
// connection while the request was still being written to it.
func TestResetDuringUpload(t *testing.T) {
	const tries = 10
	for _, path := range forwardingPaths {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"resets": func(w http.ResponseWriter, _ *http.Request) {
				conn, _ := respondEarly(w, earlyHead+encodeEvents(1, 2))
				// The upload fills the buffers meanwhile, so that the reset meets a write that waits.
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}}, acceptLongBodies)
			for range tries {
				response, body, err := d.callWithLongBody(t, path)
				if response.StatusCode < http.StatusMultipleChoices && err == nil {
					is.Equal(body, "a response that is not complete")
				}
				is.True(response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusOK && err != nil)
			}
		})
	}
}
