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
	// Unavailable means that the control quorum did not answer in time.
	Unavailable Kind = "unavailable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	settleInterval = time.Second
	// sliceSeconds is how many seconds of a workspace's recent use one slice should cover.
	sliceSeconds = 10
	// idleAfter is the time without use after which a slice is given back.
	idleAfter = 15 * time.Second
)

// Bank is the replicated ledger as an entry reaches it.
type Bank interface {
	LeaseBudget(ctx context.Context, request LeaseRequest) (LeaseReply, error)
	SettleBudget(ctx context.Context, request SettleRequest) (SettleReply, error)
}

// PurseConfig sets up a Purse.
type PurseConfig struct {
	Entry       string
	Incarnation string
	Bank        Bank
	Logger      *zap.Logger
}

// Purse holds the budget slices of one entry. It is safe for concurrent use.
type Purse struct {
	config PurseConfig
	mu     sync.Mutex
	slices map[string]*slice
	spent  map[Spend]Spend
	// pending is the report being sent; it is resent unchanged until it is answered.
	pending  *SettleRequest
	sequence uint64
}

// slice is the budget of one workspace at this entry. leasing is held while a lease request runs.
type slice struct {
	leasing   sync.Mutex
	sequence  uint64
	period    string
	available int64
	// used is the amount settled in the current interval, rate its moving average a second.
	used     int64
	rate     float64
	lastUsed time.Time
}

// NewPurse returns an empty purse.
func NewPurse(config PurseConfig) *Purse {
	return &Purse{config: config, slices: make(map[string]*slice), spent: make(map[Spend]Spend)}
}

// Hold is an amount reserved for one request. Exactly one of Settle and Release takes effect.
type Hold struct {
	purse     *Purse
	workspace string
	period    string
	amount    int64
	once      sync.Once
}

// Amount returns the reserved amount in micro-cents.
func (h *Hold) Amount() int64 {
	return h.amount
}

// Settle books the spend and returns the rest of the hold to the slice. An amount above the hold is
// cut to it: admission reserved the worst case.
func (h *Hold) Settle(spend Spend) {
	h.once.Do(func() {
		spend.Amount = min(max(spend.Amount, 0), h.amount)
		spend.Workspace = h.workspace
		spend.Period = h.period
		h.purse.settle(h, spend)
	})
}

// Release returns the whole hold to the slice.
func (h *Hold) Release() {
	h.once.Do(func() { h.purse.giveBack(h.workspace, h.period, h.amount) })
}

// Reserve takes the amount out of the workspace's slice and leases more when it does not cover it.
// The limit is in micro-cents a month; a negative one means none. Errors are of type *Error.
func (p *Purse) Reserve(ctx context.Context, workspace string, limit, amount int64) (*Hold, error) {
	const op = "reserve budget"
	if amount < 0 {
		return nil, fault.New(op, Exceeded, "the amount %d is negative", amount)
	}
	if limit < 0 || amount == 0 {
		return p.unlimited(workspace, amount), nil
	}
	s := p.slice(workspace)
	if hold := p.take(s, workspace, amount); hold != nil {
		return hold, nil
	}
	s.leasing.Lock()
	defer s.leasing.Unlock()
	var reply LeaseReply
	for range leaseTries {
		if hold := p.take(s, workspace, amount); hold != nil {
			return hold, nil
		}
		var err error
		reply, err = p.lease(ctx, s, workspace, amount)
		if err != nil {
			return nil, fault.Wrap(err, op, Unavailable, "lease a slice for workspace "+workspace)
		}
	}
	if hold := p.take(s, workspace, amount); hold != nil {
		return hold, nil
	}
	return nil, fault.New(op, Exceeded, "workspace %q needs %d micro-cents and %d remain of its limit of %d in %s",
		workspace, amount, reply.Remaining, limit, reply.Period)
}

// leaseTries is 2 because the first answer may repeat a lost one that was for a smaller need.
const leaseTries = 2

// unlimited returns a hold that is not backed by a slice; its spend is booked all the same.
func (p *Purse) unlimited(workspace string, amount int64) *Hold {
	return &Hold{purse: p, workspace: workspace, period: PeriodOf(time.Now().UnixMilli()), amount: amount}
}

func (p *Purse) slice(workspace string) *slice {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slices[workspace]
	if s == nil {
		s = &slice{}
		p.slices[workspace] = s
	}
	return s
}

func (p *Purse) take(s *slice, workspace string, amount int64) *Hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.available < amount || s.period != PeriodOf(time.Now().UnixMilli()) {
		return nil
	}
	s.available -= amount
	s.lastUsed = time.Now()
	return &Hold{purse: p, workspace: workspace, period: s.period, amount: amount}
}

