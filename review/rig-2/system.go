package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. They are the same on all machines.
type ports struct {
	front, ready, control, directory, controlPeer, entryPeer, behindCut int
}

// machine runs the role entry, and control if it has a disk.
type machine struct {
	name, zone, ip string
	hasDisk        bool
	system         *system
	control, entry *exec.Cmd
}

// system is a small deployment: one machine with a disk for each zone, and others without.
type system struct {
	root, directory string
	ports           ports
	// machines are those with a disk, others those without.
	machines, others []*machine
	record           *record
	// cut, if set, stands before the peer ports of the control instances.
	cut *cut
}

// metricsPorts are those of the templates in deploy/.
var metricsPorts = []int{9101, 9102}

// newSystem prepares machines in the given zones, with free ports on addresses in 127.0.0.0/8. withoutDisk is the number of
// machines without a disk in each zone.
func newSystem(root string, zones []string, withoutDisk int, r *record) (*system, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	for range 50 {
		s := &system{root: root, directory: directory, record: r}
		base := 20_000 + rand.IntN(9_000)
		s.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}
		subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		for i, zone := range zones {
			s.machines = append(s.machines, &machine{name: fmt.Sprintf("front-%s-1", zone), zone: zone, ip: fmt.Sprintf("%s.%d", subnet, i+1), hasDisk: true, system: s})
			for n := range withoutDisk {
				ip := fmt.Sprintf("%s.%d", subnet, 1+len(zones)+i*withoutDisk+n)
				s.others = append(s.others, &machine{name: fmt.Sprintf("front-%s-%d", zone, n+2), zone: zone, ip: ip, system: s})
			}
		}
		if s.portsFree() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// all returns all machines.
func (s *system) all() []*machine {
	return slices.Concat(s.machines, s.others)
}

func (s *system) portsFree() bool {
	p := s.ports
	for _, m := range s.all() {
		for _, port := range append([]int{p.front, p.ready, p.control, p.directory, p.controlPeer, p.entryPeer, p.behindCut}, metricsPorts...) {
			listener, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// start starts all processes and waits until each entry answers readiness checks.
func (s *system) start() error {
	for _, m := range s.all() {
		if s.cut != nil && m.hasDisk {
			if err := s.cut.listen(m.address(s.ports.controlPeer), m.address(s.ports.behindCut)); err != nil {
				return err
			}
		}
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

var dispatcherLine = regexp.MustCompile(`"msg":"Using a dispatcher".*"dispatcher":"([^"]*)"`)

// dispatcher returns the machine whose entry dispatches for the model service, by the logs of the others.
func (s *system) dispatcher() (*machine, error) {
	names := make(map[string]int)
	for _, m := range s.all() {
		log, err := os.ReadFile(filepath.Join(s.directory, m.name+"-entry.log"))
		if err != nil {
			return nil, err
		}
		if lines := dispatcherLine.FindAllStringSubmatch(string(log), -1); len(lines) > 0 {
			names[lines[len(lines)-1][1]]++
		}
	}
	for _, m := range s.all() {
		if names[m.name] == len(s.all()) {
			return m, nil
		}
	}
	return nil, fmt.Errorf("the entries use different dispatchers: %v", names)
}

// stop ends all processes and removes their files.
func (s *system) stop() {
	for _, m := range s.all() {
		for _, command := range []*exec.Cmd{m.control, m.entry} {
			if command != nil {
				_ = command.Process.Signal(syscall.SIGCONT)
				_ = command.Process.Kill()
				_ = command.Wait()
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.directory)
	}
}

// start starts the two processes of a machine with the commands and templates of deploy/.
func (m *machine) start(bootstrap bool) (err error) {
	if m.hasDisk {
		if m.control, err = m.run("controld", "run", "control", bootstrap); err != nil {
			return err
		}
	}
	m.entry, err = m.run("entryd", "gateway", "entry", bootstrap)
	return err
}

func (m *machine) run(program, mode, role string, bootstrap bool) (*exec.Cmd, error) {
	template, err := os.ReadFile(filepath.Join(m.system.root, "deploy", role+".yaml"))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(m.system.directory, m.name+"-"+role+".yaml")
	if err := os.WriteFile(path, []byte(m.render(string(template), bootstrap)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(m.system.directory, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(m.system.root, "target", program), mode, "--settings", path)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "DATA_CENTRES="+strings.Join(m.system.zones(), ","))
	return command, command.Start()
}

func (s *system) zones() []string {
	var zones []string
	for _, m := range s.machines {
		zones = append(zones, m.zone)
	}
	return zones
}

var seedList = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)

// render fills in the placeholders of a template as the platform does.
func (m *machine) render(template string, bootstrap bool) string {
	s := m.system
	var seeds []string
	for _, other := range s.machines {
		seeds = append(seeds, strconv.Quote(other.address(s.ports.control)))
	}
	if s.cut != nil {
		// The only line that the template lacks.
		template = strings.Replace(template, `peer-listen: "{{ip}}:{{internalPorts.0}}"`,
			fmt.Sprintf("peer-listen: %q\nadvertise-peer: %q", m.address(s.ports.behindCut), m.address(s.ports.controlPeer)), 1)
	}
	template = seedList.ReplaceAllString(template, strings.Join(seeds, ","))
	return strings.NewReplacer(
		"{{nodeName}}", m.name, "{{zone}}", m.zone, "{{region}}", "r", "{{ip}}", m.ip,
		"{{listen.front}}", m.address(s.ports.front), "{{listen.ready}}", m.address(s.ports.ready),
		"{{listen.control}}", m.address(s.ports.control), "{{listen.directory}}", m.address(s.ports.directory),
		"{{internalPorts.0}}", strconv.Itoa(s.ports.controlPeer), "{{internalPorts.1}}", strconv.Itoa(s.ports.entryPeer),
		"{{dataDir}}", filepath.Join(s.directory, "data-"+m.name), "{{bootstrap}}", strconv.FormatBool(bootstrap),
		"{{limits.cpuShare}}", m.cpuShare(), "{{bounds.retryRatio}}", "0.2", "{{bounds.retrySlack}}", "261",
		"{{bounds.retryWindowS}}", "10", "{{bounds.graceS}}", "8",
	).Replace(template)
}

// cpuShare is that of the machines of palmclimb-tx.
func (m *machine) cpuShare() string {
	if m.hasDisk {
		return "0.72"
	}
	return "0.272"
}

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(port))
}

// freeze stops both processes of the machine, as when it stands still. thaw continues them.
func (m *machine) freeze() {
	m.system.record.printf("%s stands still", m.name)
	for _, command := range []*exec.Cmd{m.control, m.entry} {
		_ = command.Process.Signal(syscall.SIGSTOP)
	}
}

func (m *machine) thaw() {
	m.system.record.printf("%s goes on", m.name)
	for _, command := range []*exec.Cmd{m.control, m.entry} {
		_ = command.Process.Signal(syscall.SIGCONT)
	}
}

// leads reports whether the control instance says in its metrics that it leads.
func (m *machine) leads() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(metricsPorts[0])+"/metrics", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return regexp.MustCompile(`(?m)^control_leader 1$`).Match(text)
}

// follower returns a machine whose control instance does not lead, and the others.
func (s *system) follower() (follower *machine, others []*machine, err error) {
	for range 100 {
		followers, leaders := []*machine(nil), []*machine(nil)
		for _, m := range s.machines {
			if m.leads() {
				leaders = append(leaders, m)
			} else {
				followers = append(followers, m)
			}
		}
		if len(leaders) == 1 {
			return followers[0], append(followers[1:], leaders...), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, nil, fmt.Errorf("no control instance leads")
}

// awaitReady waits until all entries say that they are ready.
func (s *system) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range s.all() {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(m.system.ports.ready) + "/dandelionpier/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	out     io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
