// Command standin runs a simulated model engine, plain service or weight store for tests and measurements.
// It is described in docs/standin.md.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