// lease asks for enough to cover the amount. The caller holds s.leasing. The sequence advances only
// with an answer, so a lost answer is asked for again instead of leasing twice.
func (p *Purse) lease(ctx context.Context, s *slice, workspace string, amount int64) (LeaseReply, error) {
	p.mu.Lock()
	need := amount
	if s.period == PeriodOf(time.Now().UnixMilli()) {
		need = amount - s.available
	}
	request := LeaseRequest{
		Entry:       p.config.Entry,
		Incarnation: p.config.Incarnation,
		Workspace:   workspace,
		Need:        need,
		Want:        max(need, int64(s.rate*sliceSeconds)),
		Sequence:    s.sequence + 1,
	}
	p.mu.Unlock()
	reply, err := p.config.Bank.LeaseBudget(ctx, request)
	if err != nil {
		return reply, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.sequence = request.Sequence
	if reply.Granted == 0 {
		return reply, nil
	}
	if s.period != reply.Period {
		p.returnSlice(workspace, s)
		s.period = reply.Period
	}
	s.available += reply.Granted
	s.lastUsed = time.Now()
	return reply, nil
}

func (p *Purse) settle(h *Hold, spend Spend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := Spend{Workspace: spend.Workspace, Model: spend.Model, LengthClass: spend.LengthClass, Period: spend.Period}
	sum := p.spent[key]
	sum.Amount += spend.Amount
	sum.Requests += spend.Requests
	sum.Tokens += spend.Tokens
	p.spent[key] = sum
	s := p.slices[h.workspace]
	if s == nil {
		return
	}
	s.used += spend.Amount
	p.put(s, h.workspace, h.period, h.amount-spend.Amount)
}

func (p *Purse) giveBack(workspace, period string, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.slices[workspace]; s != nil {
		p.put(s, workspace, period, amount)
	}
}

// put returns an amount to the slice, or to the ledger when the slice is of another month.
// The caller holds p.mu.
func (p *Purse) put(s *slice, workspace, period string, amount int64) {
	if s.period == period {
		s.available += amount
		return
	}
	p.returned(workspace, period, amount)
}

// returnSlice queues what is left of the slice for return. The caller holds p.mu.
func (p *Purse) returnSlice(workspace string, s *slice) {
	if s.available > 0 {
		p.returned(workspace, s.period, s.available)
	}
	s.available = 0
}

// returnedModel marks amounts to return among the spends; model names are never empty.
const returnedModel = ""

func (p *Purse) returned(workspace, period string, amount int64) {
	key := Spend{Workspace: workspace, Period: period, Model: returnedModel}
	sum := p.spent[key]
	sum.Amount += amount
	p.spent[key] = sum
}

// Run reports spending once a second and gives idle slices back. When ctx ends it returns all that is
// not held and sends a last report.
func (p *Purse) Run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return p.close()
		case <-ticker.C:
			p.returnIdle(idleAfter)
			p.report(ctx)
		}
	}
}

const closeTimeout = 3 * time.Second

func (p *Purse) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.returnIdle(0)
	p.report(ctx)
	p.report(ctx)
	return nil
}

func (p *Purse) returnIdle(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for workspace, s := range p.slices {
		s.rate = (s.rate + float64(s.used)/settleInterval.Seconds()) / 2
		s.used = 0
		if time.Since(s.lastUsed) >= idle {
			p.returnSlice(workspace, s)
		}
	}
}

func (p *Purse) report(ctx context.Context) {
	request := p.nextReport()
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if _, err := p.config.Bank.SettleBudget(ctx, *request); err != nil {
		p.config.Logger.Warn("Could not report spending; it is reported again", zap.Error(err))
		return
	}
	p.mu.Lock()
	p.pending = nil
	p.mu.Unlock()
}

func (p *Purse) nextReport() *SettleRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending != nil {
		return p.pending
	}
	if len(p.spent) == 0 {
		return nil
	}
	p.sequence++
	request := &SettleRequest{Entry: p.config.Entry, Incarnation: p.config.Incarnation, Sequence: p.sequence}
	for key, sum := range p.spent {
		key.Amount, key.Requests, key.Tokens = sum.Amount, sum.Requests, sum.Tokens
		if key.Model == returnedModel {
			request.Returned = append(request.Returned, key)
		} else {
			request.Spent = append(request.Spent, key)
		}
	}
	clear(p.spent)
	p.pending = request
	return request
}
