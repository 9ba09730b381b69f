// Package explanation reconstructs from log files what happened to one request. It accepts the lines of any number of
// processes, in any order and from clocks that differ. It makes no network calls.
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
	// Unknown means that no line has the request ID.
	Unknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Line holds the fields of a log line that explanations need.
type Line struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Message   string    `json:"msg"`
	RequestID string    `json:"request-id"`
	AttemptID string    `json:"attempt-id"`
	Endpoint  string    `json:"endpoint"`
	// After is the time since the arrival of the request, Took the time since the attempt was sent, Expected the
	// dispatcher's estimate of that, and LongestPause the longest time between two events. All are in seconds.
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

// UnmarshalJSON parses a line. The status is a number for responses and a string for the decisions of a dispatcher.
// The field after is a string in lines about resumed streams, where it is ignored.
func (l *Line) UnmarshalJSON(data []byte) error {
	type plain Line
	var decoded struct {
		plain
		Status json.RawMessage `json:"status"`
		After  json.RawMessage `json:"after"`
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*l = Line(decoded.plain)
	if json.Unmarshal(decoded.Status, &l.Status) != nil {
		_ = json.Unmarshal(decoded.Status, &l.Decision)
	}
	_ = json.Unmarshal(decoded.After, &l.After)
	return nil
}

// maxLineBytes is the maximum length of a line in bytes.
const maxLineBytes = 1 << 20

// Log holds the lines of collected log files.
type Log struct {
	lines []Line
	// Skipped is the number of lines that are not JSON objects.
	Skipped int
}

// Read adds the lines of one file. Errors are of kind Unreadable.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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

// linesOf returns the lines of a request and of its attempts, and those about its endpoints that explain failures. They
// are sorted by their time stamps, each by the clock of its own process.
func (l *Log) linesOf(id string) []Line {
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
		ofEndpoint := line.RequestID == "" && line.AttemptID == "" && endpoints[line.Endpoint] && endpointMessages[line.Message] != ""
		if line.RequestID == id || ofAttempt || ofEndpoint {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found
}

// endpointMessages are the log messages about endpoints that explain failures, with their meanings.
var endpointMessages = map[string]string{
	"An endpoint departed":                         "left the list of endpoints",
	"An endpoint died while it ran a request":      "died while it ran a request",
	"Registered an endpoint":                       "was registered",
	"Quarantined a request that crashes endpoints": "was one of those that the request crashed",
}
