package language_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against syntax errors without a position or without a hint at the valid input.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"show runing":                              `1:6: unknown subject "runing"; did you mean "running"?`,
		"shw running":                              `1:1: unexpected "shw"; did you mean "show"?`,
		"show running were cell = a":               `1:14: unexpected "were"; did you mean "where"?`,
		"show costing order by cst":                `1:23: unknown field "cst"; did you mean "cost"?`,
		"show running since 5m":                    `1:20: since does not apply to running`,
		"show models where models = a":             `1:19: unknown field "models"; did you mean "model"?`,
		"show workspaces where models > a":         `1:23: models is a list; it can be compared by = != ~`,
		"show running until 5m":                    `1:20: until does not apply to running`,
		"show costing until 2026-13":               `1:20: "2026-13" is neither a duration such as 36h or 3d nor a date such as 2026-11-30`,
		"show costing since 2026-11 utnil 2026":    `1:28: unexpected "utnil"; did you mean "until"?`,
		"show costing since 2026-11 until 2026-10": `1:34: the range ends at 2026-10, before its start at 2026-11`,
		"show costing until 3d since 2d":           `1:20: the range ends at 3d, before its start at 2d`,
		"show costing until 2026-10 until 1d":      `1:28: until is given twice`,
		"show history limit 2 since 3d limit 3":    `1:31: limit is given twice`,
		"show models limit none":                   `1:19: the limit none is not a whole number of at least 1`,
		"set workspace a\nset workspce b":          `2:5: unknown kind of object "workspce"; did you mean "workspace"?`,
		"set workspace a modles b":                 `1:17: unknown field of a workspace "modles"; did you mean "models"?`,
		"set workspace a weight 2 weight 3":        `1:26: weight is given twice`,
		"set workspace a priority 10":              `1:26: 10 is not a whole number from 0 to 9`,
		"set workspace a spend-limit 1.2.3":        `1:29: "1.2.3" is not an amount in cents such as 120.50`,
		"set workspace a models b, none":           `1:27: none stands alone`,
		"set workspace \"a":                        `1:15: the quoted text has no end on its line`,
		"set workspace \"\\q\"":                    `1:15: "\q" has an unknown escape; the escapes are those of Go`,
		"add key new too workspace a":              `1:13: unexpected "too"; did you mean "to"?`,
		"add key 12 to workspace a":                `1:9: 12 is neither new nor the SHA-256 sum of a key (64 hexadecimal digits)`,
		"drain endpoint":                           `1:15: unexpected end of line; expected NAME`,
		"drain model a":                            `1:7: unknown kind of object "model"; known: endpoint, instance, data-centre`,
		"check":                                    `1:6: unexpected end of line; expected a command on the next line`,
		"set model a\ncheck":                       `2:1: "check" does not belong here`,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := language.Parse(text)
			is.True(err != nil)
			is.Equal(err.Error(), "parse: "+want)
		})
	}
}

// clearPositions clears all positions in a syntax tree, so that trees of texts with different layouts can
// be compared.
func clearPositions(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			clearPositions(v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			clearPositions(v.Index(i))
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[lexer.Position]() {
			v.SetZero()
			return
		}
		for i := range v.NumField() {
			clearPositions(v.Field(i))
		}
	}
}

func checkRoundTrip(t rapid.TB, text language.Text) {
	printed := text.String()
	reparsed, err := language.Parse(printed)
	if err != nil {
		t.Fatalf("printed text %q does not parse: %v", printed, err)
	}
	clearPositions(reflect.ValueOf(&text))
	clearPositions(reflect.ValueOf(&reparsed))
	if !reflect.DeepEqual(text, reparsed) {
		t.Fatalf("%q parses to another tree", printed)
	}
}

func newValues(texts ...string) []*language.Value {
	var list []*language.Value
	for _, text := range texts {
		value := language.NewValue(text)
		list = append(list, &value)
	}
	return list
}

func drawSet(t *rapid.T) *language.Set {
	names := rapid.StringN(1, 12, 40)
	set := &language.Set{Kind: language.Word{Text: "workspace"}, Name: language.NewValue(names.Draw(t, "name"))}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"models", "services", "weight"}), 0, 3, rapid.ID[string]).Draw(t, "fields") {
		field := &language.Field{Name: language.Word{Text: name}, Values: newValues("7")}
		if name != "weight" {
			field.Values = newValues(rapid.SliceOfN(names, 1, 4).Draw(t, "values")...)
		}
		set.Fields = append(set.Fields, field)
	}
	return set
}

