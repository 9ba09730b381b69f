package policy

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// maxAnnouncementBytes is the entries' limit of an announcement.
const maxAnnouncementBytes = 1 << 20

// LoadReports keeps the latest load report of each engine. It serves POST /platform/announce, so that
// engines announce themselves to the load tool.
type LoadReports struct {
	mu    sync.Mutex
	loads map[string]endpoint.Load
}

// NewLoadReports returns a board without reports.
func NewLoadReports() *LoadReports {
	return &LoadReports{loads: make(map[string]endpoint.Load)}
}

// Load returns the latest report of the engine at an address.
func (b *LoadReports) Load(address string) endpoint.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loads[address]
}

// EngineCount returns the number of engines that have reported.
func (b *LoadReports) EngineCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.loads)
}

// ServeHTTP accepts an announcement. The reply names no addresses, so engines keep to their settings.
func (b *LoadReports) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a endpoint.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, "the announcement is not valid", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.loads[a.Address] = a.Load
	b.mu.Unlock()
	_, _ = w.Write([]byte(`{"addresses":[]}`))
}
