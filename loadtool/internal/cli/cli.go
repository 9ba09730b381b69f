// Package cli is the command line of loadtool.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/demo"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/sessions"
)

// Run executes the program and returns its exit code.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "loadtool:", err)
		return 1
	}
	return 0
}

// version is set by the linker.
var version = "development"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			fmt.Fprintln(c.Root().Writer, "loadtool", version)
			return nil
		},
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:     "loadtool",
		Usage:    "measure a dandelionpier deployment",
		Version:  version,
		Commands: []*cli.Command{runCommand(), summariseCommand(), demo.Command(), sessions.Command(), versionCommand()},
	}
}
