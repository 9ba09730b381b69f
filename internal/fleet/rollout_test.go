package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// versions returns how many engines have each version loaded; those that load have none.
func (d *deployment) versions() map[string]int {
	client := endpoint.NewClient(endpoint.ClientConfig{Transport: &http.Transport{}})
	count := make(map[string]int)
	for _, address := range d.engines {
		state, err := client.State(context.Background(), address)
		if err == nil && !state.Loading {
			count[state.Version]++
		}
	}
	return count
}

// Guards against a roll-out that stops half-way or starts again from the old version when the leader that
// gives the orders is killed, and against requests that fail while engines load.
func TestRollOutOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, size{controls: 3, entries: 2, engines: 3, services: 1})
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := d.complete(context.Background(), d.callers[(i+n)%2], fmt.Sprintf("%d %d ", i, n)+strings.Repeat("saw ", 500), 10)
				if a.err != nil {
					t.Errorf("request during the roll-out: %v", a.err)
				}
			}
		})
	}
	defer callers.Wait()
	defer cancel()
	d.submit(configuration.Change{Model: &configuration.Model{
		Name: model, Version: "v2", Replicas: len(d.engines), MaxContext: 1_200_000,
		PromptPrice: tokenPrice, CachedPrice: tokenPrice, OutputPrice: tokenPrice,
	}})
	d.eventually("the first engine on the new version", func() bool { return d.versions()["v2"] > 0 })
	is.True(d.versions()["v1"] > 0)
	leader := fmt.Sprint("control-", d.leader())
	d.killOne(leader)
	d.eventually("all engines on the new version", func() bool { return d.versions()["v2"] == len(d.engines) })
	d.restart(leader)
	d.eventually("the return of the killed leader", func() bool { return d.versions()["v2"] == len(d.engines) && d.leader() >= 0 })
}
