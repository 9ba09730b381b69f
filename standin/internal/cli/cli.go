// Package cli implements the command line of standin.
package cli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/program"
	"github.com/dandelionpier/dandelionpier/standin/internal/engine"
	"github.com/dandelionpier/dandelionpier/standin/internal/node"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
	"github.com/dandelionpier/dandelionpier/standin/internal/service"
	"github.com/dandelionpier/dandelionpier/standin/internal/weights"
)

// crashExitCode is the exit code of a simulated crash; tests tell it from other failures by it.
const crashExitCode = 3

// Run executes the program and returns its exit code.
func Run(args []string) int {
	return program.Main(command(), args)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "simulated endpoints for tests and measurements",
		Description: "Simulates model engines, plain services and the weight store for tests and measurements. docs/settings-standin.md lists the settings, docs/standin.md describes the behaviour.\n" +
			"Exit codes: 0 after a stop by SIGTERM, 1 after an error, which is printed, 3 after a simulated crash.",
		Commands: []*cli.Command{
			modeCommand("engine", "run a simulated model engine", runEngine),
			modeCommand("service", "run a plain service", runService),
			modeCommand("weights", "run a weight store", runWeights),
			checkSettingsCommand(),
			program.ReferenceCommand(options.Reference),
			program.ManualCommand(command, 1),
			program.VersionCommand(),
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "path of the settings `FILE`", Required: true}
}

func modeCommand(name, usage string, run func(ctx context.Context, path string) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
	}
}

// settingsLoaders loads and validates the settings file of each mode.
var settingsLoaders = map[string]func(path string) error{
	"engine":  func(path string) error { _, err := options.LoadEngine(path); return err },
	"service": func(path string) error { _, err := options.LoadService(path); return err },
	"weights": func(path string) error { _, err := options.LoadWeights(path); return err },
}

func checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a settings file and exit",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{Name: "mode", Usage: "`MODE` that the file is for", Value: "engine"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			loadSettings, found := settingsLoaders[c.String("mode")]
			if !found {
				return fmt.Errorf("mode %q does not exist; it must be engine, service or weights", c.String("mode"))
			}
			if err := loadSettings(c.String("settings")); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.Root().Writer, c.String("settings")+": valid")
			return err
		},
	}
}

func runEngine(ctx context.Context, path string) error {
	o, err := options.LoadEngine(path)
	if err != nil {
		return err
	}
	logger, configs, err := openLoggerAndTLS(o.Common)
	if err != nil {
		return err
	}
	incarnation := rand.Text()
	var memberTLS *tls.Config
	if o.TLS.Serve {
		memberTLS = configs.PeerClient
	}
	client := &http.Client{Transport: endpoint.SecureTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}, memberTLS)}
	e := engine.New(engine.Config{
		Options:     o,
		Incarnation: incarnation,
		Logger:      logger,
		Client:      client,
		TLS:         memberTLS,
		Crash: func() {
			logger.Error("simulated crash")
			os.Exit(crashExitCode)
		},
	})
	return runNode(ctx, o.Common, configs, e, logger, incarnation)
}

func runService(ctx context.Context, path string) error {
	o, err := options.LoadService(path)
	if err != nil {
		return err
	}
	logger, configs, err := openLoggerAndTLS(o.Common)
	if err != nil {
		return err
	}
	return runNode(ctx, o.Common, configs, service.New(o), logger, rand.Text())
}

func runWeights(ctx context.Context, path string) error {
	o, err := options.LoadWeights(path)
	if err != nil {
		return err
	}
	// A weight store is not an endpoint: announcements have no type for it.
	o.AnnounceTo = nil
	logger, configs, err := openLoggerAndTLS(o.Common)
	if err != nil {
		return err
	}
	return runNode(ctx, o.Common, configs, weights.New(o), logger, rand.Text())
}

// openLoggerAndTLS creates the logger and loads the TLS configurations.
func openLoggerAndTLS(o options.Common) (*zap.Logger, certificate.Configs, error) {
	logger, err := logging.New(logging.Config{Level: o.LogLevel, Program: "standin", Instance: o.Name})
	if err != nil {
		return nil, certificate.Configs{}, err
	}
	configs, err := o.TLS.Open(logger)
	return logger, configs, err
}

func runNode(ctx context.Context, o options.Common, configs certificate.Configs, e node.Endpoint, logger *zap.Logger, incarnation string) error {
	n := node.New(node.Config{Options: o, TLS: configs, Endpoint: e, Logger: logger, Incarnation: incarnation})
	return n.Run(ctx)
}
