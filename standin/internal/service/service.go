// Package service is a plain service that counts which requests really ran.
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

// Runs counts what ran: by X-Request-Id and by the field reference of the body.
type Runs struct {
	Requests   map[string]int `json:"requests"`
	References map[string]int `json:"references"`
}

// Result is the response of the service.
type Result struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request-id"`
	Reference string `json:"reference,omitempty"`
	Ran       bool   `json:"ran"`
}

// Service is a plain service.
type Service struct {
	options  options.Service
	faults   *faults.Switch
	handling atomic.Int64

	mu      sync.Mutex
	runs    Runs
	drained bool
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
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

// Run has nothing to do beside the handlers.
func (s *Service) Run(context.Context) {}

// Drain refuses new requests.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
}

// Active returns the number of requests in progress.
func (s *Service) Active() int {
	return int(s.handling.Load())
}

// Announcement returns what the service says of itself.
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
	write(w, payload, err)
}

// serve answers any request. A POST runs: it is counted before the answer.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.handling.Add(1)
	defer s.handling.Add(-1)
	if s.refuses() {
		http.Error(w, "the service is draining", http.StatusServiceUnavailable)
		return
	}
	if _, found := s.faults.BeforeRead(); found {
		faults.Close()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body cannot be read", http.StatusBadRequest)
		return
	}
	result := s.run(r, body)
	fault, _ := s.faults.ForBody(body)
	switch fault.Kind {
	case faults.CloseAfterRead:
		faults.Close()
	case faults.Silent:
		faults.Wait(r)
		return
	}
	faults.Pause(r, s.options.Delay)
	payload, err := json.Marshal(result)
	write(w, payload, err)
}

func (s *Service) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

func (s *Service) run(r *http.Request, body []byte) Result {
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
	// A body in another format has no reference; the request runs all the same.
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

func write(w http.ResponseWriter, payload []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(payload)
}
