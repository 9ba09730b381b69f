package program

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// ManualCommand prints the manual page of the program, in a section such as 1 for commands or 8 for
// daemons. root returns a new command tree, since the library adds help commands to the one that runs.
func ManualCommand(root func() *cli.Command, section int) *cli.Command {
	return &cli.Command{
		Name:  "manual",
		Usage: "print the manual page, in roff",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := io.WriteString(c.Root().Writer, Manual(root(), section))
			return err
		},
	}
}

// ReferenceCommand prints the settings reference of the program.
func ReferenceCommand(reference func() string) *cli.Command {
	return &cli.Command{
		Name:  "settings-reference",
		Usage: "print all options of the settings as a Markdown table",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := io.WriteString(c.Root().Writer, reference())
			return err
		},
	}
}

// Manual returns the manual page of a command line in roff with the man macros (see man(7)), generated from
// the definitions that --help shows.
func Manual(root *cli.Command, section int) string {
	var b strings.Builder
	fmt.Fprintf(&b, ".TH %s %d \"\" dandelionpier\n", strings.ToUpper(root.Name), section)
	fmt.Fprintf(&b, ".SH NAME\n%s \\- %s\n", escapeRoff(root.Name), escapeRoff(root.Usage))
	fmt.Fprintf(&b, ".SH SYNOPSIS\n.B %s\n", escapeRoff(root.Name))
	if len(root.Flags) > 0 {
		b.WriteString("[global options] ")
	}
	b.WriteString("command [options] [arguments]\n")
	if root.Description != "" {
		b.WriteString(".SH DESCRIPTION\n" + formatParagraphs(root.Description))
	}
	b.WriteString(".SH GLOBAL OPTIONS\n")
	writeFlags(&b, root)
	b.WriteString(".TP\n.B \\-\\-help\nshow the help of the program or of a command\n.SH COMMANDS\n")
	for _, command := range root.Commands {
		writeCommand(&b, command, command.Name)
	}
	return b.String()
}

// writeCommand writes a command or, if it has subcommands, only those. path is its name preceded by its
// parents' names.
func writeCommand(b *strings.Builder, command *cli.Command, path string) {
	for _, child := range command.Commands {
		writeCommand(b, child, path+" "+child.Name)
	}
	if len(command.Commands) > 0 {
		return
	}
	fmt.Fprintf(b, ".SS %s\n%s.\n", escapeRoff(strings.TrimSpace(path+" "+command.ArgsUsage)), escapeRoff(strings.ToUpper(command.Usage[:1])+command.Usage[1:]))
	if command.Description != "" {
		b.WriteString(".PP\n" + formatParagraphs(command.Description))
	}
	writeFlags(b, command)
}

func writeFlags(b *strings.Builder, command *cli.Command) {
	for _, flag := range command.Flags {
		documentation, ok := flag.(cli.DocGenerationFlag)
		// The library sets the default text only in PreParse.
		if !ok || flag.PreParse() != nil {
			continue
		}
		placeholder, usage := splitPlaceholder(documentation)
		var names []string
		for _, name := range flag.Names() {
			names = append(names, "--"+name)
		}
		fmt.Fprintf(b, ".TP\n.B %s", escapeRoff(strings.Join(names, ", ")))
		if documentation.TakesValue() {
			fmt.Fprintf(b, " \\fI%s\\fR", escapeRoff(placeholder))
		}
		fmt.Fprintf(b, "\n%s\n", escapeRoff(usage+flagNotes(flag, documentation)))
	}
}

// splitPlaceholder returns the name of the flag's value, which the usage text encloses in back quotes, and
// the usage text without the quotes.
func splitPlaceholder(flag cli.DocGenerationFlag) (placeholder, usage string) {
	usage = flag.GetUsage()
	before, rest, found := strings.Cut(usage, "`")
	name, after, closed := strings.Cut(rest, "`")
	if !found || !closed {
		return "VALUE", usage
	}
	return name, before + name + after
}

func flagNotes(flag cli.Flag, documentation cli.DocGenerationFlag) string {
	var parts []string
	if required, ok := flag.(cli.RequiredFlag); ok && required.IsRequired() {
		parts = append(parts, "required")
	}
	if value := documentation.GetValue(); documentation.TakesValue() && !slices.Contains([]string{"", "0", "0s", "[]"}, value) {
		parts = append(parts, "default: "+value)
	}
	if variables := documentation.GetEnvVars(); len(variables) > 0 {
		parts = append(parts, "environment: "+strings.Join(variables, ", "))
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, "; ") + ")"
}

// formatParagraphs formats each line of a text as a separate paragraph.
func formatParagraphs(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i := range lines {
		lines[i] = escapeRoff(lines[i]) + "\n"
	}
	return strings.Join(lines, ".PP\n")
}

// escapeRoff escapes the backslash, the hyphen (which roff would print as a typographic one), a control character
// at the start of a line, and the ellipsis, which is not ASCII.
func escapeRoff(text string) string {
	text = strings.NewReplacer(`\`, `\e`, "-", `\-`, "…", "...").Replace(text)
	if strings.HasPrefix(text, ".") || strings.HasPrefix(text, "'") {
		text = `\&` + text
	}
	return text
}
