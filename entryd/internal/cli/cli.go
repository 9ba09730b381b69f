// Package cli is the command line of entryd and connects its parts.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/internal/program"
)

// Run executes the program and returns its exit code.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return execute(ctx, args, os.Stdout, os.Stderr, Connect)
}

func execute(ctx context.Context, args []string, out, errOut io.Writer, connect Connector) int {
	file := &cli.StringFlag{Name: "settings", Usage: "settings file (YAML)", Required: true}
	command := &cli.Command{
		Name:      "entryd",
		Usage:     "entry instance of dandelionpier: callers' API, dispatchers of cells, streaming",
		Writer:    out,
		ErrWriter: errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {
			// The error is printed below, once.
		},
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM", Flags: []cli.Flag{file}, Action: func(ctx context.Context, c *cli.Command) error {
				o, err := options.Load(c.String("settings"))
				if err != nil {
					return err
				}
				return serve(ctx, o, connect, func(Listening) {})
			}},
			{Name: "check-settings", Usage: "check a settings file", Flags: []cli.Flag{file}, Action: func(_ context.Context, c *cli.Command) error {
				if _, err := options.Load(c.String("settings")); err != nil {
					return err
				}
				_, err := fmt.Fprintln(out, "The settings are valid.")
				return err
			}},
			{Name: "settings-reference", Usage: "print all options as a Markdown table", Action: func(context.Context, *cli.Command) error {
				_, err := io.WriteString(out, options.Reference())
				return err
			}},
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				_, err := fmt.Fprintln(out, "entryd", program.Version())
				return err
			}},
		},
	}
	if err := command.Run(ctx, args); err != nil {
		fmt.Fprintln(errOut, "entryd:", err)
		return 1
	}
	return 0
}
