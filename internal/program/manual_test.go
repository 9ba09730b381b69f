package program_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/program"
)

// Guards against a manual page that lacks a subcommand, a flag, its default or environment, or that
// contains text which roff interprets as markup.
func TestManual(t *testing.T) {
	page := program.Manual(&cli.Command{
		Name: "saw", Usage: "set blades", Description: ".hidden\n'quoted' and back\\slash",
		Flags: []cli.Flag{&cli.StringFlag{Name: "file", Usage: "settings `FILE`", Sources: cli.EnvVars("SAW_FILE"), Required: true}},
		Commands: []*cli.Command{{Name: "report", Usage: "report", Commands: []*cli.Command{{
			Name: "wear", Usage: "show the wear", ArgsUsage: "[BLADE…]", Flags: []cli.Flag{
				&cli.IntFlag{Name: "limit", Value: 3, Usage: "rows at most"}, &cli.BoolFlag{Name: "all", Usage: "all blades"},
			},
		}}}},
	}, 1)
	is.New(t).Equal(page, `.TH SAW 1 "" dandelionpier
.SH NAME
saw \- set blades
.SH SYNOPSIS
.B saw
[global options] command [options] [arguments]
.SH DESCRIPTION
\&.hidden
.PP
\&'quoted' and back\eslash
.SH GLOBAL OPTIONS
.TP
.B \-\-file \fIFILE\fR
settings FILE (required; environment: SAW_FILE)
.TP
.B \-\-help
show the help of the program or of a command
.SH COMMANDS
.SS report wear [BLADE...]
Show the wear.
.TP
.B \-\-limit \fIVALUE\fR
rows at most (default: 3)
.TP
.B \-\-all
all blades
`)
}
