package dispatch

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// Guards against a caller that keeps a removed endpoint or misses a changed one, whatever version it has
// and whatever endpoints were added and removed in between.
func TestChangesAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := testCellWith(testConfig()), epoch
		type caller struct {
			request EndpointsRequest
			views   map[string]EndpointView
		}
		callers := []*caller{{}, {}, {}}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				a := engine(rapid.IntRange(0, 4).Draw(t, "engine"), 1000)
				a.State = rapid.SampledFrom([]endpoint.State{endpoint.Ready, endpoint.Draining}).Draw(t, "state")
				a.Role = rapid.SampledFrom([]string{"", "prefill"}).Draw(t, "role")
				a.Load.QueuedPrefill = rapid.IntRange(0, 2).Draw(t, "queued")
				c.announce(now, a)
			},
			"time": func(t *rapid.T) {
				now = now.Add(900 * time.Millisecond)
				c.tick(now)
			},
			"forget": func(*rapid.T) {
				if c.changes != nil {
					clear(c.changes.removed)
					c.changes.forgottenVersion = c.changes.version
				}
			},
			"new dispatcher": func(*rapid.T) { c.changes = nil },
			"ask": func(t *rapid.T) {
				asking := callers[rapid.IntRange(0, len(callers)-1).Draw(t, "caller")]
				reply := c.changesSince(now, asking.request)
				if reply.Whole || asking.views == nil {
					asking.views = map[string]EndpointView{}
				}
				for _, name := range reply.Gone {
					delete(asking.views, name)
				}
				for _, view := range reply.Endpoints {
					asking.views[view.Announcement.Name] = view
				}
				asking.request.Life, asking.request.Version = reply.Life, reply.Version
				if len(asking.views) != len(c.sortedReplicas) {
					t.Fatalf("the caller knows %d endpoints, the cell has %d", len(asking.views), len(c.sortedReplicas))
				}
				for _, r := range c.sortedReplicas {
					if got, want := fmt.Sprint(asking.views[r.name]), fmt.Sprint(comparableView(r)); got != want {
						t.Fatalf("the caller knows %s, the cell has %s", got, want)
					}
				}
			},
		})
	})
}

// BenchmarkPoll measures one poll of a cell of 32 engines under load: all endpoints, a sample of 6, the
// changes when only loads have changed, and the changes when one engine has changed its state.
func BenchmarkPoll(b *testing.B) {
	for name, change := range map[string]int{"whole": -1, "sample": -2, "loads": 0, "one": 1} {
		b.Run(name, func(b *testing.B) {
			c, _ := loadedCell(32)
			bytes := &byteCounter{}
			encoder := gob.NewEncoder(bytes)
			request := EndpointsRequest{Cell: testCell, Changes: true}
			var reply EndpointsReply
			round := 0
			for b.Loop() {
				round++
				for i, r := range c.sortedReplicas {
					r.announcement.Load.Used = 100_000 + round
					if i < change {
						r.announcement.State = []endpoint.State{endpoint.Ready, endpoint.Draining}[round%2]
					}
				}
				switch change {
				case -1:
					reply = c.view(epoch.Add(time.Duration(round)))
				case -2:
					reply = c.sample(epoch.Add(time.Duration(round)), 6)
				default:
					reply = c.changesSince(epoch, request)
					request.Life, request.Version = reply.Life, reply.Version
				}
				if round <= 2 {
					bytes.bytes = 0 // the first replies also send the gob type descriptions
					_ = encoder.Encode(request)
					_ = encoder.Encode(reply)
				}
			}
			b.ReportMetric(float64(bytes.bytes), "bytes/poll")
		})
	}
}

// Guards against a sample that has endpoints which accept no work, duplicates, or too many endpoints.
func TestSample(t *testing.T) {
	is := is.New(t)
	c := testCellWith(testConfig())
	for i := range 20 {
		a := engine(i, 1000)
		if i%2 == 0 {
			a.State = endpoint.Draining
		}
		c.announce(epoch, a)
	}
	seen := make(map[string]bool)
	for range 100 {
		reply := c.sample(epoch, 4)
		is.Equal(len(reply.Endpoints), 4)
		names := make(map[string]bool)
		for _, view := range reply.Endpoints {
			is.Equal(view.Announcement.State, endpoint.Ready)
			names[view.Announcement.Name] = true
			seen[view.Announcement.Name] = true
		}
		is.Equal(len(names), 4)
	}
	is.Equal(len(seen), 10) // 100 samples miss one with a probability of 10 * 0.6^100
	is.Equal(len(c.sample(epoch, 100).Endpoints), 10)
}
