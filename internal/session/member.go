package session

import (
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
)

// Dispatcher returns the entry that dispatches for a cell: the live, non-draining one with the highest
// rendezvous score in the cell's region, or in any region when there is none.
func (v View) Dispatcher(cell string) (Member, bool) {
	region := cell[strings.LastIndex(cell, "/")+1:]
	names := v.names(func(m Member) bool { return !m.Draining && m.Region == region })
	if len(names) == 0 {
		names = v.names(func(m Member) bool { return !m.Draining })
	}
	first := rendezvous.First(cell, names)
	for _, m := range v.Members {
		if m.Instance == first {
			return m, first != ""
		}
	}
	return Member{}, false
}

func (v View) names(match func(Member) bool) []string {
	names := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		if match(m) {
			names = append(names, m.Instance)
		}
	}
	return names
}
