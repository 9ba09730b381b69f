package main

import (
	"bytes"
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
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports of a machine from its first one. They are the same on all machines.
const (
	controlPort = iota
	directoryPort
	frontPort
	readyPort
	_
	internalPort
	portCount = 21
)

// machine is a machine of the deployment. It has a loopback address of its own.
type machine struct {
	name, zone, ip string
	// core machines have a disk and run the role control beside the role entry.
	core  bool
	seeds []string
	// peerIP, if set, is where a proxy listens for the peers of this machine's control process.
	peerIP string
}

// system is a deployment of the project's programs.
type system struct {
	record   *recorder
	root     string
	port     int
	machines []*machine
	commands map[string]string

	mu        sync.Mutex
	processes []*exec.Cmd
	// byRole has the last process of each machine and role.
	byRole  map[string]*exec.Cmd
	stopped bool
	client  *http.Client
	version int
}

var zones = []string{"east", "west", "north"}

// newSystem prepares a deployment of three core machines and three others, in three zones. Nothing is started.
func newSystem(r *recorder) (*system, error) {
	root, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, root: root, commands: map[string]string{}, byRole: map[string]*exec.Cmd{}, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, role := range []string{"control", "entry"} {
		if s.commands[role], err = readCommand(role); err != nil {
			return nil, err
		}
	}
	for try := 0; ; try++ {
		network := 20 + rand.IntN(200)
		s.port = 15000 + 50*rand.IntN(300)
		s.machines = nil
		for i := range 6 {
			m := &machine{zone: zones[i%3], ip: fmt.Sprintf("127.%d.0.%d", network, 10+i), core: i < 3}
			m.name = fmt.Sprintf("front-%s-%d", m.zone, 1+i/3)
			s.machines = append(s.machines, m)
		}
		if s.portsAreFree() {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	for _, m := range s.machines {
		for _, seed := range s.machines[:3] {
			m.seeds = append(m.seeds, s.address(seed, controlPort))
		}
	}
	return s, nil
}

// readCommand returns the command of a role of the deploy file.
func readCommand(role string) (string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	_, section, _ := strings.Cut(string(data), "[roles."+role+"]")
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindStringSubmatch(section)
	if match == nil {
		return "", fmt.Errorf("no command of role %s in the deploy file", role)
	}
	return match[1], nil
}

func (s *system) portsAreFree() bool {
	for _, m := range s.machines {
		for _, port := range []int{s.port, s.port + 1, s.port + 2, s.port + 3, s.port + internalPort, s.port + internalPort + 1, 9101, 9102} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *system) address(m *machine, offset int) string {
	return fmt.Sprintf("%s:%d", m.ip, s.port+offset)
}

// render fills in the placeholders of a settings template, as the platform does.
func (s *system) render(template string, m *machine, role string, first bool) (string, error) {
	data, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	text := string(data)
	text = strings.ReplaceAll(text, `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, `"`+strings.Join(m.seeds, `","`)+`"`)
	share := "0.272"
	if m.core {
		share = "0.72"
	}
	values := map[string]string{
		"nodeName": m.name, "zone": m.zone, "region": "coast", "ip": m.ip,
		"dataDir":          filepath.Join(s.root, m.name, role),
		"internalPorts.0":  fmt.Sprint(s.port + internalPort),
		"internalPorts.1":  fmt.Sprint(s.port + internalPort + 1),
		"listen.control":   s.address(m, controlPort),
		"listen.directory": s.address(m, directoryPort),
		"listen.front":     s.address(m, frontPort),
		"listen.ready":     s.address(m, readyPort),
		"bootstrap":        fmt.Sprint(first), "limits.cpuShare": share,
		"bounds.retryRatio": "0.2", "bounds.retrySlack": "230", "bounds.retryWindowS": "10", "bounds.graceS": "8",
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if role == "control" && m.peerIP != "" {
		text += fmt.Sprintf("advertise-peer: \"%s:%d\"\n", m.peerIP, s.port+internalPort)
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("placeholder without a value in %s: %.40q", template, text[i:])
	}
	return text, nil
}

// start starts the process of a role on a machine.
func (s *system) start(m *machine, role string, first bool) error {
	directory := filepath.Join(s.root, m.name, role)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	text, err := s.render("deploy/"+role+".yaml", m, role, first)
	if err != nil {
		return err
	}
	settings := filepath.Join(s.root, m.name, role+".yaml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	words := strings.Fields(s.commands[role])
	for i, word := range words {
		if word == "/etc/dandelionpier/local.json" {
			words[i] = settings
		}
	}
	log, err := os.Create(filepath.Join(s.root, m.name, role+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(words[0], words[1:]...)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return fmt.Errorf("the case has ended")
	}
	if err := process.Start(); err != nil {
		return err
	}
	s.processes = append(s.processes, process)
	s.byRole[m.name+"/"+role] = process
	s.record.note("started %s on %s at %s, process %d", role, m.name, m.ip, process.Process.Pid)
	return nil
}

// startAll starts all processes and waits until every entry is ready under a first manifest.
func (s *system) startAll(manifest manifest) error {
	for _, m := range s.machines {
		if m.core {
			if err := s.start(m, "control", true); err != nil {
				return err
			}
		}
		if err := s.start(m, "entry", true); err != nil {
			return err
		}
	}
	if err := s.declare(manifest); err != nil {
		return err
	}
	for _, m := range s.machines {
		if err := s.eventually("readiness of "+m.name, 20*time.Second, func() bool {
			return s.status("http://"+s.address(m, readyPort)+"/dandelionpier/readyz") == http.StatusOK
		}); err != nil {
			return err
		}
	}
	s.record.note("all entries are ready")
	return nil
}

func (s *system) eventually(what string, within time.Duration, condition func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", within, what)
}

func (s *system) status(url string) int {
	response, err := s.client.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// control returns the addresses at which the platform serves the role control, in random order.
func (s *system) control() []string {
	var list []string
	for _, i := range rand.Perm(3) {
		list = append(list, s.address(s.machines[i], controlPort))
	}
	return list
}

// call sends a call of the platform to one control machine after another until one acknowledges it.
func (s *system) call(method, path string, body []byte) (acknowledgedBy string, err error) {
	for _, address := range s.control() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, reqErr := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
		if reqErr != nil {
			cancel()
			return "", reqErr
		}
		request.Header.Set("Content-Type", "application/json")
		response, callErr := s.client.Do(request)
		if callErr == nil {
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				cancel()
				return address, nil
			}
			callErr = fmt.Errorf("%s answered %d %s", address, response.StatusCode, bytes.TrimSpace(text))
		}
		cancel()
		err = callErr
	}
	return "", err
}

// stop ends all processes that the case has started and removes its temporary folder.
func (s *system) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, p := range s.processes {
		_ = p.Process.Kill()
	}
	for _, p := range s.processes {
		_ = p.Wait()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.root)
		return
	}
	_ = os.RemoveAll(s.root)
}
