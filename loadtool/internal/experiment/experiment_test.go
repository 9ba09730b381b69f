package experiment_test

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/loadtool/internal/experiment"
)

func sample() experiment.Experiment {
	return experiment.Experiment{
		Duration: 1000 * time.Second,
		Rate:     10,
		Classes: []experiment.Class{
			{Name: "short", Share: 98, Prompt: experiment.Range{Min: 1000, Max: 4000}, Output: experiment.Range{Min: 16, Max: 16}},
			{Name: "long", Share: 2, Prompt: experiment.Range{Min: 100_001, Max: 400_000}, Output: experiment.Range{Min: 1, Max: 9}, Long: true},
		},
		Workspaces: []experiment.Workspace{{Name: "a", Share: 3}, {Name: "b", Share: 1}},
	}
}

// Guards against arrivals that differ between two draws of the same seed, or do not have the declared mix.
func TestArrivals(t *testing.T) {
	is := is.New(t)
	e := sample()
	list := e.Arrivals(7)
	is.Equal(list, e.Arrivals(7))
	is.True(len(e.Arrivals(8)) != len(list) || e.Arrivals(8)[0] != list[0])
	is.True(math.Abs(float64(len(list))-10_000) < 300) // three standard deviations

	longCount, firstWorkspaceCount, previous := 0, 0, time.Duration(0)
	for i, a := range list {
		is.Equal(a.Number, i)
		is.True(a.At >= previous && a.At < e.Duration)
		previous = a.At
		c := e.Classes[a.Class]
		is.True(a.PromptTokens >= c.Prompt.Min && a.PromptTokens <= c.Prompt.Max)
		is.True(a.MaxTokens >= c.Output.Min && a.MaxTokens <= c.Output.Max)
		if c.Long {
			longCount++
		}
		if a.Workspace == 0 {
			firstWorkspaceCount++
		}
	}
	is.True(math.Abs(float64(longCount)/float64(len(list))-0.02) < 0.005)
	is.True(math.Abs(float64(firstWorkspaceCount)/float64(len(list))-0.75) < 0.02)
}

// Guards against an arrival rate that does not produce the declared utilisation.
func TestUtilisation(t *testing.T) {
	is := is.New(t)
	e := sample()
	e.Rate, e.Utilisation = 0, 0.5
	e.Capacity = experiment.Capacity{Engines: 4, PrefillRate: 10_000, DecodeRate: 50, ChunkTokens: 2000}
	// A chunk takes 0.2 s and a decode step 0.02 s, so an engine prefills 2000/0.22 tokens per second.
	tokens := 0.0
	list := e.Arrivals(1)
	for _, a := range list {
		tokens += float64(a.PromptTokens)
	}
	offered := tokens / e.Duration.Seconds()
	is.True(math.Abs(offered/(0.5*4*2000/0.22)-1) < 0.1)
}

// Guards against accepting experiments that cannot run.
func TestLoad(t *testing.T) {
	const valid = `
name: x
seeds: [1]
duration: 10s
model: oak
rate: 1
classes: [{name: short, share: 1, prompt: {min: 1, max: 2}, output: {min: 1, max: 1}}]
workspaces: [{name: a, key: k, share: 1}]
`
	for name, test := range map[string]struct{ old, replacement, want string }{
		"valid":            {"", "", ""},
		"no load":          {"rate: 1\n", "utilisation: 0.7\n", "capacity"},
		"warm-up too long": {"rate: 1\n", "rate: 1\nwarm-up: 10s\n", "warm-up"},
		"empty range":      {"max: 2", "max: 0", "prompt.max"},
		"no classes":       {"share: 1, prompt", "share: 0, prompt", "share"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "x.yaml")
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(valid, test.old, test.replacement, 1)), 0o600))
			_, err := experiment.Load(path)
			is.Equal(err == nil, test.want == "")
			if err != nil {
				is.True(strings.Contains(err.Error(), test.want))
			}
		})
	}
}

// Guards against shipped experiments that no longer load.
func TestShippedExperiments(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../../experiments/*.yaml")
	is.NoErr(err)
	is.True(len(paths) > 0)
	for _, path := range paths {
		_, err := experiment.Load(path)
		is.NoErr(err)
	}
}
