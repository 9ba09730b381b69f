package configuration_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

func model(name string, adapters ...string) configuration.Change {
	return configuration.Change{Model: &configuration.Model{Name: name, Adapters: adapters}}
}

func workspace(name string, keys ...string) configuration.Change {
	return configuration.Change{Workspace: &configuration.Workspace{Name: name, KeyHashes: keys, Models: []string{"oak"}}}
}

// Guards against a transaction that is applied in part, and against references to unknown objects.
func TestWith(t *testing.T) {
	for name, test := range map[string]struct {
		changes []configuration.Change
		want    configuration.Kind
	}{
		"model and workspace":     {[]configuration.Change{model("oak"), workspace("norte", "k1")}, ""},
		"unknown model":           {[]configuration.Change{workspace("norte")}, configuration.Unknown},
		"one key, two workspaces": {[]configuration.Change{model("oak"), workspace("a", "k"), workspace("b", "k")}, configuration.Invalid},
		"no object":               {[]configuration.Change{{}}, configuration.Invalid},
		"no name":                 {[]configuration.Change{model("")}, configuration.Invalid},
		"delete unknown model":    {[]configuration.Change{{Model: &configuration.Model{Name: "ash"}, Delete: true}}, configuration.Unknown},
		"adapter named as model":  {[]configuration.Change{model("oak", "ash"), model("ash")}, configuration.Invalid},
		"adapter of two models":   {[]configuration.Change{model("oak", "fine"), model("ash", "fine")}, configuration.Invalid},
		"adapters":                {[]configuration.Change{model("oak", "fine", "coarse"), model("ash", "soft")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := configuration.Configuration{Revision: 7}
			after, err := before.With(test.changes)
			if test.want == "" {
				is.NoErr(err)
				is.Equal(len(before.Models), 0) // the original is not changed
				return
			}
			is.True(fault.Is(err, test.want))
			is.Equal(len(after.Models)+len(after.Workspaces), 0)
		})
	}
}

// Guards against a revision that is skipped or applied twice.
func TestWithRevision(t *testing.T) {
	is := is.New(t)
	c := configuration.Configuration{Revision: 7}
	next, err := c.WithRevision(configuration.Revision{Number: 8, Changes: []configuration.Change{model("oak")}})
	is.NoErr(err)
	is.Equal(next.Revision, uint64(8))
	for _, number := range []uint64{8, 10} {
		_, err = next.WithRevision(configuration.Revision{Number: number})
		is.True(fault.Is(err, configuration.Gap))
	}
}

func ExampleConfiguration_With() {
	var c configuration.Configuration
	c, err := c.With([]configuration.Change{{Model: &configuration.Model{Name: "oak", Replicas: 3}}})
	fmt.Println(c.Models["oak"].Replicas, err)
	// Output: 3 <nil>
}
