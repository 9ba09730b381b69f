package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/porttest"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Guards against an instance without a disk that does not start, answers for the quorum by itself, or does not stop.
func TestRelayWithoutQuorum(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("instance: c\ndata-centre: z\npeer-listen: \"127.0.0.1:1\"\nplatform-listen: %q\nopen-network: true\nseeds: [%q]\n",
		address, porttest.Refusing(t))
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	s, err := loadSettings(path)
	is.NoErr(err)
	r, err := newRelay(path, s, zap.NewNop())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	end := task.Start(ctx, r.serve)
	var answer *http.Response
	for range 100 {
		if answer, err = http.Get("http://" + address + "/dandelionpier/config"); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(answer.Body.Close())
	cancel()
	is.NoErr(<-end)
}

// Guards against an instance that has neither a disk nor a way to the quorum.
func TestNoDirectoryNeedsSeeds(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte("instance: c\ndata-centre: z\npeer-listen: \"127.0.0.1:1\"\nplatform-listen: \"127.0.0.1:2\"\nopen-network: true\n"), 0o600))
	_, err := loadSettings(path)
	is.True(err != nil && strings.Contains(err.Error(), "seeds"))
}
