// Package cli implements the command line of loadtool.
package cli

import (
	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/program"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/demo"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/sessions"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/trial"
)

// Run executes the program and returns its exit code.
func Run(args []string) int {
	return program.Main(command(), args)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "loadtool",
		Usage: "measure a dandelionpier deployment",
		Description: "docs/loadtool.md describes the experiments, policies and results.\n" +
			"Exit codes: 0 when done, 1 after an error, which is printed.",
		Commands: []*cli.Command{
			runCommand(), summariseCommand(), trial.Command(), demo.Command(), sessions.Command(), program.ManualCommand(command, 1), program.VersionCommand(),
		},
	}
}
