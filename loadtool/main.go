// Command loadtool is described in docs/design.md.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
