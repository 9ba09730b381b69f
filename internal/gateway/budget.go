package gateway

import (
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/retry"
)

// budgets bound the retries of this instance by service, to its even share of what the deployment may make.
// They answer an endpoint failure that would otherwise double the load on the endpoints that are left.
type budgets struct {
	config RetryConfig
	// entries returns the number of instances that share the budget.
	entries func() int
	mu      sync.Mutex
	known   map[string]*retry.Budget
}

func newBudgets(config RetryConfig, entries func() int) *budgets {
	if config.Window == 0 {
		config.Window = 10 * time.Second
	}
	return &budgets{config: config, entries: entries, known: make(map[string]*retry.Budget)}
}

// margin keeps below the bound of the deployment, because shares are uneven while instances come and go.
const margin = 0.5

func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.known[service]
	if budget == nil {
		entries := float64(max(1, b.entries()))
		slack := margin * b.config.Slack / entries
		budget = retry.NewBudget(retry.Config{
			Ratio: margin * b.config.Ratio, Burst: max(1, slack/2), Floor: slack / 2 / b.config.Window.Seconds(),
		})
		b.known[service] = budget
	}
	return budget
}
