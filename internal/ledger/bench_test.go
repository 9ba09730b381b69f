package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dandelionpier/dandelionpier/internal/ledger"
)

// BenchmarkMonths measures the snapshot size and the live heap, before and after a restore, of a ledger in
// which each of 6,500 workspaces used 24 models in 3 length classes in each month.
func BenchmarkMonths(b *testing.B) {
	for _, months := range []int{1, 2, 14} {
		b.Run(fmt.Sprint("months=", months), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				l := ledger.New(ledger.State{})
				fill(l, months)
				data, err := cbor.Marshal(l.State())
				if err != nil {
					b.Fatal(err)
				}
				filled := heapInUse()
				runtime.KeepAlive(l)
				l = nil
				base := heapInUse()
				var state ledger.State
				if err := snapshotDecoding.Unmarshal(data, &state); err != nil {
					b.Fatal(err)
				}
				l = ledger.New(state)
				state = ledger.State{}
				restored := heapInUse()
				b.ReportMetric(float64(filled-before-uint64(len(data)))/1e6, "filled-MB")
				b.ReportMetric(float64(restored-base)/1e6, "restored-MB")
				b.ReportMetric(float64(len(data))/1e6, "snapshot-MB")
				runtime.KeepAlive(l)
				runtime.KeepAlive(data)
			}
		})
	}
}

// snapshotDecoding has the same size limits as the decoder in package control.
var snapshotDecoding, _ = cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode()

func fill(l *ledger.Ledger, months int) {
	sequence := uint64(0)
	for month := range months {
		now := time.Date(2026, time.Month(12-months+1+month), 15, 0, 0, 0, 0, time.UTC).UnixMilli()
		for w := range 6500 {
			request := ledger.SettleRequest{Entry: "e", Incarnation: "a"}
			for m := range 24 {
				for _, class := range []string{"short", "medium", "long"} {
					request.Spent = append(request.Spent, ledger.Spend{
						Workspace: fmt.Sprint("workspace-", w), Model: fmt.Sprint("model-", m), LengthClass: class,
						Period: ledger.PeriodOf(now), Amount: 1_234_567_890, Requests: 12_345, Tokens: 123_456_789,
					})
				}
			}
			sequence++
			request.Sequence = sequence
			l.Settle(request, now)
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
