package explanation

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Step is one event in the course of a request, or several equal ones in a row.
type Step struct {
	// At is the time since the arrival of the request, by the clock of the entry that received it.
	At   time.Duration
	Text string
	// OtherInstance is the instance that logged the step, and whose clock At uses; empty for the entry.
	OtherInstance string
	// Count is the number of equal steps in a row, and Until the time of the last one.
	Count int
	Until time.Duration
}

// Phase is a part of the duration of a request, such as prefill.
type Phase struct {
	Name     string
	From, To time.Duration
}

// Explanation describes what happened to one request.
type Explanation struct {
	ID      string
	Entry   string
	Arrived time.Time
	Steps   []Step
	Phases  []Phase
	Outcome string
}

// Explain reconstructs what happened to a request. Errors are of kind Unknown.
func (l *Log) Explain(id string) (Explanation, error) {
	lines := l.linesOf(id)
	e := Explanation{ID: id}
	for _, line := range lines {
		if line.RequestID == id {
			e.Entry = line.Instance
			e.Arrived = line.Time.Add(-seconds(line.After))
			if line.After > 0 {
				break
			}
		}
	}
	if e.Entry == "" {
		return e, fault.New("explain request", Unknown, "no line has the request id %q", id)
	}
	for _, line := range lines {
		if text := describe(line); text != "" {
			e.add(e.step(line, text))
		}
		if outcome := outcomeOf(line); outcome != "" {
			e.Outcome = outcome
		}
	}
	if e.Outcome == "" {
		e.Outcome = "No line says how it ended: the entry was stopped, or the line was dropped (log_lines_dropped_total)."
	}
	e.Phases = phases(lines, e.Arrived)
	return e, nil
}

func (e *Explanation) step(line Line, text string) Step {
	at := line.Time.Sub(e.Arrived)
	s := Step{At: at, Text: text, Count: 1, Until: at}
	if line.Instance != e.Entry {
		s.OtherInstance = line.Instance
	}
	return s
}

