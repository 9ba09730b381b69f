// Package trial simulates days of load against modelled engines in virtual time, with several seeds, and prints the
// credit that a placement policy earns.
package trial

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/simulation"
)

// Kind classifies an Error.
type Kind string

// UnknownPolicy means that no policy of that name exists.
const UnknownPolicy Kind = "unknown-policy"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// schedulerPolicy places requests as entries and dispatchers do. leastRequestsPolicy is a baseline.
	schedulerPolicy     = "scheduler"
	leastRequestsPolicy = "least-requests"
)

// defaultSeeds is the default number of days that are drawn from a day file.
const defaultSeeds = 24

// Command returns the simulate command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "simulate",
		Usage: "simulate days of load against modelled engines in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "day", Usage: "path of the day `FILE`", Required: true},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of days to draw", Value: defaultSeeds},
			&cli.StringFlag{Name: "policy", Usage: "`POLICY`: scheduler or least-requests", Value: schedulerPolicy},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			day, err := Load(c.String("day"))
			if err != nil {
				return err
			}
			results, err := Simulate(ctx, day, c.String("policy"), c.Int("seeds"))
			if err != nil {
				return err
			}
			return Print(c.Root().Writer, results)
		},
	}
}

// newPlacer returns a new placer of a policy.
func newPlacer(policy string, day Day) (simulation.Placer, error) {
	switch policy {
	case schedulerPolicy:
		return placement.NewScheduler(day.engine()), nil
	case leastRequestsPolicy:
		return simulation.NewLeastRequests(), nil
	default:
		return nil, fault.New("choose policy", UnknownPolicy, "policy %q does not exist; known: %s, %s", policy, schedulerPolicy, leastRequestsPolicy)
	}
}

// largestSuffix and largerSuffix mark the lines of the largest tenth of a kind and of the fifth below it.
const (
	largestSuffix = ", largest tenth"
	largerSuffix  = ", fifth below"
)

// Simulate simulates one day for each seed from 0, several at a time, and returns their results in the order of
// the seeds.
func Simulate(ctx context.Context, day Day, policy string, seeds int) ([]simulation.Result, error) {
	results := make([]simulation.Result, seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for seed := range seeds {
		placer, err := newPlacer(policy, day)
		if err != nil {
			return nil, err
		}
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			results[seed] = simulation.Evaluate(simulation.Run(day.draw(uint64(seed)), placer))
			return nil
		})
	}
	return results, group.Wait()
}

// Print writes the mean credit shares of all days and a line with the totals of each kind of request, and of its largest
// tenth and the fifth below it.
func Print(w io.Writer, results []simulation.Result) error {
	kinds := make(map[string]simulation.Tally)
	var wholeDay, worstWindows float64
	for _, r := range results {
		wholeDay += r.All.CreditShare() / float64(len(results))
		worstWindows += r.WorstWindows() / float64(len(results))
		for name, t := range r.Kinds {
			kinds[name] = kinds[name].Plus(t)
			largest, larger := name+largestSuffix, name+largerSuffix
			kinds[largest] = kinds[largest].Plus(r.Largest[name])
			kinds[larger] = kinds[larger].Plus(r.Larger[name])
		}
	}
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "days %d\twhole day %.4f\tworst windows %.4f\n", len(results), wholeDay, worstWindows)
	fmt.Fprintln(table, "kind\tasked\tin time\tlate\trefused\tlost\tworth")
	for _, name := range names {
		t := kinds[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.4f\n", name, t.Requests, t.InTime, t.Late, t.Refused, t.Lost, t.CreditShare())
	}
	return table.Flush()
}
