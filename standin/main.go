// Command standin is described in docs/design.md.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
