package policy

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// maxAnnouncementBytes limits the size of an announcement, as entries do.
const maxAnnouncementBytes = 1 << 20

// LoadReports keeps the latest load report of each engine. It serves POST /platform/announce, so that
// engines announce themselves to the load tool.
type LoadReports struct {
	mu    sync.Mutex
	loads map[string]endpoint.Load
}

// NewLoadReports returns a LoadReports without reports.
func NewLoadReports() *LoadReports {
	return &LoadReports{loads: make(map[string]endpoint.Load)}
}

// Load returns the latest report of the engine at an address.
func (l *LoadReports) Load(address string) endpoint.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[address]
}

// EngineCount returns the number of engines that have reported.
func (l *LoadReports) EngineCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loads)
}

// ServeHTTP accepts an announcement. The reply names no addresses, so engines keep those of their settings.
func (l *LoadReports) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a endpoint.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, "the announcement is not valid", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	l.loads[a.Address] = a.Load
	l.mu.Unlock()
	_, _ = w.Write([]byte(`{"addresses":[]}`))
}
