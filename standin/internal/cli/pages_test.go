package cli

import (
	"testing"

	"github.com/dandelionpier/dandelionpier/internal/pagetest"
	"github.com/dandelionpier/dandelionpier/internal/program"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// Guards against a manual page or settings reference that differs from what the program prints.
func TestPages(t *testing.T) {
	pagetest.Reference(t, "settings-standin.md", options.Reference())
	pagetest.Equal(t, "man/standin.1", program.Manual(command(), 1))
}
