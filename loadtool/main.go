// Command loadtool measures a deployment of dandelionpier. docs/design.md describes it.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
