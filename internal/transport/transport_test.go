package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/porttest"
	"github.com/dandelionpier/dandelionpier/internal/transport"
)

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// get sends a request and reads the body of the response.
func get(t *testing.T, client http.RoundTripper, url string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// bytewise is a connection of which each read returns one byte.
type bytewise struct {
	net.Conn
	reader io.Reader
}

func (b bytewise) Read(p []byte) (int, error) { return b.reader.Read(p) }

func dialBytewise(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return bytewise{conn, iotest.OneByteReader(conn)}, nil
}

// Guards against malformed heads that pass, also those that arrive in many pieces, and against sound ones that do not.
func TestHead(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		sound    bool
	}{
		"sound":               {sound, true},
		"interim in front":    {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sound, true},
		"long reason":         {strings.Replace(sound, "OK", strings.Repeat("OK ", 100), 1), true},
		"status 000":          {strings.Replace(sound, "200", "000", 1), false},
		"status 600":          {strings.Replace(sound, "200", "600", 1), false},
		"status 101":          {strings.Replace(sound, "200", "101", 1), false},
		"other protocol":      {strings.Replace(sound, "HTTP/1.1", "HTTP/2.0", 1), false},
		"folded line":         {strings.Replace(sound, "\r\n", "\r\nA: b\r\n c\r\n", 1), false},
		"blank in a name":     {strings.Replace(sound, "\r\n", "\r\nA B: c\r\n", 1), false},
		"CR before a name":    {strings.Replace(sound, "\r\n", "\r\n\rA: c\r\n", 1), false},
		"CR before the end":   {strings.Replace(sound, "\r\n\r\n", "\r\n\r\r\n", 1), false},
		"no colon":            {strings.Replace(sound, "\r\n", "\r\nA\r\n", 1), false},
		"chunks of HTTP/1.0":  {"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"chunks of HTTP/1.1":  {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"interim, folded":     {"HTTP/1.1 100 Continue\r\nA: b\r\n c\r\n\r\n" + sound, false},
		"interim, status 000": {"HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(sound, "200", "000", 1), false},
	} {
		for reads, client := range map[string]*transport.Transport{
			"": transport.New(&http.Transport{}), " bytewise": transport.New(&http.Transport{DialContext: dialBytewise}),
		} {
			t.Run(name+reads, func(t *testing.T) {
				is := is.New(t)
				body, err := get(t, client, "http://"+porttest.Respond(t, test.response))
				if test.sound {
					is.NoErr(err)
					is.Equal(body, "ok")
					return
				}
				// net/http reports an error of its own if it has read a part of the line.
				is.True(err != nil)
				is.True(fault.Is(err, transport.Malformed) || reads != "")
			})
		}
	}
}

// Guards against a kept connection of which only the first response is checked.
func TestKeptConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, response := range []string{sound, sound, strings.Replace(sound, "200", "000", 1)} {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response)
		}
	}()
	client := transport.New(&http.Transport{})
	defer client.CloseIdleConnections()
	url := "http://" + listener.Addr().String()
	for range 2 {
		body, err := get(t, client, url)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	// The listener is closed first, so that the transport cannot send the request again.
	is.NoErr(listener.Close())
	_, err = get(t, client, url)
	is.True(err != nil)
}

// Guards against a connection by TLS whose encrypted bytes are taken for the head of a response.
func TestNoTLSConfiguration(t *testing.T) {
	is := is.New(t)
	_, err := get(t, transport.New(&http.Transport{}), "https://127.0.0.1:1")
	is.True(fault.Is(err, transport.Unsupported))
}

func ExampleNew() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 000 Odd\r\n\r\n")
	}))
	defer server.Close()
	client := http.Client{Transport: transport.New(&http.Transport{})}
	_, err := client.Get(server.URL)
	fmt.Println(fault.Is(err, transport.Malformed))
	// Output: true
}
