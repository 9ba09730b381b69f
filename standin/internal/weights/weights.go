// Package weights serves simulated model weights; all downloads share one rate limit.
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

// chunkBytes is the size of one write. Concurrent downloads interleave in units of it.
const chunkBytes = 64 << 10

// Store serves every model and version as a download of the same size.
type Store struct {
	size     int64
	limiter  *rate.Limiter
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a store.
func New(o options.Weights) *Store {
	return &Store{size: o.Size, limiter: rate.NewLimiter(rate.Limit(o.Rate), chunkBytes)}
}

// Handler returns the routes of the store.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/weights/{model}/{version}", s.download).Methods(http.MethodGet)
	return r
}

// Run returns at once: the store has no background work.
func (s *Store) Run(context.Context) {}

// Drain refuses new downloads.
func (s *Store) Drain() {
	s.draining.Store(true)
}

// Active returns the number of downloads in progress.
func (s *Store) Active() int {
	return int(s.inFlight.Load())
}

// Announcement returns an empty announcement: a weight store is not an endpoint and is not announced.
func (s *Store) Announcement() endpoint.Announcement {
	return endpoint.Announcement{}
}

func (s *Store) download(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		http.Error(w, "the store is draining", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.size, 10))
	chunk := make([]byte, chunkBytes)
	for left := s.size; left > 0; {
		n := int(min(left, chunkBytes))
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= int64(n)
	}
}
