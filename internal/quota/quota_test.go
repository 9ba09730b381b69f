package quota_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/quota"
)

// Guards against more admitted requests than the documented bound when calls are lost or late, entries
// crash while they hold permits, and the owner changes while some entries still use the old one.
func TestExcessIsBounded(t *testing.T) {
	for name, changes := range map[string]bool{"one owner": false, "owners change": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The wrapper hides the Deadline method, which rapid would call and a synctest bubble forbids.
				rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) { checkExcess(t, changes) })
			})
		})
	}
}

func checkExcess(t *rapid.T, changes bool) {
	limit := rapid.SampledFrom([]float64{0.1, 0.7, 1, 3, 12.5, 40}).Draw(t, "rate")
	entries := rapid.IntRange(1, 6).Draw(t, "entries")
	f := newFleet(limit, entries)
	names := make([]string, 0, entries)
	for i := range entries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	pick := func() string { return rapid.SampledFrom(names).Draw(t, "entry") }
	began, version, buckets, restarts := time.Now(), uint64(1), 1, 0
	overlap := 0.0
	advance := func(d time.Duration) {
		overlap += d.Seconds() * float64(max(0, len(f.owners())-1))
		time.Sleep(d)
		synctest.Wait()
	}
	actions := map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			entry := pick()
			for range rapid.IntRange(1, 30).Draw(t, "requests") {
				f.admit(entry)
				advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			}
		},
		"pause": func(t *rapid.T) {
			advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond)
		},
		// Fills the pools of all entries while the bucket refills, or uses all their permits at once.
		"round": func(t *rapid.T) {
			requests := rapid.SampledFrom([]int{1, 1, 10, 40}).Draw(t, "requests")
			pause := time.Duration(rapid.SampledFrom([]int{0, 0, 200, 400}).Draw(t, "pause")) * time.Millisecond
			for _, entry := range names {
				for range requests {
					f.admit(entry)
				}
				advance(pause)
			}
		},
		"network": func(t *rapid.T) {
			f.setNetwork(rapid.SampledFrom([]networkState{healthy, healthy, healthy, healthy, slow, requestLost, replyLost, requestLate, refused}).Draw(t, "network"))
		},
		"entry crashes with permits": func(t *rapid.T) {
			entry := pick()
			if owner, _ := f.nodes[entry].view.Owner(workspace); owner.Instance == entry {
				buckets++
			}
			f.start(entry)
			restarts++
		},
	}
	if changes {
		without := ""
		actions["hand over to another owner"] = func(t *rapid.T) {
			version++
			without = ""
			if entries > 1 {
				without = rapid.SampledFrom(append(names, "")).Draw(t, "without")
			}
			buckets++
		}
		actions["entry learns"] = func(*rapid.T) { f.setMembers(f.nodes[pick()], version, without) }
		actions["lease ends"] = func(*rapid.T) {
			n := f.nodes[pick()]
			f.mu.Lock()
			defer f.mu.Unlock()
			n.expired = !n.expired
		}
	}
	t.Repeat(actions)
	f.waitForCalls()
	elapsed := time.Since(began).Seconds()
	b, k := math.Max(1, math.Ceil(limit)), float64(entries)
	const rounding = 1e-6
	if got, bound := maxExcess(f.permitTimes, limit), b*float64(buckets)+k+limit*overlap; got > bound+rounding {
		t.Fatalf("%v requests above the rate were admitted with permits; at most %v are allowed", got, bound)
	}
	// For each owner, the granted shares add up to at most the rate, and so do the equal parts.
	share := limit * float64(1+buckets)
	if got, bound := float64(len(f.shareTimes)), k+float64(restarts)+share*(elapsed+1); got > bound+rounding {
		t.Fatalf("%v requests were admitted by shares; at most %v are allowed", got, bound)
	}
}

// Guards against entries that use permits after the owner has dropped them: after a pause these requests
// would add to those of a full bucket.
func TestPermitsExpire(t *testing.T) {
	for pause, spare := range map[time.Duration]float64{2300 * time.Millisecond: 4, 34 * time.Second: 0} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(40, 4)
				round := func(count int, between time.Duration) {
					for range count {
						for i := range 4 {
							f.admit(fmt.Sprint("entry-", i))
						}
						time.Sleep(between)
					}
				}
				round(30, 100*time.Millisecond)
				time.Sleep(pause)
				f.permitTimes = nil
				round(40, 0)
				is.True(maxExcess(f.permitTimes, f.rate) <= 40+spare)
				is.True(len(f.permitTimes) >= 40)
				f.waitForCalls()
			})
		})
	}
}

// Guards against shares that together exceed the rate of the workspace.
func TestSharesSumToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			const limit = 7
			f := newFleet(limit, 1)
			type grantedShare struct {
				share float64
				at    time.Time
			}
			shares := make(map[string]grantedShare)
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				entry := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "entry")
				var reply quota.TakeReply
				if err := f.nodes["entry-0"].owner.Take(quota.TakeRequest{Entry: entry, Workspace: workspace}, &reply); err != nil {
					t.Fatal(err)
				}
				shares[entry] = grantedShare{reply.Share, time.Now()}
				sum := 0.0
				for _, n := range shares {
					if time.Since(n.at) <= 10*time.Second {
						sum += n.share
					}
				}
				if sum > limit+1e-9 {
					t.Fatalf("the shares add up to %v", sum)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause")) * time.Millisecond)
			}
		})
	})
}

