package operator_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/controld/internal/operator"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
)

// remoteQuorum encodes and decodes its replies with gob, as net/rpc does between the leader and another
// control instance.
type remoteQuorum struct {
	*fakeControl
	bytes int
}

func (q *remoteQuorum) Query(ctx context.Context, request control.QueryRequest) (control.QueryReply, error) {
	reply, err := q.fakeControl.Query(ctx, request)
	if err != nil {
		return reply, err
	}
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(reply); err != nil {
		return reply, err
	}
	q.bytes = wire.Len()
	var decoded control.QueryReply
	err = gob.NewDecoder(&wire).Decode(&decoded)
	return decoded, err
}

// BenchmarkCosting measures the time, allocations and bytes from the leader of cost queries when each of
// 6,500 workspaces has used 24 models in 3 length classes in two months.
func BenchmarkCosting(b *testing.B) {
	q := &remoteQuorum{fakeControl: newFakeControl()}
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	request := ledger.SettleRequest{Entry: "e"}
	for _, period := range []string{"2026-12", "2026-11"} {
		for w := range 6500 {
			request.Spent = nil
			for i := range 24 * 3 {
				request.Spent = append(request.Spent, ledger.Spend{
					Workspace: fmt.Sprint("workspace-", w), Model: fmt.Sprint("model-", i/3), LengthClass: []string{"short", "medium", "long"}[i%3],
					Period: period, Amount: 1_234_567_890, Requests: 12_345, Tokens: 123_456_789,
				})
			}
			request.Sequence++
			data, err := control.Command{Time: now.UnixMilli(), SettleBudget: &request}.Encode()
			if err != nil {
				b.Fatal(err)
			}
			q.machine.Apply(0, data)
		}
	}
	api := operator.New(operator.Config{
		Submitter: q, Querier: q, Operators: []operator.Operator{{Name: "amaia", KeyHash: language.HashKey(operatorKey)}},
		Now: func() time.Time { return now }, Logger: zap.NewNop(),
	})
	for _, text := range []string{
		"show costing by model", "show costing since 2026-11 by workspace", "show costing where workspace = workspace-7", "show workspaces",
	} {
		b.Run(strings.ReplaceAll(text, " ", "-"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/v1/queries", strings.NewReader(`{"text":"`+text+`"}`))
				r.Header.Set("Authorization", "Bearer "+operatorKey)
				recorder := httptest.NewRecorder()
				api.ServeHTTP(recorder, r)
				if recorder.Code != http.StatusOK {
					b.Fatal(recorder.Body)
				}
			}
			b.ReportMetric(float64(q.bytes)/1e6, "MB-from-leader")
		})
	}
}
