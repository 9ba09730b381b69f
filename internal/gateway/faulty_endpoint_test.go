package gateway_test

import (
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// Guards against an entry that stops following the list of endpoints, or sends requests to an unusable one, because one
// record, which another version of this software has admitted, is odd.
func TestOddRecordBesideSoundOnes(t *testing.T) {
	for name, change := range map[string]func(*registration.Record){
		"port out of range":  func(r *registration.Record) { r.Address = "127.0.0.1:70000" },
		"port 0":             func(r *registration.Record) { r.Address = "127.0.0.1:0" },
		"host name":          func(r *registration.Record) { r.Address = "engine:80" },
		"no address":         func(r *registration.Record) { r.Address = "" },
		"long id":            func(r *registration.Record) { r.ID = strings.Repeat("i", 1<<20) },
		"control characters": func(r *registration.Record) { r.ID = "i\n1" },
		"no UTF-8":           func(r *registration.Record) { r.ID = "i\xff" },
		"slots":              func(r *registration.Record) { r.Slots = math.MaxInt },
		"negative slots":     func(r *registration.Record) { r.Slots = -1 },
		"start":              func(r *registration.Record) { r.Started = math.MaxInt64 },
		"sequence":           func(r *registration.Record) { r.Sequence = math.MaxUint64 },
		"state":              func(r *registration.Record) { r.State = "asleep" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"sound": respondOK})
			odd := registration.Record{ID: "odd", Service: "desk", Address: "127.0.0.1:9", State: registration.Ready}
			change(&odd)
			is.True(odd.Check() != nil)
			d.session.view.Endpoints = d.session.view.Endpoints.WithChanges(2, []registration.Change{{Record: odd}})
			d.updateFleet(t)
			records, _ := d.fleet.Endpoints("desk")
			is.Equal(len(records), 1)
			is.Equal(records[0].ID, "sound")
			is.Equal(d.call(t, http.MethodGet, "/read/x", "", nil).StatusCode, http.StatusOK)
		})
	}
}

// Guards against bytes without end from an endpoint, in the head or the body of a response, that take the memory of an
// instance or keep a caller waiting.
func TestResponseWithoutEnd(t *testing.T) {
	endless := func(start string) endpointBehaviour {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, err = io.WriteString(conn, start)
			more := strings.Repeat("x", 32<<10)
			for err == nil {
				_, err = io.WriteString(conn, more)
			}
		}
	}
	const head = "HTTP/1.1 200 OK\r\nId: request-1\r\nProof: p\r\n"
	for name, behaviour := range map[string]endpointBehaviour{
		"head": endless(head + "X: "), "status line": endless("HTTP/1.1 200 "), "body": endless(head + "\r\n"), "event": endless(head + "\r\ndata: "),
	} {
		for path, once := range map[string]bool{"/read/x": false, "/file/x": true, "/ask/x": false, "/tell/x": true} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				d := deploy(t, map[string]endpointBehaviour{"endless": behaviour})
				is.Equal(d.call(t, http.MethodPost, path, "body", nil).StatusCode, http.StatusBadGateway)
				is.True(!once || d.requestsAt("endless") == 1)
			})
		}
	}
}

// Guards against a stream that never ends because its endpoint sends a byte now and then, and against one that is cut
// although its slow endpoint sends events.
func TestTrickledStream(t *testing.T) {
	trickle := func(text func(i int) string, count int) endpointBehaviour {
		return func(w http.ResponseWriter, r *http.Request) {
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for i := 1; i <= count && r.Context().Err() == nil; i++ {
				_, _ = io.WriteString(w, text(i))
				_ = http.NewResponseController(w).Flush()
				<-ticker.C
			}
		}
	}
	limit := func(timeout time.Duration) func(*routing.Config) {
		return func(c *routing.Config) {
			for i := range c.Routes {
				c.Routes[i].Timeout = timeout
			}
		}
	}
	t.Run("a byte now and then", func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, map[string]endpointBehaviour{"stalled": trickle(func(int) string { return "x" }, 1<<20)}, limit(300*time.Millisecond))
		is.Equal(d.call(t, http.MethodGet, "/tell/x", "", nil).StatusCode, http.StatusGatewayTimeout)
	})
	t.Run("slow but sound", func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, map[string]endpointBehaviour{"slow": trickle(func(i int) string { return encodeEvents(i, i) }, 120)}, limit(time.Minute))
		body, err := io.ReadAll(d.call(t, http.MethodGet, "/tell/x", "", nil).Body)
		is.NoErr(err)
		is.Equal(string(body), encodeEvents(1, 120))
	})
}

// Guards against running work that is given up or started again elsewhere, because its endpoint is silent for a while and
// drops out of the list.
func TestSilentEndpointKeepsItsWork(t *testing.T) {
	is := is.New(t)
	begun, dropped := make(chan struct{}), make(chan struct{})
	work := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, encodeEvents(1, 1))
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-dropped
		_, _ = io.WriteString(w, encodeEvents(2, 2))
	}
	d := deploy(t, map[string]endpointBehaviour{"silent": work})
	go func() {
		<-begun
		d.session.view.Endpoints = registration.List{Version: 2, Records: map[string]registration.Record{}}
		d.updateFleet(t)
		close(dropped)
	}()
	body, err := io.ReadAll(d.call(t, http.MethodGet, "/ask/x", "", nil).Body)
	is.NoErr(err)
	is.Equal(string(body), encodeEvents(1, 2))
	is.Equal(d.requestCount(), 1)
}
