// Package rendezvous implements rendezvous (highest random weight) hashing: it ranks names for a key, and
// when a name is added or removed, only the keys for which that name ranks first are reassigned.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in descending order of their score for the key. Equal scores are ordered by name.
func Rank(key string, names []string) []string {
	scores := make(map[string]uint64, len(names))
	for _, name := range names {
		scores[name] = score(key, name)
	}
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return ranked
}

// First returns the name with the highest score, or an empty string if there are no names.
func First(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		s := score(key, name)
		if best == "" || s > bestScore || (s == bestScore && name < best) {
			best, bestScore = name, s
		}
	}
	return best
}

func score(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