// Guards against a workspace that gets only a part of its rate when it uses few of many entries, or several
// times its rate when it uses several, and against entries that get no permits because others take them.
func TestRateIsThatOfTheFleet(t *testing.T) {
	for name, test := range map[string]struct {
		rate float64
		used int
	}{
		"one entry of 20": {10, 1}, "four entries": {10, 4}, "low rate": {0.5, 4}, "all entries": {3, 20}, "high rate": {200, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(test.rate, 20)
				const length = 100 * time.Second
				admitted := make([]int, test.used)
				pause := time.Duration(float64(time.Second) / test.rate / 2)
				random := rand.New(rand.NewPCG(1, 2))
				for began := time.Now(); time.Since(began) < length; time.Sleep(pause) {
					// Twice the rate, each request at a random one of the entries.
					next := random.IntN(test.used)
					if f.admit(fmt.Sprint("entry-", next)) {
						admitted[next]++
					}
				}
				f.waitForCalls()
				is.Equal(len(f.shareTimes), 0)
				got, due := float64(len(f.permitTimes)), test.rate*length.Seconds()
				t.Logf("admitted %v of %v: %v", got, due, admitted)
				is.True(got >= 0.95*due)
				is.True(maxExcess(f.permitTimes, test.rate) <= math.Ceil(test.rate)+float64(test.used))
				for _, n := range admitted {
					is.True(float64(n) >= 0.5*due/float64(test.used))
				}
			})
		})
	}
}

// Guards against admissions that wait for the owner although the workspace steadily uses less than its rate.
func TestUsualAdmissionDoesNotWait(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"20 a second": 50 * time.Millisecond, "2 a second": 500 * time.Millisecond, "one in 5 s": 5 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(25, 20)
				f.setNetwork(slow)
				owner := f.owners()[0]
				entryName := "entry-0"
				if entryName == owner {
					entryName = "entry-1"
				}
				for i := range 50 {
					began := time.Now()
					view, _ := f.nodes[entryName].currentView()
					is.True(f.nodes[entryName].limiter.Admit(context.Background(), view, workspace, f.rate))
					if i > 0 {
						is.Equal(time.Since(began), time.Duration(0))
					}
					time.Sleep(pause)
				}
				f.waitForCalls()
			})
		})
	}
}

// Guards against requests that wait repeatedly for an unresponsive owner, and against a workspace that gets
// nothing, or more than its rate, until a new owner takes over.
func TestOwnerIsUnresponsive(t *testing.T) {
	for _, state := range []networkState{requestLost, refused} {
		t.Run(string(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(10, 20)
				owner := f.owners()[0]
				entryName := "entry-0"
				if entryName == owner {
					entryName = "entry-1"
				}
				const pause = 50 * time.Millisecond
				send := func(length time.Duration) (admitted int, waited time.Duration) {
					for range length / pause {
						began := time.Now()
						if f.admit(entryName) {
							admitted++
						}
						waited += time.Since(began)
						time.Sleep(pause)
					}
					return admitted, waited
				}
				send(5 * time.Second)
				f.setNetwork(state)
				admitted, waited := send(4 * time.Second)
				t.Logf("%d requests admitted without the owner, waited %v", admitted, waited)
				is.True(waited <= 50*time.Millisecond)
				is.True(admitted >= 36 && admitted <= 40+10+10)
				// A new owner takes over.
				f.setNetwork(healthy)
				for _, n := range f.nodes {
					f.setMembers(n, 2, owner)
				}
				admittedByShare := len(f.shareTimes)
				admitted, _ = send(4 * time.Second)
				is.True(admitted >= 38 && admitted <= 40+10+1)
				is.Equal(len(f.shareTimes), admittedByShare)
				f.waitForCalls()
			})
		})
	}
}

// Guards against a workspace that gets its shares in addition to its rate, because the owner in another
// region replies later than requests wait for a near owner.
func TestDistantOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(10, 20)
		f.setNetwork(far)
		owner := f.owners()[0]
		for i := range 2000 {
			if entryName := fmt.Sprint("entry-", i%4); entryName != owner {
				f.admit(entryName)
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.waitForCalls()
		t.Logf("admitted %d with permits, %d by shares", len(f.permitTimes), len(f.shareTimes))
		// At the first request of each entry, the latency of the owner is not known.
		is.True(len(f.shareTimes) <= 4)
	})
}

// BenchmarkAdmit measures an admission at the owning entry, which gets its permits without a network call.
func BenchmarkAdmit(b *testing.B) {
	f := newFleet(1e9, 380)
	n := f.nodes[f.owners()[0]]
	view, _ := n.currentView()
	b.ReportAllocs()
	for b.Loop() {
		n.limiter.Admit(b.Context(), view, workspace, f.rate)
	}
}
