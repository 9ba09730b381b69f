package model_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
	"github.com/dandelionpier/dandelionpier/standin/internal/model"
)

// config returns a configuration with round numbers: a chunk takes 100 ms, a decode step 10 ms.
func config() model.Config {
	return model.Config{
		PrefillRate: 10_000,
		DecodeRate:  100,
		ChunkTokens: 1000,
		Memory:      20_000,
		MaxRunning:  8,
		Speed:       1,
	}
}

// simulate runs test with a running engine in a synctest bubble.
func simulate(t *testing.T, c model.Config, test func(ctx context.Context, e *model.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := model.New(c)
		go e.Run(ctx)
		synctest.Wait()
		test(ctx, e)
		cancel()
		synctest.Wait()
	})
}

func request(id string, prompt, output int) model.Request {
	return model.Request{ID: id, PromptTokens: prompt, MaxTokens: output}
}

func submit(ctx context.Context, t *testing.T, e *model.Engine, r model.Request) *model.Attempt {
	t.Helper()
	a, err := e.Submit(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	return a
}

// timings returns the times to the first token and to the end of each attempt, in milliseconds from now.
func timings(attempts ...*model.Attempt) (first, end []int64) {
	start := time.Now()
	first, end = make([]int64, len(attempts)), make([]int64, len(attempts))
	done := make(chan struct{})
	for i, a := range attempts {
		go func() {
			<-a.Changed()
			first[i] = time.Since(start).Milliseconds()
			<-a.Ended()
			end[i] = time.Since(start).Milliseconds()
			done <- struct{}{}
		}()
	}
	for range attempts {
		<-done
	}
	return first, end
}

// Guards against times that do not follow from the rates, the chunk size and the batch.
func TestTimings(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(*model.Config)
		requests []model.Request
		first    []int64
		end      []int64
	}{
		"one chunk":     {nil, []model.Request{request("a", 500, 3)}, []int64{50}, []int64{70}},
		"three chunks":  {nil, []model.Request{request("a", 2500, 2)}, []int64{250}, []int64{260}},
		"speed divides": {func(c *model.Config) { c.Speed = 10 }, []model.Request{request("a", 2500, 2)}, []int64{25}, []int64{26}},
		"first come, first served": {
			nil,
			[]model.Request{request("a", 2000, 1), request("b", 500, 1)},
			[]int64{200, 250},
			[]int64{200, 250},
		},
		"priority overtakes between chunks": {
			nil,
			[]model.Request{{ID: "a", PromptTokens: 2000, MaxTokens: 1, Priority: 5}, request("b", 500, 1)},
			[]int64{250, 200},
			[]int64{250, 200},
		},
		"a prefill chunk delays decoding": {
			nil,
			[]model.Request{request("a", 1000, 3), request("b", 1000, 1)},
			[]int64{100, 210},
			[]int64{220, 210},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := config()
			if test.change != nil {
				test.change(&c)
			}
			simulate(t, c, func(ctx context.Context, e *model.Engine) {
				is := is.New(t)
				var attempts []*model.Attempt
				for _, r := range test.requests {
					attempts = append(attempts, submit(ctx, t, e, r))
				}
				first, end := timings(attempts...)
				is.Equal(first, test.first)
				is.Equal(end, test.end)
				used, _ := e.Used()
				is.Equal(used, 0)
			})
		})
	}
}

// Guards against a memory queue that ignores priority, and against the starvation of a large request by
// small ones that keep taking the memory that it waits for.
func TestMemoryQueue(t *testing.T) {
	simulate(t, config(), func(ctx context.Context, e *model.Engine) {
		is := is.New(t)
		running := submit(ctx, t, e, request("running", 14_000, 1000))
		large := submit(ctx, t, e, model.Request{ID: "large", PromptTokens: 9000, MaxTokens: 1, Priority: 1})
		small := submit(ctx, t, e, model.Request{ID: "small", PromptTokens: 1000, MaxTokens: 1, Priority: 2})
		urgent := submit(ctx, t, e, model.Request{ID: "urgent", PromptTokens: 10_000, MaxTokens: 1})
		is.Equal(e.Holdings()[0].Tokens, 0) // large has no memory yet
		_, end := timings(running, urgent, large, small)
		is.True(slices.IsSorted(end))
		is.Equal(end[0], int64(11_390)) // 1.4 s of prefill, then 999 decode steps
	})
}

