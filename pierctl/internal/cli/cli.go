// Package cli implements the command line of pierctl.
package cli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
	shared "github.com/dandelionpier/dandelionpier/internal/program"
	"github.com/dandelionpier/dandelionpier/internal/transport"
	"github.com/dandelionpier/dandelionpier/pierctl/internal/client"
	"github.com/dandelionpier/dandelionpier/pierctl/internal/output"
)

// Kind classifies an Error.
type Kind string

const (
	// Usage means that the command line, the settings or the text is invalid.
	Usage Kind = "usage"
	// Failed means that the output cannot be written.
	Failed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// The exit codes. Scripts rely on them; docs/operators.md lists them.
const (
	exitDone        = 0
	exitUsage       = 2
	exitConflict    = 3
	exitRejected    = 4
	exitUnavailable = 5
	exitPartial     = 6
)

const exitCodes = `Exit codes: 0 done, 2 usage or parse error, 3 conflict, 4 rejected, 5 unavailable, 6 partial answer.`

// program holds the streams, HTTP client and exit code of a run.
type program struct {
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	// makeHTTPClient returns a client that uses a TLS configuration for https addresses.
	makeHTTPClient func(*tls.Config) *http.Client
	// httpClient is made once per run, so that the commands of an interactive run share its connections.
	httpClient *http.Client
	// backOff is passed to client.Config.
	backOff  func(ctx context.Context, d time.Duration) bool
	exitCode int
}

// Run executes the program and returns its exit code.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := program{in: os.Stdin, out: os.Stdout, errOut: os.Stderr, makeHTTPClient: newHTTPClient}
	return p.run(ctx, args)
}

