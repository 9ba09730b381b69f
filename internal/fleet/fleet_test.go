// Package fleet tests whole deployments of real processes under kills, freezes, graceful stops, interrupted
// connections and lost disks.
package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/peer"
)

const (
	clusterKey   = "fleet-test-cluster-key"
	workspaceKey = "fleet-test-workspace-key"
	operatorKey  = "fleet-test-operator-key"
	model        = "saw-diagnosis"
	service      = "bookings"
	// eventTimeout limits how long a test waits for an expected event; no test depends on how long it takes.
	eventTimeout = 30 * time.Second
	// pollInterval is the time between two checks for an expected event.
	pollInterval = 50 * time.Millisecond
	// maxLogLines is how many log lines of each process are shown when a test fails; 15 did not reach back to
	// the failed attempt.
	maxLogLines = 80
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaries = directory
	for _, program := range []string{"controld", "entryd", "pierctl", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, program), "./"+program)
		build.Dir = filepath.Join("..", "..")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is one program of the deployment.
type process struct {
	name    string
	program []string
	command *exec.Cmd
	log     *os.File
}

// deployment is a running system of processes on loopback.
type deployment struct {
	t         testing.TB
	directory string
	processes map[string]*process
	// controls are the advertised peer addresses of the control instances, listens the addresses that they
	// listen on. They differ if relays are in between.
	controls  []string
	listens   []string
	operators []string
	relays    *relays
	callers   []string
	platforms []string
	engines   []string
	services  []string
	pool      *peer.Pool
	client    *control.Client
	commands  int
	size      deploymentSize
}

type deploymentSize struct {
	controls, entries, engines, services int
	// relayed routes the connections to the control instances through relays.
	relayed bool
	// replaceAfter is the replace-after option of controld; empty means its default.
	replaceAfter string
}

// deploy starts a deployment and waits until requests through each entry succeed.
func deploy(t testing.TB, s deploymentSize) *deployment {
	t.Helper()
	d := &deployment{t: t, directory: t.TempDir(), processes: make(map[string]*process), size: s}
	d.listens = freeAddresses(t, s.controls)
	d.controls = d.listens
	if s.relayed {
		d.relays = newRelays(t)
		d.controls = nil
		for i, address := range d.listens {
			d.controls = append(d.controls, d.relays.listen(t, fmt.Sprint("control-", i), address))
		}
	}
	t.Cleanup(d.cleanUp)
	d.operators = freeAddresses(t, s.controls)
	d.callers = freeAddresses(t, s.entries)
	d.platforms = freeAddresses(t, s.entries)
	d.engines = freeAddresses(t, s.engines)
	d.services = freeAddresses(t, s.services)
	for i := range d.controls {
		d.start(fmt.Sprint("control-", i), "controld", d.controlSettings(i), "run")
	}
	for i := range d.callers {
		d.start(fmt.Sprint("entry-", i), "entryd", d.entrySettings(i), "run")
	}
	for i := range d.engines {
		d.start(fmt.Sprint("engine-", i), "standin", d.engineSettings(i), "engine")
	}
	for i := range d.services {
		d.start(fmt.Sprint("service-", i), "standin", d.serviceSettings(i), "service")
	}
	d.pool = peer.NewPool(peer.PoolConfig{Key: clusterKey, Dial: d.dial})
	t.Cleanup(d.pool.Close)
	d.client = control.NewClient(control.ClientConfig{Addresses: d.controls, Caller: d.pool})
	d.submitInitialConfiguration()
	d.awaitReady()
	return d
}

// dial connects the test directly to the control instances, bypassing the relays.
func (d *deployment) dial(ctx context.Context, address string) (net.Conn, error) {
	if i := slices.Index(d.controls, address); i >= 0 {
		address = d.listens[i]
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
}

// usedAddresses holds all addresses that freeAddresses has returned, so that parallel tests share none.
var usedAddresses sync.Map

// The ports are below the ephemeral range of Linux (32768 and above): connections and listeners on port 0 took
// ports that freeAddresses had just released, and the process failed with "address already in use".
const (
	firstPort = 10_000
	portCount = 10_000
)

// freeAddresses returns addresses whose ports were free when it checked them.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < count {
		address := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		defer listener.Close()
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

var dataCentres = []string{"vitoria", "bilbao", "pamplona"}

func dataCentre(i int) string {
	return dataCentres[i%len(dataCentres)]
}

func yamlList(addresses []string) string {
	return "[" + strings.Join(addresses, ", ") + "]"
}

func (d *deployment) controlSettings(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: control-%d\ndata-centre: %s\ndata-directory: %s\npeer-listen: %s\nadvertise-peer: %s\noperator-listen: %s\ncluster-key: %s\nsnapshot-every: 64\n",
		i, dataCentre(i), filepath.Join(d.directory, fmt.Sprint("data-", i)), d.listens[i], d.controls[i], d.operators[i], clusterKey)
	hash := sha256.Sum256([]byte(operatorKey))
	fmt.Fprintf(&b, "operators:\n  - name: test\n    key-hash: %x\n", hash)
	if d.size.replaceAfter != "" {
		fmt.Fprintf(&b, "replace-after: %s\n", d.size.replaceAfter)
	}
	if i >= d.size.controls {
		return b.String() // added to a running quorum, not bootstrapped
	}
	b.WriteString("bootstrap:\n")
	for j, address := range d.controls {
		fmt.Fprintf(&b, "  - instance: control-%d\n    address: %s\n    operator: %s\n", j, address, d.operators[j])
	}
	return b.String()
}