// Guards against memory that stays reserved after an attempt has ended, been cancelled or lost its caller, or its
// holding has been released.
func TestRelease(t *testing.T) {
	for name, release := range map[string]func(e *model.Engine, cancel context.CancelFunc){
		"caller gone":       func(_ *model.Engine, cancel context.CancelFunc) { cancel() },
		"cancelled":         func(e *model.Engine, _ context.CancelFunc) { _ = e.Cancel("a") },
		"holding released":  func(e *model.Engine, _ context.CancelFunc) { _ = e.Release("a") },
		"ended":             func(*model.Engine, context.CancelFunc) { time.Sleep(time.Minute) },
		"drained and ended": func(e *model.Engine, _ context.CancelFunc) { e.Drain(true); time.Sleep(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, config(), func(ctx context.Context, e *model.Engine) {
				is := is.New(t)
				caller, cancel := context.WithCancel(ctx)
				defer cancel()
				is.NoErr(e.Hold(endpoint.Holding{ID: "h", Tokens: 8000, TTL: 1000}))
				r := request("a", 7000, 100)
				r.Holding = "h"
				a := submit(caller, t, e, r)
				waiting := submit(caller, t, e, request("b", 19_000, 100))
				time.Sleep(150 * time.Millisecond)
				release(e, cancel)
				<-a.Ended()
				if name != "caller gone" {
					_ = e.Cancel(waiting.ID)
				}
				synctest.Wait()
				used, _ := e.Used()
				is.Equal(used, 0)
				is.Equal(len(e.Holdings()), 0)
				totals := e.Totals()
				is.Equal(totals.Attempts, 2)
				is.Equal(totals.Wasted > 0, totals.Cancelled == 2) // b never ran
				early := 0
				for _, attempt := range totals.Early {
					early += attempt.Tokens
				}
				is.Equal(early, totals.Wasted)
			})
		})
	}
}

// Guards against a holding that is removed before its TTL expires or kept after that.
func TestHoldingTTL(t *testing.T) {
	simulate(t, config(), func(_ context.Context, e *model.Engine) {
		is := is.New(t)
		is.NoErr(e.Hold(endpoint.Holding{ID: "h", Tokens: 20_000, TTL: 1000}))
		is.True(fault.Is(e.Hold(endpoint.Holding{ID: "i", Tokens: 1, TTL: 1000}), model.NoMemory))
		time.Sleep(900 * time.Millisecond)
		is.NoErr(e.Renew("h", 0))
		time.Sleep(900 * time.Millisecond)
		is.NoErr(e.Renew("h", 2000))
		time.Sleep(1900 * time.Millisecond)
		is.Equal(len(e.Holdings()), 1)
		time.Sleep(101 * time.Millisecond)
		is.Equal(len(e.Holdings()), 0)
		is.True(fault.Is(e.Renew("h", 0), model.Unknown))
	})
}

func blocks(seed string, tokens int) []uint64 {
	return prefix.HashBlocks(seed, make([]byte, tokens*endpoint.BytesPerToken))
}

// Guards against a prefix cache that saves no prefill, reports wrong counts or keeps evicted blocks.
func TestPrefixCache(t *testing.T) {
	c := config()
	c.EventLag = time.Second
	c.EventGap = 4
	simulate(t, c, func(ctx context.Context, e *model.Engine) {
		is := is.New(t)
		r := request("a", 6000, 1)
		r.Blocks = blocks("a", 6000)
		<-submit(ctx, t, e, r).Ended()
		is.Equal(len(e.CacheEvents(100)), 0) // events are late
		is.Equal(e.Load().Cached, 5*prefix.BlockTokens)

		r.ID = "b"
		hit := submit(ctx, t, e, r)
		first, _ := timings(hit)
		is.Equal(hit.Progress().CachedTokens, 5*prefix.BlockTokens)
		is.Equal(first, []int64{88}) // 880 of 6000 tokens are computed

		<-submit(ctx, t, e, request("c", 19_000, 1)).Ended()
		time.Sleep(time.Second)
		var sequences []uint64
		evicted := 0
		for _, event := range e.CacheEvents(100) {
			sequences = append(sequences, event.Sequence)
			if event.Evicted {
				evicted++
			}
		}
		// 5 blocks were stored and 5 evicted; every 4th event is lost.
		is.Equal(sequences, []uint64{1, 2, 3, 5, 6, 7, 9, 10})
		is.Equal(evicted, 4)
	})
}

// Guards against an import after which the engine computes the imported prefill again.
func TestExportImport(t *testing.T) {
	simulate(t, config(), func(ctx context.Context, e *model.Engine) {
		is := is.New(t)
		r := request("a", 6000, 1)
		r.Blocks = blocks("a", 6000)
		<-submit(ctx, t, e, r).Ended()
		export, err := e.Export("a")
		is.NoErr(err)
		is.Equal(export.Tokens, 5*prefix.BlockTokens)

		other := model.New(config())
		go other.Run(ctx)
		is.Equal(other.Import(export), 5)
		a := submit(ctx, t, other, r)
		<-a.Ended()
		is.Equal(a.Progress().CachedTokens, 5*prefix.BlockTokens)
		_, err = e.Export("b")
		is.True(fault.Is(err, model.Unknown))
	})
}

