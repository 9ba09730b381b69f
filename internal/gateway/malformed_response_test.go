package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// rawHead has the fields by which a response counts as that of the endpoint to the request of deployment.call.
const rawHead = "Id: request-1\r\nProof: p\r\n"

// takeConnection reads the body of a request and takes its connection over.
func takeConnection(w http.ResponseWriter, r *http.Request) net.Conn {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}

// respondRaw sends bytes as they are and closes the connection.
func respondRaw(raw string) endpointBehaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		conn := takeConnection(w, r)
		defer conn.Close()
		_, _ = io.WriteString(conn, raw)
	}
}

// forwardingPaths are the paths of the routes: plain services and streams, with and without retries.
var forwardingPaths = []string{"/read/x", "/file/x", "/ask/x", "/tell/x"}

// expectBadGateway sends a request on each route to a deployment whose only endpoint sends a broken response. Callers must get
// a failure that does not say whether the request ran, and a request that runs at most once must not be sent again.
func expectBadGateway(t *testing.T, raw string) {
	t.Helper()
	for _, path := range forwardingPaths {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"broken": respondRaw(raw)})
			response := d.call(t, http.MethodPost, path, "body", nil)
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get("Proof"), "")
			is.True(path == "/read/x" || path == "/ask/x" || d.requestCount() == 1)
		})
	}
}

// Guards against a response that is passed on, or taken for a refusal, although its status is none.
func TestResponseWithInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "-20", "+20", "2x0", ""} {
		for name, field := range map[string]string{"": "", " that says it did not run": "Not-Run: 1\r\n"} {
			t.Run(status+name, func(t *testing.T) {
				expectBadGateway(t, "HTTP/1.1 "+status+" Odd\r\n"+rawHead+field+"Content-Length: 10\r\n\r\ndata: x\n\n.")
			})
		}
	}
}

// Guards against a response that is passed on although the name of a header field holds a blank or a control byte: with
// that field, or with a body that ends elsewhere because the field says how long the body is.
func TestResponseWithMalformedFieldName(t *testing.T) {
	const chunked = "9\r\ndata: x\n\n\r\n0\r\n\r\n"
	for name, test := range map[string]struct{ fields, body string }{
		"blank inside":              {"X-A B: c\r\n", ""},
		"blank before the colon":    {"X-A : c\r\n", ""},
		"tab before the colon":      {"X-A\t: c\r\n", ""},
		"blank at the start":        {" X-A: c\r\n", ""},
		"tab at the start":          {"\tX-A: c\r\n", ""},
		"blanks only":               {"  : c\r\n", ""},
		"no name":                   {": c\r\n", ""},
		"no colon":                  {"X-A\r\n", ""},
		"NUL":                       {"X-\x00A: c\r\n", ""},
		"carriage return":           {"X-\rA: c\r\n", ""},
		"escape":                    {"X-\x1bA: c\r\n", ""},
		"DEL":                       {"X-\x7fA: c\r\n", ""},
		"not ASCII":                 {"X-\xe9A: c\r\n", ""},
		"chunked, blank before":     {" Transfer-Encoding: chunked\r\n", chunked},
		"chunked, blank after":      {"Transfer-Encoding : chunked\r\n", chunked},
		"chunked, folded":           {"X-A: c\r\n Transfer-Encoding: chunked\r\n", chunked},
		"length, blank after":       {"Content-Length : 9\r\n", "data: x\n\nmore"},
		"length, blank inside":      {"Content Length: 9\r\n", "data: x\n\nmore"},
		"length, NUL":               {"Content-Length\x00: 9\r\n", "data: x\n\nmore"},
		"chunked in HTTP/1.1 twice": {"Transfer-Encoding: chunked\r\nTransfer-Encoding : x\r\n", chunked},
	} {
		t.Run(name, func(t *testing.T) {
			body := test.body
			if body == "" {
				body = "data: x\n\n"
			}
			expectBadGateway(t, "HTTP/1.1 200 OK\r\n"+rawHead+test.fields+"\r\n"+body)
			// The same field in front of the others.
			expectBadGateway(t, "HTTP/1.1 200 OK\r\n"+test.fields+rawHead+"\r\n"+body)
		})
	}
}

// Guards against a response that is passed on although the value of a field holds a control byte, or although the fields that say
// how long the body is cannot be read.
func TestResponseWithMalformedValue(t *testing.T) {
	for name, fields := range map[string]string{
		"NUL":                         "X-A: a\x00b\r\n",
		"carriage return":             "X-A: a\rX-B: b\r\n",
		"DEL":                         "X-A: \x7f\r\n",
		"length with a sign":          "Content-Length: +9\r\n",
		"negative length":             "Content-Length: -9\r\n",
		"hexadecimal length":          "Content-Length: 0x9\r\n",
		"list of lengths":             "Content-Length: 9, 9\r\n",
		"two lengths":                 "Content-Length: 9\r\nContent-Length: 8\r\n",
		"empty length":                "Content-Length: \r\n",
		"length over 64 bits":         "Content-Length: 99999999999999999999\r\n",
		"other coding":                "Transfer-Encoding: gzip\r\n",
		"chunked twice":               "Transfer-Encoding: chunked, chunked\r\n",
		"chunked in two fields":       "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"chunked, body not in chunks": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			expectBadGateway(t, "HTTP/1.1 200 OK\r\n"+rawHead+fields+"\r\ndata: x\n\n")
		})
	}
}

