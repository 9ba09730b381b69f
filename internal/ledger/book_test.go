package ledger_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/ledger"
)

// Guards against slices that together exceed the limit, with resent requests, lost entries and
// snapshots in any order. It compares the book with a plain account that allows spending only from
// what was granted and never grants past the limit.
func TestNeverExceedsLimit(t *testing.T) {
	const limit = int64(10_000)
	rapid.Check(t, func(t *rapid.T) {
		book := ledger.NewBook(ledger.State{})
		now := int64(0)
		held := make(map[string]int64)
		leases := make(map[string]ledger.LeaseRequest)
		settles := make(map[string]ledger.SettleRequest)
		entries := []string{"e1", "e2", "e3"}
		spent, lost := int64(0), int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"lease": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				request := leases[entry]
				request.Entry, request.Workspace = entry, "w"
				request.Sequence++
				request.Need = rapid.Int64Range(1, 3_000).Draw(t, "need")
				request.Want = rapid.Int64Range(0, 20_000).Draw(t, "want")
				leases[entry] = request
				held[entry] += book.Lease(request, limit, now).Granted
			},
			"lease again": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				if request, ok := leases[entry]; ok {
					first := book.Lease(request, limit, now)
					if again := book.Lease(request, limit, now); again != first {
						t.Fatalf("resend got %v after %v", again, first)
					}
				}
			},
			"settle": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				use := rapid.Int64Range(0, held[entry]).Draw(t, "use")
				back := rapid.Int64Range(0, held[entry]-use).Draw(t, "back")
				request := ledger.SettleRequest{Entry: entry, Sequence: settles[entry].Sequence + 1}
				request.Spent = []ledger.Spend{{Workspace: "w", Model: "m", Period: ledger.PeriodOf(now), Amount: use}}
				request.Returned = []ledger.Spend{{Workspace: "w", Period: ledger.PeriodOf(now), Amount: back}}
				settles[entry] = request
				book.Settle(request, now)
				held[entry] -= use + back
				spent += use
			},
			"settle again": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				if request, ok := settles[entry]; ok {
					book.Settle(request, now)
				}
			},
			"lose entry": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				lost += held[entry]
				held[entry] = 0
			},
			"restore": func(*rapid.T) {
				book = ledger.NewBook(book.State())
			},
			"": func(t *rapid.T) {
				total := spent + lost
				for _, amount := range held {
					total += amount
				}
				if total > limit {
					t.Fatalf("%d of %d were granted", total, limit)
				}
				for _, a := range book.Accounts() {
					if a.Spent+a.Outstanding() != total {
						t.Fatalf("the book has %d, the model %d", a.Spent+a.Outstanding(), total)
					}
				}
			},
		})
	})
}

// Guards against one entry that leases most of a limit and strands it when it dies.
func TestSlicesShrink(t *testing.T) {
	is := is.New(t)
	book := ledger.NewBook(ledger.State{})
	request := ledger.LeaseRequest{Entry: "e", Workspace: "w", Need: 1, Want: 1_000_000}
	previous := int64(1_000_000)
	for range 10 {
		request.Sequence++
		granted := book.Lease(request, 1_000_000, 0).Granted
		is.True(granted > 0)
		is.True(granted < previous)
		previous = granted
	}
}

// Guards against a month's spending that is booked on the next.
func TestPeriods(t *testing.T) {
	is := is.New(t)
	book := ledger.NewBook(ledger.State{})
	const december, january = int64(1_796_000_000_000), int64(1_799_000_000_000)
	request := ledger.LeaseRequest{Entry: "e", Workspace: "w", Need: 100, Sequence: 1}
	is.Equal(book.Lease(request, 100, december).Period, "2026-11")
	request.Sequence = 2
	is.Equal(book.Lease(request, 100, december).Granted, int64(0))
	request.Sequence = 3
	is.Equal(book.Lease(request, 100, january).Granted, int64(100))
}
