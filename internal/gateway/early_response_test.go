package gateway_test

import (
	"fmt"
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
	const tries = 5
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

// Guards against a sound endpoint whose response is cut or refused because it begins to respond before it has read a long
// request, and reads on after a pause that is longer than the time in which an unacknowledged connection is given up.
func TestEndpointReadsOnLate(t *testing.T) {
	const pause = 2500 * time.Millisecond
	for name, header := range map[string]string{
		"no length": earlyHead,
		"length":    "HTTP/1.1 200 OK\r\n" + rawHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(encodeEvents(1, 4))),
		"chunked":   "HTTP/1.1 200 OK\r\n" + rawHead + "Transfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\n" + rawHead + "\r\n",
	} {
		for _, path := range forwardingPaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				part := func(first, last int) string { return encodeEvents(first, last) }
				end := ""
				if name == "chunked" {
					part = func(first, last int) string {
						events := encodeEvents(first, last)
						return fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
					}
					end = "0\r\n\r\n"
				}
				d := deploy(t, map[string]endpointBehaviour{"late": func(w http.ResponseWriter, _ *http.Request) {
					conn, body := respondEarly(w, header+part(1, 2))
					defer conn.Close()
					time.Sleep(pause)
					_, _ = io.CopyN(io.Discard, body, longBody)
					_, _ = io.WriteString(conn, part(3, 4)+end)
				}}, acceptLongBodies)
				response, body, err := d.callWithLongBody(t, path)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(body, encodeEvents(1, 4))
				is.Equal(d.requestCount(), 1)
			})
		}
	}
}
