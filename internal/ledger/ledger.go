package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unique"
)

const (
	// maxGrantDivisor limits a grant to this fraction of what remains, so that grants shrink near the limit
	// and an entry that crashes cannot take most of the budget with it.
	maxGrantDivisor = 8
	// entryRetention is how long an incarnation of an entry is remembered, so that a resent report is not
	// settled twice.
	entryRetention = 24 * time.Hour
	// replyRetention is how long the reply to a lease request is kept for a resent request. A later one
	// leases again, and the first grant counts as spent. The replies of a whole day would be 2.5 million
	// with 380 entries and 6,500 workspaces.
	replyRetention = 10 * time.Minute
	// cleanupInterval is the time between two removals of an entry's old replies.
	cleanupInterval = time.Minute
)

// PeriodOf returns the calendar month (UTC) of a time in Unix milliseconds.
func PeriodOf(now int64) string {
	return time.UnixMilli(now).UTC().Format("2006-01")
}

// Sum adds up settled spends.
type Sum struct {
	Amount   int64 `cbor:"5,keyasint"`
	Requests int64 `cbor:"6,keyasint"`
	Tokens   int64 `cbor:"7,keyasint"`
}

func (s Sum) plus(other Sum) Sum {
	return Sum{Amount: s.Amount + other.Amount, Requests: s.Requests + other.Requests, Tokens: s.Tokens + other.Tokens}
}

// Account is the spending of one workspace in one period.
type Account struct {
	Workspace string `cbor:"1,keyasint"`
	Period    string `cbor:"2,keyasint"`
	// Leased has the amounts leased, by instance/incarnation of the entry. The lease of a lost entry stays
	// here for the period: what it spent of it is not known, so all of it counts as spent.
	Leased map[string]int64 `cbor:"3,keyasint"`
	Spent  int64            `cbor:"4,keyasint"`
	// Detail has the spending by model and length class; see DetailKey.
	Detail map[string]Sum `cbor:"5,keyasint"`
	// Total is the spending of a month whose details are no longer kept.
	Total Sum `cbor:"6,keyasint"`

	// generation is the generation of the ledger when this copy was made, 0 in a State. A State may share the
	// maps of an account with an older generation than the ledger's.
	generation uint64
}

// foldDetails moves the details into Total. It replaces the maps instead of clearing them, because a State
// may share them. Leases are dropped too, as they cannot be used after their month.
func (a *Account) foldDetails() {
	for _, sum := range a.Detail {
		a.Total = a.Total.plus(sum)
	}
	a.Detail, a.Leased = nil, nil
}

// Outstanding returns the sum of the amounts leased to entries.
func (a *Account) Outstanding() int64 {
	var sum int64
	for _, amount := range a.Leased {
		sum += amount
	}
	return sum
}

// Entry is what the ledger remembers of one incarnation of an entry, to recognise resent requests. Name is
// instance/incarnation, Leases has the last reply by workspace, and Settled is the sequence number of the
// last settled report.
type Entry struct {
	Name     string                   `cbor:"1,keyasint"`
	Leases   map[string]RecordedReply `cbor:"2,keyasint"`
	Settled  uint64                   `cbor:"3,keyasint"`
	LastSeen int64                    `cbor:"4,keyasint"`
	// Swept is when old replies were last dropped, in Unix milliseconds.
	Swept int64 `cbor:"5,keyasint"`

	generation uint64
}

// RecordedReply is the reply to an entry's last lease request for a workspace.
type RecordedReply struct {
	Sequence uint64     `cbor:"1,keyasint"`
	Reply    LeaseReply `cbor:"2,keyasint"`
	// Time is in Unix milliseconds.
	Time int64 `cbor:"3,keyasint"`
}

// State is the state of the ledger as stored in snapshots.
type State struct {
	Accounts []Account `cbor:"1,keyasint"`
	Entries  []Entry   `cbor:"2,keyasint"`
}

type accountKey struct {
	workspace string
	period    string
}

