// Package faults decides which requests meet an injected fault.
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
	// Silent accepts a request and never answers.
	Silent = "silent"
	// Drip pauses before each event.
	Drip = "drip"
	// Truncate closes the connection within the response.
	Truncate = "truncate"
	// Duplicate sends one event twice.
	Duplicate = "duplicate"
	// Reorder swaps two neighbouring events.
	Reorder = "reorder"
	// Cross sends an event that belongs to another request.
	Cross = "cross"
	// Garbage sends bytes that are no valid response.
	Garbage = "garbage"
	// CloseAfterRead closes the connection after the request has been read.
	CloseAfterRead = "close-after-read"
	// CloseBeforeRead closes the connection before the body has been read.
	CloseBeforeRead = "close-before-read"
)

// kinds are all kinds of faults.
var kinds = []string{Silent, Drip, Truncate, Duplicate, Reorder, Cross, Garbage, CloseAfterRead, CloseBeforeRead}

// Switch holds the active faults. Its methods may be called concurrently.
type Switch struct {
	mu     sync.Mutex
	faults []options.Fault
}

// New returns a switch with the given faults active.
func New(faults []options.Fault) *Switch {
	return &Switch{faults: append([]options.Fault(nil), faults...)}
}

// Add activates a fault.
func (s *Switch) Add(f options.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// Clear deactivates all faults.
func (s *Switch) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// BeforeRead returns the fault of a request whose body has not been read.
func (s *Switch) BeforeRead() (options.Fault, bool) {
	return s.pick(func(f options.Fault) bool { return f.Kind == CloseBeforeRead })
}

// ForBody returns the first fault that applies to a request with the given body.
func (s *Switch) ForBody(body []byte) (options.Fault, bool) {
	return s.pick(func(f options.Fault) bool {
		return f.Kind != CloseBeforeRead && bytes.Contains(body, []byte(f.Marker))
	})
}

func (s *Switch) pick(applies func(options.Fault) bool) (options.Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if !applies(f) {
			continue
		}
		if f.Count == 1 {
			s.faults = append(s.faults[:i:i], s.faults[i+1:]...)
		}
		if f.Count > 1 {
			s.faults[i].Count--
		}
		return f, true
	}
	return options.Fault{}, false
}

// ServeHTTP adds the fault in the body of a POST (its delay in nanoseconds) and clears all on DELETE.
func (s *Switch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.Clear()
		return
	}
	var f options.Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || !slices.Contains(kinds, f.Kind) {
		http.Error(w, "a fault needs a kind: "+strings.Join(kinds, ", "), http.StatusBadRequest)
		return
	}
	s.Add(f)
}

// Close ends the connection of a request without a response.
func Close() {
	panic(http.ErrAbortHandler)
}

// Wait blocks until the caller of a request has gone.
func Wait(r *http.Request) {
	<-r.Context().Done()
}

// Pause waits for d or until the caller has gone.
func Pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}
