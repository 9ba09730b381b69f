package session

import "github.com/dandelionpier/dandelionpier/internal/configuration"

// View is what an entry knows from the control leader. It is a value and is not changed.
type View struct {
	Configuration configuration.Configuration
	Members       []Member
	Term          uint64
	// Quarantined are the fingerprints of requests that crash endpoints.
	Quarantined map[uint64]bool
}
