package porttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Listen starts a listener that calls handle for each connection, and returns its address.
func Listen(t testing.TB, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// Respond returns the address of a listener that reads one request from each connection, sends the bytes of a response as
// they are, and closes the connection.
func Respond(t testing.TB, response string) string {
	t.Helper()
	return Listen(t, func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	})
}
