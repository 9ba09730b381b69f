// Package service simulates a plain service that counts the requests it has executed.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

const maxBodyBytes = 8 << 20

// Runs counts the executed requests, by X-Request-Id and by the field "reference" of the body.
type Runs struct {
	Requests   map[string]int `json:"requests"`
	References map[string]int `json:"references"`
}

// Result is the body of the response to a request.
type Result struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request-id"`
	Reference string `json:"reference,omitempty"`
	Ran       bool   `json:"ran"`
}

// Service accepts any path and method, and executes POST requests.
type Service struct {
	options  options.Service
	faults   *faults.Injector
	inFlight atomic.Int64

	mu       sync.Mutex
	runs     Runs
	draining bool
}

// New returns a service.
func New(o options.Service) *Service {
	return &Service{
		options: o,
		faults:  faults.New(o.Faults),
		runs:    Runs{Requests: make(map[string]int), References: make(map[string]int)},
	}
}

// Handler returns the routes of the service.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/platform/runs", s.listRuns).Methods(http.MethodGet)
	if s.options.Admin {
		r.Handle("/standin/faults", s.faults).Methods(http.MethodPost, http.MethodDelete)
	}
	r.PathPrefix("/").HandlerFunc(s.handleRequest)
	return r
}

// Run returns at once: the service has no background work.
func (s *Service) Run(context.Context) {}

// Drain refuses new requests.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Active returns the number of requests in progress.
func (s *Service) Active() int {
	return int(s.inFlight.Load())
}

// Announcement returns the announcement without the fields that the node fills in.
func (s *Service) Announcement() endpoint.Announcement {
	return endpoint.Announcement{
		Type:   endpoint.Service,
		Models: s.options.Services,
		Load:   endpoint.Load{Running: s.Active()},
	}
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	payload, err := json.Marshal(s.runs)
	s.mu.Unlock()
	writeJSON(w, payload, err)
}

// handleRequest serves any request. A POST is executed, that is counted, before the response is written.
func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.isDraining() {
		http.Error(w, "the service is draining", http.StatusServiceUnavailable)
		return
	}
	if _, found := s.faults.BeforeRead(); found {
		faults.CloseConnection()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body cannot be read", http.StatusBadRequest)
		return
	}
	result := s.execute(r, body)
	fault, _ := s.faults.ForBody(body)
	switch fault.Kind {
	case faults.CloseAfterRead:
		faults.CloseConnection()
	case faults.Silent:
		faults.WaitForDisconnect(r)
		return
	}
	faults.Pause(r, s.options.Delay)
	payload, err := json.Marshal(result)
	writeJSON(w, payload, err)
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Service) execute(r *http.Request, body []byte) Result {
	result := Result{
		Service:   s.options.Services[0],
		Method:    r.Method,
		Path:      r.URL.Path,
		RequestID: r.Header.Get(endpoint.HeaderRequestID),
	}
	if r.Method != http.MethodPost {
		return result
	}
	var fields struct {
		Reference string `json:"reference"`
	}
	// A body in another format has no reference; the request is executed all the same.
	_ = json.Unmarshal(body, &fields)
	result.Reference = fields.Reference
	result.Ran = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.Requests[result.RequestID]++
	if result.Reference != "" {
		s.runs.References[result.Reference]++
	}
	return result
}

func writeJSON(w http.ResponseWriter, payload []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(payload)
}
