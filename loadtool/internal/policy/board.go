package policy

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// maxAnnouncementBytes is the entries' limit of an announcement.
const maxAnnouncementBytes = 1 << 20

// Board keeps the latest load report of each engine. It serves POST /platform/announce, so that
// engines announce themselves to the load tool.
type Board struct {
	mu    sync.Mutex
	loads map[string]endpoint.Load
}

// NewBoard returns a board without reports.
func NewBoard() *Board {
	return &Board{loads: make(map[string]endpoint.Load)}
}

// Load returns the latest report of the engine at an address.
func (b *Board) Load(address string) endpoint.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loads[address]
}

// Known returns the number of engines that have reported.
func (b *Board) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.loads)
}

// ServeHTTP accepts an announcement. The reply names no addresses, so engines keep to their settings.
func (b *Board) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
