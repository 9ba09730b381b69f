package address_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/entryd/internal/address"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Guards against selections from a single data centre, with draining entries, that differ between calls, or
// that always begin with the same entry.
func TestPick(t *testing.T) {
	is := is.New(t)
	var members []session.Member
	for i := range 12 {
		centre := "vitoria"
		if i == 11 {
			centre = "bilbao"
		}
		members = append(members, session.Member{Instance: fmt.Sprint("entry-", i), DataCentre: centre, Draining: i == 3})
	}
	selector := address.NewSelector(4)
	firsts := make(map[string]bool)
	sets := make(map[string]bool)
	for range 8 {
		var names, centres []string
		for _, member := range selector.Select("norte", members, "entry-5") {
			names = append(names, member.Instance)
			centres = append(centres, member.DataCentre)
		}
		is.Equal(len(names), 4)
		is.True(slices.Contains(centres, "bilbao") && slices.Contains(centres, "vitoria"))
		is.True(!slices.Contains(names, "entry-3") && !slices.Contains(names, "entry-5"))
		firsts[names[0]] = true
		slices.Sort(names)
		sets[fmt.Sprint(names)] = true
	}
	is.Equal(len(firsts), 4)
	is.Equal(len(sets), 1)
	is.Equal(len(selector.Select("norte", nil, "")), 0)
}
