package language

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Describe returns a change as lines of the language, for histories, conflicts and dry runs. Keys appear
// in a comment with the first digits of their hashes.
func Describe(change configuration.Change) []string {
	kind, name := Target(change)
	if change.Delete {
		return []string{"unset " + kind + " " + NewValue(name).Token}
	}
	line := []string{"set", kind, NewValue(name).Token}
	switch {
	case change.Workspace != nil:
		return describeWorkspace(line, *change.Workspace)
	case change.Service != nil:
		return []string{strings.Join(append(line, "unrepeatable", formatList(change.Service.UnrepeatableMethods)), " ")}
	case change.Model != nil:
		return []string{describeModel(line, *change.Model)}
	case change.Endpoint != nil:
		role := none
		if change.Endpoint.Role != "" {
			role = NewValue(change.Endpoint.Role).Token
		}
		return []string{strings.Join(append(line, "role", role), " "), drainLine(change.Endpoint.Drain, kind, name)}
	case change.Instance != nil:
		return []string{drainLine(change.Instance.Drain, kind, name)}
	case change.DataCentre != nil:
		return []string{drainLine(change.DataCentre.Drain, kind, name)}
	default:
		return nil
	}
}

// Target returns the kind and name of the object that a change applies to.
func Target(change configuration.Change) (kind, name string) {
	switch {
	case change.Workspace != nil:
		return "workspace", change.Workspace.Name
	case change.Service != nil:
		return "service", change.Service.Name
	case change.Model != nil:
		return "model", change.Model.Name
	case change.Endpoint != nil:
		return "endpoint", change.Endpoint.Name
	case change.Instance != nil:
		return "instance", change.Instance.Name
	case change.DataCentre != nil:
		return "data-centre", change.DataCentre.Name
	default:
		return "", ""
	}
}

func describeWorkspace(line []string, w configuration.Workspace) []string {
	line = append(
		line, "models", formatList(w.Models), "services", formatList(w.Services),
		"priority", strconv.Itoa(w.Priority), "weight", strconv.Itoa(w.Weight),
		"spend-limit", FormatSpendLimit(w.SpendLimit),
		"request-rate", strconv.FormatFloat(w.RequestRate, 'f', -1, 64),
		"max-in-flight", strconv.Itoa(w.MaxInFlight),
	)
	lines := []string{strings.Join(line, " ")}
	if len(w.KeyHashes) > 0 {
		lines = append(lines, "# keys: "+strings.Join(ShortHashes(w.KeyHashes), ", "))
	}
	return lines
}

func describeModel(line []string, m configuration.Model) string {
	if m.Version != "" {
		line = append(line, "version", NewValue(m.Version).Token)
	}
	return strings.Join(append(
		line, "adapters", formatList(m.Adapters), "replicas", strconv.Itoa(m.Replicas),
		"prompt-price", MicroCents(m.PromptPrice).String(), "cached-price", MicroCents(m.CachedPrice).String(),
		"output-price", MicroCents(m.OutputPrice).String(), "max-context", strconv.Itoa(m.MaxContext),
	), " ")
}

func drainLine(drain bool, kind, name string) string {
	verb := "undrain"
	if drain {
		verb = "drain"
	}
	return strings.Join([]string{verb, kind, NewValue(name).Token}, " ")
}

// FormatSpendLimit formats a spending limit, given in micro-cents, as in the language. A negative limit means
// unlimited.
func FormatSpendLimit(limit int64) string {
	if limit < 0 {
		return unlimited
	}
	return MicroCents(limit).String()
}

// shortHashDigits is enough to tell the keys of a workspace apart, and does not help to guess a key.
const shortHashDigits = 12

// ShortHashes returns the first digits of each key hash.
func ShortHashes(hashes []string) []string {
	short := make([]string, len(hashes))
	for i, hash := range hashes {
		short[i] = hash[:min(len(hash), shortHashDigits)]
	}
	return short
}

func formatList(names []string) string {
	if len(names) == 0 {
		return none
	}
	list := make([]string, len(names))
	for i, name := range names {
		list[i] = NewValue(name).Token
	}
	return strings.Join(list, ", ")
}

// Diff returns what changes alter in a configuration as lines of the language: removed lines with the
// prefix "- ", added lines with the prefix "+ ".
func Diff(base configuration.Configuration, changes []configuration.Change) []string {
	var lines []string
	for _, change := range changes {
		kind, name := Target(change)
		var before, after []string
		if old, exists := findObject(base, kind, name); exists {
			before = Describe(old.change(kind, false))
		}
		if !change.Delete {
			after = Describe(change)
		}
		lines = append(lines, prefixedDifference("- ", before, after)...)
		lines = append(lines, prefixedDifference("+ ", after, before)...)
	}
	return lines
}

// prefixedDifference returns the lines that are not in others, each with a prefix.
func prefixedDifference(prefix string, lines, others []string) []string {
	var list []string
	for _, line := range lines {
		if !slices.Contains(others, line) {
			list = append(list, prefix+line)
		}
	}
	return list
}
