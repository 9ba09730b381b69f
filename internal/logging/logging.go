// Package logging builds the logger of each program, which writes JSON lines.
package logging

import (
	"io"
	"os"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Field names shared by all programs.
const (
	RequestID = "request-id"
	AttemptID = "attempt-id"
	Workspace = "workspace"
	Endpoint  = "endpoint"
	Instance  = "instance"
)

// Config configures a logger.
type Config struct {
	// Level is debug, info, warn or error.
	Level string
	// Program and Instance are added to each line.
	Program  string
	Instance string
}

// dropped counts the log lines of this process that were not written.
var dropped atomic.Int64

// Dropped returns the number of log lines of this process that were dropped because the output was not read
// fast enough.
func Dropped() int64 {
	return dropped.Load()
}

// New returns a logger that writes JSON lines to standard output and never blocks. It returns an error for
// an unknown level.
func New(config Config) (*zap.Logger, error) {
	return newLogger(config, os.Stdout)
}

func newLogger(config Config, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return nil, err
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), newQueue(out, &dropped), level)
	logger := zap.New(core, zap.AddCaller())
	return logger.With(zap.String("program", config.Program), zap.String(Instance, config.Instance)), nil
}
