// Package address selects the entries that callers and endpoints should use. There is no load balancer in
// front of the entries: the load is spread by which addresses each of them is given.
package address

import (
	"sync/atomic"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// TTL is how long callers may use a list of addresses (design section 11).
const TTL = 30 * time.Second

// Selector selects entries. It is safe for concurrent use.
type Selector struct {
	// count is the number of entries in each selection.
	count    int
	rotation atomic.Uint64
}

// NewSelector returns a Selector that selects count entries at a time.
func NewSelector(count int) *Selector {
	return &Selector{count: count}
}

// Select returns the entries for a key, which is the name of a workspace or an endpoint. The same key gets the
// same entries as long as the members stay the same, from at least two data centres where there are two; the
// order rotates with each call. Draining members and the excluded instance are left out.
func (s *Selector) Select(key string, members []session.Member, exclude string) []session.Member {
	live := make(map[string]session.Member, len(members))
	names := make([]string, 0, len(members))
	for _, member := range members {
		if !member.Draining && member.Instance != exclude {
			live[member.Instance] = member
			names = append(names, member.Instance)
		}
	}
	var ranked []session.Member
	for _, name := range rendezvous.Rank(key, names) {
		ranked = append(ranked, live[name])
	}
	picked := selectAcrossDataCentres(ranked, s.count)
	if len(picked) == 0 {
		return nil
	}
	first := int(s.rotation.Add(1) % uint64(len(picked)))
	return append(picked[first:len(picked):len(picked)], picked[:first]...)
}

// selectAcrossDataCentres returns count members, alternating between data centres: each round takes the
// highest-ranked remaining member of each data centre.
func selectAcrossDataCentres(ranked []session.Member, count int) []session.Member {
	count = min(count, len(ranked))
	selected := make([]session.Member, 0, count)
	taken := make(map[string]bool, count)
	for len(selected) < count {
		usedDataCentres := make(map[string]bool)
		for _, member := range ranked {
			if len(selected) < count && !taken[member.Instance] && !usedDataCentres[member.DataCentre] {
				selected = append(selected, member)
				taken[member.Instance] = true
				usedDataCentres[member.DataCentre] = true
			}
		}
	}
	return selected
}
