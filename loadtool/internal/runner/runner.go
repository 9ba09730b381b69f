// Package runner runs experiments as open loops: it sends each request at its arrival time, whether or not
// earlier ones have completed, and collects the results.
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
	// maxInFlight limits the memory of the tool; arrivals above the limit count as refused with reason toolLimit.
	maxInFlight = 4000
	toolLimit   = "tool-limit"
	// idleConnections keeps the connections of a burst to one target open for reuse.
	idleConnections = 512
)

// Config configures a run of an experiment.
type Config struct {
	Experiment experiment.Experiment
	Policy     string
	// Targets are the entries, or the engines for a baseline policy.
	Targets []string
	// Engines are the addresses from which the totals and the memory use are read. Without any, these values
	// are 0.
	Engines []string
	// Load returns the latest load report of an engine.
	Load func(address string) endpoint.Load
	// Progress receives a line for each run.
	Progress func(line string)
}

type runner struct {
	Config
	caller  *caller.Caller
	engines engineClient
	// ttftHistograms has the time to first token of each class over the runs with all arrivals.
	ttftHistograms []*hdrhistogram.Histogram
	// interTokenHistograms has the inter-token latency of each class over the same runs.
	interTokenHistograms []*hdrhistogram.Histogram
}

// Run runs an experiment with all seeds, in all variants.
func Run(ctx context.Context, config Config) (report.Policy, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		Config:  config,
		caller:  &caller.Caller{Client: &http.Client{Transport: transport}},
		engines: engineClient{client: &http.Client{Transport: transport, Timeout: engineTimeout}, addresses: config.Engines},
	}
	for range config.Experiment.Classes {
		r.ttftHistograms = append(r.ttftHistograms, report.NewHistogram())
		r.interTokenHistograms = append(r.interTokenHistograms, report.NewHistogram())
	}
	result := report.Policy{
		Experiment: config.Experiment.Name, Policy: config.Policy,
		Distributions: make(map[string][]report.Point), TokenDistributions: make(map[string][]report.Point),
	}
	for _, seed := range config.Experiment.Seeds {
		if err := r.runSeed(ctx, seed, &result); err != nil {
			return result, err
		}
	}
	for i, class := range config.Experiment.Classes {
		if r.ttftHistograms[i].TotalCount() > 0 {
			result.Distributions[class.Name] = report.Distribution(r.ttftHistograms[i])
		}
		if r.interTokenHistograms[i].TotalCount() > 0 {
			result.TokenDistributions[class.Name] = report.Distribution(r.interTokenHistograms[i])
		}
	}
	return result, nil
}

// runSeed runs the variants of a seed.
func (r *runner) runSeed(ctx context.Context, seed uint64, result *report.Policy) error {
	all, err := r.runVariant(ctx, seed, report.AllArrivals)
	if err != nil {
		return err
	}
	result.Runs = append(result.Runs, all.summary)
	for i, h := range all.ttftHistograms {
		r.ttftHistograms[i].Merge(h)
		r.interTokenHistograms[i].Merge(all.interTokenHistograms[i])
	}
	if !r.Experiment.CompareWithoutLong {
		return nil
	}
	without, err := r.runVariant(ctx, seed, report.WithoutLong)
	if err != nil {
		return err
	}
	result.Runs = append(result.Runs, without.summary)
	result.Slowdowns = append(result.Slowdowns, r.slowdowns(seed, all, without)...)
	return nil
}

// runResult has the measurements of one run: one seed, one variant. Each histogram slice has one element per class,
// in the order of the classes in the experiment.
type runResult struct {
	summary              report.Run
	ttftHistograms       []*hdrhistogram.Histogram
	interTokenHistograms []*hdrhistogram.Histogram
	// ttfts has the time to first token by number of the arrival.
	ttfts map[int]time.Duration
	// reasons has the failure reasons of the requests that got a response, by request id. They are empty for
	// completed requests.
	reasons map[string]string
}

func (r *runner) runVariant(ctx context.Context, seed uint64, variant string) (*runResult, error) {
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
	if err := r.sendArrivals(ctx, seed, variant, chooser, collector); err != nil {
		return nil, err
	}
	after, err := r.engines.totals(ctx)
	if err != nil {
		return nil, err
	}
	result := collector.result()
	result.summary.Seed, result.summary.Variant = seed, variant
	addWork(&result.summary, before, after, result.reasons)
	result.summary.HeldAfter, err = r.engines.awaitRelease(ctx)
	if err != nil {
		return nil, err
	}
	r.Progress(fmt.Sprintf("%s %s seed %d %s: %.2f requests/s completed", r.Experiment.Name, r.Policy, seed, variant, result.summary.Goodput))
	return result, nil
}

// sendArrivals sends the requests at their arrival times and waits for all responses.
func (r *runner) sendArrivals(ctx context.Context, seed uint64, variant string, chooser *policy.Chooser, collector *collector) error {
	slots := make(chan struct{}, maxInFlight)
	var wait sync.WaitGroup
	start := time.Now()
	for _, a := range r.Experiment.Arrivals(seed) {
		if variant == report.WithoutLong && r.Experiment.Classes[a.Class].Long {
			continue
		}
		at := start.Add(r.realTime(a.At))
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

// realTime converts a simulated duration to the duration in real time.
func (r *runner) realTime(d time.Duration) time.Duration {
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
		Limit:     r.realTime(r.Experiment.TimeLimit),
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

// slowdowns compares the classes that are part of both variants.
func (r *runner) slowdowns(seed uint64, all, without *runResult) []report.Slowdown {
	var list []report.Slowdown
	arrivals := r.Experiment.Arrivals(seed)
	for i, class := range r.Experiment.Classes {
		if class.Long {
			continue
		}
		var ratios []float64
		for _, a := range arrivals {
			with, found := all.ttfts[a.Number]
			baseline, foundBaseline := without.ttfts[a.Number]
			if a.Class == i && found && foundBaseline && baseline > 0 {
				ratios = append(ratios, float64(with)/float64(baseline))
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
