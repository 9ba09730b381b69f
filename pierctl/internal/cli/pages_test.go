package cli

import (
	"testing"

	"github.com/dandelionpier/dandelionpier/internal/pagetest"
	shared "github.com/dandelionpier/dandelionpier/internal/program"
)

// Guards against an outdated manual page or settings reference.
func TestPages(t *testing.T) {
	pagetest.Reference(t, "settings-pierctl.md", reference())
	pagetest.Equal(t, "man/pierctl.1", shared.Manual(new(program).root(), 1))
}
