package runner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/caller"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/experiment"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/report"
)

// collector gathers the results of a run and converts them to simulated time.
type collector struct {
	experiment experiment.Experiment

	mu sync.Mutex
	// The slices are indexed by length class.
	classes               []report.Class
	ttftHistograms        []*hdrhistogram.Histogram
	idlePrefillHistograms []*hdrhistogram.Histogram
	interTokenHistograms  []*hdrhistogram.Histogram
	// ttfts has the time to first token by number of the arrival.
	ttfts map[int]time.Duration
	// completedTokens is the number of prompt and output tokens of the completed requests.
	completedTokens int
	// reasons has the failure reasons by request id, empty for completed requests.
	reasons map[string]string
}

func newCollector(e experiment.Experiment) *collector {
	c := &collector{experiment: e, ttfts: make(map[int]time.Duration), reasons: make(map[string]string)}
	for _, class := range e.Classes {
		c.classes = append(c.classes, report.Class{
			Name: class.Name, Refused: make(map[string]int), Failed: make(map[string]int),
		})
		c.ttftHistograms = append(c.ttftHistograms, report.NewHistogram())
		c.idlePrefillHistograms = append(c.idlePrefillHistograms, report.NewHistogram())
		c.interTokenHistograms = append(c.interTokenHistograms, report.NewHistogram())
	}
	return c
}

// add records the result of a request. Requests that arrived during the warm-up do not count.
func (c *collector) add(a experiment.Arrival, r caller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.RequestID != "" {
		c.reasons[r.RequestID] = r.Reason
	}
	if a.At < c.experiment.WarmUp {
		return
	}
	class := &c.classes[a.Class]
	class.Requests++
	switch {
	case r.Reason == "":
		class.Completed++
		c.completedTokens += r.PromptTokens + r.OutputTokens
	case r.Refused:
		class.Refused[r.Reason]++
		return
	default:
		class.Failed[r.Reason]++
	}
	for _, gap := range r.EventGaps {
		interToken := time.Duration(float64(gap.Duration) * c.experiment.Speed / float64(gap.Tokens))
		report.RecordEach(c.interTokenHistograms[a.Class], interToken, gap.Tokens)
	}
	ttft := time.Duration(float64(r.TimeToFirstToken) * c.experiment.Speed)
	if ttft == 0 && r.Reason == caller.TimeLimit {
		ttft = c.experiment.TimeLimit
	}
	if ttft > 0 {
		c.ttfts[a.Number] = ttft
		report.Record(c.ttftHistograms[a.Class], ttft)
		report.Record(c.idlePrefillHistograms[a.Class], c.experiment.Capacity.IdlePrefill(a.PromptTokens))
	}
}

// result returns the result of the run. All requests must have ended.
func (c *collector) result() *runResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	seconds := (c.experiment.Duration - c.experiment.WarmUp).Seconds()
	completed := 0
	for i := range c.classes {
		c.classes[i].FirstToken = report.HistogramQuantiles(c.ttftHistograms[i])
		c.classes[i].BetweenTokens = report.HistogramQuantiles(c.interTokenHistograms[i])
		c.classes[i].Idle = report.HistogramQuantiles(c.idlePrefillHistograms[i])
		completed += c.classes[i].Completed
	}
	return &runResult{
		summary: report.Run{
			Classes:      c.classes,
			Goodput:      float64(completed) / seconds,
			TokenGoodput: float64(c.completedTokens) / seconds,
		},
		ttftHistograms:       c.ttftHistograms,
		interTokenHistograms: c.interTokenHistograms,
		ttfts:                c.ttfts,
		reasons:              c.reasons,
	}
}
