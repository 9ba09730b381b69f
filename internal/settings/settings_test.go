package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/settings"
)

type inner struct {
	Listen string `yaml:"listen" validate:"required,hostname_port"`
}

type Shared struct {
	Count int `yaml:"count" validate:"min=0"`
}

type sample struct {
	Shared  `yaml:",inline"`
	Name    string        `yaml:"name" validate:"required"`
	Limit   int           `yaml:"limit" validate:"min=1,max=10"`
	Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
	HTTP    inner         `yaml:"http"`
	Remote  string        `yaml:"remote" validate:"omitempty,https_address"`
	Items   []item        `yaml:"items" validate:"dive"`
}

type item struct {
	Pause *time.Duration `yaml:"pause"`
	Share float64        `yaml:"share" validate:"gt=0,lt=1"`
}

func defaults() *sample {
	return &sample{Limit: 5, Timeout: time.Second, HTTP: inner{Listen: "127.0.0.1:1"}}
}

// Guards against invalid settings that are accepted, or that are rejected without their position in the
// file.
func TestParseErrors(t *testing.T) {
	for name, test := range map[string]struct {
		yaml string
		want []string
	}{
		"unknown key":   {"name: a\nlimmit: 3\n", []string{"f.yaml:2:1", "limmit", "limit"}},
		"wrong type":    {"name: a\nlimit: many\n", []string{"f.yaml:2:"}},
		"out of range":  {"name: a\nlimit: 11\n", []string{"f.yaml:2:1", "limit is 11", "at most 10"}},
		"missing value": {"limit: 3\n", []string{"name", "required"}},
		"nested value":  {"name: a\nhttp:\n  listen: nowhere\n", []string{"f.yaml:3:3", "http.listen", "127.0.0.1:8080"}},
		"inline value":  {"name: a\ncount: -1\n", []string{"f.yaml:2:1: count is -1"}},
		"inline key":    {"name: a\ncuont: 1\n", []string{"f.yaml:2:1", "cuont", "count"}},
		"other scheme":  {"name: a\nremote: http://127.0.0.1:1\n", []string{"f.yaml:2:1", "https://127.0.0.1:8080"}},
		"no port":       {"name: a\nremote: https://127.0.0.1\n", []string{"f.yaml:2:1", "https://127.0.0.1:8080"}},
		"not yaml":      {"name: [a\n", []string{"f.yaml:"}},
		"bad duration":  {"name: a\ntimeout: soon\n", []string{"f.yaml:2:10", `"soon" is not a duration`}},
		"list element":  {"name: a\nitems:\n  - pause: soon\n", []string{"f.yaml:3:12", `"soon" is not a duration`}},
		"in a list":     {"name: a\nitems:\n  - pause: 1s\n    share: 1\n", []string{"f.yaml:4:5: items[0].share is 1", "less than 1"}},
		"missing field": {"name: a\nitems:\n  - pause: 1s\n", []string{"f.yaml:3:5: items[0].share"}},
		"zero duration": {"name: a\ntimeout: 0s\n", []string{"f.yaml:2:1", "more than 0"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := settings.Parse("f.yaml", []byte(test.yaml), defaults())
			is.True(err != nil)
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q lacks %q", err, part)
				}
			}
		})
	}
}

// Guards against defaults that are lost when the file does not name an option.
func TestParseKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s := defaults()
	is.NoErr(settings.Parse("f.yaml", []byte("name: a\nremote: https://127.0.0.1:1\n"), s))
	is.Equal(s.Limit, 5)
	is.Equal(s.Timeout, time.Second)
}
