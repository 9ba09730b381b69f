// Package explanation tells from log files what happened to one request. It reads lines of any number of processes, in
// any order and with clocks that differ, and makes no calls.
package explanation

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Unreadable means that a log file cannot be read.
	Unreadable Kind = "unreadable"
	// Unknown means that no line concerns the request.
	Unknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Line is one line of a log, as far as explanations need it.
type Line struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Message   string    `json:"msg"`
	RequestID string    `json:"request-id"`
	AttemptID string    `json:"attempt-id"`
	Endpoint  string    `json:"endpoint"`
	// After is the time since the arrival of the request, Took since an attempt was sent, Expected what its
	// dispatcher foresaw, LongestPause that between two events. All are in seconds.
	After        float64  `json:"after"`
	Took         float64  `json:"took"`
	Expected     float64  `json:"expected"`
	LongestPause float64  `json:"longest-pause"`
	RetryAfter   float64  `json:"retry-after"`
	Status       int      `json:"-"`
	Decision     string   `json:"-"`
	Reason       string   `json:"reason"`
	Error        string   `json:"error"`
	Declaration  uint64   `json:"declaration"`
	Sent         int      `json:"sent"`
	Events       int      `json:"events"`
	Prompt       int      `json:"prompt"`
	Helpers      int      `json:"helpers"`
	Engines      []string `json:"engines"`
	Tried        []string `json:"tried"`
}

// UnmarshalJSON reads a line. A status is a number for answers and a word for decisions of a dispatcher; After is a
// text in lines about streams that go on.
func (l *Line) UnmarshalJSON(data []byte) error {
	type plain Line
	var mixed struct {
		plain
		Status json.RawMessage `json:"status"`
		After  json.RawMessage `json:"after"`
	}
	if err := json.Unmarshal(data, &mixed); err != nil {
		return err
	}
	*l = Line(mixed.plain)
	if json.Unmarshal(mixed.Status, &l.Status) != nil {
		_ = json.Unmarshal(mixed.Status, &l.Decision)
	}
	_ = json.Unmarshal(mixed.After, &l.After)
	return nil
}

// maxLine bounds one line, in bytes.
const maxLine = 1 << 20

// Log is the lines of collected files that may concern requests.
type Log struct {
	lines []Line
	// Skipped counts lines that are no JSON objects.
	Skipped int
}

// Read adds the lines of one file. Errors are of kind Unreadable.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return fault.Wrap(scanner.Err(), "read log", Unreadable, "line")
}

// of returns the lines of a request and of its attempts, and those that say that an endpoint of it died or left,
// in the order of their own clocks.
func (l *Log) of(id string) []Line {
	attempts, endpoints := make(map[string]bool), make(map[string]bool)
	for _, line := range l.lines {
		if line.RequestID != id {
			continue
		}
		attempts[line.AttemptID] = line.AttemptID != ""
		endpoints[line.Endpoint] = line.Endpoint != ""
		for _, tried := range line.Tried {
			endpoints[tried] = true
		}
	}
	var found []Line
	for _, line := range l.lines {
		ofAttempt := line.RequestID == "" && attempts[line.AttemptID]
		ofEndpoint := line.RequestID == "" && line.AttemptID == "" && endpoints[line.Endpoint] && aboutEndpoint[line.Message] != ""
		if line.RequestID == id || ofAttempt || ofEndpoint {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found
}

// aboutEndpoint has the lines on endpoints that explain failures, with what they mean.
var aboutEndpoint = map[string]string{
	"An endpoint departed":                         "left the list of endpoints",
	"An endpoint died while it ran a request":      "died while it ran a request",
	"Registered an endpoint":                       "was registered",
	"Quarantined a request that crashes endpoints": "was one of those that the request crashed",
}
