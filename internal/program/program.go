// Package program contains what the command lines of all programs share.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs a command line until SIGTERM or SIGINT ends its context, and returns the exit code: 0, or 1
// after an error, which is printed.
func Main(command *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The error is printed below, once.
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if err := command.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, command.Name+":", err)
		return 1
	}
	return 0
}

// Version returns the revision that the program was built from, marked as modified if the working tree had
// uncommitted changes, and the Go version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " (modified)"
		}
	}
	return revision + modified + ", " + info.GoVersion
}

// VersionCommand prints the name and version of the program.
func VersionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, c.Root().Name, Version())
			return err
		},
	}
}
