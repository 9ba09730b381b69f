// Package exchange holds the state of a caller's request while it is served.
package exchange

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Exchange is one request of a caller and its response. It is used by one goroutine.
type Exchange struct {
	RequestID string
	Start     time.Time
	// Deadline is Start plus the time limit.
	Deadline time.Time
	// View is the session's view at the time of admission.
	View      session.View
	Workspace configuration.Workspace
	// KeyHash is the hexadecimal SHA-256 of the caller's key. It is not logged.
	KeyHash string
	// Keyed means that the request carries an idempotency key, KeyUnused that the control quorum knows of no
	// earlier request with that key.
	Keyed     bool
	KeyUnused bool

	// BodyRead means that the request body has been read to its end.
	BodyRead bool

	// The fields below are for the access log and the metrics.

	Attempts     []string
	Endpoint     string
	Model        string
	Service      string
	PromptTokens int
	OutputTokens int
	CachedTokens int
	// FirstToken is the time to the first byte of the response; 0 when there was none.
	FirstToken time.Duration
	// Committed means that the status line of the response has been written.
	Committed bool
	Status    int
	Outcome   string
	Code      string
}

// LogFields returns the fields of the request's line in the access log.
func (x *Exchange) LogFields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.String(logging.RequestID, x.RequestID),
		zap.Strings(logging.AttemptID, x.Attempts),
		zap.String(logging.Workspace, x.Workspace.Name),
		zap.String(logging.Endpoint, x.Endpoint),
		zap.String("model", x.Model),
		zap.String("service", x.Service),
		zap.Int("prompt-tokens", x.PromptTokens),
		zap.Int("cached-tokens", x.CachedTokens),
		zap.Int("output-tokens", x.OutputTokens),
		zap.Duration("time-to-first-token", x.FirstToken),
		zap.Duration("elapsed", now.Sub(x.Start)),
		zap.Int("status", x.Status),
		zap.String("outcome", x.Outcome),
		zap.String("code", x.Code),
	}
}
