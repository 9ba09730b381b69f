package gateway

import (
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/retry"
)

// retryBudgets limits the retries of this instance for each service to an even share of what the deployment may
// make. Without it, the failure of an endpoint could double the load on the remaining ones.
type retryBudgets struct {
	config RetryConfig
	// entries returns the number of instances that share the budget.
	entries func() int
	mu      sync.Mutex
	shares  map[string]budgetShare
}

// budgetShare is this instance's share of a budget that a number of instances divide among them.
type budgetShare struct {
	budget  *retry.Budget
	entries int
}

func newRetryBudgets(config RetryConfig, entries func() int) *retryBudgets {
	if config.Window == 0 {
		config.Window = 10 * time.Second
	}
	return &retryBudgets{config: config, entries: entries, shares: make(map[string]budgetShare)}
}

// shareMargin scales the shares down, so that the deployment stays below its limit while instances join and leave
// and the shares are uneven.
const shareMargin = 0.5

// forService returns the budget of a service. The budget is replaced when more instances share it, because after a
// restart of the whole deployment an instance knows only a few of the others at first.
func (b *retryBudgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := max(1, b.entries())
	current, ok := b.shares[service]
	if ok && entries <= current.entries {
		return current.budget
	}
	slack := shareMargin * b.config.Slack / float64(entries)
	budget := retry.NewBudget(retry.Config{
		Ratio: shareMargin * b.config.Ratio, Burst: max(1, slack/2), Floor: slack / 2 / b.config.Window.Seconds(),
	})
	b.shares[service] = budgetShare{budget: budget, entries: entries}
	return budget
}
