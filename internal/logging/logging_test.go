package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blocked is a writer that nobody reads from until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *blocked) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), "\n")
}

// Guards against a process that stands still because nobody reads its log, and against drops that nobody
// counts.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blocked{release: make(chan struct{})}
	before := Dropped()
	logger, err := newLogger(Config{Level: "info", Program: "p", Instance: "i"}, out)
	is.NoErr(err)
	line := strings.Repeat("x", 1000)
	const lines = 3 * maxQueued / 1000
	for range lines {
		logger.Info(line)
	}
	is.True(Dropped() > before)
	close(out.release)
	// Sync waits for a bounded time only.
	for out.lines()+int(Dropped()-before) < lines {
		is.NoErr(logger.Sync())
	}
	is.Equal(out.lines()+int(Dropped()-before), lines)
}

// Guards against lines that are no JSON, out of order, or lost at the end.
func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	out := &blocked{release: make(chan struct{})}
	close(out.release)
	logger, err := newLogger(Config{Level: "info", Program: "p", Instance: "i"}, out)
	is.NoErr(err)
	logger.Debug("left out")
	for _, text := range []string{"first", "second", "third"} {
		logger.Info(text)
	}
	for out.lines() < 3 {
		is.NoErr(logger.Sync())
	}
	var messages []string
	for text := range strings.Lines(out.buffer.String()) {
		var line struct{ Msg, Program, Instance, Level string }
		is.NoErr(json.Unmarshal([]byte(text), &line))
		is.Equal(line.Program+line.Instance+line.Level, "piinfo")
		messages = append(messages, line.Msg)
	}
	is.Equal(messages, []string{"first", "second", "third"})
}
