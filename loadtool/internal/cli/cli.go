// Package cli is the command line of loadtool.
package cli

import (
	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/program"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/demo"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/sessions"
)

// Run executes the program and returns its exit code.
func Run(args []string) int {
	return program.Main(&cli.Command{
		Name:  "loadtool",
		Usage: "measure a dandelionpier deployment",
		Commands: []*cli.Command{
			runCommand(), summariseCommand(), demo.Command(), sessions.Command(), program.VersionCommand(),
		},
	}, args)
}