// Ledger holds the accounts of all workspaces. It is part of the replicated state machine and so must be
// deterministic: the current time comes from the replicated log. It is not safe for concurrent use.
type Ledger struct {
	accounts map[accountKey]*Account
	entries  map[string]*Entry
	// currentPeriod is the month of the last request; kept is the retention in that month.
	currentPeriod string
	kept          Retention
	// generation counts the captured states. An account or entry of an older generation is copied before it
	// is changed.
	generation uint64
}

// New returns a Ledger with the given state.
func New(state State) *Ledger {
	l := &Ledger{accounts: make(map[accountKey]*Account), entries: make(map[string]*Entry), generation: 1}
	for _, a := range state.Accounts {
		a.Detail = internKeys(a.Detail)
		l.accounts[accountKey{a.Workspace, a.Period}] = &a
	}
	for _, e := range state.Entries {
		if e.Leases == nil {
			e.Leases = make(map[string]RecordedReply)
		}
		l.entries[e.Name] = &e
	}
	return l
}

// State captures the state in any order; see State.Sort. The maps of accounts and entries are copied on
// their next write, so that a snapshot of a large ledger does not delay the replicated log.
func (l *Ledger) State() State {
	l.generation++
	state := State{Accounts: make([]Account, 0, len(l.accounts)), Entries: make([]Entry, 0, len(l.entries))}
	for _, a := range l.accounts {
		c := *a
		c.generation = 0
		state.Accounts = append(state.Accounts, c)
	}
	for _, e := range l.entries {
		c := *e
		c.generation = 0
		state.Entries = append(state.Entries, c)
	}
	return state
}

// Sort orders the accounts by workspace and period and the entries by name, so that equal ledgers have
// equal snapshots.
func (s *State) Sort() {
	sortAccounts(s.Accounts)
	slices.SortFunc(s.Entries, func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
}

// internKeys returns a copy of the details whose key strings are shared between the accounts.
func internKeys(detail map[string]Sum) map[string]Sum {
	if detail == nil {
		return nil
	}
	shared := make(map[string]Sum, len(detail))
	for key, sum := range detail {
		shared[unique.Make(key).Value()] = sum
	}
	return shared
}

// Accounts returns the accounts of the months, sorted by workspace and period. It does not copy their maps,
// which must not be changed.
func (l *Ledger) Accounts(months Months) []Account {
	var accounts []Account
	for key, a := range l.accounts {
		if months.contains(key.period) {
			accounts = append(accounts, *a)
		}
	}
	sortAccounts(accounts)
	return accounts
}

func sortAccounts(accounts []Account) {
	slices.SortFunc(accounts, func(x, y Account) int {
		return cmp.Or(cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Period, y.Period))
	})
}

// Lease leases a part of what remains of the limit. A negative limit means no limit. A resent request gets
// the reply to the first one. now is in Unix milliseconds.
func (l *Ledger) Lease(request LeaseRequest, limit, now int64) LeaseReply {
	l.rollOver(now)
	e := l.entry(request.Entry, request.Incarnation, now)
	if last, ok := e.Leases[request.Workspace]; ok && request.Sequence <= last.Sequence {
		if request.Sequence == last.Sequence {
			return last.Reply
		}
		return LeaseReply{}
	}
	reply := l.grant(request, e.Name, limit, now)
	e.Leases[request.Workspace] = RecordedReply{Sequence: request.Sequence, Reply: reply, Time: now}
	e.dropOldReplies(now)
	return reply
}

// dropOldReplies drops replies that are older than replyRetention, at most once in cleanupInterval.
func (e *Entry) dropOldReplies(now int64) {
	if now-e.Swept < cleanupInterval.Milliseconds() {
		return
	}
	e.Swept = now
	cutoff := now - replyRetention.Milliseconds()
	maps.DeleteFunc(e.Leases, func(_ string, recorded RecordedReply) bool { return recorded.Time < cutoff })
}

func (l *Ledger) grant(request LeaseRequest, entry string, limit, now int64) LeaseReply {
	period := PeriodOf(now)
	a := l.account(request.Workspace, period)
	want := max(request.Want, request.Need, 0)
	if limit < 0 {
		a.Leased[entry] += want
		return LeaseReply{Granted: want, Period: period, Remaining: -1}
	}
	remaining := max(0, limit-a.Spent-a.Outstanding())
	if request.Need > remaining || request.Need <= 0 {
		return LeaseReply{Period: period, Remaining: remaining}
	}
	granted := min(want, max(request.Need, remaining/maxGrantDivisor))
	a.Leased[entry] += granted
	return LeaseReply{Granted: granted, Period: period, Remaining: remaining - granted}
}