func drawText(t *rapid.T) language.Text {
	if rapid.Bool().Draw(t, "query") {
		where := &language.Clause{}
		for _, text := range rapid.SliceOfN(rapid.String(), 1, 3).Draw(t, "conditions") {
			where.Where = append(where.Where, &language.Condition{
				Field: language.Word{Text: "author"}, Operator: rapid.SampledFrom([]string{"=", "!=", "~", "<"}).Draw(t, "operator"), Value: language.NewValue(text),
			})
		}
		clauses := rapid.Permutation([]*language.Clause{
			where,
			{By: []*language.Word{{Text: "author"}, {Text: "time"}}},
			{Order: &language.Order{Field: language.Word{Text: "author"}, Descending: rapid.Bool().Draw(t, "desc")}},
			{Limit: newValues("5")[0]},
			{Since: newValues("3d")[0]},
			{Until: newValues("1d")[0]},
		}).Draw(t, "clauses")
		q := &language.Query{Subject: language.Word{Text: "history"}}
		if n := rapid.IntRange(0, len(clauses)).Draw(t, "number"); n > 0 {
			q.Clauses = clauses[:n]
		}
		return language.Text{Query: q}
	}
	transaction := &language.Transaction{Check: rapid.Bool().Draw(t, "check")}
	for range rapid.IntRange(1, 4).Draw(t, "commands") {
		name := language.NewValue(rapid.StringN(1, 12, 40).Draw(t, "name"))
		transaction.Commands = append(transaction.Commands, rapid.SampledFrom([]*language.Command{
			{Set: drawSet(t)},
			{Unset: &language.Unset{Kind: language.Word{Text: "model"}, Name: name}},
			{Add: &language.Add{Hash: language.Value{Token: "new"}, Workspace: name}},
			{Remove: &language.Remove{Hash: language.Value{Token: "0123456789ab"}, Workspace: name}},
			{Drain: &language.Drain{Verb: "undrain", Kind: language.Word{Text: "instance"}, Name: name}},
		}).Draw(t, "command"))
	}
	return language.Text{Transaction: transaction}
}

// Guards against a printer that omits a clause or does not quote a name that needs quotes.
func TestPrintedTextParsesToSameTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRoundTrip(t, drawText(t)) })
}

// Guards against input that makes the parser panic, or that is accepted but not printed correctly.
func FuzzParse(f *testing.F) {
	f.Add("show costing where workspace = \"a b\" by model order by cost desc limit 5 since 3d")
	f.Add("check\nset workspace a models b, c priority 2; drain endpoint e # comment")
	f.Add("add key new to workspace a\n\n;remove key 0123456789 from workspace \"\\x00\"")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := language.Parse(text)
		if err != nil || (parsed.Query == nil && parsed.Transaction == nil) {
			return
		}
		checkRoundTrip(t, parsed)
	})
}

func baseConfiguration() configuration.Configuration {
	return configuration.Configuration{
		Revision: 7,
		Workspaces: map[string]configuration.Workspace{"sawmill": {
			Name: "sawmill", Models: []string{"oak"}, Priority: 3, Weight: 2, SpendLimit: 5_000_000,
			KeyHashes: []string{strings.Repeat("ab", 32), strings.Repeat("cd", 32)},
		}},
		Services:  map[string]configuration.Service{"counter": {Name: "counter"}},
		Models:    map[string]configuration.Model{"oak": {Name: "oak", Version: "1", Replicas: 4}},
		Endpoints: map[string]configuration.EndpointSetting{"e1": {Name: "e1", Role: "prefill"}},
	}
}

