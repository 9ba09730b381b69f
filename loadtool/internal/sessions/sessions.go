// Package sessions measures the load that the sessions of many entries put on the control instances,
// and the time until a change is in force. It keeps real sessions over TCP open, without the rest of
// an entry.
package sessions

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/session"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Result is the result of the measurement with one number of sessions.
type Result struct {
	Sessions int `json:"sessions"`
	// Seconds is the measured time, Changes the changes made in it.
	Seconds float64 `json:"seconds"`
	Changes int     `json:"changes"`
	// BytesPerSecond is the number of bytes that one session sends and receives per second.
	BytesPerSecond float64 `json:"bytes-per-second"`
	// InForceP50, InForceP99 and InForceMax are quantiles of the time from the submission of a change until it
	// is in force, in milliseconds.
	InForceP50 float64 `json:"in-force-p50-ms"`
	InForceP99 float64 `json:"in-force-p99-ms"`
	InForceMax float64 `json:"in-force-max-ms"`
	// ControlCPU is the processor time of all control instances as a share of one core, and
	// ControlMemory the largest resident memory of one of them in bytes.
	ControlCPU    float64 `json:"control-cpu"`
	ControlMemory float64 `json:"control-memory-bytes"`
	// SessionCPU is the processor time that one session costs its entry, as a share of one core.
	SessionCPU float64 `json:"session-cpu"`
	// Expired counts how often a session had no lease. All sessions are checked after each change.
	Expired int `json:"expired"`
}

// Command returns the sessions command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "sessions",
		Usage: "measure the cost of sessions and the time until a change is in force",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Usage: "peer addresses of the control instances, separated by commas", Required: true},
			&cli.StringFlag{Name: "metrics", Usage: "metrics addresses of the control instances, separated by commas"},
			&cli.StringFlag{Name: "cluster-key", Usage: "`KEY` that the processes of the deployment share", Required: true},
			&cli.StringFlag{Name: "counts", Value: "16,64,256,380", Usage: "numbers of sessions"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "measured time for each number"},
			&cli.DurationFlag{Name: "change-every", Value: 500 * time.Millisecond, Usage: "time between two changes of the configuration"},
			&cli.IntFlag{Name: "workspaces", Usage: "workspaces to declare before the measurement"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	m := measurement{
		control:        strings.Split(c.String("control"), ","),
		key:            c.String("cluster-key"),
		duration:       c.Duration("duration"),
		changeInterval: c.Duration("change-every"),
	}
	if c.String("metrics") != "" {
		m.metrics = strings.Split(c.String("metrics"), ",")
	}
	if err := m.declareWorkspaces(ctx, c.Int("workspaces")); err != nil {
		return err
	}
	for _, text := range strings.Split(c.String("counts"), ",") {
		count, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("parse --counts: %w", err)
		}
		result, err := m.measure(ctx, count)
		if err != nil {
			return err
		}
		line, err := json.Marshal(result)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.Root().Writer, string(line))
	}
	return nil
}

type measurement struct {
	control        []string
	metrics        []string
	key            string
	duration       time.Duration
	changeInterval time.Duration
	// commands counts the submitted commands; it makes their ids unique.
	commands int
}

// countingConn adds the bytes read and written to a counter that all sessions share.
type countingConn struct {
	net.Conn
	transferredBytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferredBytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferredBytes.Add(int64(n))
	return n, err
}

func (m *measurement) client(transferredBytes *atomic.Int64) (*control.Client, *peer.Pool) {
	var dialer net.Dialer
	pool := peer.NewPool(peer.PoolConfig{
		Key: m.key,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			return countingConn{conn, transferredBytes}, err
		},
	})
	return control.NewClient(control.ClientConfig{Addresses: m.control, Caller: pool}), pool
}

// workspacesPerCommand keeps each command below the maximum command size of the log.
const workspacesPerCommand = 500

func (m *measurement) declareWorkspaces(ctx context.Context, workspaces int) error {
	client, pool := m.client(new(atomic.Int64))
	defer pool.Close()
	var changes []configuration.Change
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		changes = append(changes, configuration.Change{Workspace: &configuration.Workspace{
			Name:       name,
			KeyHashes:  []string{fmt.Sprintf("%064d", i)},
			SpendLimit: 1_000_000_000,
		}})
		if len(changes) == workspacesPerCommand || i == workspaces-1 {
			if _, err := m.submit(ctx, client, changes); err != nil {
				return err
			}
			changes = nil
		}
	}
	return nil
}