// add appends a step, or increments the count of the previous step if that is the same.
func (e *Explanation) add(s Step) {
	if n := len(e.Steps); n > 0 && e.Steps[n-1].Text == s.Text && e.Steps[n-1].OtherInstance == s.OtherInstance {
		e.Steps[n-1].Count++
		e.Steps[n-1].Until = s.Until
		return
	}
	e.Steps = append(e.Steps, s)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// formatSeconds formats a number of seconds as a duration.
func formatSeconds(s float64) string {
	return seconds(s).Round(100 * time.Microsecond).String()
}

// describe returns the text of the step that a line describes, or an empty string if the line is not a step.
func describe(line Line) string {
	switch line.Message {
	case "Waiting for the first declaration":
		return "the entry had just started and waited for a declaration"
	case "Decided on a job":
		return describeDecision(line)
	case "Sent a request":
		return fmt.Sprintf("sent to %s%s", line.Endpoint, reasonSuffix(line.Error))
	case "First event of a stream":
		return fmt.Sprintf("first event from %s, %s after it was sent (expected %s; prompt of %d tokens, %d helpers)",
			line.Endpoint, formatSeconds(line.Took), formatSeconds(line.Expected), line.Prompt, line.Helpers)
	case "An attempt failed":
		return fmt.Sprintf("the attempt at %s failed%s", line.Endpoint, reasonSuffix(line.Error))
	case "Resuming a stream at another engine":
		return "the stream goes on at another engine"
	case "Broke a stream off":
		return fmt.Sprintf("the stream was cut after %d events: %s", line.Events, line.Reason)
	case "Refused a request":
		return fmt.Sprintf("refused with %d: %s", line.Status, line.Reason)
	case "Answered a request":
		return fmt.Sprintf("answered with %d by %s", line.Status, line.Endpoint)
	}
	if meaning := endpointMessages[line.Message]; meaning != "" {
		return fmt.Sprintf("endpoint %s %s", line.Endpoint, meaning)
	}
	return ""
}

func describeDecision(line Line) string {
	switch line.Decision {
	case "granted":
		return fmt.Sprintf("the dispatcher placed it on %s, first event expected after %s", strings.Join(line.Engines, ", "), formatSeconds(line.Expected))
	case "wait":
		return "the dispatcher let it wait: " + line.Reason
	default:
		return "the dispatcher rejected it: " + line.Reason
	}
}

func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

// outcomeOf returns how and why a request ended, if line is the one that ends it, or else an empty string.
func outcomeOf(line Line) string {
	after := formatSeconds(line.After)
	switch {
	case line.Message == "Answered a request":
		return fmt.Sprintf("Answered with %d after %s; the longest pause between events was %s.", line.Status, after, formatSeconds(line.LongestPause))
	case line.Message == "Broke a stream off":
		return fmt.Sprintf("The stream was cut after %d events and %d attempts: %s.", line.Events, line.Sent, line.Reason)
	case line.Message != "Refused a request":
		return ""
	case line.Status == 0:
		return "No answer was due: " + line.Reason + "."
	case line.Sent == 0:
		return fmt.Sprintf("Refused with %d after %s under declaration %d. No endpoint has run it: %s. The caller may return after %s.",
			line.Status, after, line.Declaration, line.Reason, formatSeconds(line.RetryAfter))
	default:
		return fmt.Sprintf("Refused with %d after %s. It may have run at %d endpoint(s), so it was not sent again: %s.",
			line.Status, after, line.Sent, line.Reason)
	}
}

// phases divides the duration of a request into phases, by the lines of its entry.
func phases(lines []Line, arrived time.Time) []Phase {
	var list []Phase
	var last time.Duration
	add := func(name string, to time.Duration) {
		if to > last {
			list = append(list, Phase{name, last, to})
			last = to
		}
	}
	streaming := false
	for _, line := range lines {
		at := line.Time.Sub(arrived)
		switch line.Message {
		case "First event of a stream":
			add("waiting and placement", at-seconds(line.Took))
			add("reading the prompt", at)
			streaming = true
		case "An attempt failed":
			add("an attempt that failed", at)
			streaming = false
		case "Answered a request", "Broke a stream off", "Refused a request":
			name := "waiting for the answer"
			if streaming {
				name = "writing the answer"
			} else if line.Sent == 0 {
				name = "waiting and placement"
			}
			add(name, at)
			if line.LongestPause > 0 {
				list = append(list, Phase{"  longest pause (somewhere in it)", 0, seconds(line.LongestPause)})
			}
		}
	}
	return list
}

// maxBarWidth is the length in characters of a bar that spans the whole request.
const maxBarWidth = 50

// Write writes the explanation as text, with a bar chart of the phases.
func (e Explanation) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, taken by %s at %s\n\n", e.ID, e.Entry, e.Arrived.UTC().Format("2006-01-02 15:04:05.000"))
	for _, s := range e.Steps {
		suffix := ""
		if s.Count > 1 {
			suffix = fmt.Sprintf(", %d times until %+.3f s", s.Count, s.Until.Seconds())
		}
		if s.OtherInstance != "" {
			suffix += fmt.Sprintf("  [clock of %s]", s.OtherInstance)
		}
		fmt.Fprintf(&b, "%+10.3f s  %s%s\n", s.At.Seconds(), s.Text, suffix)
	}
	b.WriteString("\n")
	var end time.Duration
	for _, p := range e.Phases {
		end = max(end, p.To)
	}
	for _, p := range e.Phases {
		from := int(int64(maxBarWidth) * int64(p.From) / int64(max(1, end)))
		to := int(int64(maxBarWidth) * int64(p.To) / int64(max(1, end)))
		fmt.Fprintf(&b, "%-34s %9.3f s  %s%s\n", p.Name, (p.To - p.From).Seconds(), strings.Repeat(" ", from), strings.Repeat("#", max(1, to-from)))
	}
	fmt.Fprintf(&b, "\n%s\n", e.Outcome)
	_, err := io.WriteString(w, b.String())
	return fault.Wrap(err, "write explanation", Unreadable, e.ID)
}
