package cli

import (
	"testing"

	"github.com/dandelionpier/dandelionpier/internal/pagetest"
	shared "github.com/dandelionpier/dandelionpier/internal/program"
)

// Guards against a manual page or settings reference that is not that of the program.
func TestPages(t *testing.T) {
	pagetest.Reference(t, "settings-pierctl.md", reference())
	pagetest.Equal(t, "man/pierctl.1", shared.Manual(new(program).root(), 1))
}
