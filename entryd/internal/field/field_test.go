package field_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}

// jsonValue generates JSON values with characters that are special to a scanner.
func jsonValue(depth int) *rapid.Generator[any] {
	text := rapid.StringOf(rapid.RuneFrom([]rune("ab{}[],: \"\\\n\t/é\u2028😀")))
	leaves := []*rapid.Generator[any]{
		rapid.Map(text, func(s string) any { return s }),
		rapid.Map(rapid.IntRange(-1e6, 1e6), func(i int) any { return i }),
		rapid.Just[any](nil), rapid.Just[any](true), rapid.Just[any](-1.5e-7),
	}
	if depth == 0 {
		return rapid.OneOf(leaves...)
	}
	return rapid.OneOf(append(leaves,
		rapid.Map(rapid.SliceOfN(jsonValue(depth-1), 0, 4), func(l []any) any { return l }),
		rapid.Map(rapid.MapOfN(text, jsonValue(depth-1), 0, 4), func(m map[string]any) any { return m }))...)
}

// Guards against a scanner that finds other fields or values than encoding/json.
func TestScanEqualsDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		object := rapid.MapOfN(rapid.String(), jsonValue(3), 0, 5).Draw(t, "object")
		data, err := json.Marshal(object)
		is.NoErr(err)
		if rapid.Bool().Draw(t, "indented") {
			var out bytes.Buffer
			is.NoErr(json.Indent(&out, data, " ", "\t"))
			data = out.Bytes()
		}
		want := make(map[string]json.RawMessage)
		is.NoErr(json.Unmarshal(data, &want))
		got := make(map[string]json.RawMessage)
		is.NoErr(field.Scan(data, func(key, value []byte) error {
			got[string(key)] = value
			return nil
		}))
		is.Equal(len(got), len(want))
		for key := range want {
			is.Equal(string(got[key]), string(want[key]))
		}
	})
}

// Guards against prompt text that differs from the text that an engine decodes.
func TestWriteTextEqualsDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		parts := rapid.SliceOf(rapid.SampledFrom([]string{
			"saw", " ", `\n`, `\t`, `\"`, `\\`, `\/`, `\b`, `\f`, `\r`, `\u00e9`, `\ud83d\ude00`, `\ud83d`, `\ude00`, `\u0041`, "é", "😀",
		})).Draw(t, "parts")
		quoted := `"`
		for _, part := range parts {
			quoted += part
		}
		quoted += `"`
		var want string
		is.NoErr(json.Unmarshal([]byte(quoted), &want))
		var got bytes.Buffer
		is.NoErr(field.WriteText(&got, []byte(quoted)))
		is.Equal(got.String(), want)
	})
}

// Guards against scanning invalid text, which could read out of bounds.
func TestScanErrors(t *testing.T) {
	for _, text := range []string{"", " ", "{", `{"a"`, `{"a":1}}`, `{"a":1,}`, "null", "3", `"a"`, "[1]", `{"a":"\x"}`} {
		is.New(t).True(field.Scan([]byte(text), func(_, _ []byte) error { return nil }) != nil)
	}
}

// Guards against allocations for each token of a stream. Under the race detector the scanner pool of
// encoding/json drops one item in four, which costs four allocations; without it there are none.
func TestScanDoesNotAllocate(t *testing.T) {
	data := []byte(`{"request_id":"r","index":7,"choices":[{"delta":{"content":"a \"b\" {"}}],"usage":null}`)
	var index int64
	got := testing.AllocsPerRun(100, func() {
		_ = field.Scan(data, func(key, value []byte) error {
			if string(key) == "index" {
				index, _ = field.Int(value)
			}
			return nil
		})
	})
	is.New(t).True(got <= 2)
	is.New(t).Equal(index, int64(7))
}
