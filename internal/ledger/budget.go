package ledger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Exceeded means that the workspace's limit does not cover the amount.
	Exceeded Kind = "exceeded"
	// Unavailable means that the control quorum did not reply in time.
	Unavailable Kind = "unavailable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	settleInterval = time.Second
	// leaseSeconds is how many seconds of a workspace's recent spending one lease should cover.
	leaseSeconds = 10
	// idleTimeout is the time without use after which a lease is returned.
	idleTimeout = 15 * time.Second
)

// Client calls the replicated ledger.
type Client interface {
	LeaseBudget(ctx context.Context, request LeaseRequest) (LeaseReply, error)
	SettleBudget(ctx context.Context, request SettleRequest) (SettleReply, error)
}

// LocalBudgetConfig holds the settings and dependencies of a LocalBudget.
type LocalBudgetConfig struct {
	Entry       string
	Incarnation string
	Client      Client
	Logger      *zap.Logger
}

// LocalBudget holds the budget leases of one entry and reserves amounts from them. It is safe for concurrent
// use.
type LocalBudget struct {
	config LocalBudgetConfig
	mu     sync.Mutex
	leases map[string]*budgetLease
	// unreported has the amounts spent since the last report, and those to return to the ledger.
	unreported map[Spend]Spend
	// pendingReport is the report being sent. It is resent unchanged until there is a reply.
	pendingReport  *SettleRequest
	reportSequence uint64
}

// budgetLease is what this entry has leased of a workspace's budget. leasing is held during a lease request.
type budgetLease struct {
	leasing   sync.Mutex
	sequence  uint64
	period    string
	available int64
	// used is the amount spent in the current settleInterval, rate its moving average per second.
	used     int64
	rate     float64
	lastUsed time.Time
}

// NewLocalBudget returns a LocalBudget without leases.
func NewLocalBudget(config LocalBudgetConfig) *LocalBudget {
	return &LocalBudget{config: config, leases: make(map[string]*budgetLease), unreported: make(map[Spend]Spend)}
}

// Reservation is an amount reserved for one request. Exactly one of Settle and Release takes effect.
type Reservation struct {
	budget    *LocalBudget
	workspace string
	period    string
	amount    int64
	once      sync.Once
}

// Amount returns the reserved amount in micro-cents.
func (r *Reservation) Amount() int64 {
	return r.amount
}

// Settle records the spending and returns the rest of the reserved amount to the lease. Spending above the
// reserved amount is cut to it, because the reservation covers the worst case.
func (r *Reservation) Settle(spend Spend) {
	r.once.Do(func() {
		spend.Amount = min(max(spend.Amount, 0), r.amount)
		spend.Workspace = r.workspace
		spend.Period = r.period
		r.budget.settle(r, spend)
	})
}

// Release returns the whole reserved amount to the lease.
func (r *Reservation) Release() {
	r.once.Do(func() { r.budget.release(r.workspace, r.period, r.amount) })
}

// Reserve takes the amount out of the workspace's lease and leases more when that does not cover it.
// The limit is in micro-cents per month; a negative one means no limit. Errors are of type *Error.
func (b *LocalBudget) Reserve(ctx context.Context, workspace string, limit, amount int64) (*Reservation, error) {
	const op = "reserve budget"
	if amount < 0 {
		return nil, fault.New(op, Exceeded, "the amount %d is negative", amount)
	}
	if limit < 0 || amount == 0 {
		return b.unlimited(workspace, amount), nil
	}
	lease := b.budgetLease(workspace)
	if reservation := b.tryReserve(lease, workspace, amount); reservation != nil {
		return reservation, nil
	}
	lease.leasing.Lock()
	defer lease.leasing.Unlock()
	var reply LeaseReply
	for range maxLeaseAttempts {
		if reservation := b.tryReserve(lease, workspace, amount); reservation != nil {
			return reservation, nil
		}
		var err error
		reply, err = b.leaseMore(ctx, lease, workspace, amount)
		if err != nil {
			return nil, fault.Wrap(err, op, Unavailable, "lease budget for workspace "+workspace)
		}
	}
	if reservation := b.tryReserve(lease, workspace, amount); reservation != nil {
		return reservation, nil
	}
	return nil, fault.New(op, Exceeded, "workspace %q needs %d micro-cents and %d remain of its limit of %d in %s",
		workspace, amount, reply.Remaining, limit, reply.Period)
}

// maxLeaseAttempts is 2 because the first reply may repeat a lost one, which was for a smaller need.
const maxLeaseAttempts = 2

// unlimited returns a reservation without a lease; its spending is still recorded.
func (b *LocalBudget) unlimited(workspace string, amount int64) *Reservation {
	return &Reservation{budget: b, workspace: workspace, period: PeriodOf(time.Now().UnixMilli()), amount: amount}
}

func (b *LocalBudget) budgetLease(workspace string) *budgetLease {
	b.mu.Lock()
	defer b.mu.Unlock()
	lease := b.leases[workspace]
	if lease == nil {
		lease = &budgetLease{}
		b.leases[workspace] = lease
	}
	return lease
}

