// Package policy chooses targets: entries in turn, or engines by the baseline policies that the
// system is compared with. A baseline runs on several simulated entries, none of which knows the choices
// of the others.
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
	// PowerOfTwo draws two engines at random and takes the one with less queued prefill in the latest report
	// (Mitzenmacher: The power of two choices in randomized load balancing, 2001).
	PowerOfTwo = "power-of-two"
)

// Kind classifies an Error.
type Kind string

// Unknown means that no policy of that name exists.
const Unknown Kind = "unknown"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Config configures a Chooser.
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
	// targetOrders has the targets in a random order for each simulated entry, nextTarget its position in
	// that order.
	nextTarget   []int
	targetOrders [][]string
}

// New returns a Chooser.
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
		c.targetOrders = append(c.targetOrders, order)
		c.nextTarget = append(c.nextTarget, 0)
	}
	return c, nil
}

// Choose returns the address for the next request.
func (c *Chooser) Choose() string {
	switch c.config.Policy {
	case LeastOutstanding:
		return c.leastLoaded(c.config.Targets, func(l endpoint.Load) int { return l.Running + l.Queued })
	case PowerOfTwo:
		return c.leastLoaded(c.drawTwo(), func(l endpoint.Load) int { return l.QueuedPrefill })
	default:
		return c.nextInTurn()
	}
}

func (c *Chooser) nextInTurn() string {
	entry := c.random.IntN(len(c.targetOrders))
	address := c.targetOrders[entry][c.nextTarget[entry]%len(c.targetOrders[entry])]
	c.nextTarget[entry]++
	return address
}

func (c *Chooser) drawTwo() []string {
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

// leastLoaded returns the address with the lowest metric; ties are broken at random.
func (c *Chooser) leastLoaded(targets []string, metric func(endpoint.Load) int) string {
	var best []string
	lowest := 0
	for _, address := range targets {
		value := metric(c.config.Load(address))
		if len(best) == 0 || value < lowest {
			best, lowest = best[:0], value
		}
		if value == lowest {
			best = append(best, address)
		}
	}
	return best[c.random.IntN(len(best))]
}
