package report

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plottedLatency is a latency whose distributions are plotted.
type plottedLatency struct {
	title  string
	suffix string
	points func(p Policy) map[string][]Point
}

var plottedLatencies = []plottedLatency{
	{"time to first token", "", func(p Policy) map[string][]Point { return p.Distributions }},
	{"time between tokens", ".between-tokens", func(p Policy) map[string][]Point { return p.TokenDistributions }},
}

// plotAll writes a plot of each latency for each experiment and class.
func plotAll(directory string, policies []Policy) error {
	for _, l := range plottedLatencies {
		if err := l.plotAll(directory, policies); err != nil {
			return err
		}
	}
	return nil
}

func (l plottedLatency) plotAll(directory string, policies []Policy) error {
	groups := make(map[[2]string][]Policy)
	for _, p := range policies {
		for class := range l.points(p) {
			key := [2]string{p.Experiment, class}
			groups[key] = append(groups[key], p)
		}
	}
	for key, group := range groups {
		path := filepath.Join(directory, key[0]+"."+key[1]+l.suffix+".png")
		if err := l.plot(path, key[0], key[1], group); err != nil {
			return fault.Wrap(err, "plot", File, path)
		}
	}
	return nil
}

// plot draws the cumulative distribution of the latency, one line for each policy.
func (l plottedLatency) plot(path, experiment, class string, policies []Policy) error {
	p := plot.New()
	p.Title.Text = experiment + ": " + l.title + " of " + class + " requests"
	p.X.Label.Text = "simulated seconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, policy := range policies {
		points := l.points(policy)[class]
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(xyPoints(points))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(policy.Policy, line)
	}
	if p.X.Min == p.X.Max {
		// The library widens an empty axis range by a constant, which can move the lower end of a logarithmic
		// axis to 0 or below.
		p.X.Min, p.X.Max = p.X.Min/2, p.X.Max*2
	}
	return p.Save(plotWidth, plotHeight, path)
}

func xyPoints(points []Point) plotter.XYs {
	xys := make(plotter.XYs, len(points))
	for i, point := range points {
		xys[i] = plotter.XY{X: max(point.Seconds, minSeconds), Y: point.Quantile}
	}
	return xys
}

// minSeconds keeps the logarithm of a latency finite.
const minSeconds = 1e-6
