package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter is a writer whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *blockedWriter) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), "\n")
}

// Guards against a process that blocks because its log is not read, and against dropped lines that are not
// counted.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	before := Dropped()
	logger, err := newLogger(Config{Level: "info", Program: "p", Instance: "i"}, out)
	is.NoErr(err)
	line := strings.Repeat("x", 1000)
	const lines = 3 * maxPendingBytes / 1000
	for range lines {
		logger.Info(line)
	}
	is.True(Dropped() > before)
	close(out.release)
	// Sync waits for flushTimeout at most.
	for out.lines()+int(Dropped()-before) < lines {
		is.NoErr(logger.Sync())
	}
	is.Equal(out.lines()+int(Dropped()-before), lines)
}

// Guards against lines that are not JSON, out of order, or lost at the end.
func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
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