func (d *deployment) entrySettings(i int) string {
	return fmt.Sprintf("instance: entry-%d\ndata-centre: %s\nregion: norte\ncaller-listen: %s\nplatform-listen: %s\npeer-listen: 127.0.0.1:0\nmetrics-listen: 127.0.0.1:0\ncluster-key: %s\ncontrol: %s\ndrain-time: 2s\nlog-level: debug\n",
		i, dataCentre(i), d.callers[i], d.platforms[i], clusterKey, yamlList(d.controls))
}

func (d *deployment) engineSettings(i int) string {
	return fmt.Sprintf("name: engine-%d\ndata-centre: %s\nregion: norte\nlisten: %s\nmodels: [%s]\nversion: v1\nmemory: 400000\nspeed: 5\ncrash-marker: CRASHES-ENGINES\nannounce-to: %s\n",
		i, dataCentre(i), d.engines[i], model, yamlList(d.platforms))
}

func (d *deployment) serviceSettings(i int) string {
	return fmt.Sprintf("name: service-%d\ndata-centre: %s\nregion: norte\nlisten: %s\nservices: [%s]\ndelay: 30ms\nannounce-to: %s\n",
		i, dataCentre(i), d.services[i], service, yamlList(d.platforms))
}

func (d *deployment) start(name, program, settings, mode string) {
	d.t.Helper()
	path := filepath.Join(d.directory, name+".yaml")
	is.New(d.t).NoErr(os.WriteFile(path, []byte(settings), 0o600))
	d.processes[name] = &process{
		name:    name,
		program: []string{filepath.Join(binaries, program), mode, "--settings", path},
	}
	d.restart(name)
}

func (d *deployment) restart(name string) {
	d.t.Helper()
	is := is.New(d.t)
	p := d.processes[name]
	var err error
	p.log, err = os.OpenFile(filepath.Join(d.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.NoErr(err)
	p.command = exec.Command(p.program[0], p.program[1:]...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	is.NoErr(p.command.Start())
}

func (d *deployment) signal(name string, signal syscall.Signal) {
	d.t.Helper()
	is.New(d.t).NoErr(d.processes[name].command.Process.Signal(signal))
}

// stop sends SIGTERM to a process and returns the error of its exit.
func (d *deployment) stop(name string) error {
	d.t.Helper()
	d.signal(name, syscall.SIGTERM)
	return d.awaitExit(name)
}

func (d *deployment) awaitExit(name string) error {
	p := d.processes[name]
	err := p.command.Wait()
	_ = p.log.Close()
	p.command = nil
	return err
}

func (d *deployment) kill(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGKILL)
	_ = d.awaitExit(name)
}

// cleanUp kills all processes and, if the test failed, prints the ends of their logs.
func (d *deployment) cleanUp() {
	for _, p := range d.processes {
		if p.command != nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
			_ = p.log.Close()
		}
	}
	if !d.t.Failed() {
		return
	}
	for name := range d.processes {
		data, _ := os.ReadFile(filepath.Join(d.directory, name+".log"))
		lines := strings.Split(string(data), "\n")
		d.t.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
	}
}

// eventually waits until the condition holds.
func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(eventTimeout); !condition(); <-ticker.C {
		if time.Now().After(deadline) {
			d.t.Fatalf("%s did not happen within %s", what, eventTimeout)
		}
	}
}

// submit commits changes on top of the latest revision and returns the new revision.
func (d *deployment) submit(changes ...configuration.Change) uint64 {
	d.t.Helper()
	d.commands++
	id := fmt.Sprint("command-", d.commands)
	var revision uint64
	d.eventually("the commit of "+id, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		query, err := d.client.Query(ctx, control.QueryRequest{})
		if err != nil {
			return false
		}
		reply, err := d.client.Submit(ctx, control.SubmitRequest{
			CommandID: id, Author: "test", Expected: query.Revision, Changes: changes, Digest: []byte(id),
		})
		revision = reply.Revision
		return err == nil && reply.Status == control.Accepted
	})
	return revision
}

// tokenPrice is the price of a prompt or completion token in micro-cents.
const tokenPrice = 1000

func (d *deployment) submitInitialConfiguration() {
	d.submit(
		d.modelWithVersion("v1"),
		configuration.Change{Service: &configuration.Service{Name: service, UnrepeatableMethods: []string{http.MethodPost}}},
		workspaceWithLimit(-1),
	)
}

