// Package fleet tests whole deployments as processes: kills, freezes, graceful stops, cut connections
// and lost disks.
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
	// patience bounds waits for what must happen; no test depends on how long it takes.
	patience = 30 * time.Second
	// poll is the pause between two looks at something that must happen.
	poll = 50 * time.Millisecond
	// maxLogLines of each process are shown when a test fails; the last 15 lacked the failed attempt.
	maxLogLines = 80
)

// binaries is the folder of the programs under test.
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

// deployment is a running fleet on loopback.
type deployment struct {
	t         testing.TB
	directory string
	processes map[string]*process
	// controls are the peer addresses of the control instances, listens those on which they listen.
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
	size      size
}

type size struct {
	controls, entries, engines, services int
	// relayed sends the connections to the control instances through relays.
	relayed bool
	// replaceAfter is the option of controld, if set.
	replaceAfter string
}

// deploy starts a deployment and waits until a request is answered.
func deploy(t testing.TB, s size) *deployment {
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
	t.Cleanup(d.kill)
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
	d.declare()
	d.awaitReady()
	return d
}

// dial connects the test directly to the control instances, past the relays.
func (d *deployment) dial(ctx context.Context, address string) (net.Conn, error) {
	if i := slices.Index(d.controls, address); i >= 0 {
		address = d.listens[i]
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
}

// taken holds all addresses that freeAddresses has returned, so that parallel tests share none.
var taken sync.Map

// Ports below those that Linux gives to connections and to listeners on port 0 (32768 and above): those
// took ports that freeAddresses had just released, and the process ended with "address already in use".
const (
	firstPort = 10_000
	portCount = 10_000
)

// freeAddresses returns addresses whose ports were free a moment ago.
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
		if _, used := taken.LoadOrStore(address, true); !used {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

var centres = []string{"vitoria", "bilbao", "pamplona"}

func centre(i int) string {
	return centres[i%len(centres)]
}

func list(addresses []string) string {
	return "[" + strings.Join(addresses, ", ") + "]"
}

func (d *deployment) controlSettings(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: control-%d\ndata-centre: %s\ndata-directory: %s\npeer-listen: %s\nadvertise-peer: %s\noperator-listen: %s\ncluster-key: %s\nsnapshot-every: 64\n",
		i, centre(i), filepath.Join(d.directory, fmt.Sprint("data-", i)), d.listens[i], d.controls[i], d.operators[i], clusterKey)
	hash := sha256.Sum256([]byte(operatorKey))
	fmt.Fprintf(&b, "operators:\n  - name: test\n    key-hash: %x\n", hash)
	if d.size.replaceAfter != "" {
		fmt.Fprintf(&b, "replace-after: %s\n", d.size.replaceAfter)
	}
	if i >= d.size.controls {
		return b.String() // added later
	}
	b.WriteString("bootstrap:\n")
	for j, address := range d.controls {
		fmt.Fprintf(&b, "  - instance: control-%d\n    address: %s\n    operator: %s\n", j, address, d.operators[j])
	}
	return b.String()
}

func (d *deployment) entrySettings(i int) string {
	return fmt.Sprintf("instance: entry-%d\ndata-centre: %s\nregion: norte\ncaller-listen: %s\nplatform-listen: %s\npeer-listen: 127.0.0.1:0\nmetrics-listen: 127.0.0.1:0\ncluster-key: %s\ncontrol: %s\ndrain-time: 2s\nlog-level: debug\n",
		i, centre(i), d.callers[i], d.platforms[i], clusterKey, list(d.controls))
}

func (d *deployment) engineSettings(i int) string {
	return fmt.Sprintf("name: engine-%d\ndata-centre: %s\nregion: norte\nlisten: %s\nmodels: [%s]\nversion: v1\nmemory: 400000\nspeed: 5\ncrash-marker: CRASHES-ENGINES\nannounce-to: %s\n",
		i, centre(i), d.engines[i], model, list(d.platforms))
}

func (d *deployment) serviceSettings(i int) string {
	return fmt.Sprintf("name: service-%d\ndata-centre: %s\nregion: norte\nlisten: %s\nservices: [%s]\ndelay: 30ms\nannounce-to: %s\n",
		i, centre(i), d.services[i], service, list(d.platforms))
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

// stop ends a process gracefully and returns the error of its exit.
func (d *deployment) stop(name string) error {
	d.t.Helper()
	d.signal(name, syscall.SIGTERM)
	return d.wait(name)
}

func (d *deployment) wait(name string) error {
	p := d.processes[name]
	err := p.command.Wait()
	_ = p.log.Close()
	p.command = nil
	return err
}

func (d *deployment) killOne(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGKILL)
	_ = d.wait(name)
}

func (d *deployment) kill() {
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
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for deadline := time.Now().Add(patience); !condition(); <-ticker.C {
		if time.Now().After(deadline) {
			d.t.Fatalf("%s did not happen within %s", what, patience)
		}
	}
}

// submit commits changes at the newest revision and returns the new one.
func (d *deployment) submit(changes ...configuration.Change) uint64 {
	d.t.Helper()
	d.commands++
	id := fmt.Sprint("command-", d.commands)
	var revision uint64
	d.eventually("the commit of "+id, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// tokenPrice is in micro-cents, for prompt and completion alike.
const tokenPrice = 1000

func (d *deployment) declare() {
	d.submit(
		d.modelAt("v1"),
		configuration.Change{Service: &configuration.Service{Name: service, UnrepeatableMethods: []string{http.MethodPost}}},
		workspaceWithLimit(-1),
	)
}

// modelAt declares the callers' model with a version.
func (d *deployment) modelAt(version string) configuration.Change {
	return configuration.Change{Model: &configuration.Model{
		Name: model, Version: version, Replicas: len(d.engines), MaxContext: 1_200_000,
		PromptPrice: tokenPrice, CachedPrice: tokenPrice, OutputPrice: tokenPrice,
	}}
}

// workspaceWithLimit declares the callers' workspace with a spending limit in micro-cents.
func workspaceWithLimit(limit int64) configuration.Change {
	hash := sha256.Sum256([]byte(workspaceKey))
	return configuration.Change{Workspace: &configuration.Workspace{
		Name: "norte", KeyHashes: []string{hex.EncodeToString(hash[:])},
		Models: []string{model}, Services: []string{service}, SpendLimit: limit,
	}}
}

func (d *deployment) awaitReady() {
	for i := range d.callers {
		d.eventually("an answer of entry "+fmt.Sprint(i), func() bool {
			return d.complete(context.Background(), d.callers[i], "ready?", 1).err == nil &&
				d.call(context.Background(), d.callers[i], http.MethodGet, "/v1/services/"+service+"/health", "", nil).err == nil
		})
	}
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	header  http.Header
	body    string
	err     error
}

var errStatus = errors.New("status")

// call sends one request to an entry. The error is nil only for a whole answer with status 200.
func (d *deployment) call(ctx context.Context, address, method, path, body string, header map[string]string) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), header: response.Header, body: string(data), err: err}
	if err == nil && a.status != http.StatusOK {
		a.err = fmt.Errorf("%w %d: %.300s", errStatus, a.status, data)
	}
	return a
}