// Settle records what an entry has spent and returned. A repeated report changes nothing, and neither does
// spending in a month that is no longer kept. now is in Unix milliseconds.
func (l *Ledger) Settle(request SettleRequest, now int64) SettleReply {
	l.rollOver(now)
	e := l.entry(request.Entry, request.Incarnation, now)
	if request.Sequence <= e.Settled {
		return SettleReply{}
	}
	e.Settled = request.Sequence
	for _, s := range request.Spent {
		if s.Period < l.kept.Totals {
			continue
		}
		a := l.account(s.Workspace, s.Period)
		a.Spent += s.Amount
		l.reduceLease(a, e.Name, s.Amount)
		a.addSpend(s, s.Period < l.kept.Details)
	}
	for _, r := range request.Returned {
		if r.Period < l.kept.Details {
			continue
		}
		l.reduceLease(l.account(r.Workspace, r.Period), e.Name, r.Amount)
	}
	return SettleReply{}
}

func (l *Ledger) reduceLease(a *Account, entry string, amount int64) {
	left := a.Leased[entry] - amount
	if left <= 0 {
		delete(a.Leased, entry)
		return
	}
	a.Leased[entry] = left
}

func (a *Account) addSpend(s Spend, detailsDropped bool) {
	sum := Sum{Amount: s.Amount, Requests: s.Requests, Tokens: s.Tokens}
	if detailsDropped {
		a.Total = a.Total.plus(sum)
		a.foldDetails()
		return
	}
	key := unique.Make(DetailKey(s.Model, s.LengthClass)).Value()
	a.Detail[key] = a.Detail[key].plus(sum)
}

// account returns the account to be changed: a new one, a copy if a State shares it, or the current one.
func (l *Ledger) account(workspace, period string) *Account {
	key := accountKey{workspace, period}
	a := l.accounts[key]
	switch {
	case a == nil:
		a = &Account{Workspace: workspace, Period: period, generation: l.generation}
	case a.generation != l.generation:
		c := *a
		c.Leased, c.Detail, c.generation = maps.Clone(a.Leased), maps.Clone(a.Detail), l.generation
		a = &c
	}
	l.accounts[key] = a
	if a.Leased == nil {
		a.Leased = make(map[string]int64)
	}
	if a.Detail == nil {
		a.Detail = make(map[string]Sum)
	}
	return a
}

// entry returns the record of an entry's incarnation to be changed: a new one, a copy if a State shares it,
// or the current one.
func (l *Ledger) entry(instance, incarnation string, now int64) *Entry {
	name := instance + "/" + incarnation
	e := l.entries[name]
	switch {
	case e == nil:
		l.dropOldEntries(now)
		e = &Entry{Name: name, Leases: make(map[string]RecordedReply), generation: l.generation}
	case e.generation != l.generation:
		c := *e
		c.Leases, c.generation = maps.Clone(e.Leases), l.generation
		e = &c
	}
	l.entries[name] = e
	e.LastSeen = now
	return e
}

func (l *Ledger) dropOldEntries(now int64) {
	cutoff := now - entryRetention.Milliseconds()
	maps.DeleteFunc(l.entries, func(_ string, e *Entry) bool { return e.LastSeen < cutoff })
}

// rollOver folds and drops the accounts of older months at the first request of a month. The state
// after any request does not depend on whether the ledger was restored from a snapshot before it.
func (l *Ledger) rollOver(now int64) {
	period := PeriodOf(now)
	if period == l.currentPeriod {
		return
	}
	l.currentPeriod, l.kept = period, RetentionAt(now)
	for key, a := range l.accounts {
		switch {
		case key.period < l.kept.Totals:
			delete(l.accounts, key)
		case key.period < l.kept.Details:
			a.foldDetails()
		}
	}
}
