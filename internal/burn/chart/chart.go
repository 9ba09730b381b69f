// Package chart plots burn rates. It is separate from package burn so that the entries are not linked with
// the plotting library and its fonts.
package chart

import (
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

const (
	// maxLines keeps the legend readable.
	maxLines = 8
	width    = 9 * vg.Inch
	height   = 5 * vg.Inch
)

// WritePNG plots the burn rates of the worst series by window, with a dashed line at rate 1, at which an
// error budget is used up exactly at the end of its window.
func WritePNG(w io.Writer, report burn.Report) error {
	const op = "plot report"
	p := plot.New()
	p.Title.Text = "Burn rate of error budgets, " + report.Time.Format("2006-01-02 15:04 MST")
	p.X.Label.Text = "window"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	var names []string
	for _, window := range burn.Windows() {
		names = append(names, burn.WindowName(window))
	}
	p.NominalX(names...)
	p.Legend.Top = true
	for i, series := range report.Worst(maxLines) {
		points := make(plotter.XYs, len(names))
		for x, rate := range report.Rates(series) {
			points[x] = plotter.XY{X: float64(x), Y: rate}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return fault.Wrap(err, op, burn.Invalid, series.Workspace)
		}
		line.Color, marks.Color, marks.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(strings.Join([]string{series.Workspace, series.Class, series.Metric}, " "), line, marks)
	}
	budgetRate := plotter.NewFunction(func(float64) float64 { return 1 })
	budgetRate.Dashes = plotutil.Dashes(1)
	p.Add(budgetRate)
	p.Y.Max = max(1.5*p.Y.Max, 2) // room for the legend above the series and the line at 1
	writer, err := p.WriterTo(width, height, "png")
	if err != nil {
		return fault.Wrap(err, op, burn.Invalid, "PNG")
	}
	_, err = writer.WriteTo(w)
	return fault.Wrap(err, op, burn.Invalid, "PNG")
}
