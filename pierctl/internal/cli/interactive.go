package cli

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

const (
	prompt     = "pierctl> "
	morePrompt = "    ...> "
)

// interactive runs the queries and transactions of standard input until its end or the line exit. A query
// runs at the end of its line, a transaction at the next empty line.
func (p *program) interactive(ctx context.Context, c *cli.Command) error {
	if _, _, err := p.newClient(c); err != nil {
		return err
	}
	lines := bufio.NewScanner(p.in)
	lines.Buffer(nil, language.MaxTextBytes)
	var text []string
	fmt.Fprint(p.out, prompt)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "exit" && len(text) == 0 {
			return nil
		}
		if line != "" {
			text = append(text, line)
		}
		if len(text) == 0 || (line != "" && !strings.HasPrefix(text[0], "show")) {
			fmt.Fprint(p.out, promptFor(text))
			continue
		}
		p.runInteractiveText(ctx, c, strings.Join(text, "\n"))
		text = nil
		fmt.Fprint(p.out, prompt)
	}
	if len(text) > 0 {
		fmt.Fprintln(p.errOut, "pierctl: the last lines were not run: a transaction ends with an empty line")
	}
	return fault.Wrap(lines.Err(), "read lines", Usage, "standard input")
}

func promptFor(text []string) string {
	if len(text) > 0 {
		return morePrompt
	}
	return prompt
}

// runInteractiveText runs one query or transaction. An error is written to standard error and does not end
// the program.
func (p *program) runInteractiveText(ctx context.Context, c *cli.Command, text string) {
	var err error
	if strings.HasPrefix(text, "show") {
		err = p.runQuery(ctx, c, text)
	} else {
		err = p.runText(ctx, c, text, false)
	}
	if err != nil {
		fmt.Fprintln(p.errOut, "pierctl:", err)
	}
	p.exitCode = exitDone
}
