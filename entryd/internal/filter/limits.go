package filter

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// BodyLimit refuses request bodies larger than limit bytes.
func BodyLimit(limit int64) Filter {
	return func(next Handler) Handler {
		return func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
			if r.ContentLength > limit {
				return refusal.New(http.StatusRequestEntityTooLarge, "body-too-large", refusal.DidNotRun,
					"The body has %d bytes; at most %d are allowed.", r.ContentLength, limit)
			}
			r.Body = http.MaxBytesReader(w, r.Body, limit)
			return next(w, r, x)
		}
	}
}

// TimeLimitHeader carries the caller's time limit in seconds.
const TimeLimitHeader = "X-Time-Limit"

// writeGrace is how long after the time limit an error can still be written to the caller.
const writeGrace = 500 * time.Millisecond

// TimeLimit sets the deadline of the request from TimeLimitHeader, or from the default.
func TimeLimit(defaultLimit, maxLimit time.Duration) Filter {
	return func(next Handler) Handler {
		return func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
			limit, err := parseTimeLimit(r.Header.Values(TimeLimitHeader), defaultLimit, maxLimit)
			if err != nil {
				return err
			}
			x.Deadline = x.Start.Add(limit)
			ctx, cancel := context.WithDeadline(r.Context(), x.Deadline)
			defer cancel()
			// A caller that does not read the response must not hold the request beyond its time limit.
			_ = http.NewResponseController(w).SetWriteDeadline(x.Deadline.Add(writeGrace))
			return next(w, r.WithContext(ctx), x)
		}
	}
}

func parseTimeLimit(values []string, defaultLimit, maxLimit time.Duration) (time.Duration, error) {
	if len(values) == 0 {
		return defaultLimit, nil
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	valid := err == nil && len(values) == 1 && !math.IsNaN(seconds) && seconds > 0 && seconds <= maxLimit.Seconds()
	if !valid {
		return 0, refusal.New(http.StatusBadRequest, "invalid-time-limit", refusal.DidNotRun,
			"The header %s must be a number of seconds above 0 and at most %v.", TimeLimitHeader, maxLimit.Seconds()).WithParam(TimeLimitHeader)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Limiter enforces the request rates of workspaces. quota.Limiter implements it.
type Limiter interface {
	Admit(ctx context.Context, view session.View, workspace string, limit float64) bool
}

// RateLimit enforces the configured request rate of each workspace.
func RateLimit(limiter Limiter) Filter {
	return func(next Handler) Handler {
		return func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
			limit := x.Workspace.RequestRate
			if limit > 0 && !limiter.Admit(r.Context(), x.View, x.Workspace.Name, limit) {
				return refusal.New(http.StatusTooManyRequests, "rate-limit", refusal.DidNotRun,
					"The workspace may send %g requests a second.", limit).WithRetryAfter(time.Second)
			}
			return next(w, r, x)
		}
	}
}

// InFlightLimit limits the concurrent requests of each workspace, as configured, and of the whole entry.
func InFlightLimit(maxTotal int) Filter {
	var mu sync.Mutex
	total := 0
	counts := make(map[string]int)
	return func(next Handler) Handler {
		return func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
			name, limit := x.Workspace.Name, x.Workspace.MaxInFlight
			mu.Lock()
			switch {
			case limit > 0 && counts[name] >= limit:
				mu.Unlock()
				return refusal.New(http.StatusTooManyRequests, "in-flight-limit", refusal.DidNotRun,
					"The workspace may have %d requests in flight at this entry.", limit).WithRetryAfter(time.Second)
			case total >= maxTotal:
				mu.Unlock()
				return refusal.New(http.StatusServiceUnavailable, "overloaded", refusal.DidNotRun,
					"The entry has %d requests in flight and takes no more.", total).WithRetryAfter(time.Second)
			}
			total++
			counts[name]++
			mu.Unlock()
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				total--
				if counts[name]--; counts[name] == 0 {
					delete(counts, name)
				}
			}()
			return next(w, r, x)
		}
	}
}
