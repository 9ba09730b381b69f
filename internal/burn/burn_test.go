package burn_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"image/png"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/burn/chart"
)

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

type clock struct{ now time.Time }

func newClock() *clock                   { return &clock{now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)} }
func (c *clock) Now() time.Time          { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newRecorder(c *clock, maxWorkspaces int) *burn.Recorder {
	return burn.NewRecorder(burn.Config{Objectives: burn.DefaultObjectives(), MaxWorkspaces: maxWorkspaces, Now: c.Now})
}

func find(r burn.Report, workspace, class, metric string) burn.Series {
	for _, s := range r.Series {
		if s.Workspace == workspace && s.Class == class && s.Metric == metric {
			return s
		}
	}
	return burn.Series{}
}

// Guards against counts that are lost, kept beyond their window or counted twice, on one entry and after
// merging. The counts are compared with those computed from a list of all observations.
func TestCountsMatchNaive(t *testing.T) {
	type observation struct {
		at   time.Time
		slow bool
	}
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		entries := []*burn.Recorder{newRecorder(c, 0), newRecorder(c, 0)}
		var all []observation
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			c.advance(time.Duration(rapid.Int64Range(0, int64(8*time.Hour)).Draw(t, "gap")) >> rapid.IntRange(0, 16).Draw(t, "scale"))
			slow := rapid.Bool().Draw(t, "slow")
			ttft := 100 * time.Millisecond
			if slow {
				ttft = time.Second
			}
			entries[rapid.IntRange(0, 1).Draw(t, "entry")].Observe("w", "short", ttft, 0, true)
			all = append(all, observation{c.now, slow})
		}
		got := find(burn.Merge(entries[0].Report(), entries[1].Report()), "w", "short", "ttft")
		for i, window := range burn.Windows() {
			width := int64(window) / 12
			var want burn.Count
			for _, o := range all {
				if c.now.UnixNano()/width-o.at.UnixNano()/width > 12 {
					continue
				}
				want.Total++
				if o.slow {
					want.Bad++
				}
			}
			if got.Windows[i] != want {
				t.Fatalf("window %s: %+v, want %+v", window, got.Windows[i], want)
			}
		}
	})
}

// Guards against burn rates that do not follow the definition, for each of the metrics.
func TestRates(t *testing.T) {
	is := is.New(t)
	c := newClock()
	r := newRecorder(c, 0)
	for i := range 100 {
		r.Observe("w", "short", 100*time.Millisecond, 20*time.Millisecond, true)
		if i%10 == 0 {
			r.LongStarted()
			r.Observe("w", "short", 400*time.Millisecond, 40*time.Millisecond, false)
			r.LongEnded()
			c.advance(time.Second)
		}
	}
	report := r.Report()
	for metric, want := range map[string]string{
		"ttft":        "1.82", // 10 of 110 over 5 %
		"inter-token": "1.82",
		"slowdown":    "20.00", // 10 of 10 over 5 %
		"success":     "90.91", // 10 of 110 over 0.1 %
	} {
		rates := report.Rates(find(report, "w", "short", metric))
		is.Equal(fmt.Sprintf("%.2f", rates[0]), want) // metric
	}
	is.Equal(report.Worst(1)[0].Metric, "success")
}

// Guards against an objective of a workspace that is not applied, is applied to other workspaces, is lost
// beyond MaxWorkspaces or is not shown, and against a report that hides that the objectives of entries
// differ.
func TestWorkspaceObjective(t *testing.T) {
	is := is.New(t)
	c := newClock()
	own := burn.Objective{Workspace: "sawmill", Class: "short", TTFT: 100 * time.Millisecond, Target: 0.9, SuccessTarget: 0.99}
	recorders := make([]*burn.Recorder, 2)
	for i, objectives := range [][]burn.Objective{append(burn.DefaultObjectives(), own), burn.DefaultObjectives()} {
		recorders[i] = burn.NewRecorder(burn.Config{Objectives: objectives, MaxWorkspaces: 1, Now: c.Now})
	}
	for _, workspace := range []string{"joiner", "sawmill"} {
		recorders[0].Observe(workspace, "short", 200*time.Millisecond, 0, true)
		recorders[0].Observe(workspace, "medium", 200*time.Millisecond, 0, true)
	}
	report := recorders[0].Report()
	is.Equal(fmt.Sprintf("%.2f", report.Rates(find(report, "sawmill", "short", "ttft"))[0]), "10.00")
	is.Equal(report.Rates(find(report, "joiner", "short", "ttft"))[0], 0.0)
	is.Equal(find(report, "sawmill", "medium", "ttft").Windows[0], burn.Count{Total: 1})
	is.Equal(len(report.ForWorkspace("joiner").Objectives), 3)
	is.True(!burn.Merge(report, report).Mixed)
	is.True(burn.Merge(burn.Report{}, report, recorders[1].Report()).Total().Mixed)
	var text, lines bytes.Buffer
	is.NoErr(report.WriteText(&text))
	is.Equal(strings.Fields(strings.Split(text.String(), "\n")[1])[:6], []string{"sawmill", "short", "ttft", "100ms", "0.9", "workspace"})
	is.NoErr(report.WriteJSON(&lines))
	is.True(strings.Contains(lines.String(), `"bound":"100ms","target":0.9,"objective":"workspace"`))
}

