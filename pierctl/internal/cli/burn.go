package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/burn/chart"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/pierctl/internal/output"
)

func burnFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "workspace", Usage: "report on one `WORKSPACE`"},
		&cli.BoolFlag{Name: "total", Usage: "add all workspaces up"},
		&cli.StringFlag{Name: "plot", Usage: "also write a PNG plot to `FILE`"},
	}
}

// burn writes the burn-rate report as a table or as JSON lines, and as a plot if the flag plot is set.
func (p *program) burn(ctx context.Context, c *cli.Command) error {
	sender, s, err := p.newClient(c)
	if err != nil {
		return err
	}
	if s.Output == output.CSV {
		return fault.New("read command line", Usage, "report burn has the formats table and json")
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	reply, err := sender.BurnReport(ctx, c.String("workspace"), c.Bool("total"))
	if err != nil {
		return err
	}
	report := reply.Report
	p.reportMissing(reply.Missing)
	if report.Mixed {
		fmt.Fprintln(p.errOut, "The objectives of the entries differ; the newest are shown.")
	}
	if path := c.String("plot"); path != "" {
		if err := writePlot(path, report); err != nil {
			return err
		}
	}
	if s.Output == output.JSON {
		return report.WriteJSON(p.out)
	}
	return report.WriteText(p.out)
}

func writePlot(path string, report burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, "write plot", Usage, "the file")
	}
	if err := chart.WritePNG(file, report); err != nil {
		_ = file.Close()
		return err
	}
	return fault.Wrap(file.Close(), "write plot", Failed, path)
}
