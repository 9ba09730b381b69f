// Package faults selects the requests that get an injected fault.
package faults

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// Kinds of faults.
const (
	// Silent accepts a request and never responds.
	Silent = "silent"
	// Delay pauses before each event.
	Delay = "drip"
	// Truncate closes the connection in the middle of the response.
	Truncate = "truncate"
	// Duplicate sends one event twice.
	Duplicate = "duplicate"
	// Reorder swaps two consecutive events.
	Reorder = "reorder"
	// Misroute sends an event that belongs to another request.
	Misroute = "cross"
	// Malformed sends bytes that are not a valid response.
	Malformed = "garbage"
	// CloseAfterRead closes the connection after the request has been read.
	CloseAfterRead = "close-after-read"
	// CloseBeforeRead closes the connection before the body has been read.
	CloseBeforeRead = "close-before-read"
)

// kinds are all kinds of faults.
var kinds = []string{Silent, Delay, Truncate, Duplicate, Reorder, Misroute, Malformed, CloseAfterRead, CloseBeforeRead}

// Injector holds the active faults. Its methods may be called concurrently.
type Injector struct {
	mu     sync.Mutex
	faults []options.Fault
}

// New returns an injector with the given faults active.
func New(faults []options.Fault) *Injector {
	return &Injector{faults: append([]options.Fault(nil), faults...)}
}

// Add activates a fault.
func (i *Injector) Add(f options.Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, f)
}

// Clear removes all faults.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = nil
}

// BeforeRead returns the active CloseBeforeRead fault, if there is one. It is called before the body is read.
func (i *Injector) BeforeRead() (options.Fault, bool) {
	return i.consume(func(f options.Fault) bool { return f.Kind == CloseBeforeRead })
}

// ForBody returns the first other fault whose marker the body contains.
func (i *Injector) ForBody(body []byte) (options.Fault, bool) {
	return i.consume(func(f options.Fault) bool {
		return f.Kind != CloseBeforeRead && bytes.Contains(body, []byte(f.Marker))
	})
}

// consume returns the first fault that applies. It decrements a positive Count, and removes the fault when
// that reaches 0.
func (i *Injector) consume(applies func(options.Fault) bool) (options.Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for index, f := range i.faults {
		if !applies(f) {
			continue
		}
		if f.Count == 1 {
			i.faults = append(i.faults[:index:index], i.faults[index+1:]...)
		}
		if f.Count > 1 {
			i.faults[index].Count--
		}
		return f, true
	}
	return options.Fault{}, false
}

// ServeHTTP adds the fault in the body of a POST (its delay in nanoseconds) and removes all on DELETE.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		i.Clear()
		return
	}
	var f options.Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || !slices.Contains(kinds, f.Kind) {
		http.Error(w, "a fault needs a kind: "+strings.Join(kinds, ", "), http.StatusBadRequest)
		return
	}
	i.Add(f)
}

// CloseConnection aborts the handler, which closes the connection of the request.
func CloseConnection() {
	panic(http.ErrAbortHandler)
}

// WaitForDisconnect blocks until the client of a request has disconnected.
func WaitForDisconnect(r *http.Request) {
	<-r.Context().Done()
}

// Pause waits for d or until the client has disconnected.
func Pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}
