package options_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/internal/burn"
)

const requiredSettings = "instance: a\ndata-centre: b\nregion: c\ncontrol: [127.0.0.1:1]\ncluster-key: 0123456789abcdef\n"

func loadSettings(t *testing.T, text string) (*options.Options, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.yaml")
	if err := os.WriteFile(path, []byte(requiredSettings+text), 0o600); err != nil {
		t.Fatal(err)
	}
	return options.Load(path)
}

// Guards against objectives in the settings that are not applied, and against omitted values that are reset
// instead of inherited.
func TestObjectives(t *testing.T) {
	is := is.New(t)
	o, err := loadSettings(t, "")
	is.NoErr(err)
	is.Equal(o.BurnObjectives(), burn.DefaultObjectives())
	o, err = loadSettings(t, `objectives:
  - {class: short, workspace: sawmill, inter-token: 0s, target: 0.99}
  - {class: short, ttft: 500ms, slowdown: 2}
`)
	is.NoErr(err)
	want := burn.DefaultObjectives()
	want[0].TTFT, want[0].Slowdown = 500*time.Millisecond, 2
	forWorkspace := want[0]
	forWorkspace.Workspace, forWorkspace.InterToken, forWorkspace.Target = "sawmill", 0, 0.99
	is.Equal(o.BurnObjectives(), append(want, forWorkspace))
}

// Guards against invalid objectives that are accepted, or rejected without their position in the file.
func TestObjectiveErrors(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []string
	}{
		"unknown class":    {"objectives:\n  - class: huge\n", []string{":7:5: objectives[0].class is huge", "one of short medium long"}},
		"no class":         {"objectives:\n  - target: 0.9\n", []string{":7:5: objectives[0].class", "required"}},
		"unknown key":      {"objectives:\n  - class: short\n    ttfb: 1s\n", []string{":8:5:", "ttfb", "objectives.ttft"}},
		"target of 1":      {"objectives:\n  - class: short\n    target: 1\n", []string{":8:5: objectives[0].target is 1", "less than 1"}},
		"target of 0":      {"objectives:\n  - class: short\n    target: 0\n", []string{":8:5: objectives[0].target is 0", "more than 0"}},
		"negative time":    {"objectives:\n  - class: short\n    ttft: -1s\n", []string{":8:5: objectives[0].ttft is -1s", "at least 0s"}},
		"not a duration":   {"objectives:\n  - class: short\n    ttft: soon\n", []string{":8:"}},
		"given twice":      {"objectives:\n  - class: short\n  - class: short\n", []string{":8:5:", "given twice"}},
		"slowdown of long": {"objectives:\n  - class: long\n    slowdown: 2\n", []string{":8:5:", "does not apply"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadSettings(t, test.text)
			if err == nil {
				t.Fatal("the settings were accepted")
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q lacks %q", err, part)
				}
			}
		})
	}
}