// complete asks for a streamed completion. An answer without the end marker is an error.
func (d *deployment) complete(ctx context.Context, address, prompt string, maxTokens int) answer {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	a := d.call(ctx, address, http.MethodPost, "/v1/completions", string(body), map[string]string{"X-Time-Limit": "30"})
	if a.err == nil && !strings.Contains(a.body, "data: [DONE]") {
		a.err = errors.New("the stream ended without its end marker")
	}
	return a
}

// awaitMemory waits until the engines hold no memory for requests.
func (d *deployment) awaitMemory() {
	d.t.Helper()
	client := endpoint.NewClient(endpoint.ClientConfig{Transport: &http.Transport{}})
	d.eventually("the return of all memory", func() bool {
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

// runs returns how often each reference ran, over all services.
func (d *deployment) runs() map[string]int {
	total := make(map[string]int)
	for _, address := range d.services {
		a := d.call(context.Background(), address, http.MethodGet, "/platform/runs", "", nil)
		var answer struct {
			References map[string]int `json:"references"`
		}
		if a.err == nil && json.Unmarshal([]byte(a.body), &answer) == nil {
			for reference, count := range answer.References {
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

// caller follows address answers as the users' applications do: it asks for addresses, keeps the
// answer for a second, and takes the next address when a connection cannot be made.
type caller struct {
	d         *deployment
	mu        sync.Mutex
	addresses []string
	asked     time.Time
}

func (c *caller) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.asked) < time.Second {
		return c.addresses
	}
	for _, address := range append(append([]string(nil), c.addresses...), c.d.callers...) {
		a := c.d.call(context.Background(), address, http.MethodGet, "/v1/addresses", "", nil)
		var answer struct {
			Addresses []struct {
				Address string `json:"address"`
			} `json:"addresses"`
		}
		if a.err != nil || json.Unmarshal([]byte(a.body), &answer) != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, entry := range answer.Addresses {
			c.addresses = append(c.addresses, entry.Address)
		}
		c.asked = time.Now()
		break
	}
	return c.addresses
}
