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
	known   map[string]share
}

// share is the part of a budget that one of a number of instances has.
type share struct {
	budget  *retry.Budget
	entries int
}

func newBudgets(config RetryConfig, entries func() int) *budgets {
	if config.Window == 0 {
		config.Window = 10 * time.Second
	}
	return &budgets{config: config, entries: entries, known: make(map[string]share)}
}

// margin keeps below the bound of the deployment, because shares are uneven while instances come and go.
const margin = 0.5

// of returns the budget of a service. It is made anew when more instances share it: after a restart of the
// whole deployment an instance knows only a few of the others at first.
func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := max(1, b.entries())
	known, ok := b.known[service]
	if ok && entries <= known.entries {
		return known.budget
	}
	slack := margin * b.config.Slack / float64(entries)
	budget := retry.NewBudget(retry.Config{
		Ratio: margin * b.config.Ratio, Burst: max(1, slack/2), Floor: slack / 2 / b.config.Window.Seconds(),
	})
	b.known[service] = share{budget: budget, entries: entries}
	return budget
}
