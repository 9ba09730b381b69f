package placement

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// A fixed seed makes the property test reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261205"); err != nil {
		panic(err)
	}
}

// Guards against a dispatcher that ends, or never decides, because of one odd job or event of an entry, such as one of
// another version of this software, or of an odd declaration of engines.
func TestOddJobsAndEvents(t *testing.T) {
	number := rapid.SampledFrom([]int{0, 1, -1, 16, 5000, 300_000, 1 << 40, math.MaxInt, math.MinInt})
	duration := rapid.SampledFrom([]time.Duration{0, 1, -1, time.Second, 10 * time.Second, math.MaxInt64, math.MinInt64})
	rapid.Check(t, func(t *rapid.T) {
		s := NewScheduler(routing.Engine{
			Slots: number.Draw(t, "slots"), Memory: number.Draw(t, "memory"), EventTokens: number.Draw(t, "event tokens"),
			Step: duration.Draw(t, "step"), StepPerRequest: duration.Draw(t, "per request"), StepPerKiloToken: duration.Draw(t, "per token"),
			PrefillRate:        rapid.SampledFrom([]float64{0, 1e-300, -1, 256_000, math.Inf(1), math.NaN()}).Draw(t, "rate"),
			PrefillPerMegaPair: duration.Draw(t, "per pair"), ChunkTokens: number.Draw(t, "chunk"),
		})
		now := epoch
		s.Update(now, engines(rapid.IntRange(0, 20).Draw(t, "engines")))
		drawJob := func() Job {
			return Job{
				ID: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "job")), Service: "model", Prompt: number.Draw(t, "prompt"), Output: number.Draw(t, "output"),
				Bound: number.Draw(t, "bound"), Objective: duration.Draw(t, "objective"), MaxPause: duration.Draw(t, "pause"),
				Waited: duration.Draw(t, "waited"), Left: duration.Draw(t, "left"), Priority: number.Draw(t, "priority"),
			}
		}
		events := []EventType{Adopted, FirstEvent, Finished, Left, Declined, Failed, Unreached, "unknown"}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(t, "time"))
			if rapid.Bool().Draw(t, "reserve") {
				s.Reserve(now, "entry", drawJob())
				continue
			}
			s.Report(now, "entry", Event{
				Type: rapid.SampledFrom(events).Draw(t, "event"), Job: drawJob(), Endpoint: rapid.SampledFrom([]string{"", "e00", "none"}).Draw(t, "endpoint"),
				Elapsed: duration.Draw(t, "elapsed"), Pause: duration.Draw(t, "event pause"), Reading: rapid.Bool().Draw(t, "reading"),
				Grant: Grant{Members: []Member{{Endpoint: "e00", Hold: number.Draw(t, "hold")}, {Endpoint: "none"}}},
			})
		}
		s.RetainRunning(now.Add(time.Minute), "entry", nil)
	})
}