func (b *LocalBudget) tryReserve(lease *budgetLease, workspace string, amount int64) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lease.available < amount || lease.period != PeriodOf(time.Now().UnixMilli()) {
		return nil
	}
	lease.available -= amount
	lease.lastUsed = time.Now()
	return &Reservation{budget: b, workspace: workspace, period: lease.period, amount: amount}
}

// leaseMore leases enough to cover the amount. The caller holds lease.leasing. The sequence number increases
// only with a reply, so after a lost reply the next call gets that reply instead of a second lease.
func (b *LocalBudget) leaseMore(ctx context.Context, lease *budgetLease, workspace string, amount int64) (LeaseReply, error) {
	b.mu.Lock()
	need := amount
	if lease.period == PeriodOf(time.Now().UnixMilli()) {
		need = amount - lease.available
	}
	request := LeaseRequest{
		Entry:       b.config.Entry,
		Incarnation: b.config.Incarnation,
		Workspace:   workspace,
		Need:        need,
		Want:        max(need, int64(lease.rate*leaseSeconds)),
		Sequence:    lease.sequence + 1,
	}
	b.mu.Unlock()
	reply, err := b.config.Client.LeaseBudget(ctx, request)
	if err != nil {
		return reply, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.sequence = request.Sequence
	if reply.Granted == 0 {
		return reply, nil
	}
	if lease.period != reply.Period {
		b.returnAvailable(workspace, lease)
		lease.period = reply.Period
	}
	lease.available += reply.Granted
	lease.lastUsed = time.Now()
	return reply, nil
}

func (b *LocalBudget) settle(r *Reservation, spend Spend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := Spend{Workspace: spend.Workspace, Model: spend.Model, LengthClass: spend.LengthClass, Period: spend.Period}
	sum := b.unreported[key]
	sum.Amount += spend.Amount
	sum.Requests += spend.Requests
	sum.Tokens += spend.Tokens
	b.unreported[key] = sum
	lease := b.leases[r.workspace]
	if lease == nil {
		return
	}
	lease.used += spend.Amount
	b.returnToLease(lease, r.workspace, r.period, r.amount-spend.Amount)
}

func (b *LocalBudget) release(workspace, period string, amount int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lease := b.leases[workspace]; lease != nil {
		b.returnToLease(lease, workspace, period, amount)
	}
}

// returnToLease returns an amount to the lease, or to the ledger when the lease is for another month.
// The caller holds b.mu.
func (b *LocalBudget) returnToLease(lease *budgetLease, workspace, period string, amount int64) {
	if lease.period == period {
		lease.available += amount
		return
	}
	b.queueReturn(workspace, period, amount)
}

// returnAvailable queues what is left of the lease for return to the ledger. The caller holds b.mu.
func (b *LocalBudget) returnAvailable(workspace string, lease *budgetLease) {
	if lease.available > 0 {
		b.queueReturn(workspace, lease.period, lease.available)
	}
	lease.available = 0
}

// returnMarker is the model of amounts to return in LocalBudget.unreported; model names are never empty.
const returnMarker = ""

func (b *LocalBudget) queueReturn(workspace, period string, amount int64) {
	key := Spend{Workspace: workspace, Period: period, Model: returnMarker}
	sum := b.unreported[key]
	sum.Amount += amount
	b.unreported[key] = sum
}

// Run reports spending once a second and returns idle leases. When ctx ends it returns all that is not
// reserved and sends a last report.
func (b *LocalBudget) Run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return b.close()
		case <-ticker.C:
			b.returnIdle(idleTimeout)
			b.report(ctx)
		}
	}
}

const reportTimeout = 3 * time.Second

// close sends two reports: the first may be a resent one, the second has the rest.
func (b *LocalBudget) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	b.returnIdle(0)
	b.report(ctx)
	b.report(ctx)
	return nil
}

// returnIdle updates the moving averages of spending and returns leases that were not used for the given
// time.
func (b *LocalBudget) returnIdle(idle time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, lease := range b.leases {
		lease.rate = (lease.rate + float64(lease.used)/settleInterval.Seconds()) / 2
		lease.used = 0
		if time.Since(lease.lastUsed) >= idle {
			b.returnAvailable(workspace, lease)
		}
	}
}

func (b *LocalBudget) report(ctx context.Context) {
	request := b.nextReport()
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := b.config.Client.SettleBudget(ctx, *request); err != nil {
		b.config.Logger.Warn("Could not report spending; retrying", zap.Error(err))
		return
	}
	b.mu.Lock()
	b.pendingReport = nil
	b.mu.Unlock()
}

func (b *LocalBudget) nextReport() *SettleRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pendingReport != nil {
		return b.pendingReport
	}
	if len(b.unreported) == 0 {
		return nil
	}
	b.reportSequence++
	request := &SettleRequest{Entry: b.config.Entry, Incarnation: b.config.Incarnation, Sequence: b.reportSequence}
	for key, sum := range b.unreported {
		key.Amount, key.Requests, key.Tokens = sum.Amount, sum.Requests, sum.Tokens
		if key.Model == returnMarker {
			request.Returned = append(request.Returned, key)
		} else {
			request.Spent = append(request.Spent, key)
		}
	}
	clear(b.unreported)
	b.pendingReport = request
	return request
}
