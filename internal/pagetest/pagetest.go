// Package pagetest compares generated pages of docs with the committed ones, in tests.
package pagetest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Equal checks that the page is the generated one. The test must run in a directory three levels below
// the root of the repository, as the command-line packages of the programs do.
func Equal(t testing.TB, page, generated string) {
	t.Helper()
	if read(t, page) != generated {
		t.Errorf("docs/%s differs from the program; make pages writes it anew", page)
	}
}

// Reference checks that the page is a title, a line and the generated settings reference, and that each
// option is described.
func Reference(t testing.TB, page, generated string) {
	t.Helper()
	if !strings.HasSuffix(read(t, page), "\n\n"+generated) {
		t.Errorf("docs/%s differs from the settings; make pages writes it anew", page)
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

func read(t testing.TB, page string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", filepath.FromSlash(page)))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
