package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/porttest"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Guards against a relay that responds although it cannot reach the quorum, does not start, or does not stop.
func TestRelayWithoutQuorum(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("instance: c\ndata-centre: z\npeer-listen: \"127.0.0.1:1\"\nplatform-listen: \"127.0.0.1:0\"\nopen-network: true\nseeds: [%q]\n",
		porttest.Refusing(t))
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	s, err := loadSettings(path)
	is.NoErr(err)
	r, err := newRelay(path, s, zap.NewNop())
	is.NoErr(err)
	response := httptest.NewRecorder()
	r.platformHandler().ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/dandelionpier/config", nil))
	is.Equal(response.Code, http.StatusServiceUnavailable)
	ctx, cancel := context.WithCancel(t.Context())
	end := task.Start(ctx, r.serve)
	cancel()
	is.NoErr(<-end)
}

// Guards against accepting settings with neither a data directory nor seeds by which to find the quorum.
func TestNoDirectoryNeedsSeeds(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte("instance: c\ndata-centre: z\npeer-listen: \"127.0.0.1:1\"\nplatform-listen: \"127.0.0.1:2\"\nopen-network: true\n"), 0o600))
	_, err := loadSettings(path)
	is.True(err != nil && strings.Contains(err.Error(), "seeds"))
}
