// Package pagetest helps tests compare generated documentation pages with the committed ones.
package pagetest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Equal checks that the committed page equals the generated one. The test must run in a directory three levels
// below the root of the repository, as those of the programs' command-line packages do.
func Equal(t testing.TB, page, generated string) {
	t.Helper()
	if readPage(t, page) != generated {
		t.Errorf("docs/%s differs from the program; regenerate it with make pages", page)
	}
}

// Reference checks that the committed page ends with the generated settings reference after its title and
// introduction, and that each option has a description.
func Reference(t testing.TB, page, generated string) {
	t.Helper()
	if !strings.HasSuffix(readPage(t, page), "\n\n"+generated) {
		t.Errorf("docs/%s differs from the settings; regenerate it with make pages", page)
	}
	for line := range strings.SplitSeq(generated, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) == 1 {
			continue
		}
		if len(cells) != 7 || strings.TrimSpace(cells[5]) == "" {
			t.Errorf("incomplete line %q", line)
		}
	}
}

func readPage(t testing.TB, page string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", filepath.FromSlash(page)))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
