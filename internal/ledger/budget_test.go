package ledger_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// fakeClient is a ledger without replication. It can lose replies after it has applied the requests.
type fakeClient struct {
	mu           sync.Mutex
	ledger       *ledger.Ledger
	limit        int64
	losesReplies bool
}

var errReplyLost = errors.New("the reply is lost")

func (c *fakeClient) LeaseBudget(_ context.Context, request ledger.LeaseRequest) (ledger.LeaseReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.ledger.Lease(request, c.limit, time.Now().UnixMilli())
	if c.losesReplies {
		return ledger.LeaseReply{}, errReplyLost
	}
	return reply, nil
}

func (c *fakeClient) SettleBudget(_ context.Context, request ledger.SettleRequest) (ledger.SettleReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.ledger.Settle(request, time.Now().UnixMilli())
	if c.losesReplies {
		return ledger.SettleReply{}, errReplyLost
	}
	return reply, nil
}

func (c *fakeClient) setLosesReplies(losesReplies bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losesReplies = losesReplies
}

// Guards against spending that is recorded twice or lost, and against leases that are not returned, when
// replies of the ledger are lost: in the end the account shows what was spent and nothing is leased.
func TestLocalBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := &fakeClient{ledger: ledger.New(ledger.State{}), limit: 10_000}
		budget := ledger.NewLocalBudget(ledger.LocalBudgetConfig{Entry: "e", Incarnation: "a", Client: client, Logger: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		end := task.Start(ctx, budget.Run)
		spent := int64(0)
		for i := range 20 {
			client.setLosesReplies(i%3 == 1)
			reservation, err := budget.Reserve(ctx, "w", client.limit, 100)
			if err != nil {
				is.True(fault.Is(err, ledger.Unavailable))
				client.setLosesReplies(false)
				reservation, err = budget.Reserve(ctx, "w", client.limit, 100)
				is.NoErr(err)
			}
			if i%4 == 0 {
				reservation.Release()
				reservation.Settle(ledger.Spend{Model: "oak", Amount: 100}) // too late
			} else {
				reservation.Settle(ledger.Spend{Model: "oak", Amount: 60, Requests: 1})
				reservation.Release() // too late
				spent += 60
			}
			time.Sleep(700 * time.Millisecond)
		}
		client.setLosesReplies(false)
		_, err := budget.Reserve(ctx, "w", client.limit, client.limit)
		is.True(fault.Is(err, ledger.Exceeded))
		cancel()
		is.NoErr(<-end)
		accounts := client.ledger.Accounts(ledger.Months{})
		is.Equal(len(accounts), 1)
		is.Equal(accounts[0].Spent, spent)
		is.Equal(accounts[0].Outstanding(), int64(0))
	})
}
