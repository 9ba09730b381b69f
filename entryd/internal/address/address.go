// Package address selects the entries that callers and endpoints should use. There is no load
// balancer in front of the entries: these answers spread the load.
package address

import (
	"sync/atomic"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// TTL is how long callers may use an answer (design section 11).
const TTL = 30 * time.Second

// Book selects entries. It is safe for concurrent use.
type Book struct {
	// count is the number of addresses in an answer.
	count int
	turn  atomic.Uint64
}

// NewBook returns a book that names count entries in each answer.
func NewBook(count int) *Book {
	return &Book{count: count}
}

// Pick returns the entries for a key, a workspace or an endpoint: always the same few of the members,
// from at least two data centres where there are two, in an order that rotates from answer to answer.
// Draining members and the excluded instance are left out.
func (b *Book) Pick(key string, members []session.Member, exclude string) []session.Member {
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
	picked := mix(ranked, b.count)
	if len(picked) == 0 {
		return nil
	}
	first := int(b.turn.Add(1) % uint64(len(picked)))
	return append(picked[first:len(picked):len(picked)], picked[:first]...)
}

// mix takes count members in the order of their rank, each from another data centre than the ones
// before as long as there is one left.
func mix(ranked []session.Member, count int) []session.Member {
	count = min(count, len(ranked))
	picked := make([]session.Member, 0, count)
	taken := make(map[string]bool, count)
	for len(picked) < count {
		used := make(map[string]bool)
		for _, member := range ranked {
			if len(picked) < count && !taken[member.Instance] && !used[member.DataCentre] {
				picked = append(picked, member)
				taken[member.Instance] = true
				used[member.DataCentre] = true
			}
		}
	}
	return picked
}
