package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/control"
)

// Guards against a control leader that stays the leader while it is partitioned in any direction, and
// against an entry that is cut off from the control instances and admits requests under a configuration
// that has been replaced.
func TestCutConnections(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentSize{controls: 3, entries: 2, engines: 1, services: 1, relayed: true})
	for n, fault := range []struct {
		name      string
		isBlocked func(leader string, f flow) bool
		refuseNew bool
	}{
		{"cut off both ways", func(l string, f flow) bool { return f.from() == l || f.to() == l }, false},
		{"nothing arrives", func(l string, f flow) bool { return f.to() == l }, false},
		{"nothing leaves", func(l string, f flow) bool { return f.from() == l }, false},
		{"its calls pass, calls to it do not", func(l string, f flow) bool { return f.target == l }, true},
	} {
		d.awaitReachedVoters(3)
		oldLeader := d.leader()
		name := fmt.Sprint("control-", oldLeader)
		refusedTarget := ""
		if fault.refuseNew {
			refusedTarget = name
		}
		d.relays.cut(func(f flow) bool { return fault.isBlocked(name, f) }, refusedTarget)
		d.eventually("another leader than one that is "+fault.name, func() bool { return d.leader() != oldLeader })
		for i := range d.callers {
			d.awaitBooking(i, fmt.Sprintf("job-%d-%d", n, i))
		}
		d.relays.heal()
	}
	d.awaitReachedVoters(3)
	d.testCutOffEntry()
}

// testCutOffEntry cuts entry 0 off from the control instances while an operator replaces the callers' key.
func (d *deployment) testCutOffEntry() {
	is := is.New(d.t)
	const newKey = "fleet-test-next-key"
	d.relays.cut(func(f flow) bool { return f.source == "entry-0" }, "")
	hash := sha256.Sum256([]byte(newKey))
	change := workspaceWithLimit(-1)
	change.Workspace.KeyHashes = []string{hex.EncodeToString(hash[:])}
	query, err := d.client.Query(context.Background(), control.QueryRequest{})
	is.NoErr(err)
	d.eventually("a change that is in force", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		reply, err := d.client.Submit(ctx, control.SubmitRequest{
			CommandID: "replace-key", Author: "test", Expected: query.Revision, Changes: []configuration.Change{change}, Digest: []byte{1},
		})
		return err == nil && reply.Status == control.Accepted && reply.InForce
	})
	requestStatus := func(entry int, key string) int {
		return d.call(context.Background(), d.callers[entry], http.MethodGet, "/v1/services/"+service+"/health", "",
			map[string]string{"Authorization": "Bearer " + key}).status
	}
	is.Equal(requestStatus(0, workspaceKey), http.StatusServiceUnavailable) // its lease has run out
	is.Equal(requestStatus(1, workspaceKey), http.StatusUnauthorized)
	// Endpoints that announced themselves to the cut-off entry switch to the other one.
	d.eventually("a response of the other entry", func() bool { return requestStatus(1, newKey) == http.StatusOK })
	d.relays.heal()
	d.eventually("the return of the entry", func() bool { return requestStatus(0, newKey) == http.StatusOK })
	is.Equal(requestStatus(0, workspaceKey), http.StatusUnauthorized)
}

// awaitBooking waits until a booking through an entry succeeds, which needs the entry's lease and a commit.
func (d *deployment) awaitBooking(entry int, reference string) {
	d.t.Helper()
	d.eventually("the booking of "+reference, func() bool {
		return d.call(context.Background(), d.callers[entry], http.MethodPost, "/v1/services/"+service+"/jobs",
			`{"reference":"`+reference+`"}`, map[string]string{"Idempotency-Key": reference}).err == nil
	})
}

// voters returns the members of the control group as its leader sees them.
func (d *deployment) voters() []control.Voter {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	reply, err := d.client.Query(ctx, control.QueryRequest{Quorum: true})
	if err != nil {
		return nil
	}
	return reply.Voters
}

// awaitReachedVoters waits until all members are voters that the leader reaches, and their number is count.
func (d *deployment) awaitReachedVoters(count int) {
	d.t.Helper()
	d.eventually(fmt.Sprint("contact with ", count, " voters"), func() bool {
		reached := 0
		for _, v := range d.voters() {
			if !v.Voter || !v.Reached {
				return false
			}
			reached++
		}
		return reached == count
	})
}

