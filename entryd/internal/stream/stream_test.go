package stream_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}

// shortReader returns at most a random few bytes of the body for each read.
type shortReader struct {
	t    *rapid.T
	body io.Reader
}

func (p shortReader) Read(b []byte) (int, error) {
	return p.body.Read(b[:min(len(b), rapid.IntRange(1, 7).Draw(p.t, "read"))])
}

// Guards against events that are split, joined or changed depending on the lengths of the reads.
func TestReaderSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		end := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"})
		var want []string
		for _, text := range rapid.SliceOfN(rapid.StringMatching(`[a-z:]{1,40}`), 0, 5).Draw(t, "events") {
			want = append(want, "data: "+text+end.Draw(t, "end"))
		}
		r := stream.NewReader(shortReader{t, strings.NewReader(strings.Join(want, ""))}, 64)
		for _, event := range want {
			got, err := r.Next()
			is.NoErr(err)
			is.Equal(string(got), event)
		}
		_, err := r.Next()
		is.Equal(err, io.EOF)
	})
}

// Guards against unbounded memory and against a truncated body that is taken for a complete one.
func TestReaderErrors(t *testing.T) {
	for name, test := range map[string]struct {
		body io.Reader
		want stream.Kind
	}{
		"oversized": {strings.NewReader("data: " + strings.Repeat("x", 100)), stream.Oversized},
		"truncated": {strings.NewReader("data: a\n"), stream.Truncated},
		"broken":    {iotest.ErrReader(io.ErrUnexpectedEOF), stream.ConnectionFailed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := stream.NewReader(test.body, 50).Next()
			is.New(t).True(fault.Is(err, test.want))
		})
	}
}

// Guards against accepting events of another attempt or at another position.
func TestChecker(t *testing.T) {
	chunk := func(request, attempt string, index int) string {
		return fmt.Sprintf(`data: {"request_id":%q,"attempt_id":%q,"index":%d}`, request, attempt, index) + "\n\n"
	}
	for name, test := range map[string]struct {
		event     string
		eventType stream.EventType
		want      stream.Kind
	}{
		"next":           {chunk("r", "r-1", 4), stream.Chunk, ""},
		"done":           {"data: [DONE]\n\n", stream.Done, ""},
		"no space":       {"data:[DONE]\r\n\r\n", stream.Done, ""},
		"comment":        {": ping\n\n", stream.Ignored, ""},
		"named event":    {"event: message\nid: 3\n" + chunk("r", "r-1", 4), stream.Chunk, ""},
		"duplicate":      {chunk("r", "r-1", 3), 0, stream.Reordered},
		"skipped":        {chunk("r", "r-1", 5), 0, stream.Reordered},
		"other request":  {chunk("q", "r-1", 4), 0, stream.Mismatched},
		"other attempt":  {chunk("r", "r-2", 4), 0, stream.Mismatched},
		"no ids":         {"data: {}\n\n", 0, stream.Mismatched},
		"not JSON":       {"data: {\n\n", 0, stream.Malformed},
		"not an object":  {"data: 3\n\n", 0, stream.Malformed},
		"other line":     {"hello\n\n", 0, stream.Malformed},
		"two data lines": {"data: {}\ndata: {}\n\n", 0, stream.Malformed},
		"error":          {`data: {"error":{}}` + "\n\n", 0, stream.EngineError},
		"negative usage": {`data: {"usage":{"prompt_tokens":-1}}` + "\n\n", 0, stream.Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := stream.Checker{RequestID: "r", AttemptID: "r-1", NextIndex: 4}
			eventType, err := c.Check([]byte(test.event))
			if test.want != "" {
				is.True(fault.Is(err, test.want))
				return
			}
			is.NoErr(err)
			is.Equal(eventType, test.eventType)
		})
	}
}

// Guards against allocations for each token of a stream. Under the race detector the scanner pool of
// encoding/json drops one item in four, which costs four allocations; without it there are none.
func TestEventsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	var body bytes.Buffer
	for i := range 1000 {
		fmt.Fprintf(&body, `data: {"id":"c","request_id":"r","attempt_id":"r-1","index":%d,"choices":[{"index":0,"delta":{"content":"a"}}]}`+"\n\n", i)
	}
	r := stream.NewReader(&body, 1<<20)
	c := stream.Checker{RequestID: "r", AttemptID: "r-1"}
	got := testing.AllocsPerRun(900, func() {
		event, err := r.Next()
		is.NoErr(err)
		_, err = c.Check(event)
		is.NoErr(err)
	})
	is.True(got <= 2)
}
