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

// plotAll writes a plot for each experiment and class.
func plotAll(directory string, policies []Policy) error {
	groups := make(map[[2]string][]Policy)
	for _, p := range policies {
		for class := range p.Distributions {
			key := [2]string{p.Experiment, class}
			groups[key] = append(groups[key], p)
		}
	}
	for key, group := range groups {
		path := filepath.Join(directory, key[0]+"."+key[1]+".png")
		if err := plotClass(path, key[0], key[1], group); err != nil {
			return fault.Wrap(err, "plot", File, path)
		}
	}
	return nil
}

// plotClass draws the cumulative distribution of the time to first token, one line for each policy.
func plotClass(path, experiment, class string, policies []Policy) error {
	p := plot.New()
	p.Title.Text = experiment + ": time to first token of " + class + " requests"
	p.X.Label.Text = "simulated seconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share of requests"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, policy := range policies {
		points := policy.Distributions[class]
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
