// Command pierctl is the command-line tool of the operators. docs/design.md describes it.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/pierctl/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
