// Package cli implements the command line and the daemon of controld.
package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/program"
)

// Run executes the program and returns its exit code.
func Run(args []string) int {
	return program.Main(command(), args)
}

func command() *cli.Command {
	settingsFlag := &cli.StringFlag{Name: "settings", Usage: "path of the YAML settings", Required: true}
	dataCentresFlag := &cli.StringSliceFlag{
		Name: "data-centres", Usage: "data centres of the deployment, separated by commas, instead of those of the settings",
		Sources: cli.EnvVars("DATA_CENTRES"),
	}
	return &cli.Command{
		Name:  "controld",
		Usage: "keep the configuration, claims and budgets of a dandelionpier deployment",
		Description: "Runs on instances with a disk, five of them in a deployment and three at least. docs/settings-controld.md lists the settings, docs/operators.md describes the operation.\n" +
			"Exit codes: 0 after a stop by SIGTERM, 1 after an error, which is printed.",
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run the daemon until SIGTERM",
				Flags: []cli.Flag{settingsFlag, dataCentresFlag},
				Action: func(ctx context.Context, c *cli.Command) error {
					s, err := loadSettings(c.String("settings"))
					if err != nil {
						return err
					}
					if names := c.StringSlice("data-centres"); len(names) > 0 {
						s.DataCentres = names
					}
					return run(ctx, c.String("settings"), s)
				},
			},
			{
				Name:  "check-settings",
				Usage: "check the settings and exit",
				Flags: []cli.Flag{settingsFlag},
				Action: func(_ context.Context, c *cli.Command) error {
					if _, err := loadSettings(c.String("settings")); err != nil {
						return err
					}
					fmt.Fprintln(c.Root().Writer, "the settings are valid")
					return nil
				},
			},
			program.ReferenceCommand(reference),
			program.ManualCommand(command, 8),
			program.VersionCommand(),
		},
	}
}
