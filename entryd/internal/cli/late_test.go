package cli

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/porttest"
)

// lateCopier is an endpoint that answers each request on a connection and, where the connection is used again, first
// repeats its response to the request before.
type lateCopier struct {
	// respond writes the response to a request.
	respond func(w io.Writer, request *http.Request)
	mu      sync.Mutex
	// copies counts the late copies.
	copies int
}

func (l *lateCopier) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	earlier := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if earlier != "" {
			l.mu.Lock()
			l.copies++
			l.mu.Unlock()
			_, _ = io.WriteString(conn, earlier)
		}
		var response strings.Builder
		l.respond(&response, request)
		earlier = response.String()
		_, _ = io.WriteString(conn, earlier)
	}
}

func writeResponse(w io.Writer, request *http.Request, withIDs bool, status int, body string) {
	ids := ""
	if withIDs {
		ids = fmt.Sprintf("%s: %s\r\n%s: %s\r\n", endpoint.HeaderRequestID, request.Header.Get(endpoint.HeaderRequestID),
			endpoint.HeaderAttemptID, request.Header.Get(endpoint.HeaderAttemptID))
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), ids, len(body), body)
}

// Guards against a late second copy of an earlier response, a refusal or an answer, that is taken for the response to the
// request that uses the connection next.
func TestLateCopyOnKeptConnection(t *testing.T) {
	requestOf := func(prompt string) string {
		return fmt.Sprintf(`{"model":"oak","max_tokens":5,"messages":[{"role":"user","content":%q}]}`, prompt)
	}
	completionOf := func(request *http.Request) string {
		return fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"choices":[]}`, request.Header.Get(endpoint.HeaderRequestID), request.Header.Get(endpoint.HeaderAttemptID))
	}
	for name, test := range map[string]struct {
		withIDs bool
		// firstStatus is the status of the first response, whose copy comes late.
		firstStatus int
	}{
		"refusal with ids":    {true, http.StatusBadRequest},
		"refusal without ids": {false, http.StatusBadRequest},
		"too large":           {true, http.StatusRequestEntityTooLarge},
		"failure":             {true, http.StatusInternalServerError},
		"answer":              {true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var answered atomic.Int64
			engine := &lateCopier{respond: func(w io.Writer, request *http.Request) {
				if answered.Add(1) == 1 {
					writeResponse(w, request, test.withIDs, test.firstStatus, completionOf(request))
					return
				}
				writeResponse(w, request, true, http.StatusOK, completionOf(request))
			}}
			sound := startServer(t, nil, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
				w.Header().Set(endpoint.HeaderAttemptID, r.Header.Get(endpoint.HeaderAttemptID))
				w.Header().Set("Content-Type", "application/json")
				_, _ = io.WriteString(w, completionOf(r))
			})
			s := startEntry(t, porttest.Listen(t, engine.serve), sound)
			s.send(t, http.MethodPost, "/v1/chat/completions", requestOf("first prompt"))
			for range 3 {
				response := s.send(t, http.MethodPost, "/v1/chat/completions", requestOf("another prompt"))
				is.Equal(response.status, http.StatusOK)
				is.True(strings.Contains(response.body, "choices"))
			}
		})
	}
}

// Guards against the answer of an earlier call to a plain service that does not repeat the ids of requests.
func TestLateCopyOfServiceAnswer(t *testing.T) {
	is := is.New(t)
	service := &lateCopier{respond: func(w io.Writer, request *http.Request) {
		writeResponse(w, request, false, http.StatusOK, request.URL.Path)
	}}
	s := startEntry(t, porttest.Listen(t, service.serve))
	for i := range 5 {
		path := fmt.Sprintf("/stock/%d", i)
		response := s.send(t, http.MethodGet, "/v1/services/counter"+path, "")
		is.Equal(response.status, http.StatusOK)
		is.Equal(response.body, path)
	}
	is.Equal(service.copies, 0)
}
