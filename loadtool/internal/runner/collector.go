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

	mu          sync.Mutex
	classes     []report.Class
	histograms  []*hdrhistogram.Histogram
	idle        []*hdrhistogram.Histogram
	between     []*hdrhistogram.Histogram
	firstTokens map[int]time.Duration
	tokens      int
	reasons     map[string]string
}

func newCollector(e experiment.Experiment) *collector {
	c := &collector{experiment: e, firstTokens: make(map[int]time.Duration), reasons: make(map[string]string)}
	for _, class := range e.Classes {
		c.classes = append(c.classes, report.Class{
			Name: class.Name, Refused: make(map[string]int), Failed: make(map[string]int),
		})
		c.histograms = append(c.histograms, report.NewHistogram())
		c.idle = append(c.idle, report.NewHistogram())
		c.between = append(c.between, report.NewHistogram())
	}
	return c
}

// add records a result. Requests that arrived during the warm-up are not counted.
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
		c.tokens += r.PromptTokens + r.OutputTokens
	case r.Refused:
		class.Refused[r.Reason]++
		return
	default:
		class.Failed[r.Reason]++
	}
	for _, p := range r.EventGaps {
		each := time.Duration(float64(p.Duration) * c.experiment.Speed / float64(p.Tokens))
		report.RecordEach(c.between[a.Class], each, p.Tokens)
	}
	first := time.Duration(float64(r.TimeToFirstToken) * c.experiment.Speed)
	if first == 0 && r.Reason == caller.TimeLimit {
		first = c.experiment.TimeLimit
	}
	if first > 0 {
		c.firstTokens[a.Number] = first
		report.Record(c.histograms[a.Class], first)
		report.Record(c.idle[a.Class], c.experiment.Capacity.IdlePrefill(a.PromptTokens))
	}
}

// outcome returns the results once all requests have ended.
func (c *collector) outcome() *outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	seconds := (c.experiment.Duration - c.experiment.WarmUp).Seconds()
	completed := 0
	for i := range c.classes {
		c.classes[i].FirstToken = report.HistogramQuantiles(c.histograms[i])
		c.classes[i].BetweenTokens = report.HistogramQuantiles(c.between[i])
		c.classes[i].Idle = report.HistogramQuantiles(c.idle[i])
		completed += c.classes[i].Completed
	}
	return &outcome{
		summary: report.Run{
			Classes:      c.classes,
			Goodput:      float64(completed) / seconds,
			TokenGoodput: float64(c.tokens) / seconds,
		},
		histograms:  c.histograms,
		between:     c.between,
		firstTokens: c.firstTokens,
		reasons:     c.reasons,
	}
}
