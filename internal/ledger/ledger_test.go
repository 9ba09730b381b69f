package ledger_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/ledger"
)

// Guards against leases that together exceed the limit, with resent requests, lost entries and restores
// from a snapshot in any order. The model is a plain sum of what was granted, spent and lost.
func TestNeverExceedsLimit(t *testing.T) {
	const limit = int64(10_000)
	rapid.Check(t, func(t *rapid.T) {
		l := ledger.New(ledger.State{})
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
				held[entry] += l.Lease(request, limit, now).Granted
			},
			"lease again": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				if request, ok := leases[entry]; ok {
					first := l.Lease(request, limit, now)
					if again := l.Lease(request, limit, now); again != first {
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
				l.Settle(request, now)
				held[entry] -= use + back
				spent += use
			},
			"settle again": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				if request, ok := settles[entry]; ok {
					l.Settle(request, now)
				}
			},
			"lose entry": func(t *rapid.T) {
				entry := rapid.SampledFrom(entries).Draw(t, "entry")
				lost += held[entry]
				held[entry] = 0
			},
			"restore": func(*rapid.T) {
				l = ledger.New(l.State())
			},
			"": func(t *rapid.T) {
				total := spent + lost
				for _, amount := range held {
					total += amount
				}
				if total > limit {
					t.Fatalf("%d of %d were granted", total, limit)
				}
				for _, a := range l.Accounts(ledger.Months{}) {
					if a.Spent+a.Outstanding() != total {
						t.Fatalf("the ledger has %d, the model %d", a.Spent+a.Outstanding(), total)
					}
				}
			},
		})
	})
}

// Guards against an entry that leases most of a limit and then crashes, which makes it unavailable to others.
func TestGrantsShrink(t *testing.T) {
	is := is.New(t)
	l := ledger.New(ledger.State{})
	request := ledger.LeaseRequest{Entry: "e", Workspace: "w", Need: 1, Want: 1_000_000}
	previous := int64(1_000_000)
	for range 10 {
		request.Sequence++
		granted := l.Lease(request, 1_000_000, 0).Granted
		is.True(granted > 0)
		is.True(granted < previous)
		previous = granted
	}
}

// Guards against a lease that counts against the limit of another month.
func TestPeriods(t *testing.T) {
	is := is.New(t)
	l := ledger.New(ledger.State{})
	const november, january = int64(1_796_000_000_000), int64(1_799_000_000_000)
	request := ledger.LeaseRequest{Entry: "e", Workspace: "w", Need: 100, Sequence: 1}
	is.Equal(l.Lease(request, 100, november).Period, "2026-11")
	request.Sequence = 2
	is.Equal(l.Lease(request, 100, november).Granted, int64(0))
	request.Sequence = 3
	is.Equal(l.Lease(request, 100, january).Granted, int64(100))
}

// Guards against a ledger that grows without bound, drops spending too early, keeps a late report for a
// month that was dropped, or differs after a restore. The model is a plain list of all reports.
func TestMonthsKept(t *testing.T) {
	type row struct{ period, model string }
	rapid.Check(t, func(t *rapid.T) {
		l, restored := ledger.New(ledger.State{}), ledger.New(ledger.State{})
		now := time.Date(2026, 1, 31, 0, 0, 0, 0, time.UTC)
		all := make(map[row]int64)
		for i := range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60*24).Draw(t, "hours")) * time.Hour)
			late := rapid.IntRange(0, 16).Draw(t, "late")
			period := time.Date(now.Year(), now.Month()-time.Month(late), 1, 0, 0, 0, 0, time.UTC).Format("2006-01")
			model := rapid.SampledFrom([]string{"oak", "ash/red"}).Draw(t, "model")
			request := ledger.SettleRequest{Entry: "e", Sequence: uint64(i + 1), Spent: []ledger.Spend{
				{Workspace: "w", Model: model, LengthClass: "short", Period: period, Amount: 5, Requests: 1},
			}}
			l.Settle(request, now.UnixMilli())
			restored.Settle(request, now.UnixMilli())
			if rapid.Bool().Draw(t, "restore") {
				restored = ledger.New(restored.State())
			}
			// The model drops spending that is more than 13 months old, and its models after one month.
			if late <= 13 {
				all[row{period, model}] += 5
			}
			months := func(n int) string {
				return time.Date(now.Year(), now.Month()-time.Month(n), 1, 0, 0, 0, 0, time.UTC).Format("2006-01")
			}
			want := make(map[row]int64)
			for r, amount := range all {
				switch {
				case r.period < months(13):
				case r.period < months(1):
					want[row{r.period, ledger.AllModels}] += amount
				default:
					want[r] += amount
				}
			}
			got := make(map[row]int64)
			for _, a := range l.Accounts(ledger.Months{}) {
				for _, s := range a.Spends() {
					got[row{s.Period, s.Model}] += s.Amount
				}
			}
			is.New(t).Equal(got, want)
			plain, again := l.State(), restored.State()
			plain.Sort()
			again.Sort()
			is.New(t).Equal(plain, again)
		}
	})
}

// Guards against a ledger that cannot read a snapshot of an earlier version, whose details are whole Spends.
func TestOldSnapshot(t *testing.T) {
	is := is.New(t)
	type account struct {
		Workspace string                  `cbor:"1,keyasint"`
		Period    string                  `cbor:"2,keyasint"`
		Detail    map[string]ledger.Spend `cbor:"5,keyasint"`
	}
	spend := ledger.Spend{Workspace: "w", Model: "oak", LengthClass: "long", Period: "2026-12", Amount: 3, Requests: 2, Tokens: 1}
	data, err := cbor.Marshal(map[int][]account{1: {{"w", "2026-12", map[string]ledger.Spend{"oak/long": spend}}}})
	is.NoErr(err)
	var state ledger.State
	is.NoErr(cbor.Unmarshal(data, &state))
	accounts := ledger.New(state).Accounts(ledger.Months{From: "2026-12"})
	is.Equal(accounts[0].Spends(), []ledger.Spend{spend})
}
