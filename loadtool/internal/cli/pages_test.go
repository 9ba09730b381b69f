package cli

import (
	"testing"

	"github.com/dandelionpier/dandelionpier/internal/pagetest"
	"github.com/dandelionpier/dandelionpier/internal/program"
)

// Guards against a manual page that differs from the one that the program generates.
func TestPages(t *testing.T) {
	pagetest.Equal(t, "man/loadtool.1", program.Manual(command(), 1))
}
