package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// versions returns how many engines have each version loaded; engines that are loading are not counted.
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

// Guards against a rollout that stops half-way or restarts from the old version when the leader that
// issues the orders is killed, and against requests that fail while engines load.
func TestRollOutOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 2, engines: 3, services: 1})
	streams := d.startStreams(4)
	d.submit(d.modelWithVersion("v2"))
	d.eventually("the first engine on the new version", func() bool { return d.versions()["v2"] > 0 })
	is.True(d.versions()["v1"] > 0)
	leader := fmt.Sprint("control-", d.leader())
	d.kill(leader)
	d.eventually("all engines on the new version", func() bool { return d.versions()["v2"] == len(d.engines) })
	d.restart(leader)
	d.eventually("the recovery after the restart of the killed leader", func() bool { return d.versions()["v2"] == len(d.engines) && d.leader() >= 0 })
	is.True(streams.end() > 4) // requests completed during the rollout
}
