// Package weights is a weight store whose downloads share one rate limit.
package weights

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// blockBytes is the unit in which downloads take turns.
const blockBytes = 64 << 10

// Store is a weight store.
type Store struct {
	size     int64
	limiter  *rate.Limiter
	handling atomic.Int64
	draining atomic.Bool
}

// New returns a store.
func New(o options.Weights) *Store {
	return &Store{size: o.Size, limiter: rate.NewLimiter(rate.Limit(o.Rate), blockBytes)}
}

// Handler returns the routes of the store.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/weights/{model}/{version}", s.download).Methods(http.MethodGet)
	return r
}

// Run has nothing to do beside the handlers.
func (s *Store) Run(context.Context) {}

// Drain refuses new downloads.
func (s *Store) Drain() {
	s.draining.Store(true)
}

// Active returns the number of downloads in progress.
func (s *Store) Active() int {
	return int(s.handling.Load())
}

// Announcement is empty: a weight store is no endpoint and is not announced.
func (s *Store) Announcement() endpoint.Announcement {
	return endpoint.Announcement{}
}

func (s *Store) download(w http.ResponseWriter, r *http.Request) {
	s.handling.Add(1)
	defer s.handling.Add(-1)
	if s.draining.Load() {
		http.Error(w, "the store is draining", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.size, 10))
	block := make([]byte, blockBytes)
	for left := s.size; left > 0; {
		n := int(min(left, blockBytes))
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(block[:n]); err != nil {
			return
		}
		left -= int64(n)
	}
}
