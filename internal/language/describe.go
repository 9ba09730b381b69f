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

// Describe writes a change as lines of the language, for history, conflicts and checks. Keys are
// described by a comment with the first digits of their sums.
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
		return []string{strings.Join(append(line, "unrepeatable", tokens(change.Service.UnrepeatableMethods)), " ")}
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
	default:
		return nil
	}
}

// Target returns kind and name of the object that a change is about.
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
	default:
		return "", ""
	}
}

func describeWorkspace(line []string, w configuration.Workspace) []string {
	line = append(
		line, "models", tokens(w.Models), "services", tokens(w.Services),
		"priority", strconv.Itoa(w.Priority), "weight", strconv.Itoa(w.Weight),
		"spend-limit", SpendLimit(w.SpendLimit),
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
		line, "adapters", tokens(m.Adapters), "replicas", strconv.Itoa(m.Replicas),
		"prompt-price", Cents(m.PromptPrice).String(), "cached-price", Cents(m.CachedPrice).String(),
		"output-price", Cents(m.OutputPrice).String(), "max-context", strconv.Itoa(m.MaxContext),
	), " ")
}

func drainLine(drain bool, kind, name string) string {
	verb := "undrain"
	if drain {
		verb = "drain"
	}
	return strings.Join([]string{verb, kind, NewValue(name).Token}, " ")
}

// SpendLimit writes a spending limit in micro-cents as the language does.
func SpendLimit(limit int64) string {
	if limit < 0 {
		return unlimited
	}
	return Cents(limit).String()
}

// shortHashDigits identify a key among those of one workspace and are of no use to guess it.
const shortHashDigits = 12

// ShortHashes returns the first digits of key sums.
func ShortHashes(hashes []string) []string {
	short := make([]string, len(hashes))
	for i, hash := range hashes {
		short[i] = hash[:min(len(hash), shortHashDigits)]
	}
	return short
}

func tokens(names []string) string {
	if len(names) == 0 {
		return none
	}
	list := make([]string, len(names))
	for i, name := range names {
		list[i] = NewValue(name).Token
	}
	return strings.Join(list, ", ")
}

// Diff lists the lines by which changes alter a configuration: lines that go after "- ", lines that
// come after "+ ".
func Diff(base configuration.Configuration, changes []configuration.Change) []string {
	var lines []string
	for _, change := range changes {
		kind, name := Target(change)
		var before, after []string
		if old, exists := find(base, kind, name); exists {
			before = Describe(old.change(kind, false))
		}
		if !change.Delete {
			after = Describe(change)
		}
		lines = append(lines, marked("- ", before, after)...)
		lines = append(lines, marked("+ ", after, before)...)
	}
	return lines
}

// marked returns the lines that others lacks, with a mark in front.
func marked(mark string, lines, others []string) []string {
	var list []string
	for _, line := range lines {
		if !slices.Contains(others, line) {
			list = append(list, mark+line)
		}
	}
	return list
}
