// Package retry limits the retries of an entry to a share of its requests, so that a group of endpoints that fails does
// not receive a multiple of its usual load.
package retry

import (
	"sync"

	"golang.org/x/time/rate"
)

// Config holds the settings of a Budget.
type Config struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Burst is the maximum number of retries saved up from earlier requests.
	Burst float64
	// Floor is the number of retries per second that are allowed in any case.
	Floor float64
}

// Budget is a token bucket that each request refills by a fraction. It is safe for concurrent use.
type Budget struct {
	config       Config
	mu           sync.Mutex
	tokens       float64
	floorLimiter *rate.Limiter
}

// NewBudget returns an empty budget.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, floorLimiter: rate.NewLimiter(rate.Limit(config.Floor), max(1, int(config.Floor)))}
}

// RecordRequest adds the share of one request to the budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// Take reports whether one more retry may be made, and deducts it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	return b.floorLimiter.Allow()
}
