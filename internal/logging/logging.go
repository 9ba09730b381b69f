// Package logging builds the JSON-line logger of each program.
package logging

import (
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

// Config sets up a logger.
type Config struct {
	// Level is debug, info, warn or error.
	Level string
	// Program and Instance are added to each line.
	Program  string
	Instance string
}

// New returns a logger that writes JSON lines to standard error. An unknown level is an error.
func New(config Config) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(level)
	c.Sampling = nil
	c.DisableStacktrace = true
	c.EncoderConfig.TimeKey = "time"
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.OutputPaths = []string{"stderr"}
	logger, err := c.Build()
	if err != nil {
		return nil, err
	}
	return logger.With(zap.String("program", config.Program), zap.String(Instance, config.Instance)), nil
}
