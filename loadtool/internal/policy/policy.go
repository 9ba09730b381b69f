// Package policy chooses targets: entries in turn, or engines by the baseline policies that the
// system is compared with. A baseline runs on several simulated entries that know nothing of each
// other's choices.
package policy

import (
	"math/rand/v2"
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Names of the policies.
const (
	// Entry sends requests to the entries in turn.
	Entry = "entry"
	// RoundRobin sends the requests of each simulated entry to the engines in turn.
	RoundRobin = "round-robin"
	// LeastOutstanding takes the engine with the fewest running and queued requests in the latest report.
	LeastOutstanding = "least-outstanding"
	// PowerOfTwo draws two engines and takes the one with less queued prefill in the latest report
	// (Mitzenmacher: The power of two choices in randomized load balancing, 2001).
	PowerOfTwo = "power-of-two"
)

// Kind classifies an Error.
type Kind string

// Unknown means that no policy of that name exists.
const Unknown Kind = "unknown"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Config sets up a chooser.
type Config struct {
	Policy string
	// Targets are the addresses of the entries, or of the engines for a baseline.
	Targets []string
	// Entries is the number of simulated entries of a baseline.
	Entries int
	Seed    uint64
	// Load returns the latest load report of an engine.
	Load func(address string) endpoint.Load
}

// Chooser chooses a target for each request. It is not safe for concurrent use.
type Chooser struct {
	config Config
	random *rand.Rand
	// next is the position of each simulated entry in its own order of the targets.
	next   []int
	orders [][]string
}

// New returns a chooser.
func New(config Config) (*Chooser, error) {
	known := []string{Entry, RoundRobin, LeastOutstanding, PowerOfTwo}
	if !slices.Contains(known, config.Policy) {
		return nil, fault.New("choose policy", Unknown, "policy %q does not exist; known: %v", config.Policy, known)
	}
	if config.Policy == Entry {
		config.Entries = 1
	}
	c := &Chooser{config: config, random: rand.New(rand.NewPCG(config.Seed, 1))}
	for range config.Entries {
		order := slices.Clone(config.Targets)
		c.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		c.orders = append(c.orders, order)
		c.next = append(c.next, 0)
	}
	return c, nil
}

// Choose returns the address for the next request.
func (c *Chooser) Choose() string {
	switch c.config.Policy {
	case LeastOutstanding:
		return c.least(c.config.Targets, func(l endpoint.Load) int { return l.Running + l.Queued })
	case PowerOfTwo:
		return c.least(c.two(), func(l endpoint.Load) int { return l.QueuedPrefill })
	default:
		return c.turn()
	}
}

func (c *Chooser) turn() string {
	entry := c.random.IntN(len(c.orders))
	address := c.orders[entry][c.next[entry]%len(c.orders[entry])]
	c.next[entry]++
	return address
}

func (c *Chooser) two() []string {
	targets := c.config.Targets
	if len(targets) < 2 {
		return targets
	}
	i := c.random.IntN(len(targets))
	j := c.random.IntN(len(targets) - 1)
	if j >= i {
		j++
	}
	return []string{targets[i], targets[j]}
}

// least returns an address with the lowest figure; equal ones are drawn.
func (c *Chooser) least(targets []string, figure func(endpoint.Load) int) string {
	var best []string
	lowest := 0
	for _, address := range targets {
		n := figure(c.config.Load(address))
		if len(best) == 0 || n < lowest {
			best, lowest = best[:0], n
		}
		if n == lowest {
			best = append(best, address)
		}
	}
	return best[c.random.IntN(len(best))]
}
