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

// figure is one figure of the report that is plotted.
type figure struct {
	title  string
	suffix string
	points func(p Policy) map[string][]Point
}

var figures = []figure{
	{"time to first token", "", func(p Policy) map[string][]Point { return p.Distributions }},
	{"time between tokens", ".between-tokens", func(p Policy) map[string][]Point { return p.TokenDistributions }},
}

// plotAll writes a plot of each figure for each experiment and class.
func plotAll(directory string, policies []Policy) error {
	for _, f := range figures {
		if err := f.plotAll(directory, policies); err != nil {
			return err
		}
	}
	return nil
}

func (f figure) plotAll(directory string, policies []Policy) error {
	groups := make(map[[2]string][]Policy)
	for _, p := range policies {
		for class := range f.points(p) {
			key := [2]string{p.Experiment, class}
			groups[key] = append(groups[key], p)
		}
	}
	for key, group := range groups {
		path := filepath.Join(directory, key[0]+"."+key[1]+f.suffix+".png")
		if err := f.plot(path, key[0], key[1], group); err != nil {
			return fault.Wrap(err, "plot", File, path)
		}
	}
	return nil
}

// plot draws the cumulative distribution of the figure, one line for each policy.
func (f figure) plot(path, experiment, class string, policies []Policy) error {
	p := plot.New()
	p.Title.Text = experiment + ": " + f.title + " of " + class + " requests"
	p.X.Label.Text = "simulated seconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, policy := range policies {
		points := f.points(policy)[class]
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(coordinates(points))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(policy.Policy, line)
	}
	if p.X.Min == p.X.Max {
		// An axis without extent is widened by a constant, and a logarithmic one must stay above 0.
		p.X.Min, p.X.Max = p.X.Min/2, p.X.Max*2
	}
	return p.Save(plotWidth, plotHeight, path)
}

func coordinates(points []Point) plotter.XYs {
	xys := make(plotter.XYs, len(points))
	for i, point := range points {
		xys[i] = plotter.XY{X: max(point.Seconds, minSeconds), Y: point.Quantile}
	}
	return xys
}

// minSeconds keeps the logarithm of a latency finite.
const minSeconds = 1e-6