// Guards against a group that adds no memory, does not speed up prefill, or takes no time of its members.
func TestGroup(t *testing.T) {
	simulate(t, config(), func(ctx context.Context, e *model.Engine) {
		is := is.New(t)
		_, err := e.Submit(ctx, request("too-large", 30_000, 1))
		is.True(fault.Is(err, model.TooLarge))

		is.NoErr(e.Hold(endpoint.Holding{ID: "h", Tokens: 15_000, TTL: 1000}))
		r := request("a", 30_000, 1)
		r.GroupSize, r.Holding = 2, "h"
		first, _ := timings(submit(ctx, t, e, r))
		is.Equal(first, []int64{1500})

		is.NoErr(e.Hold(endpoint.Holding{ID: "i", Tokens: 15_000, TTL: 10_000}))
		is.NoErr(e.SetGroupPrefill("i", 1500*time.Millisecond))
		synctest.Wait()
		first, _ = timings(submit(ctx, t, e, request("b", 2000, 1)))
		is.Equal(first, []int64{500}) // the rest of the first step, then two shared steps
	})
}

// Guards against load reports that are newer than ReportLag allows.
func TestReportLag(t *testing.T) {
	c := config()
	c.ReportLag = time.Second
	simulate(t, c, func(ctx context.Context, e *model.Engine) {
		is := is.New(t)
		submit(ctx, t, e, request("a", 15_000, 1))
		time.Sleep(900 * time.Millisecond)
		is.Equal(e.Load().Running, 0)
		time.Sleep(200 * time.Millisecond)
		load := e.Load()
		is.Equal(load.Running, 1)
		is.Equal(load.QueuedPrefill, 14_000)
		time.Sleep(3 * time.Second)
		is.Equal(e.Load().Running, 0)
	})
}

type operation struct {
	kind     string
	tokens   int
	seed     string
	priority int64
}

func operations() *rapid.Generator[operation] {
	return rapid.Custom(func(t *rapid.T) operation {
		return operation{
			kind:     rapid.SampledFrom([]string{"submit", "hold", "use", "release", "wait"}).Draw(t, "kind"),
			tokens:   rapid.IntRange(1, 12_000).Draw(t, "tokens"),
			seed:     rapid.SampledFrom([]string{"x", "y"}).Draw(t, "seed"),
			priority: rapid.Int64Range(0, 2).Draw(t, "priority"),
		}
	})
}

// apply executes the operation; last is the ID of the newest holding or attempt.
func (o operation) apply(ctx context.Context, e *model.Engine, id, last string) {
	r := request(id, o.tokens, 20)
	r.Blocks = blocks(o.seed, o.tokens)
	r.Priority = o.priority
	switch o.kind {
	case "submit":
		_, _ = e.Submit(ctx, r)
	case "hold":
		_ = e.Hold(endpoint.Holding{ID: id, Tokens: o.tokens, TTL: 2000})
	case "use":
		r.Holding = last
		_, _ = e.Submit(ctx, r)
	case "release":
		_ = e.Release(last)
	case "wait":
		time.Sleep(time.Duration(o.tokens) * time.Millisecond / 10)
	}
}

// Guards against memory that is leaked or reserved twice under any mix of requests, holdings, cancellations
// and cache hits.
func TestMemoryInvariant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := rapid.SliceOfN(operations(), 1, 40).Draw(rt, "operations")
		var failure string
		simulate(t, config(), func(ctx context.Context, e *model.Engine) {
			failure = checkMemoryInvariant(ctx, e, list)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func checkMemoryInvariant(ctx context.Context, e *model.Engine, list []operation) string {
	last := "none"
	for i, o := range list {
		id := fmt.Sprint(i)
		o.apply(ctx, e, id, last)
		if o.kind != "wait" && o.kind != "release" {
			last = id
		}
		synctest.Wait()
		used, memory := e.Used()
		if load := e.Load(); used < 0 || load.Used+load.Cached > memory {
			return fmt.Sprintf("operation %d: %d used and %d cached of %d tokens", i, used, load.Cached, memory)
		}
	}
	time.Sleep(5 * time.Minute)
	synctest.Wait()
	if used, _ := e.Used(); used != 0 || len(e.Holdings()) != 0 {
		return fmt.Sprintf("%d tokens are still held: %v", used, e.Holdings())
	}
	return ""
}

// TestMain fixes the seed of rapid, so that the results are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