// Guards against a malformed trailer that reaches callers, or that changes the body.
func TestMalformedTrailer(t *testing.T) {
	const events = "data: x\n\n"
	for name, trailer := range map[string]string{"blank in a name": "X T: t\r\n", "NUL in a name": "X\x00T: t\r\n", "length": "Content-Length: 3\r\n"} {
		for _, path := range forwardingPaths {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				d := deploy(t, map[string]endpointBehaviour{"odd": respondRaw("HTTP/1.1 200 OK\r\n" + rawHead +
					"Transfer-Encoding: chunked\r\n\r\n9\r\n" + events + "\r\n0\r\n" + trailer + "\r\n")})
				response := d.call(t, http.MethodPost, path, "body", nil)
				body, err := io.ReadAll(response.Body)
				is.Equal(len(response.Trailer), 0)
				is.True(response.StatusCode == http.StatusBadGateway || err != nil || string(body) == events)
			})
		}
	}
}

// Guards against malformed fields that go unnoticed in an interim response in front of the final one.
func TestInterimResponse(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\n" + rawHead + "Content-Length: 9\r\n\r\ndata: x\n\n"
	for _, path := range forwardingPaths {
		t.Run("sound"+path, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"sound": respondRaw("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + final)})
			body, err := io.ReadAll(d.call(t, http.MethodPost, path, "body", nil).Body)
			is.NoErr(err)
			is.Equal(string(body), "data: x\n\n")
		})
	}
	t.Run("malformed", func(t *testing.T) { expectBadGateway(t, "HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n"+final) })
	t.Run("malformed final", func(t *testing.T) {
		expectBadGateway(t, "HTTP/1.1 100 Continue\r\n\r\n"+strings.Replace(final, "Proof", "Pro of: x\r\nProof", 1))
	})
}

// Guards against chunks of an HTTP/1.0 response, which has none, that are passed on with their lengths as its body.
func TestChunkedResponseOfHTTP10(t *testing.T) {
	expectBadGateway(t, "HTTP/1.0 200 OK\r\n"+rawHead+"transfer-encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n")
}

// Guards against sound responses that are refused.
func TestSoundResponses(t *testing.T) {
	const events = "data: x\n\n"
	for name, raw := range map[string]string{
		"length":               "HTTP/1.1 200 OK\r\n" + rawHead + "Content-Length: 9\r\n\r\n" + events,
		"no length":            "HTTP/1.1 200 OK\r\n" + rawHead + "\r\n" + events,
		"connection close":     "HTTP/1.1 200 OK\r\n" + rawHead + "Connection: close\r\n\r\n" + events,
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + rawHead + "\r\n" + events,
		"HTTP/1.0, length":     "HTTP/1.0 200 OK\r\n" + rawHead + "Content-Length: 9\r\n\r\n" + events,
		"chunked":              "HTTP/1.1 200 OK\r\n" + rawHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n5;x=y\r\n: x\n\n\r\n0\r\n\r\n",
		"trailer":              "HTTP/1.1 200 OK\r\n" + rawHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n9\r\n" + events + "\r\n0\r\nX-T: t\r\n\r\n",
		"no reason":            "HTTP/1.1 200\r\n" + rawHead + "Content-Length: 9\r\n\r\n" + events,
		"empty reason":         "HTTP/1.1 200 \r\n" + rawHead + "Content-Length: 9\r\n\r\n" + events,
		"lines without CR":     strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+rawHead+"Content-Length: 9\r\n\r\n", "\r", "") + events,
		"odd names and values": "HTTP/1.1 200 OK\r\n" + rawHead + "!#$%&'*+-.^_`|~9: \xe9\t, :\r\nX-Empty:\r\nX-Tight:a\r\nContent-Length: 9\r\n\r\n" + events,
		"other status":         "HTTP/1.1 299 Odd\r\n" + rawHead + "Content-Length: 9\r\n\r\n" + events,
	} {
		for _, path := range forwardingPaths {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				d := deploy(t, map[string]endpointBehaviour{"sound": respondRaw(raw)})
				response := d.call(t, http.MethodPost, path, "body", nil)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(response.StatusCode/100, 2)
				is.Equal(response.Header.Get("Proof"), "p")
				is.Equal(string(body), events)
			})
		}
	}
}

// Guards against a response that counts as complete although it was cut: in its head, in its body, or in the chunk or trailer
// that ends it. The response is cut after each byte.
func TestResponseCutAnywhere(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n" + rawHead
	for name, raw := range map[string]string{
		"length":  start + "Content-Length: 9\r\n\r\ndata: x\n\n",
		"chunked": start + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n",
		"trailer": start + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\nX-T: t\r\n\r\n",
		"interim": "HTTP/1.1 100 Continue\r\n\r\n" + start + "Content-Length: 9\r\n\r\ndata: x\n\n",
		// The body ends with the connection, so that only the head can be seen to be cut.
		"head only": start + "\r\n",
	} {
		for _, path := range forwardingPaths {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				length := len(raw) - 1
				cut := 0
				d := deploy(t, map[string]endpointBehaviour{"cut": func(w http.ResponseWriter, r *http.Request) {
					respondRaw(raw[:cut])(w, r)
				}})
				for cut = 0; cut <= length; cut++ {
					expectNoCompleteResponse(is, d, path, fmt.Sprintf("%d of %d bytes", cut, len(raw)))
				}
			})
		}
	}
}

// expectNoCompleteResponse sends a request whose response must be a failure, or a stream that the caller sees break off.
func expectNoCompleteResponse(is *is.I, d *deployment, path, when string) {
	is.Helper()
	r, err := http.NewRequest(http.MethodPost, d.server.URL+path, strings.NewReader("body"))
	is.NoErr(err)
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode < http.StatusMultipleChoices && err == nil {
		is.Equal(string(body), "a response that is not complete, "+when)
	}
}