// Guards against a control instance that votes under its old identity after it lost its disk, and against a
// replacement after which the loss of a second instance loses the quorum or the state.
func TestLostControlDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentSize{controls: 3, entries: 1, engines: 1, services: 1, replaceAfter: "1s"})
	d.awaitReachedVoters(3)
	leader := d.leader()
	wiped, other := (leader+1)%3, (leader+2)%3
	name := fmt.Sprint("control-", wiped)
	is.NoErr(d.stop(name))
	is.NoErr(os.RemoveAll(filepath.Join(d.directory, fmt.Sprint("data-", wiped))))
	probe := configuration.Change{Model: &configuration.Model{Name: "probe", Version: "before"}}
	d.submit(probe)

	// The remaining instance could get a quorum only with the vote of the wiped one.
	d.kill(fmt.Sprint("control-", leader))
	elections := d.elections(other)
	d.restart(name)
	end := make(chan error, 1)
	go func() { end <- d.processes[name].command.Wait() }()
	select {
	case err := <-end:
		var exit *exec.ExitError
		is.True(errors.As(err, &exit)) // it learns that its identity is lost and exits
	case <-time.After(eventTimeout):
		t.Fatal("the wiped instance keeps running under its old identity")
	}
	d.processes[name].command = nil
	is.True(strings.Contains(d.logOf(name), "start with an empty directory and a new id"))
	is.Equal(d.elections(other), elections)
	d.restart(fmt.Sprint("control-", leader))

	// The commands of docs/operators.md, "Replace an instance or disk".
	d.controls = append(d.controls, freeAddresses(t, 1)...)
	d.listens = d.controls
	d.operators = append(d.operators, freeAddresses(t, 1)...)
	d.start("control-3", "controld", d.controlSettings(3), "run")
	d.eventually("the command that adds an instance", func() bool {
		follower := d.operators[leader]
		if d.leader() == leader {
			follower = d.operators[other]
		}
		return d.pierctl(follower, "quorum", "add", "control-3", d.controls[3]) == nil
	})
	d.client = control.NewClient(control.ClientConfig{Addresses: d.controls, Caller: d.pool})
	d.awaitReachedVoters(3)
	for _, v := range d.voters() {
		is.True(v.ID != name)
	}
	lastRevision := d.submit(configuration.Change{Model: &configuration.Model{Name: "probe", Version: "repaired"}})

	currentLeader := d.leader()
	d.kill(fmt.Sprint("control-", currentLeader))
	is.NoErr(os.RemoveAll(filepath.Join(d.directory, fmt.Sprint("data-", currentLeader))))
	d.eventually("another leader", func() bool { return d.leader() != currentLeader })
	reply, err := d.client.Query(context.Background(), control.QueryRequest{Configuration: true})
	is.NoErr(err)
	is.Equal(reply.Revision, lastRevision)
	is.Equal(reply.Configuration.Models["probe"].Version, "repaired")
	d.submit(probe)
	d.awaitReady()
}

func (d *deployment) logOf(name string) string {
	data, err := os.ReadFile(filepath.Join(d.directory, name+".log"))
	is.New(d.t).NoErr(err)
	return string(data)
}

// elections counts how often a control instance became the leader.
func (d *deployment) elections(i int) int {
	return strings.Count(d.logOf(fmt.Sprint("control-", i)), `"role":"leader"`)
}

// pierctl runs an operator's command against one instance, which names the leader if it is not the leader.
func (d *deployment) pierctl(address string, arguments ...string) error {
	is := is.New(d.t)
	key, settings := filepath.Join(d.directory, "operator.key"), filepath.Join(d.directory, "pierctl.yaml")
	is.NoErr(os.WriteFile(key, []byte(operatorKey), 0o600))
	is.NoErr(os.WriteFile(settings, fmt.Appendf(nil, "addresses: [%s]\nkey-file: %s\n", address, key), 0o600))
	out, err := exec.Command(filepath.Join(binaries, "pierctl"), append([]string{"--settings", settings}, arguments...)...).CombinedOutput()
	if err != nil {
		d.t.Logf("pierctl %v: %v: %s", arguments, err, out)
	}
	return err
}
