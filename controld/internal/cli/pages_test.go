package cli

import (
	"testing"

	"github.com/dandelionpier/dandelionpier/internal/pagetest"
	"github.com/dandelionpier/dandelionpier/internal/program"
)

// Guards against a manual page or settings reference that differs from what the program prints.
func TestPages(t *testing.T) {
	pagetest.Reference(t, "settings-controld.md", reference())
	pagetest.Equal(t, "man/controld.8", program.Manual(command(), 8))
}
