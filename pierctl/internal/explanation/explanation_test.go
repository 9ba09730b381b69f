package explanation

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// loadExample returns the log lines of an example in docs/OPERATIONS.md, with the request ID and the expected
// explanation.
func loadExample(t *testing.T, name string) (lines [][]byte, id, want string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	id, _, _ = strings.Cut(strings.TrimPrefix(string(text), "request "), ",")
	return bytes.Split(bytes.TrimSpace(data), []byte("\n")), id, string(text)
}

func explain(t *testing.T, lines [][]byte, id string) string {
	t.Helper()
	is := is.New(t)
	var log Log
	is.NoErr(log.Read(bytes.NewReader(bytes.Join(lines, []byte("\n")))))
	e, err := log.Explain(id)
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(e.Write(&out))
	return out.String()
}

// Guards against examples in docs/OPERATIONS.md that differ from the output for their logs, and against explanations
// that depend on the order in which log files are collected.
func TestDocumentedExamples(t *testing.T) {
	for _, name := range []string{"refused", "died", "cut"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, id, want := loadExample(t, name)
			is.Equal(explain(t, lines, id), want)
			slices.Reverse(lines)
			is.Equal(explain(t, lines, id), want)
		})
	}
}

// Guards against failures because of lines that are not JSON, and against an explanation of a request ID that is in
// no line.
func TestUnreadableLinesAndUnknownRequests(t *testing.T) {
	is := is.New(t)
	lines, id, want := loadExample(t, "cut")
	lines = append(lines, []byte("panic: not JSON"), []byte(""), []byte(`{"msg":`))
	is.Equal(explain(t, lines, id), want)
	var log Log
	is.NoErr(log.Read(strings.NewReader("{}")))
	_, err := log.Explain("nobody")
	is.True(fault.Is(err, Unknown))
}

// Guards against fields that have different types in different log messages.
func TestFieldsOfTwoTypes(t *testing.T) {
	is := is.New(t)
	var log Log
	is.NoErr(log.Read(strings.NewReader(`{"msg":"Decided on a job","status":"wait"}
{"msg":"Resuming a stream at another engine","after":"17"}
{"msg":"Refused a request","status":503,"after":0.5}`)))
	is.Equal(log.Skipped, 0)
	is.Equal(log.lines[0].Decision, "wait")
	is.Equal(log.lines[2].Status, 503)
	is.Equal(log.lines[2].After, 0.5)
}
