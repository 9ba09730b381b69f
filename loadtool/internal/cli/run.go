package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/experiment"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/policy"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/report"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/runner"
)

const (
	announceTimeout  = 10 * time.Second
	announceInterval = 50 * time.Millisecond
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run an experiment with one policy",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "experiment", Usage: "path of the experiment `FILE`", Required: true},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` of the results", Required: true},
			&cli.StringFlag{Name: "policy", Usage: "`POLICY`: entry, round-robin, least-outstanding or power-of-two", Value: policy.Entry},
			&cli.StringFlag{Name: "entries", Usage: "caller `ADDRESSES` of the entries, separated by commas"},
			&cli.StringFlag{Name: "engines", Usage: "`ADDRESSES` of the engines, separated by commas"},
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to which the engines announce themselves, for baseline policies"},
		},
		Action: runExperiment,
	}
}

func summariseCommand() *cli.Command {
	return &cli.Command{
		Name:  "summarise",
		Usage: "write the table and the plots of a directory of results",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` of the results", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			return report.Summarise(c.String("out"))
		},
	}
}

func runExperiment(ctx context.Context, c *cli.Command) error {
	e, err := experiment.Load(c.String("experiment"))
	if err != nil {
		return err
	}
	config := runner.Config{
		Experiment: e,
		Policy:     c.String("policy"),
		Engines:    splitAddresses(c.String("engines")),
		Progress:   func(line string) { fmt.Fprintln(c.Root().Writer, line) },
	}
	config.Targets = config.Engines
	if config.Policy == policy.Entry {
		config.Targets = splitAddresses(c.String("entries"))
	}
	if len(config.Targets) == 0 {
		return fmt.Errorf("policy %s needs --entries (entry) or --engines (baselines)", config.Policy)
	}
	loadReports := policy.NewLoadReports()
	config.Load = loadReports.Load
	if address := c.String("listen"); address != "" {
		stop, err := serveAnnouncements(address, loadReports)
		if err != nil {
			return err
		}
		defer stop()
		if err := awaitAnnouncements(ctx, loadReports, len(config.Engines)); err != nil {
			return err
		}
	}
	result, err := runner.Run(ctx, config)
	if err != nil {
		return err
	}
	return report.Save(c.String("out"), result)
}

func splitAddresses(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// serveAnnouncements accepts the announcements of engines until stop is called.
func serveAnnouncements(address string, loadReports *policy.LoadReports) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("POST /platform/announce", loadReports)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: announceTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return func() {
		_ = server.Close()
		<-done
	}, nil
}

func awaitAnnouncements(ctx context.Context, loadReports *policy.LoadReports, engines int) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for loadReports.EngineCount() < engines {
		select {
		case <-ctx.Done():
			return errors.New("not all engines have announced themselves; their settings must contain the address given with --listen")
		case <-ticker.C:
		}
	}
	return nil
}
