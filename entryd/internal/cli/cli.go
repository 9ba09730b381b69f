// Package cli implements the command line of entryd and assembles its components.
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
	return execute(ctx, args, os.Stdout, os.Stderr, NewComponents)
}

func execute(ctx context.Context, args []string, out, errOut io.Writer, newComponents ComponentFactory) int {
	if err := command(out, errOut, newComponents).Run(ctx, args); err != nil {
		fmt.Fprintln(errOut, "entryd:", err)
		return 1
	}
	return 0
}

func command(out, errOut io.Writer, newComponents ComponentFactory) *cli.Command {
	settingsFlag := &cli.StringFlag{Name: "settings", Usage: "settings file (YAML)", Required: true}
	gatewayFlag := &cli.BoolFlag{Name: "gateway", Usage: "the file is for the command gateway"}
	return &cli.Command{
		Name:  "entryd",
		Usage: "entry instance of dandelionpier: callers' API, dispatchers of cells, streaming",
		Description: "Runs on every entry instance. docs/settings-entryd.md lists the settings, docs/operators.md describes the operation.\n" +
			"Exit codes: 0 after a graceful shutdown by SIGTERM, 1 after an error, which is printed.",
		Writer:    out,
		ErrWriter: errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {
			// execute prints the error.
		},
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM", Flags: []cli.Flag{settingsFlag}, Action: func(ctx context.Context, c *cli.Command) error {
				o, err := options.Load(c.String("settings"))
				if err != nil {
					return err
				}
				return serve(ctx, o, newComponents, func(EntryAddresses) {})
			}},
			{Name: "gateway", Usage: "serve declared routes in the platform's form until SIGTERM", Flags: []cli.Flag{settingsFlag}, Action: func(ctx context.Context, c *cli.Command) error {
				o, err := options.LoadGateway(c.String("settings"))
				if err != nil {
					return err
				}
				return serveGateway(ctx, c.String("settings"), o)
			}},
			{Name: "check-settings", Usage: "check a settings file", Flags: []cli.Flag{settingsFlag, gatewayFlag}, Action: func(_ context.Context, c *cli.Command) error {
				if err := checkSettings(c.String("settings"), c.Bool("gateway")); err != nil {
					return err
				}
				_, err := fmt.Fprintln(out, "The settings are valid.")
				return err
			}},
			program.ReferenceCommand(options.Reference),
			{Name: "gateway-reference", Usage: "print all options of the gateway's settings as a Markdown table", Action: func(context.Context, *cli.Command) error {
				_, err := io.WriteString(out, options.GatewayReference())
				return err
			}},
			program.ManualCommand(func() *cli.Command { return command(out, errOut, newComponents) }, 8),
			program.VersionCommand(),
		},
	}
}

func checkSettings(path string, gateway bool) error {
	if gateway {
		_, err := options.LoadGateway(path)
		return err
	}
	_, err := options.Load(path)
	return err
}
