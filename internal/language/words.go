package language

import (
	"maps"
	"slices"
)

var (
	verbs          = []string{"show", "check", "set", "unset", "add", "remove", "drain", "undrain"}
	clauseKeywords = []string{"where", "and", "by", "order", "desc", "limit", "since", "until"}
	operators      = []string{"=", "!=", "<", "<=", ">", ">=", "~"}
	kindNames      = []string{"workspace", "service", "model", "endpoint", "instance", "data-centre"}
	// drainableKinds are the kinds of object that the commands drain and undrain accept.
	drainableKinds = []string{"endpoint", "instance", "data-centre"}
)

// objectFields lists the fields that the set command accepts, by kind of object.
var objectFields = map[string][]string{
	"workspace": {"models", "services", "priority", "weight", "spend-limit", "request-rate", "max-in-flight"},
	"service":   {"unrepeatable"},
	"model": {
		"version", "adapters", "replicas", "prompt-price", "cached-price", "output-price", "max-context",
	},
	"endpoint":    {"role"},
	"instance":    {},
	"data-centre": {},
}

// listFields are the fields that take several values; all others take one.
var listFields = map[string]bool{"models": true, "services": true, "unrepeatable": true, "adapters": true}

func subjectNames() []string {
	return slices.Sorted(maps.Keys(Subjects))
}

// nearest returns the candidate with the smallest edit distance to word, if word is likely to be a
// misspelling of it: at most two edits, and at most half as many edits as the candidate has letters.
func nearest(word string, candidates []string) (string, bool) {
	best, bestDistance := "", 3
	for _, candidate := range candidates {
		if d := distance(word, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best, best != "" && 2*bestDistance <= len([]rune(best))
}

// distance returns the Levenshtein distance in letters (the Wagner-Fischer algorithm with one row).
func distance(a, b string) int {
	from, to := []rune(a), []rune(b)
	row := make([]int, len(to)+1)
	for j := range row {
		row[j] = j
	}
	for i, letter := range from {
		diagonal := row[0]
		row[0] = i + 1
		for j, other := range to {
			cost := 1
			if letter == other {
				cost = 0
			}
			next := min(diagonal+cost, row[j]+1, row[j+1]+1)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(to)]
}
