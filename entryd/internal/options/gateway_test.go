package options_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
)

const gatewaySettings = `instance: a
data-centre: b
region: c
seeds: ["10.0.0.1:80"]
`

// Guards against an entry that starts without a cluster key although open-network is not set, and against a
// shutdown that cuts requests before the last sixth of the grace period.
func TestLoadGateway(t *testing.T) {
	tests := map[string]struct {
		text  string
		valid bool
	}{
		"open network":   {gatewaySettings + "open-network: true\ngrace: 6s\n", true},
		"cluster key":    {gatewaySettings + "cluster-key: 0123456789abcdef\ngrace: 6s\n", true},
		"neither":        {gatewaySettings + "grace: 6s\n", false},
		"unknown option": {gatewaySettings + "open-network: true\nnews: 1\n", false},
		"seed, no port":  {"instance: a\ndata-centre: b\nregion: c\nopen-network: true\nseeds: [x]\n", false},
		"without a seed": {"instance: a\ndata-centre: b\nregion: c\nopen-network: true\n", false},
		"zero grace":     {gatewaySettings + "open-network: true\ngrace: 0s\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.yaml")
			is.NoErr(os.WriteFile(path, []byte(test.text), 0o600))
			g, err := options.LoadGateway(path)
			is.Equal(err == nil, test.valid)
			if test.valid {
				is.True(g.StopLimit() > g.Grace*5/6)
				is.Equal(g.StopLimit(), 5500*time.Millisecond)
			}
		})
	}
}