func (m *measurement) submit(ctx context.Context, client *control.Client, changes []configuration.Change) (time.Duration, error) {
	query, err := client.Query(ctx, control.QueryRequest{})
	if err != nil {
		return 0, err
	}
	m.commands++
	started := time.Now()
	reply, err := client.Submit(ctx, control.SubmitRequest{
		CommandID: fmt.Sprintf("measurement-%d-%d", started.UnixNano(), m.commands),
		Author:    "loadtool",
		Expected:  query.Revision,
		Changes:   changes,
	})
	if err != nil {
		return 0, err
	}
	if reply.Status != control.Accepted || !reply.InForce {
		return 0, fmt.Errorf("change at revision %d: %s, in force %t: %s", query.Revision, reply.Status, reply.InForce, reply.Message)
	}
	return time.Since(started), nil
}

// settleTime gives the sessions time to start before the measurement, and a new leader time to wait out
// one lease.
const settleTime = 5 * time.Second

func (m *measurement) measure(ctx context.Context, count int) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var transferredBytes atomic.Int64
	var stopped []<-chan error
	var sessionClients []*session.Client
	for i := range count {
		client, pool := m.client(&transferredBytes)
		defer pool.Close()
		sessionClient := session.NewClient(session.ClientConfig{
			Member: session.Member{
				Instance:    fmt.Sprintf("entry-%d", i),
				DataCentre:  fmt.Sprintf("data-centre-%d", i%8),
				Region:      fmt.Sprintf("region-%d", i%3),
				Caller:      "127.0.0.1:10000",
				Platform:    "127.0.0.1:10001",
				Peer:        "127.0.0.1:10002",
				Incarnation: "a",
			},
			Leader: client,
			Logger: zap.NewNop(),
		})
		sessionClients = append(sessionClients, sessionClient)
		stopped = append(stopped, task.Start(ctx, sessionClient.Run))
	}
	task.Pause(ctx, settleTime)
	result, err := m.observe(ctx, count, &transferredBytes, sessionClients)
	cancel()
	for _, end := range stopped {
		<-end
	}
	return result, err
}

func (m *measurement) observe(ctx context.Context, count int, transferredBytes *atomic.Int64, sessionClients []*session.Client) (Result, error) {
	client, pool := m.client(new(atomic.Int64))
	defer pool.Close()
	result := Result{Sessions: count}
	cpuBefore, _ := m.controlUsage(ctx)
	ownCPUBefore := processCPU()
	transferredBytes.Store(0)
	started := time.Now()
	var inForceTimes []float64
	for time.Since(started) < m.duration {
		next := time.Now().Add(m.changeInterval)
		elapsed, err := m.submit(ctx, client, []configuration.Change{
			{Model: &configuration.Model{Name: "measured", Replicas: m.commands}},
		})
		if err != nil {
			return result, err
		}
		inForceTimes = append(inForceTimes, float64(elapsed)/float64(time.Millisecond))
		for _, sessionClient := range sessionClients {
			if _, err := sessionClient.View(); err != nil {
				result.Expired++
			}
		}
		task.Pause(ctx, time.Until(next))
	}
	result.Seconds = time.Since(started).Seconds()
	result.Changes = len(inForceTimes)
	result.BytesPerSecond = float64(transferredBytes.Load()) / result.Seconds / float64(count)
	result.SessionCPU = (processCPU() - ownCPUBefore) / result.Seconds / float64(count)
	cpuAfter, memory := m.controlUsage(ctx)
	result.ControlCPU = (cpuAfter - cpuBefore) / result.Seconds
	result.ControlMemory = memory
	slices.Sort(inForceTimes)
	result.InForceP50 = quantile(inForceTimes, 0.5)
	result.InForceP99 = quantile(inForceTimes, 0.99)
	result.InForceMax = quantile(inForceTimes, 1)
	return result, nil
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// controlUsage returns the processor time of all control instances in seconds and the largest memory in bytes.
func (m *measurement) controlUsage(ctx context.Context) (cpu, memory float64) {
	for _, address := range m.metrics {
		text, err := fetch(ctx, "http://"+address+"/metrics")
		if err != nil {
			continue
		}
		cpu += metricValue(text, "process_cpu_milliseconds") / 1000
		memory = max(memory, metricValue(text, "process_max_resident_bytes"))
	}
	return cpu, memory
}

func fetch(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func metricValue(text, name string) float64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return 0
}

func processCPU() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}
