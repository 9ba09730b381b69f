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

// bank is the replicated ledger without replication. It can lose its answers after it has acted.
type bank struct {
	mu    sync.Mutex
	book  *ledger.Book
	limit int64
	lossy bool
}

var errLost = errors.New("the answer is lost")

func (b *bank) LeaseBudget(_ context.Context, request ledger.LeaseRequest) (ledger.LeaseReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := b.book.Lease(request, b.limit, time.Now().UnixMilli())
	if b.lossy {
		return ledger.LeaseReply{}, errLost
	}
	return reply, nil
}

func (b *bank) SettleBudget(_ context.Context, request ledger.SettleRequest) (ledger.SettleReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := b.book.Settle(request, time.Now().UnixMilli())
	if b.lossy {
		return ledger.SettleReply{}, errLost
	}
	return reply, nil
}

func (b *bank) setLossy(lossy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lossy = lossy
}

// Guards against spending that is booked twice, lost or not returned, although answers of the ledger get
// lost: in the end the account shows what was settled and nothing is held.
func TestPurse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &bank{book: ledger.NewBook(ledger.State{}), limit: 10_000}
		purse := ledger.NewPurse(ledger.PurseConfig{Entry: "e", Incarnation: "a", Bank: b, Logger: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		end := task.Start(ctx, purse.Run)
		spent := int64(0)
		for i := range 20 {
			b.setLossy(i%3 == 1)
			hold, err := purse.Reserve(ctx, "w", b.limit, 100)
			if err != nil {
				is.True(fault.Is(err, ledger.Unavailable))
				b.setLossy(false)
				hold, err = purse.Reserve(ctx, "w", b.limit, 100)
				is.NoErr(err)
			}
			if i%4 == 0 {
				hold.Release()
				hold.Settle(ledger.Spend{Model: "oak", Amount: 100}) // too late
			} else {
				hold.Settle(ledger.Spend{Model: "oak", Amount: 60, Requests: 1})
				hold.Release() // too late
				spent += 60
			}
			time.Sleep(700 * time.Millisecond)
		}
		b.setLossy(false)
		_, err := purse.Reserve(ctx, "w", b.limit, b.limit)
		is.True(fault.Is(err, ledger.Exceeded))
		cancel()
		is.NoErr(<-end)
		accounts := b.book.Accounts(ledger.Months{})
		is.Equal(len(accounts), 1)
		is.Equal(accounts[0].Spent, spent)
		is.Equal(accounts[0].Outstanding(), int64(0))
	})
}
