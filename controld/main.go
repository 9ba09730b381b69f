// Command controld is described in docs/design.md.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/controld/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
