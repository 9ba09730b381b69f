// Command entryd runs an entry, which accepts the requests of callers and sends them to endpoints. It is
// described in docs/design.md.
package main

import (
	"os"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