// Guards against commands that change fields other than those they name, and against changes in the wrong
// order. The expected lines are the descriptions of the resulting changes.
func TestChanges(t *testing.T) {
	const sawmill = "set workspace sawmill models oak services none priority 3 weight 2 spend-limit 5 request-rate 0 max-in-flight 0"
	const keys = "# keys: abababababab, cdcdcdcdcdcd"
	for text, want := range map[string][]string{
		"set workspace sawmill priority 1": {strings.Replace(sawmill, "priority 3", "priority 1", 1), keys},
		"set workspace sawmill weight 9\nset workspace sawmill spend-limit unlimited services counter models none": {
			"set workspace sawmill models none services counter priority 3 weight 9 spend-limit unlimited request-rate 0 max-in-flight 0", keys,
		},
		"set workspace \"new\" request-rate 0.5 spend-limit 120.50":    {`set workspace "new" models none services none priority 0 weight 0 spend-limit 120.5 request-rate 0.5 max-in-flight 0`},
		"remove key abababab from workspace sawmill":                   {sawmill, "# keys: cdcdcdcdcdcd"},
		"unset workspace sawmill; set workspace sawmill models oak":    {"set workspace sawmill models oak services none priority 0 weight 0 spend-limit 0 request-rate 0 max-in-flight 0"},
		"set model ash; unset model ash; unset service counter":        {"unset service counter"},
		"set service counter unrepeatable POST, DELETE":                {"set service counter unrepeatable POST, DELETE"},
		"set model oak prompt-price 0.000001 adapters x, y":            {"set model oak version 1 adapters x, y replicas 4 prompt-price 0.000001 cached-price 0 output-price 0 max-context 0"},
		"drain data-centre bilbao; undrain data-centre vitoria":        {"drain data-centre bilbao", "undrain data-centre vitoria"},
		"drain endpoint e1; drain instance i1; set endpoint e2 role b": {"set endpoint e1 role prefill", "drain endpoint e1", "drain instance i1", "set endpoint e2 role b", "undrain endpoint e2"},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			parsed, err := language.Parse(text)
			is.NoErr(err)
			changes, err := language.Changes(*parsed.Transaction, baseConfiguration())
			is.NoErr(err)
			_, err = baseConfiguration().With(changes)
			is.NoErr(err)
			var got []string
			for _, change := range changes {
				got = append(got, language.Describe(change)...)
			}
			is.Equal(got, want)
		})
	}
}

// Guards against changes to an object that does not exist, and against the word new that the client has
// not replaced with the hash of a key.
func TestChangeErrors(t *testing.T) {
	for text, want := range map[string]string{
		"unset workspace sawmil":                       `1:17: workspace "sawmil" does not exist; did you mean "sawmill"?`,
		"add key new to workspace sawmill":             `1:9: the client replaces new`,
		"remove key 0000000000 from workspace sawmill": `0 keys of workspace "sawmill" start with 0000000000`,
		"unset model oak; unset model oak":             `1:30: model "oak" does not exist`,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			parsed, err := language.Parse(text)
			is.NoErr(err)
			_, err = language.Changes(*parsed.Transaction, baseConfiguration())
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want))
		})
	}
}

// Guards against a key that is sent or stored in plain text.
func TestGenerateKeys(t *testing.T) {
	is := is.New(t)
	parsed, err := language.Parse("add key new to workspace sawmill; add key new to workspace sawmill")
	is.NoErr(err)
	generated := language.GenerateKeys(parsed.Transaction)
	is.Equal(len(generated), 2)
	is.True(generated[0].Key != generated[1].Key)
	is.Equal(generated[0].Hash, language.HashKey(generated[0].Key))
	is.True(!strings.Contains(parsed.String(), generated[0].Key))
	changes, err := language.Changes(*parsed.Transaction, baseConfiguration())
	is.NoErr(err)
	is.Equal(changes[0].Workspace.KeyHashes[2:], []string{generated[0].Hash, generated[1].Hash})
}

// Guards against errors in filtering, grouping, sorting and limiting.
func TestEvaluate(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	costRow := func(workspace, model, class, period string, requests int64, cost language.MicroCents) []any {
		return []any{workspace, model, class, period, requests, requests * 10, cost}
	}
	rows := [][]any{
		costRow("b", "oak", "short", "2026-12", 1, 500_000),
		costRow("a", "oak", "long", "2026-12", 2, 3_000_000),
		costRow("a", "ash", "short", "2026-11", 4, 10_000_000),
		costRow("a", "oak", "short", "2026-12", 8, 1_000_000),
	}
	for text, want := range map[string][][]any{
		"show costing where cost >= 1 and model = oak":                  {rows[1], rows[3]},
		"show costing where workspace != a":                             {rows[0]},
		"show costing since 2026-12-01 by workspace order by cost desc": {{"a", int64(2), int64(10), int64(100), language.MicroCents(4_000_000)}, {"b", int64(1), int64(1), int64(10), language.MicroCents(500_000)}},
		"show costing since 30d limit 1":                                {rows[2]},
		"show costing until 2026-11":                                    {rows[2]},
		"show costing since 2026-11 until 30d":                          {rows[2]},
		"show costing until 2026-12 since 2026-12-04 limit 1":           {rows[1]},
		"show costing order by requests limit 2":                        {rows[0], rows[1]},
		"show costing where model ~ s by model, period order by model":  {{"ash", "2026-11", int64(1), int64(4), int64(40), language.MicroCents(10_000_000)}},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			parsed, err := language.Parse(text)
			is.NoErr(err)
			table, err := language.Evaluate(*parsed.Query, rows, language.EvaluateConfig{Now: now, DefaultLimit: 3, MaxLimit: 10})
			is.NoErr(err)
			is.Equal(table.Rows, want)
		})
	}
}

