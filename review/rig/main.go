// Command rig plays the scripted cases of the review. It starts the project's programs as separate processes on
// loopback addresses, plays the servers, the clients and the operator itself, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit is the time after which a case that hangs is given up.
const limit = 115 * time.Second

// A play is one case. trouble is false for the run without the disruption. It returns whether the rule was broken.
type play func(r *recorder, s *system, trouble bool) (bool, error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD-FILE, in the root of the repository")
		os.Exit(notRun)
	}
	p, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(notRun)
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	os.Exit(run(r, p, os.Getenv("TROUBLE") != "0"))
}

func run(r *recorder, p play, trouble bool) int {
	s, err := newSystem(r)
	if err != nil {
		r.note("could not prepare: %v", err)
		return notRun
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		r.note("trouble: %v", trouble)
		isBroken, err := p(r, s, trouble)
		switch {
		case err != nil:
			r.note("the case could not run: %v", err)
			result <- notRun
		case isBroken:
			r.note("the rule was broken")
			result <- broken
		default:
			r.note("the rule held")
			result <- held
		}
	}()
	select {
	case code := <-result:
		return code
	case <-signals:
	case <-time.After(limit):
		r.note("given up after %v", limit)
	}
	return notRun
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, started: time.Now()}, err
}

func (r *recorder) now() time.Duration {
	return time.Since(r.started)
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
