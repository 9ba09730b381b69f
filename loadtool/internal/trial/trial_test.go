package trial

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against shipped day files that do not load, and against a scheduler that earns less credit on them than the
// baseline.
func TestDayFiles(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/days/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no day files", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			day, err := Load(file)
			is.NoErr(err)
			credit := make(map[string]float64)
			for _, policy := range []string{schedulerPolicy, leastRequestsPolicy} {
				results, err := Simulate(t.Context(), day, policy, 2)
				is.NoErr(err)
				for _, r := range results {
					credit[policy] += r.All.CreditShare()
				}
				var out bytes.Buffer
				is.NoErr(Print(&out, results))
				is.True(strings.Contains(out.String(), "days 2"))
			}
			is.True(credit[schedulerPolicy] > credit[leastRequestsPolicy])
		})
	}
}

func TestUnknownPolicy(t *testing.T) {
	is := is.New(t)
	_, err := Simulate(t.Context(), Day{Engines: 1}, "none", 1)
	is.True(err != nil)
}
