// Package sessions measures what the sessions of many entries cost the control instances and how
// long a change takes until it is in force. It holds real sessions over TCP, without the rest of an
// entry.
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

// Result is one measurement.
type Result struct {
	Sessions int `json:"sessions"`
	// Seconds is the measured time, Changes the changes made in it.
	Seconds float64 `json:"seconds"`
	Changes int     `json:"changes"`
	// BytesPerSecond is what one session sends and receives.
	BytesPerSecond float64 `json:"bytes-per-second"`
	// InForce are quantiles of the time from submission until in force, in milliseconds.
	InForceP50 float64 `json:"in-force-p50-ms"`
	InForceP99 float64 `json:"in-force-p99-ms"`
	InForceMax float64 `json:"in-force-max-ms"`
	// ControlCPU is the processor time of all control instances as a share of one core, and
	// ControlMemory the largest resident memory of one of them in bytes.
	ControlCPU    float64 `json:"control-cpu"`
	ControlMemory float64 `json:"control-memory-bytes"`
	// SessionCPU is the processor time of one session on the side of the entry, as a share of a core.
	SessionCPU float64 `json:"session-cpu"`
	// Expired is how often a session was found without a lease.
	Expired int `json:"expired"`
}

// Command returns the command of the command line.
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
		control:  strings.Split(c.String("control"), ","),
		key:      c.String("cluster-key"),
		duration: c.Duration("duration"),
		every:    c.Duration("change-every"),
	}
	if c.String("metrics") != "" {
		m.metrics = strings.Split(c.String("metrics"), ",")
	}
	if err := m.declare(ctx, c.Int("workspaces")); err != nil {
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
	control  []string
	metrics  []string
	key      string
	duration time.Duration
	every    time.Duration
	command  int
}

// countingConn counts the bytes of all sessions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (m *measurement) client(bytes *atomic.Int64) (*control.Client, *peer.Pool) {
	var dialer net.Dialer
	pool := peer.NewPool(peer.PoolConfig{
		Key: m.key,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			return countingConn{conn, bytes}, err
		},
	})
	return control.NewClient(control.ClientConfig{Addresses: m.control, Caller: pool}), pool
}

// workspacesPerCommand keeps a transaction below the largest command of the log.
const workspacesPerCommand = 500

func (m *measurement) declare(ctx context.Context, workspaces int) error {
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
	m.command++
	started := time.Now()
	reply, err := client.Submit(ctx, control.SubmitRequest{
		CommandID: fmt.Sprintf("measurement-%d-%d", started.UnixNano(), m.command),
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

// settleTime lets the sessions start before the measurement, and a new leader wait its lease.
const settleTime = 5 * time.Second

func (m *measurement) measure(ctx context.Context, count int) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var bytes atomic.Int64
	var ends []<-chan error
	var keepers []*session.Client
	for i := range count {
		client, pool := m.client(&bytes)
		defer pool.Close()
		keeper := session.NewClient(session.ClientConfig{
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
		keepers = append(keepers, keeper)
		ends = append(ends, task.Start(ctx, keeper.Run))
	}
	task.Pause(ctx, settleTime)
	result, err := m.observe(ctx, count, &bytes, keepers)
	cancel()
	for _, end := range ends {
		<-end
	}
	return result, err
}

func (m *measurement) observe(ctx context.Context, count int, bytes *atomic.Int64, keepers []*session.Client) (Result, error) {
	client, pool := m.client(new(atomic.Int64))
	defer pool.Close()
	result := Result{Sessions: count}
	cpu, _ := m.usage(ctx)
	ownCPU := processCPU()
	bytes.Store(0)
	started := time.Now()
	var times []float64
	for time.Since(started) < m.duration {
		next := time.Now().Add(m.every)
		elapsed, err := m.submit(ctx, client, []configuration.Change{
			{Model: &configuration.Model{Name: "measured", Replicas: m.command}},
		})
		if err != nil {
			return result, err
		}
		times = append(times, float64(elapsed)/float64(time.Millisecond))
		for _, keeper := range keepers {
			if _, err := keeper.View(); err != nil {
				result.Expired++
			}
		}
		task.Pause(ctx, time.Until(next))
	}
	result.Seconds = time.Since(started).Seconds()
	result.Changes = len(times)
	result.BytesPerSecond = float64(bytes.Load()) / result.Seconds / float64(count)
	result.SessionCPU = (processCPU() - ownCPU) / result.Seconds / float64(count)
	after, memory := m.usage(ctx)
	result.ControlCPU = (after - cpu) / result.Seconds
	result.ControlMemory = memory
	slices.Sort(times)
	result.InForceP50 = quantile(times, 0.5)
	result.InForceP99 = quantile(times, 0.99)
	result.InForceMax = quantile(times, 1)
	return result, nil
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// usage returns the processor time of all control instances in seconds and the largest memory in bytes.
func (m *measurement) usage(ctx context.Context) (cpu, memory float64) {
	for _, address := range m.metrics {
		text, err := fetch(ctx, "http://"+address+"/metrics")
		if err != nil {
			continue
		}
		cpu += value(text, "process_cpu_milliseconds") / 1000
		memory = max(memory, value(text, "process_max_resident_bytes"))
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

func value(text, name string) float64 {
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
