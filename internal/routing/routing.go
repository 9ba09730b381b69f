// Package routing holds the declared routes: which service handles the requests of a host and path, for which workspaces,
// and within which limits. A declaration is replaced as a whole under a new version.
package routing

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

// Invalid means that a declaration contradicts itself and must not be accepted.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RetryPolicy says whether a request may be sent again after an attempt.
type RetryPolicy string

const (
	// Idempotent requests may run more than once.
	Idempotent RetryPolicy = "idempotent"
	// Once marks requests that run at most once.
	Once RetryPolicy = "once"
	// Resumable streams may continue at another endpoint after the last event that was delivered.
	Resumable RetryPolicy = "resumable"
)

// Retryable reports whether a request may be sent to a second endpoint after it has reached a first one.
func (r RetryPolicy) Retryable() bool {
	return r != Once
}

// Target is a service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix      string
	RetryPolicy RetryPolicy
	// Stream says that the response is a stream of events.
	Stream bool
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the response, or to its first event, that the service-level objective asks for.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that meets the objective.
	MaxPause time.Duration
	// Priority is the rank of the requests; 0 is served first.
	Priority int
	Targets  []Target
	// Attempts is the maximum number of endpoints that one request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to one endpoint, of all callers together.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold endpoint tolerates, of all callers together; 0 means any.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer of the deployment.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over that of a route.
	Priority int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
