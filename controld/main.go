// Command controld keeps the configuration, claims and budgets of a deployment in a replicated log and
// controls its engines. It is described in docs/design.md.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/controld/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