// Guards against a range that ends at the start of its last day, month or minute rather than at its end.
func TestUntil(t *testing.T) {
	is := is.New(t)
	day := func(d, hour int) time.Time { return time.Date(2026, 11, d, hour, 0, 30, 0, time.UTC) }
	var rows [][]any
	for i, at := range []time.Time{day(1, 0), day(30, 23), day(29, 8)} {
		rows = append(rows, []any{int64(i), "itziar", at, "line"})
	}
	for text, want := range map[string][][]any{
		"show history until 2026-11":              rows,
		"show history until 2026-11-29":           {rows[0], rows[2]},
		"show history until 2026-11-29T08:00":     {rows[0], rows[2]},
		"show history until 2026-11-29T08:00:29Z": {rows[0]},
		"show history since 3d until 1d":          {rows[2]},
	} {
		parsed, err := language.Parse(text)
		is.NoErr(err)
		table, err := language.Evaluate(*parsed.Query, rows, language.EvaluateConfig{Now: day(30, 23), DefaultLimit: 9, MaxLimit: 9})
		is.NoErr(err)
		is.Equal(table.Rows, want) // text
	}
}

// Guards against a query that reads the wrong months.
func TestQueryMonths(t *testing.T) {
	now := time.Date(2026, 12, 31, 0, 0, 0, 0, time.UTC)
	for text, want := range map[string][2]string{
		"show costing":                   {"2026-12", "2026-12"},
		"show costing where model = oak": {"2026-12", "2026-12"},
		`show costing where workspace != c and workspace = "a b"`: {"2026-12", "2026-12"},
		"show costing where period = 2026-10":                     {"2026-10", "2026-10"},
		"show costing where period != 2026-10":                    {"", ""},
		"show costing since 2026-02":                              {"2026-02", ""},
		"show costing since 2026-02 until 2026-11-30":             {"2026-02", "2026-11"},
		"show costing until 35d":                                  {"", "2026-11"},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			parsed, err := language.Parse(text)
			is.NoErr(err)
			from, to, err := parsed.Query.Months(now)
			is.NoErr(err)
			is.Equal([2]string{from, to}, want)
			workspace, ok := parsed.Query.RequiredValue("workspace")
			is.Equal(workspace, map[bool]string{true: "a b", false: ""}[ok])
			is.Equal(ok, strings.Contains(text, `workspace = "a b"`))
		})
	}
}

// Guards against durations that show floating-point error, such as 3.5789999999999997.
func TestSeconds(t *testing.T) {
	is := is.New(t)
	for ms := range 10_000 {
		text := language.Seconds(time.Duration(ms) * time.Millisecond).String()
		_, fraction, _ := strings.Cut(text, ".")
		if len(fraction) > 3 {
			t.Fatalf("%d ms is written %s", ms, text)
		}
	}
	is.Equal(language.Seconds(3579*time.Millisecond+400*time.Microsecond).String(), "3.579")
	is.Equal(language.Seconds(-1500*time.Millisecond).String(), "-1.5")
	is.Equal(language.Seconds(0).String(), "0")
}

// Guards against rounding when an amount is formatted and parsed.
func TestCents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := language.MicroCents(rapid.Int64Range(0, 1<<62).Draw(t, "amount"))
		back, err := language.ParseCents(c.String())
		if err != nil || back != c {
			t.Fatalf("%s parses to %d, %v; want %d", c, back, err, int64(c))
		}
	})
}

var fencedExample = regexp.MustCompile("(?s)```pier\n(.*?)```(?:\n\n```error\n(.*?)\n```)?")

// Guards against examples in the operators' guide that the parser rejects.
func TestGuide(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators.md"))
	is.NoErr(err)
	for _, example := range fencedExample.FindAllStringSubmatch(string(page), -1) {
		_, err := language.Parse(example[1])
		is.NoErr(err)
	}
}

// Guards against a language page with examples that the parser rejects, outdated error messages or an
// outdated grammar.
func TestPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "language.md"))
	is.NoErr(err)
	is.True(strings.Contains(string(page), language.Grammar()))
	examples := fencedExample.FindAllStringSubmatch(string(page), -1)
	is.True(len(examples) >= 10)
	for _, example := range examples {
		_, err := language.Parse(example[1])
		if example[2] == "" {
			is.NoErr(err)
			continue
		}
		is.True(err != nil)
		is.Equal(err.Error(), "parse: "+example[2])
	}
}
