package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
)

// targetState fills a machine with the highest number of claims and the accounts of 6,500 workspaces with
// twelve pairs of model and length class each.
func targetState(tb testing.TB) *control.Machine {
	tb.Helper()
	m := control.NewMachine()
	apply := func(command control.Command) {
		command.Time = 1_000_000
		data, err := command.Encode()
		if err != nil {
			tb.Fatal(err)
		}
		if err, failed := m.Apply(0, data).(error); failed {
			tb.Fatal(err)
		}
	}
	for i := range claim.MaxClaims {
		key := claim.Key{Workspace: fmt.Sprint("workspace-", i%6500), IdempotencyKey: fmt.Sprintf("3f2504e0-4f89-41d3-9a0c-%012d", i)}
		request := fmt.Sprintf("d3c1e2526f3ad4742b%06d", i)
		apply(control.Command{OpenClaim: &claim.OpenRequest{Key: key, RequestID: request, Entry: "entry-1/46e102fae0969853"}})
		apply(control.Command{SettleClaim: &claim.SettleRequest{Key: key, RequestID: request, Outcome: &claim.Outcome{Status: 201, ContentType: "application/json"}}})
	}
	for i := range 6500 {
		settle := &ledger.SettleRequest{Entry: "entry-1", Incarnation: "46e102fae0969853", Sequence: uint64(i + 1)}
		for model := range 4 {
			for _, class := range []string{"short", "medium", "long"} {
				settle.Spent = append(settle.Spent, ledger.Spend{
					Workspace: fmt.Sprint("workspace-", i), Period: "1970-01", Model: fmt.Sprint("model-", model),
					LengthClass: class, Amount: 1000, Requests: 1, Tokens: 1000,
				})
			}
		}
		apply(control.Command{SettleBudget: settle})
	}
	return m
}

// Reports how long the capture of a snapshot with the highest number of claims keeps commands from being
// applied, and how long capture and encoding take together.
func BenchmarkSnapshot(b *testing.B) {
	m := targetState(b)
	var capture time.Duration
	for b.Loop() {
		start := time.Now()
		encode := m.Snapshot()
		capture += time.Since(start)
		data, err := encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
	b.ReportMetric(float64(capture.Milliseconds())/float64(b.N), "ms-capture")
}
