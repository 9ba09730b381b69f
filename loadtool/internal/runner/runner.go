// Package runner plays experiments: it sends each arrival at its time, whatever became of earlier
// ones, and collects the results.
package runner

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/caller"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/experiment"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/policy"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/report"
)

const (
	// simulatedEntries is the number of entries that a baseline policy runs on.
	simulatedEntries = 16
	// maxInFlight bounds the memory of the tool; arrivals beyond it fail with reason toolLimit.
	maxInFlight = 4000
	toolLimit   = "tool-limit"
	// idleConnections lets a burst to one target keep its connections.
	idleConnections = 512
)

// Config sets up a runner.
type Config struct {
	Experiment experiment.Experiment
	Policy     string
	// Targets are the entries, or the engines for a baseline policy.
	Targets []string
	// Engines are asked for their totals and their memory; without any, these figures are 0.
	Engines []string
	// Load returns the latest load report of an engine.
	Load func(address string) endpoint.Load
	// Progress receives a line for each run.
	Progress func(line string)
}

type runner struct {
	Config
	caller  *caller.Caller
	engines engines
	// merged has the time to first token of each class over the runs with all arrivals.
	merged []*hdrhistogram.Histogram
	// between has the time between tokens likewise.
	between []*hdrhistogram.Histogram
}

// Run plays all seeds in all variants.
func Run(ctx context.Context, config Config) (report.Policy, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		Config:  config,
		caller:  &caller.Caller{Client: &http.Client{Transport: transport}},
		engines: engines{client: &http.Client{Transport: transport, Timeout: engineTimeout}, addresses: config.Engines},
	}
	for range config.Experiment.Classes {
		r.merged = append(r.merged, report.NewHistogram())
		r.between = append(r.between, report.NewHistogram())
	}
	result := report.Policy{
		Experiment: config.Experiment.Name, Policy: config.Policy,
		Distributions: make(map[string][]report.Point), TokenDistributions: make(map[string][]report.Point),
	}
	for _, seed := range config.Experiment.Seeds {
		if err := r.seed(ctx, seed, &result); err != nil {
			return result, err
		}
	}
	for i, class := range config.Experiment.Classes {
		if r.merged[i].TotalCount() > 0 {
			result.Distributions[class.Name] = report.Distribution(r.merged[i])
		}
		if r.between[i].TotalCount() > 0 {
			result.TokenDistributions[class.Name] = report.Distribution(r.between[i])
		}
	}
	return result, nil
}

// seed plays the variants of a seed.
func (r *runner) seed(ctx context.Context, seed uint64, result *report.Policy) error {
	all, err := r.run(ctx, seed, report.AllArrivals)
	if err != nil {
		return err
	}
	result.Runs = append(result.Runs, all.summary)
	for i, h := range all.histograms {
		r.merged[i].Merge(h)
		r.between[i].Merge(all.between[i])
	}
	if !r.Experiment.CompareWithoutLong {
		return nil
	}
	without, err := r.run(ctx, seed, report.WithoutLong)
	if err != nil {
		return err
	}
	result.Runs = append(result.Runs, without.summary)
	result.Slowdowns = append(result.Slowdowns, r.slowdowns(seed, all, without)...)
	return nil
}

// outcome is one run.
type outcome struct {
	summary    report.Run
	histograms []*hdrhistogram.Histogram
	between    []*hdrhistogram.Histogram
	// firstTokens has the time to first token by number of the arrival.
	firstTokens map[int]time.Duration
	// reasons are those of the answered requests by request id.
	reasons map[string]string
}

func (r *runner) run(ctx context.Context, seed uint64, variant string) (*outcome, error) {
	chooser, err := policy.New(policy.Config{
		Policy: r.Policy, Targets: r.Targets, Entries: simulatedEntries, Seed: seed, Load: r.Load,
	})
	if err != nil {
		return nil, err
	}
	before, err := r.engines.totals(ctx)
	if err != nil {
		return nil, err
	}
	collector := newCollector(r.Experiment)
	if err := r.play(ctx, seed, variant, chooser, collector); err != nil {
		return nil, err
	}
	after, err := r.engines.totals(ctx)
	if err != nil {
		return nil, err
	}
	o := collector.outcome()
	o.summary.Seed, o.summary.Variant = seed, variant
	addWork(&o.summary, before, after, o.reasons)
	o.summary.HeldAfter, err = r.engines.held(ctx)
	if err != nil {
		return nil, err
	}
	r.Progress(fmt.Sprintf("%s %s seed %d %s: %.2f requests/s completed", r.Experiment.Name, r.Policy, seed, variant, o.summary.Goodput))
	return o, nil
}

// play sends the arrivals at their times and waits for all responses.
func (r *runner) play(ctx context.Context, seed uint64, variant string, chooser *policy.Chooser, collector *collector) error {
	slots := make(chan struct{}, maxInFlight)
	var wait sync.WaitGroup
	start := time.Now()
	for _, a := range r.Experiment.Arrivals(seed) {
		if variant == report.WithoutLong && r.Experiment.Classes[a.Class].Long {
			continue
		}
		at := start.Add(r.real(a.At))
		if !sleepUntil(ctx, at) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			collector.add(a, caller.Result{Reason: toolLimit, Refused: true})
			continue
		}
		request := r.request(a, seed, variant, chooser.Choose(), at)
		wait.Go(func() {
			collector.add(a, r.caller.Call(ctx, request))
			<-slots
		})
	}
	wait.Wait()
	return ctx.Err()
}

// real turns simulated time into the time on the bench.
func (r *runner) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.Experiment.Speed)
}

func (r *runner) request(a experiment.Arrival, seed uint64, variant, address string, at time.Time) caller.Request {
	workspace := r.Experiment.Workspaces[a.Workspace]
	id := fmt.Sprintf("%s %s %d %d", r.Policy, variant, seed, a.Number)
	return caller.Request{
		Address:   address,
		Key:       workspace.Key,
		Model:     r.Experiment.Model,
		Prompt:    caller.NewPrompt(workspace.Name, id, workspace.Prefix, a.PromptTokens),
		MaxTokens: a.MaxTokens,
		Scheduled: at,
		Limit:     r.real(r.Experiment.TimeLimit),
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// slowdowns compares the classes that both variants have.
func (r *runner) slowdowns(seed uint64, all, without *outcome) []report.Slowdown {
	var list []report.Slowdown
	arrivals := r.Experiment.Arrivals(seed)
	for i, class := range r.Experiment.Classes {
		if class.Long {
			continue
		}
		var ratios []float64
		for _, a := range arrivals {
			with, found := all.firstTokens[a.Number]
			base, foundBase := without.firstTokens[a.Number]
			if a.Class == i && found && foundBase && base > 0 {
				ratios = append(ratios, float64(with)/float64(base))
			}
		}
		s := report.Slowdown{Seed: seed, Class: class.Name, Requests: report.ListQuantiles(ratios)}
		if p95 := without.summary.Classes[i].FirstToken.P95; p95 > 0 {
			s.P95 = all.summary.Classes[i].FirstToken.P95 / p95
		}
		list = append(list, s)
	}
	return list
}