// newHTTPClient returns a client that ignores the proxy of the environment and follows no redirects, so
// that the operator key is sent only to the given addresses.
func newHTTPClient(config *tls.Config) *http.Client {
	return &http.Client{
		Transport: transport.New(&http.Transport{
			DialTLSContext: certificate.DialTLS(config, new(net.Dialer).DialContext),
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (p *program) run(ctx context.Context, args []string) int {
	if err := p.root().Run(ctx, args); err != nil {
		fmt.Fprintln(p.errOut, "pierctl:", err)
		return exitCodeOf(err)
	}
	return p.exitCode
}

func exitCodeOf(err error) int {
	switch {
	case fault.Is(err, client.Unavailable):
		return exitUnavailable
	case fault.Is(err, client.Refused):
		return exitRejected
	default:
		return exitUsage
	}
}

func (p *program) root() *cli.Command {
	return &cli.Command{
		Name:        "pierctl",
		Usage:       "operate a dandelionpier deployment",
		Description: "The language of commands and queries is described in docs/language.md, the settings in docs/settings-pierctl.md.\n" + exitCodes,
		Reader:      p.in,
		Writer:      p.out,
		ErrWriter:   p.errOut,
		// By default the library ends the process with its own exit codes.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Sources: cli.EnvVars("PIERCTL_SETTINGS"), Usage: "settings `FILE`; by default dandelionpier/pierctl.yaml in the user's configuration directory"},
			&cli.StringSliceFlag{Name: "address", Usage: "operator `ADDRESS` of a control instance, host:port or https://host:port; may be repeated"},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator key"},
			&cli.StringFlag{Name: "ca-file", Usage: "`FILE` with the certificates that https addresses are verified against"},
			&cli.StringFlag{Name: "output", Usage: "output `FORMAT`: table, json (one object a line) or csv"},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit for all attempts together"},
		},
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run the lines of a transaction", ArgsUsage: "[LINES…]", Flags: commandFlags(), OnUsageError: usageError,
				Action: func(ctx context.Context, c *cli.Command) error { return p.command(ctx, c, false) },
			},
			{
				Name: "check", Usage: "say what a transaction would change, without doing it", ArgsUsage: "[LINES…]", Flags: commandFlags(), OnUsageError: usageError,
				Action: func(ctx context.Context, c *cli.Command) error { return p.command(ctx, c, true) },
			},
			{
				Name: "query", Usage: "answer a query", ArgsUsage: "[QUERY]", Flags: []cli.Flag{fileFlag()}, OnUsageError: usageError, Action: p.query,
			},
			{
				Name: "report", Usage: "report on the deployment", OnUsageError: usageError,
				Commands: []*cli.Command{{
					Name: "burn", Usage: "report how fast error budgets burn", Flags: burnFlags(), OnUsageError: usageError, Action: p.burn,
				}},
			},
			{
				Name: "quorum", Usage: "change the control instances", OnUsageError: usageError,
				Commands: []*cli.Command{
					{Name: "add", Usage: "add a control instance as a learner", ArgsUsage: "INSTANCE PEER-ADDRESS", OnUsageError: usageError, Action: p.addMember},
					{Name: "remove", Usage: "remove a control instance", ArgsUsage: "INSTANCE", OnUsageError: usageError, Action: p.removeMember},
				},
			},
			{Name: "explain", Usage: "tell from log files what happened to a request", ArgsUsage: "REQUEST-ID FILE…", OnUsageError: usageError, Action: p.explain},
			{Name: "interactive", Usage: "read queries and transactions from standard input", OnUsageError: usageError, Action: p.interactive},
			{Name: "check-settings", Usage: "check the settings and flags", Action: p.checkSettings},
			shared.ReferenceCommand(reference),
			shared.ManualCommand(p.root, 1),
			shared.VersionCommand(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fault.New("read command line", Usage, "unknown command %q; see pierctl --help", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
	}
}

// usageError returns err in place of the library's help text, which goes to standard output.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fault.Wrap(err, "read command line", Usage, "see pierctl --help")
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Usage: "read the text from `FILE`; without it and without arguments, from standard input"}
}

func commandFlags() []cli.Flag {
	return []cli.Flag{
		fileFlag(),
		&cli.StringFlag{Name: "command-id", Usage: "`ID` of an earlier attempt whose result is wanted"},
		&cli.Uint64Flag{Name: "expected-revision", Usage: "`REVISION` that the lines were written against; another one in force is a conflict"},
	}
}

// readText returns the query or transaction of a command line: from the file that a flag names, the arguments
// or standard input.
func (p *program) readText(c *cli.Command) (string, error) {
	const op = "read text"
	if path := c.String("file"); path != "" {
		if c.Args().Present() {
			return "", fault.New(op, Usage, "give either --file or lines as arguments")
		}
		data, err := os.ReadFile(path)
		return string(data), fault.Wrap(err, op, Usage, "the file")
	}
	if c.Args().Present() {
		return strings.Join(c.Args().Slice(), "\n"), nil
	}
	data, err := io.ReadAll(io.LimitReader(p.in, language.MaxTextBytes+1))
	return string(data), fault.Wrap(err, op, Usage, "standard input")
}

func (p *program) newClient(c *cli.Command) (*client.Client, Settings, error) {
	s, err := loadSettings(c)
	if err != nil {
		return nil, s, err
	}
	key, err := readKey(s.KeyFile)
	if err != nil {
		return nil, s, fault.Wrap(err, "read key", Usage, "the operator key")
	}
	if p.httpClient == nil {
		config, err := tlsConfig(s.CAFile)
		if err != nil {
			return nil, s, err
		}
		p.httpClient = p.makeHTTPClient(config)
	}
	return client.New(client.Config{Addresses: s.Addresses, Key: key, HTTP: p.httpClient, BackOff: p.backOff}), s, nil
}

func tlsConfig(caFile string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if caFile == "" {
		return config, nil
	}
	var err error
	config.RootCAs, err = certificate.LoadCA(caFile)
	return config, err
}

func (p *program) command(ctx context.Context, c *cli.Command, check bool) error {
	text, err := p.readText(c)
	if err != nil {
		return err
	}
	return p.runText(ctx, c, text, check)
}

func (p *program) runText(ctx context.Context, c *cli.Command, text string, check bool) error {
	parsed, err := language.Parse(text)
	if err != nil {
		return err
	}
	if parsed.Transaction == nil {
		return fault.New("read text", Usage, "the text has no commands; pierctl query answers queries")
	}
	request := language.CommandRequest{CommandID: c.String("command-id")}
	if request.CommandID == "" {
		request.CommandID = rand.Text()
	}
	if c.IsSet("expected-revision") {
		expected := c.Uint64("expected-revision")
		request.Expected = &expected
	}
	parsed.Transaction.Check = parsed.Transaction.Check || check
	generated := language.GenerateKeys(parsed.Transaction)
	if len(generated) > 0 && c.IsSet("command-id") {
		return fault.New("read text", Usage, "with --command-id, give the SHA-256 sum of the key that was generated before, instead of new")
	}
	request.Text = parsed.Transaction.String()
	return p.submit(ctx, c, request, generated)
}

// submit sends a transaction and writes its result. Generated keys are shown if the transaction was accepted
// and also if its result is unknown, because they cannot be shown later.
func (p *program) submit(ctx context.Context, c *cli.Command, request language.CommandRequest, generated []language.GeneratedKey) error {
	sender, s, err := p.newClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	reply, err := sender.Command(ctx, request)
	if fault.Is(err, client.Unavailable) {
		fmt.Fprintf(p.errOut, "The transaction may have run. Its result can be had with --command-id %s and the lines:\n%s", request.CommandID, request.Text)
		return errors.Join(err, output.Keys(p.out, s.Output, generated))
	}
	if err != nil {
		return err
	}
	p.exitCode = exitCodeOfStatus(reply.Status)
	if reply.Status == string(control.Accepted) {
		if err := output.Keys(p.out, s.Output, generated); err != nil {
			return fault.Wrap(err, "write keys", Failed, "output")
		}
	}
	return fault.Wrap(output.Result(p.out, s.Output, reply), "write result", Failed, "output")
}

func exitCodeOfStatus(status string) int {
	switch control.SubmitStatus(status) {
	case control.Accepted, control.Valid:
		return exitDone
	case control.Conflict:
		return exitConflict
	case control.Rejected:
		return exitRejected
	default:
		return exitUnavailable
	}
}

func (p *program) query(ctx context.Context, c *cli.Command) error {
	text, err := p.readText(c)
	if err != nil {
		return err
	}
	return p.runQuery(ctx, c, text)
}

func (p *program) runQuery(ctx context.Context, c *cli.Command, text string) error {
	parsed, err := language.Parse(text)
	if err != nil {
		return err
	}
	if parsed.Query == nil {
		return fault.New("read text", Usage, "the text has no query; pierctl run runs commands")
	}
	sender, s, err := p.newClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	reply, err := sender.Query(ctx, text)
	if err != nil {
		return err
	}
	if len(reply.Rows) < reply.Total {
		fmt.Fprintf(p.errOut, "%d of %d rows\n", len(reply.Rows), reply.Total)
	}
	if reply.Kept != "" {
		fmt.Fprintf(p.errOut, "kept: %s\n", reply.Kept)
	}
	p.reportMissing(reply.Missing)
	return fault.Wrap(output.Rows(p.out, s.Output, reply), "write rows", Failed, "output")
}

// reportMissing lists on standard error the parts that are missing from a result, and sets the exit code.
func (p *program) reportMissing(missing []language.MissingPart) {
	for _, part := range missing {
		p.exitCode = exitPartial
		fmt.Fprintf(p.errOut, "missing: %s: %s\n", part.Part, part.Error)
	}
}

func (p *program) checkSettings(_ context.Context, c *cli.Command) error {
	if _, err := loadSettings(c); err != nil {
		return err
	}
	_, err := fmt.Fprintln(p.out, "The settings are valid.")
	return err
}