// Guards against memory that grows with the number of workspaces, and against a full recorder that never
// accepts a new workspace again.
func TestWorkspacesAreBounded(t *testing.T) {
	is := is.New(t)
	c := newClock()
	r := newRecorder(c, 2)
	for _, workspace := range []string{"a", "b", "c", "d"} {
		r.Observe(workspace, "short", time.Second, 0, true)
	}
	is.Equal(find(r.Report(), burn.OtherWorkspace, "short", "success").Windows[0].Total, uint32(2))
	c.advance(100 * time.Hour)
	r.Observe("c", "short", time.Second, 0, true)
	is.Equal(find(r.Report(), "c", "short", "success").Windows[0].Total, uint32(1))
}

// Guards against a reply that grows with the number of workspaces, or hides that it is truncated.
func TestReplyIsBounded(t *testing.T) {
	is := is.New(t)
	r := newRecorder(newClock(), burn.MaxSeries)
	for i := range burn.MaxSeries {
		r.Observe(fmt.Sprint(i), "short", time.Second, 0, true)
	}
	var reply, total burn.ReportReply
	is.NoErr(burn.NewService(r).Report(burn.ReportRequest{}, &reply))
	is.Equal(len(reply.Report.Series), burn.MaxSeries)
	is.Equal(reply.LeftOut, burn.MaxSeries) // each workspace has the metrics ttft and success
	is.NoErr(burn.NewService(r).Report(burn.ReportRequest{Total: true}, &total))
	is.Equal(find(total.Report, "(all)", "short", "ttft").Windows[0].Total, uint32(burn.MaxSeries))
}

// Guards against allocations for each request.
func TestObserveDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := newClock()
	r := newRecorder(c, 1)
	observe := func() {
		c.advance(time.Minute)
		r.Observe("w", "short", time.Second, time.Second, true)
		r.Observe("beyond the bound", "long", time.Second, time.Second, false)
	}
	observe()
	is.Equal(testing.AllocsPerRun(100, observe), 0.0)
}

// Guards against reports that cannot be sent by net/rpc, or written in each of the formats.
func TestFormats(t *testing.T) {
	is := is.New(t)
	c := newClock()
	r := newRecorder(c, 0)
	r.Observe("sawmill", "short", time.Second, 0, true)
	r.Observe("sawmill", "long", time.Second, 0, true)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName(burn.ServiceName, burn.NewService(r)))
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer client.Close()
	var reply burn.ReportReply
	is.NoErr(client.Call(burn.ReportMethod, burn.ReportRequest{Workspace: "sawmill"}, &reply))
	is.Equal(reply.Report, r.Report())
	var text, lines, image bytes.Buffer
	is.NoErr(reply.Report.WriteText(&text))
	is.Equal(strings.Split(text.String(), "\n")[1], "sawmill    short  ttft     330ms     0.95    class      20.00  20.00  20.00  20.00  1")
	is.NoErr(reply.Report.WriteJSON(&lines))
	var first struct {
		Metric string             `json:"metric"`
		Burn   map[string]float64 `json:"burn"`
	}
	is.NoErr(json.NewDecoder(&lines).Decode(&first))
	is.Equal(first.Metric, "ttft")
	is.Equal(fmt.Sprintf("%.2f %.2f", first.Burn["5m"], first.Burn["3d"]), "20.00 20.00")
	is.NoErr(chart.WritePNG(&image, reply.Report.Total()))
	_, err := png.Decode(&image)
	is.NoErr(err)
	is.NoErr(chart.WritePNG(&image, burn.Report{}))
}

func BenchmarkObserve(b *testing.B) {
	c := newClock()
	r := newRecorder(c, 0)
	b.ReportAllocs()
	for b.Loop() {
		r.Observe("w", "short", 100*time.Millisecond, 20*time.Millisecond, true)
	}
}
