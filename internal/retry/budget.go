// Package retry bounds the retries of an entry by a share of its requests, so that a cell that fails
// is not loaded with a multiple of its usual requests.
package retry

import (
	"sync"

	"golang.org/x/time/rate"
)

// Config sets up a Budget.
type Config struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Burst bounds the retries saved up from earlier requests.
	Burst float64
	// Floor is the number of retries a second that are allowed in any case.
	Floor float64
}

// Budget is a token bucket that requests fill. It is safe for concurrent use.
type Budget struct {
	config Config
	mu     sync.Mutex
	tokens float64
	floor  *rate.Limiter
}

// NewBudget returns a budget without savings.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, floor: rate.NewLimiter(rate.Limit(config.Floor), max(1, int(config.Floor)))}
}

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// Take reports whether one more retry may be made, and counts it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	return b.floor.Allow()
}
