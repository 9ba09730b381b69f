package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/pierctl/internal/explanation"
)

// explain reconstructs from collected log files what happened to a request.
func (p *program) explain(_ context.Context, c *cli.Command) error {
	const op = "read command line"
	arguments := c.Args().Slice()
	if len(arguments) < 2 {
		return fault.New(op, Usage, "explain needs a request id and log files")
	}
	var log explanation.Log
	for _, path := range arguments[1:] {
		if err := readLog(&log, path); err != nil {
			return err
		}
	}
	if log.Skipped > 0 {
		fmt.Fprintf(p.errOut, "pierctl: %d lines are not JSON and were left out\n", log.Skipped)
	}
	e, err := log.Explain(arguments[0])
	if err != nil {
		return err
	}
	return e.Write(p.out)
}

func readLog(log *explanation.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(err, "open log", Usage, path)
	}
	defer file.Close()
	return log.Read(file)
}
