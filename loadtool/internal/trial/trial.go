// Package trial plays days of requests against modelled engines in virtual time, with several seeds, and prints what
// the decisions of a policy are worth.
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

// UnknownPolicy means that there is no policy of a name.
const UnknownPolicy Kind = "unknown-policy"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// schedulerPolicy decides as entries and dispatchers do, leastPolicy is a baseline.
	schedulerPolicy = "scheduler"
	leastPolicy     = "least-requests"
)

// defaultSeeds is the number of days that are drawn from one file.
const defaultSeeds = 24

// Command is "simulate".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "simulate",
		Usage: "play days against modelled engines in virtual time",
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

// placer returns a new placer of a policy.
func placer(policy string, day Day) (simulation.Placer, error) {
	switch policy {
	case schedulerPolicy:
		return placement.NewScheduler(day.engine()), nil
	case leastPolicy:
		return simulation.NewLeastRequests(), nil
	default:
		return nil, fault.New("choose policy", UnknownPolicy, "%q is none of %s and %s", policy, schedulerPolicy, leastPolicy)
	}
}

// Simulate plays the days of the seeds from 0, several at a time, and returns their results in order.
func Simulate(ctx context.Context, day Day, policy string, seeds int) ([]simulation.Result, error) {
	results := make([]simulation.Result, seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for seed := range seeds {
		p, err := placer(policy, day)
		if err != nil {
			return nil, err
		}
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			results[seed] = simulation.Evaluate(simulation.Run(day.draw(uint64(seed)), p))
			return nil
		})
	}
	return results, group.Wait()
}

// Print writes the means over all days, a line for each kind of request.
func Print(w io.Writer, results []simulation.Result) error {
	kinds := make(map[string]simulation.Tally)
	var whole, worst float64
	for _, r := range results {
		whole += r.All.CreditShare() / float64(len(results))
		worst += r.WorstWindows() / float64(len(results))
		for name, t := range r.Kinds {
			kinds[name] = kinds[name].Plus(t)
		}
	}
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "days %d\twhole day %.4f\tworst windows %.4f\n", len(results), whole, worst)
	fmt.Fprintln(table, "kind\tasked\tin time\tlate\trefused\tlost\tworth")
	for _, name := range names {
		t := kinds[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.4f\n", name, t.Requests, t.InTime, t.Late, t.Refused, t.Lost, t.CreditShare())
	}
	return table.Flush()
}
