package completion

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against an engine that completes more than was reserved, because the caller set no limit, and
// against changes to the caller's bytes where the caller set one.
func TestReaderBoundsCompletion(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		want int
	}{
		"no bound":              {`{"model":"m","prompt":"{}"}`, 4096},
		"null":                  {`{"max_tokens":null,"model":"m","prompt":"a"}`, 4096},
		"white space at end":    {"{\"model\":\"m\",\"prompt\":\"a\"}\n ", 4096},
		"bound":                 {`{"model":"m","max_tokens":7,"prompt":"a"}`, 7},
		"max_completion_tokens": {`{"model":"m","max_completion_tokens":9,"prompt":"a"}`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request, err := Parse("/v1/completions", []byte(test.body))
			is.NoErr(err)
			c := &call{body: []byte(test.body), maxTokensField: formatMaxTokensField(request, 4096)}
			sent, err := io.ReadAll(c.engineBody())
			is.NoErr(err)
			is.Equal(len(sent), len(c.body)+len(c.maxTokensField))
			var decoded struct {
				MaxTokens int `json:"max_tokens"`
			}
			is.NoErr(json.Unmarshal(sent, &decoded))
			is.Equal(decoded.MaxTokens, test.want)
		})
	}
}