// modelWithVersion returns a change that declares the callers' model with a version.
func (d *deployment) modelWithVersion(version string) configuration.Change {
	return configuration.Change{Model: &configuration.Model{
		Name: model, Version: version, Replicas: len(d.engines), MaxContext: 1_200_000,
		PromptPrice: tokenPrice, CachedPrice: tokenPrice, OutputPrice: tokenPrice,
	}}
}

// workspaceWithLimit returns a change that declares the callers' workspace with a spending limit in
// micro-cents.
func workspaceWithLimit(limit int64) configuration.Change {
	hash := sha256.Sum256([]byte(workspaceKey))
	return configuration.Change{Workspace: &configuration.Workspace{
		Name: "norte", KeyHashes: []string{hex.EncodeToString(hash[:])},
		Models: []string{model}, Services: []string{service}, SpendLimit: limit,
	}}
}

func (d *deployment) awaitReady() {
	for i := range d.callers {
		d.eventually("a response of entry "+fmt.Sprint(i), func() bool {
			return d.complete(context.Background(), d.callers[i], "ready?", 1).err == nil &&
				d.call(context.Background(), d.callers[i], http.MethodGet, "/v1/services/"+service+"/health", "", nil).err == nil
		})
	}
}

// callResult is the outcome of a call as the caller observes it.
type callResult struct {
	status  int
	outcome string
	header  http.Header
	body    string
	err     error
}

var errStatus = errors.New("status")

// call sends one request to an entry. The error is nil only for a complete response with status 200.
func (d *deployment) call(ctx context.Context, address, method, path, body string, header map[string]string) callResult {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return callResult{err: err}
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	result := callResult{status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), header: response.Header, body: string(data), err: err}
	if err == nil && result.status != http.StatusOK {
		result.err = fmt.Errorf("%w %d: %.300s", errStatus, result.status, data)
	}
	return result
}

// complete requests a streamed completion. A response without the end marker is an error.
func (d *deployment) complete(ctx context.Context, address, prompt string, maxTokens int) callResult {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	result := d.call(ctx, address, http.MethodPost, "/v1/completions", string(body), map[string]string{"X-Time-Limit": "30"})
	if result.err == nil && !strings.Contains(result.body, "data: [DONE]") {
		result.err = errors.New("the stream ended without its end marker")
	}
	return result
}

// awaitMemoryReleased waits until the engines hold no memory for requests.
func (d *deployment) awaitMemoryReleased() {
	d.t.Helper()
	client := endpoint.NewClient(endpoint.ClientConfig{Transport: &http.Transport{}})
	d.eventually("the release of all memory", func() bool {
		for i, address := range d.engines {
			if d.processes[fmt.Sprint("engine-", i)].command == nil {
				continue
			}
			holdings, err := client.List(context.Background(), address)
			if err != nil || len(holdings) > 0 {
				return false
			}
		}
		return true
	})
}

// runCounts returns how often each reference ran, summed over all services.
func (d *deployment) runCounts() map[string]int {
	total := make(map[string]int)
	for _, address := range d.services {
		result := d.call(context.Background(), address, http.MethodGet, "/platform/runs", "", nil)
		var payload struct {
			References map[string]int `json:"references"`
		}
		if result.err == nil && json.Unmarshal([]byte(result.body), &payload) == nil {
			for reference, count := range payload.References {
				total[reference] += count
			}
		}
	}
	return total
}

// leader returns the index of the control instance that leads.
func (d *deployment) leader() int {
	d.t.Helper()
	leader := -1
	d.eventually("the election of a leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		reply, err := d.client.Query(ctx, control.QueryRequest{Quorum: true})
		if err != nil {
			return false
		}
		for _, voter := range reply.Voters {
			if voter.Leader {
				_, err := fmt.Sscanf(voter.ID, "control-%d", &leader)
				return err == nil
			}
		}
		return false
	})
	return leader
}

// caller selects entries as the users' applications do: it requests the list of addresses, caches it for a
// second, and tries the next address when a connection cannot be made.
type caller struct {
	d         *deployment
	mu        sync.Mutex
	addresses []string
	fetched   time.Time
}

func (c *caller) currentAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.fetched) < time.Second {
		return c.addresses
	}
	for _, address := range append(append([]string(nil), c.addresses...), c.d.callers...) {
		result := c.d.call(context.Background(), address, http.MethodGet, "/v1/addresses", "", nil)
		var payload struct {
			Addresses []struct {
				Address string `json:"address"`
			} `json:"addresses"`
		}
		if result.err != nil || json.Unmarshal([]byte(result.body), &payload) != nil || len(payload.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, entry := range payload.Addresses {
			c.addresses = append(c.addresses, entry.Address)
		}
		c.fetched = time.Now()
		break
	}
	return c.addresses
}
